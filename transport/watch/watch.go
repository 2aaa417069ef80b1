// Package watch brings news from one process to those that follow it: from controllers to agents, from
// agents to the agents below them and to the proxy on the same machine. It decides nothing but whom to
// follow next when a feeder falls silent.
package watch

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/transport/peer"
)

const (
	beatEvery    = 300 * time.Millisecond  // between two words of a feeder
	silentAfter  = 1000 * time.Millisecond // three words left out
	unsettledFor = 1000 * time.Millisecond // a feeder that is itself cut off for so long is left for another
	sayEvery     = time.Second             // between two words of a follower
	followerGone = 5 * time.Second
	nextAfter    = 100 * time.Millisecond
	stayFor      = 5 * time.Second // before a follower goes back to the feeder that it should have
)

// Message is what a feeder says; without a notice it only says that it is there.
//
// Danger: relays that said so of themselves could follow each other in a circle, each content with the other,
// and hear nothing ever again. So that word comes from a controller, and relays only pass it on.
type Message struct {
	Notice  *clusterstate.Update `cbor:"1,keyasint,omitempty"`
	Settled bool                 `cbor:"2,keyasint,omitempty"` // in touch with most controllers
}

// Report is what a follower says, again and again: of itself, and of those that follow it.
type Report struct {
	Self  controller.EdgeReport   `cbor:"1,keyasint"`
	Below []controller.EdgeReport `cbor:"2,keyasint,omitempty"`
}

// All are the follower and those below it.
func (h Report) All() []controller.EdgeReport { return append(h.Below, h.Self) }

// Feed is the set of those who follow.
type Feed struct {
	mu    sync.Mutex
	links map[*peer.Link]struct{}
}

// Join adds a follower and gives it the whole book. Join and Publish are called in the order of what they
// tell.
func (f *Feed) Join(l *peer.Link, whole clusterstate.Update, settled bool) {
	f.mu.Lock()
	if f.links == nil {
		f.links = map[*peer.Link]struct{}{}
	}
	f.links[l] = struct{}{}
	f.mu.Unlock()
	l.Say(Message{&whole, settled})
}

// Part removes a follower.
func (f *Feed) Part(l *peer.Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.links, l)
}

// Count is how many follow.
func (f *Feed) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.links)
}

// Publish tells all who follow; nil for a sign of life.
func (f *Feed) Publish(n *clusterstate.Update, settled bool) {
	frame, err := peer.Encode(Message{n, settled})
	if err != nil {
		klog.ErrorS(err, "a notice cannot be encoded")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.links {
		l.Send(frame)
	}
}

// Beats publishes signs of life until ctx ends.
func (f *Feed) Beats(ctx context.Context, settled func() bool) {
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f.Publish(nil, settled())
		}
	}
}

// Attend takes a follower's words until it is gone; join is called with the first, here with every one.
func Attend(l *peer.Link, join func(Report), here func(Report)) {
	for first := true; ; first = false {
		var h Report
		if l.Receive(&h, followerGone) != nil {
			return
		}
		if first {
			join(h)
		}
		here(h)
	}
}

// Follower keeps one link to a feeder.
type Follower struct {
	Report    func() Report
	Addresses func() []string                // feeders to try, the best first
	Take      func(clusterstate.Update) bool // false where it cannot be used and the whole book is needed
	Beat      func(settled bool)             // a sign of life came, nil where nobody wants it
	mu        sync.Mutex
	settled   bool
}

// Settled tells whether the feeder followed now is in touch with most controllers.
func (f *Follower) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settled
}

func (f *Follower) set(s bool) {
	f.mu.Lock()
	f.settled = s
	f.mu.Unlock()
}

// Run follows one feeder after the other until ctx ends.
//
// Danger: a feeder that is cut off from the others goes on saying that it is there. It is left once another
// may know more.
func (f *Follower) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; {
		if addresses := f.Addresses(); len(addresses) > 0 {
			n %= len(addresses)
			lost := f.follow(ctx, addresses[n], len(addresses) > 1)
			f.set(false)
			if n++; !lost {
				n = 0
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(nextAfter):
		}
	}
}

// follow tells whether the feeder was lost; else it was left for one that should be followed instead.
func (f *Follower) follow(ctx context.Context, address string, others bool) (lost bool) {
	l, err := peer.Dial(ctx, address)
	if err != nil {
		klog.V(1).InfoS("a feeder cannot be reached", "address", address, "err", err.Error())
		return true
	}
	defer l.Close()
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	l.Say(f.Report())
	began := time.Now()
	said, settledAt := began, began
	for {
		var p Message
		if err := l.Receive(&p, silentAfter); err != nil {
			klog.InfoS("a feeder is lost", "address", address, "err", err.Error())
			return true
		}
		f.set(p.Settled)
		if p.Notice != nil {
			if !f.Take(*p.Notice) {
				klog.InfoS("the whole book is asked for again", "address", address)
				return false
			}
		} else if f.Beat != nil {
			f.Beat(p.Settled)
		}
		now := time.Now()
		if p.Settled || !others {
			settledAt = now
		} else if now.Sub(settledAt) > unsettledFor {
			klog.InfoS("a feeder is cut off from the others", "address", address)
			return true
		}
		if now.Sub(said) > sayEvery {
			said = now
			l.Say(f.Report())
			if a := f.Addresses(); now.Sub(began) > stayFor && len(a) > 0 && a[0] != address {
				klog.InfoS("another feeder is to be followed", "address", address, "next", a[0])
				return false
			}
		}
	}
}
