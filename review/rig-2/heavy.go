package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["heavy-orders"] = heavyOrders }

// Figures of the case, and of the rule Fault.
const (
	ordersAtOnce  = 8
	emptyTargets  = 1_300_000
	silenceOfCall = 10 * time.Second // how long an operator waits for the answer to a large body
	controllers   = 5
	halfOfCore    = 3 // machines of five
	endsOfFault   = 3 // ends by itself of the processes of one machine

	memoryCheck  = 10 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	heavyTime    = 70 * time.Second
)

// heavyOrders sends invalid configurations that are long, eight at once, while the platform ends each process that is over its memory
// and starts it again.
func heavyOrders(r *run) (broken bool, err error) {
	f := newFleet(r, controllers, 0)
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return false, err
	}
	valid := configuration(1, []route{{name: "debit", prefix: "/debit/", unsafe: true, deadlineMs: 8000, tries: 1, service: "ledger"}}, []string{"ledger"})
	if err := f.configure(valid, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	empty := 1
	if r.trouble {
		empty = emptyTargets
	}
	var watch, orders sync.WaitGroup
	var stopped, fault atomic.Bool
	var machines atomic.Int64 // machines whose processes have ended often enough
	ends := make([]int, controllers)
	most := make([]int, controllers)
	for i, ip := range f.controllers {
		watch.Go(func() {
			for !stopped.Load() {
				if mb := f.memory("controller", ip); mb > coreMemoryMB {
					if ends[i]++; ends[i] == endsOfFault && machines.Add(1) == halfOfCore {
						fault.Store(true)
					}
					r.note("controller %s holds %d MB of %d and is ended by the platform", ip, mb, coreMemoryMB)
					f.signal("controller", ip, syscall.SIGKILL)
					f.wait("controller", ip)
					time.Sleep(restartDelay)
					if err := f.start("controller", ip, false); err != nil {
						r.note("start of %s: %v", ip, err)
					}
				} else {
					most[i] = max(most[i], mb)
				}
				time.Sleep(memoryCheck)
			}
		})
	}
	until := time.Now().Add(heavyTime)
	var refused, unclear atomic.Int64
	for n := range ordersAtOnce {
		orders.Go(func() {
			body := heavyConfiguration(2+n, empty)
			pause := 100 * time.Millisecond
			for k := 0; time.Now().Before(until) && !fault.Load(); k++ {
				status, _, err := post(f.control(k%controllers), "/v1/configuration/replace", body, silenceOfCall)
				r.quiet("order %d at %s: %d %v", 2+n, f.control(k%controllers), status, err)
				if err == nil && status/100 == 4 && status != 408 && status != 429 {
					refused.Add(1)
					return
				}
				time.Sleep(pause)
				pause = min(pause*3/2, time.Second)
			}
			unclear.Add(1)
		})
	}
	orders.Wait()
	time.Sleep(time.Second)
	stopped.Store(true)
	watch.Wait()
	total := 0
	for i, n := range ends {
		total += n
		r.note("controller %s: ended %d times, at most %d MB besides", f.controllers[i], n, most[i])
	}
	r.note("of %d orders %d were refused, %d had no clear answer; processes ended %d times", ordersAtOnce, refused.Load(), unclear.Load(), total)
	return fault.Load(), nil
}

// heavyConfiguration returns an invalid configuration: the weights of its one route add up to 0, and its targets name no service.
func heavyConfiguration(revision, targets int) []byte {
	split := bytes.Repeat([]byte("{},"), targets)
	return fmt.Appendf(nil, `{"revision":%d,"routes":[{"name":"r","host":%q,"path-prefix":"/debit/","route-kind":"safe","deadline-ms":8000,"target-ms":800,"rank":0,"max-tries":1,"weighted-split":[%s]}],"services":[{"name":"ledger","health-path":"/health","max-conns":110}]}`,
		revision, routeHost, split[:len(split)-1])
}

// memory returns the resident memory of a process in MB, 0 if it is not known.
func (f *fleet) memory(role, ip string) int {
	f.mu.Lock()
	c := f.processes[role+" "+ip]
	f.mu.Unlock()
	if c == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}
