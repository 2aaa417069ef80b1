// Package startsoak restarts the daemons of a small system, as real processes on loopback addresses, while their ports are held,
// their settings files are written, their disks are away and their descriptors are few. All of this passes after a while, so no
// process may end by itself, and all of them have to serve in the end. One seed draws the whole run.
package startsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"willowsill/lab/localsettings"
	"willowsill/transport/controlclient"
)

const (
	controllers = 3
	edges       = 2                      // machines with an agent and a proxy each
	maxTrouble  = 4 * time.Second        // longest time for which something is held, missing or incomplete
	maxPause    = 400 * time.Millisecond // longest time between two events
	serveWait   = 20 * time.Second       // time for all daemons to serve after the last event
	stopWait    = 10 * time.Second       // time for a daemon to end after SIGTERM
	pollPause   = 20 * time.Millisecond
	signalPause = 500 * time.Microsecond // between two signals of a series
	configured  = `{"revision":1,"routes":[],"services":[],"limits":{}}`
)

// Options describe a run.
type Options struct {
	Seed   uint64
	Events int                 // restarts
	Ports  localsettings.Ports // first port of the run
	Dir    string              // folder for settings, data and logs
}

// Finding is a process that ended by itself, or that doesn't serve after all troubles have passed.
type Finding struct {
	Daemon string `json:"daemon"`
	What   string `json:"what"`
	Log    string `json:"log"` // file with the daemon's log
}

func (f Finding) String() string { return fmt.Sprintf("%s: %s (log: %s)", f.Daemon, f.What, f.Log) }

// Report is the result of a run.
type Report struct {
	Seed     uint64         `json:"seed"`
	Troubles map[string]int `json:"troubles"` // restarts by what was in the way
	Findings []Finding      `json:"findings"`
}

// run is the state of a run.
type run struct {
	options Options
	random  *rand.Rand
	daemons []*daemon
	report  Report
}

// Run plays one seed with this program as the daemons: it must call rehearsal.RunChild when it starts.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{options: options, random: rand.New(rand.NewPCG(options.Seed, 0)), report: Report{Seed: options.Seed, Troubles: map[string]int{}}}
	defer r.stopAll()
	if err := r.startAll(ctx); err != nil {
		return r.report, err
	}
	for range options.Events {
		if ctx.Err() != nil {
			return r.report, ctx.Err()
		}
		if err := r.restart(r.daemons[r.random.IntN(len(r.daemons))]); err != nil {
			return r.report, err
		}
		time.Sleep(r.upTo(maxPause))
	}
	r.awaitService(ctx)
	for _, d := range r.daemons {
		if what, ended := d.endedByItself(); ended {
			r.find(d, what)
		}
	}
	return r.report, nil
}

// upTo draws a duration.
func (r *run) upTo(longest time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(longest)))
}

func (r *run) find(d *daemon, what string) {
	r.report.Findings = append(r.report.Findings, Finding{Daemon: d.name(), What: what, Log: d.logFile()})
}

// startAll starts the daemons without trouble and sends a configuration, so that proxies become ready.
func (r *run) startAll(ctx context.Context) error {
	var control []string
	for i := range controllers {
		control = append(control, r.options.Ports.Control(fmt.Sprintf("127.0.8.%d", i+1)))
	}
	add := func(role, ip string) error {
		d := &daemon{role: role, ip: ip, ports: r.options.Ports, seeds: control, dir: r.options.Dir}
		r.daemons = append(r.daemons, d)
		if err := d.prepare(); err != nil {
			return err
		}
		return d.start(0)
	}
	for i := range controllers {
		if err := add(controllerRole, fmt.Sprintf("127.0.8.%d", i+1)); err != nil {
			return err
		}
	}
	for i := range edges {
		for _, role := range []string{agentRole, proxyRole} {
			if err := add(role, fmt.Sprintf("127.0.8.%d", controllers+i+1)); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, serveWait)
	defer cancel()
	client := controlclient.Client{Addresses: control}
	return client.SendConfiguration(ctx, []byte(configured))
}

// restart ends a daemon, as a crash or in order, and starts it again in the middle of a trouble.
func (r *run) restart(d *daemon) error {
	if what, ended := d.endedByItself(); ended {
		r.find(d, what)
	} else if r.random.IntN(2) == 0 {
		d.kill()
	} else if err := d.stop(); err != nil {
		r.find(d, err.Error())
	}
	d.troubles.Wait() // a trouble ends by putting back what it found
	kinds := troublesOf(d.role)
	kind := kinds[r.random.IntN(len(kinds))]
	r.report.Troubles[kind.name]++
	trouble, err := kind.begin(d, r.random)
	if err != nil {
		return fmt.Errorf("%s at %s: %w", kind.name, d.name(), err)
	}
	duration := r.upTo(maxTrouble)
	d.troubles.Go(func() {
		time.Sleep(duration)
		trouble.end()
	})
	if err := d.start(trouble.descriptors); err != nil {
		return err
	}
	if trouble.signals > 0 {
		if err := d.awaitLoaded(); err != nil {
			return err
		}
	}
	for range trouble.signals {
		d.process.Process.Signal(syscall.SIGHUP)
		time.Sleep(signalPause)
	}
	return nil
}

// awaitService waits until each daemon serves. A daemon that was started with few descriptors is started again first.
func (r *run) awaitService(ctx context.Context) {
	for _, d := range r.daemons {
		d.troubles.Wait()
		if d.descriptors == 0 {
			continue
		}
		if what, ended := d.endedByItself(); ended {
			r.find(d, what)
		}
		d.kill()
		if err := d.start(0); err != nil {
			r.find(d, err.Error())
		}
	}
	until := time.Now().Add(serveWait)
	for _, d := range r.daemons {
		for !d.serves() {
			if time.Now().After(until) || ctx.Err() != nil {
				r.find(d, "does not serve though all troubles have passed")
				break
			}
			time.Sleep(pollPause)
		}
	}
}

// stopAll kills all processes and lets the troubles end.
func (r *run) stopAll() {
	for _, d := range r.daemons {
		d.kill()
		d.troubles.Wait()
	}
}
