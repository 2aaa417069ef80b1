package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-body"] = slowBody }

// The bound of the rule LOST, and the figures of the case.
const (
	excusedUntil = 3 * time.Second // a request sent until then after the SIGTERM is excused while its replica works

	slowDeadline  = 8 * time.Second
	slowBodyBytes = 200_000
	slowPieces    = 10
	slowClients   = 12
)

// upload is a request whose body comes over a slow link.
type upload struct {
	attempt  string
	complete time.Time // when its last byte was sent
	answer   answer
}

// slowBody stops a machine in order while clients send it long bodies over slow links: each request is complete only late in the grace
// period.
func slowBody(r *run) (broken bool, err error) {
	f := newFleet(r, 3, 2)
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return false, err
	}
	for n := range 6 {
		s, err := startReplica(r, f, fmt.Sprint("i-", n), "ledger", n, 160*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer s.stop()
	}
	config := configuration(1, []route{{name: "debit", prefix: "/debit/", unsafe: true, deadlineMs: int(slowDeadline.Milliseconds()), tries: 1, service: "ledger"}}, []string{"ledger"})
	if err := f.configure(config, 20*time.Second); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	if a := ask(f.front(0), "/debit/first", "first", slowDeadline, []byte("amount=1")); a.status != 200 {
		return false, fmt.Errorf("the first request: %v", a)
	}
	stopped := time.Now().Add(200 * time.Millisecond)
	var wg sync.WaitGroup
	var all []*upload
	for n := range slowClients {
		all = append(all, &upload{attempt: fmt.Sprint("debit-", n), complete: stopped.Add(5400*time.Millisecond + time.Duration(n)*15*time.Millisecond)})
	}
	for _, u := range all {
		wg.Go(func() { u.send(r, f.front(0), stopped) })
	}
	time.Sleep(time.Until(stopped))
	if r.trouble {
		r.note("SIGTERM to proxy and agent of the first machine")
		f.signal("proxy", f.fronts[0], syscall.SIGTERM)
		f.signal("agent", f.fronts[0], syscall.SIGTERM)
	}
	wg.Wait()
	lost := 0
	for _, u := range all {
		at := u.complete.Sub(stopped)
		if runs := r.runsOf(u.attempt); u.answer.status == 0 && runs > 0 && at > excusedUntil {
			lost++
			r.note("LOST: %s was sent %d ms after the SIGTERM and has run %d times; its client has %v", u.attempt, at.Milliseconds(), runs, u.answer)
		}
	}
	r.note("%d of %d requests have run and were not answered", lost, len(all))
	return lost > 0, nil
}

// send connects, sends the request in pieces so that its last byte goes out when it is to be complete, and reads the answer.
func (u *upload) send(r *run, address string, stopped time.Time) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		u.answer = answer{err: err}
		return
	}
	defer c.Close()
	text := requestText("/debit/"+u.attempt, u.attempt, slowDeadline, bytes.Repeat([]byte("amount=1&"), slowBodyBytes/9))
	pause := time.Until(u.complete) / (slowPieces - 1)
	for k := range slowPieces {
		if k > 0 {
			time.Sleep(pause)
		}
		if _, err := c.Write(text[k*len(text)/slowPieces : (k+1)*len(text)/slowPieces]); err != nil {
			u.answer = answer{err: err}
			return
		}
	}
	u.complete = time.Now()
	r.quiet("client has sent the last byte of %s, %d ms after the machine is told to stop", u.attempt, u.complete.Sub(stopped).Milliseconds())
	u.answer = readReply(c, bufio.NewReader(c), slowDeadline)
	r.quiet("client of %s has %v", u.attempt, u.answer)
}
