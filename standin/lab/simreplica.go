package lab

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"willowsill/lab/emulator"
	"willowsill/standin"
	"willowsill/transport/replica"
)

// simReplica is a stand-in replica that behaves in real time as the emulator's model of a replica does.
type simReplica struct {
	*testbed
	index   int
	speed   float64 // factor on the service time; below 1 for a fast replica
	workers chan struct{}

	mu            sync.Mutex // guards the fields below
	rng           *rand.Rand
	address       string
	closeListener func()
	startTime     time.Time // time of the last restart during the run; zero if there was none
	activeFaults  map[int]bool
	queued        int
	paused        chan struct{} // closed at the end of the current pause; nil outside pauses
}

func (b *simReplica) discoveryEntry(health string) standin.Host {
	h := standin.Host{Host: fmt.Sprint("s-", b.index), Dial: b.address, Cell: b.index % b.Shards(), Health: health, Share: 1}
	if !b.startTime.IsZero() {
		h.StartedAtMs = b.startTime.UnixMilli()
	}
	return h
}

// startListening starts to serve, at the previous address after a restart.
func (b *simReplica) startListening() error {
	address := b.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.address = l.Addr().String()
	standIn := &standin.Replica{Answer: b.answer}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		standIn.Serve(l)
	}()
	b.closeListener = func() {
		l.Close()
		<-ended
	}
	return nil
}

func (b *simReplica) stopListening() {
	if b.closeListener != nil {
		b.closeListener()
		b.closeListener = nil
	}
}

// activeFault returns the fault of a kind that currently affects this replica, if there is one.
func (b *simReplica) activeFault(kind string) (f emulator.Fault, active bool) {
	for i := range b.Faults {
		if b.activeFaults[i] && b.Faults[i].Kind == kind {
			return b.Faults[i], true
		}
	}
	return f, false
}

// isHung reports whether the replica accepts parts without replying: it hangs, or flaps and is in the hanging part of its period.
func (b *simReplica) isHung() bool {
	if _, hung := b.activeFault("hang"); hung {
		return true
	}
	f, flaps := b.activeFault("flap")
	return flaps && (b.runTime()-f.From)%f.Period < f.ActiveTime
}

func (b *simReplica) answer(ctx context.Context, p replica.Part) (replica.Reply, bool) {
	b.mu.Lock()
	b.recordPart(p, len(b.activeFaults) > 0)
	_, errs := b.activeFault("errors")
	hung := b.isHung()
	full := b.QueueLimit > 0 && b.queued >= b.QueueLimit
	if !errs && !hung && !full {
		b.queued++
	}
	b.mu.Unlock()
	switch {
	case errs:
		time.Sleep(time.Millisecond)
		return replica.Reply{ID: p.ID, Outcome: replica.Failed}, true
	case hung:
		<-ctx.Done()
		return replica.Reply{}, false
	case full:
		return replica.Reply{ID: p.ID, Outcome: replica.Rejected}, true
	}
	hasWorker := false
	select {
	case b.workers <- struct{}{}:
		hasWorker = true
		defer func() { <-b.workers }()
	case <-ctx.Done():
	}
	b.mu.Lock()
	b.queued--
	serviceTime := b.drawServiceTime()
	b.mu.Unlock()
	if !hasWorker || !b.doWork(ctx, serviceTime) {
		return replica.Reply{}, false
	}
	b.mu.Lock()
	_, lost := b.activeFault("silence")
	lost = lost || b.isHung()
	b.mu.Unlock()
	if lost {
		<-ctx.Done()
		return replica.Reply{}, false
	}
	return replica.Reply{ID: p.ID, Value: "v"}, true
}

// drawServiceTime draws a random service time from the emulator's distribution, lengthened by active faults and warm-up.
func (b *simReplica) drawServiceTime() time.Duration {
	t := float64(b.ServiceTime) * math.Exp(b.ServiceTimeSigma*b.rng.NormFloat64()) * b.speed
	if b.HeavyTailShare > 0 && b.rng.Float64() < b.HeavyTailShare {
		t *= math.Pow(1-b.rng.Float64(), -1/1.5)
	}
	if f, slow := b.activeFault("slow"); slow {
		t *= f.Slowdown
	}
	if age := int64(time.Since(b.startTime)); !b.startTime.IsZero() && age < b.WarmUpTime {
		t /= b.ColdCapacity + (1-b.ColdCapacity)*float64(age)/float64(b.WarmUpTime)
	}
	return time.Duration(min(t, 600e9))
}

// doWork waits until the given service time has passed, not counting pauses. It returns false if the context ends before.
func (b *simReplica) doWork(ctx context.Context, left time.Duration) bool {
	for {
		b.mu.Lock()
		resumed := b.paused
		b.mu.Unlock()
		if resumed != nil {
			select {
			case <-resumed:
				continue
			case <-ctx.Done():
				return false
			}
		}
		slice := min(left, 5*time.Millisecond) // a pause is noticed at most 5 ms too late
		began := time.Now()
		select {
		case <-time.After(slice):
		case <-ctx.Done():
			return false
		}
		if left -= time.Since(began); left <= 0 {
			return true
		}
	}
}

// updateDiscovery changes the replica's health in the discovery list after a random delay of one to two times ListDelay.
func (b *simReplica) updateDiscovery(health string) {
	b.mu.Lock()
	h, delay := b.discoveryEntry(health), b.ListDelay+b.rng.Int64N(b.ListDelay+1)
	b.mu.Unlock()
	time.AfterFunc(time.Duration(delay), func() { b.discovery.Change(h) })
}

// runFault applies one fault of the plan to this replica at its start time and removes it at its end time.
func (b *simReplica) runFault(faultIndex int) {
	f := b.Faults[faultIndex]
	time.Sleep(time.Until(b.runStart.Add(time.Duration(f.From))))
	b.mu.Lock()
	if b.activeFaults == nil {
		b.activeFaults = map[int]bool{}
	}
	b.activeFaults[faultIndex] = true
	b.mu.Unlock()
	switch f.Kind {
	case "restart":
		b.stopListening()
		b.updateDiscovery("left")
	case "drain":
		b.updateDiscovery("leaving")
	case "pause":
		b.pause(f)
	}
	time.Sleep(time.Until(b.runStart.Add(time.Duration(f.Until))))
	b.mu.Lock()
	delete(b.activeFaults, faultIndex)
	if f.Kind == "restart" {
		b.startTime = time.Now()
	}
	b.mu.Unlock()
	switch f.Kind {
	case "restart":
		if err := b.startListening(); err == nil {
			b.updateDiscovery("active")
		}
	case "drain":
		b.updateDiscovery("active")
	}
}

// pause stops all work for ActiveTime in each period of the fault.
func (b *simReplica) pause(f emulator.Fault) {
	for at := f.From; at < f.Until; at += max(f.Period, f.ActiveTime) {
		time.Sleep(time.Until(b.runStart.Add(time.Duration(at))))
		resumed := make(chan struct{})
		b.mu.Lock()
		b.paused = resumed
		b.mu.Unlock()
		time.Sleep(time.Duration(f.ActiveTime))
		b.mu.Lock()
		b.paused = nil
		b.mu.Unlock()
		close(resumed)
	}
}
