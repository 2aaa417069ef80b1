// Package watch brings updates of the cluster's state from one process to those that follow it: from controllers to
// agents, from agents to the agents below them and to the proxy on the same machine. It owns the links; when a feeder is
// left is decided by decide/follower.
package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/decide/follower"
	"willowsill/decide/lending"
	"willowsill/transport/peer"
)

const (
	beatEvery    = 300 * time.Millisecond  // between two messages of a feeder
	silentAfter  = 1000 * time.Millisecond // three messages left out, and the feeder is lost
	sayEvery     = time.Second             // between two reports of a follower,
	saySoon      = 200 * time.Millisecond  // or where they hold evidence of an active rollout
	followerGone = 5 * time.Second         // without a report, and the follower is
	nextAfter    = 100 * time.Millisecond  // before the next feeder is tried
	stayFor      = 5 * time.Second         // before a follower goes back to the feeder that it should have,
	firstStay    = sayEvery                // or from the first one in its life, which it chose before it knew any other
)

// Message is what a feeder says. Without an update it only says that it is there, and how fresh its state is.
//
// Danger: relays that called themselves fresh could follow each other in a circle, each content with the other, and hear
// nothing ever again. So freshness begins at a controller, and relays pass it on grown by the time that it lay with them.
type Message struct {
	Update    *clusterstate.Update    `cbor:"1,keyasint,omitempty"`
	InContact bool                    `cbor:"2,keyasint,omitempty"` // in contact with a majority; for followers of the former version
	Freshness *clusterstate.Freshness `cbor:"3,keyasint,omitempty"` // nil from a feeder of the former version
	Lending   *lending.Message        `cbor:"4,keyasint,omitempty"` // for this follower alone
}

// inContactWithin is the age up to which followers of the former version are told that the feeder is in contact.
const inContactWithin = 2 * time.Second

func newMessage(u *clusterstate.Update, fresh clusterstate.Freshness) Message {
	return Message{Update: u, InContact: fresh.Known && fresh.Age < int64(inContactWithin), Freshness: &fresh}
}

// freshness is what the message says; a feeder of the former version says only whether it is in contact.
func (m Message) freshness() clusterstate.Freshness {
	if m.Freshness == nil {
		return clusterstate.Freshness{Known: m.InContact}
	}
	return *m.Freshness
}

// Report is what a follower says, again and again: of itself, of those that follow it, and which configuration it holds.
type Report struct {
	Self     controller.EdgeReport   `cbor:"1,keyasint"`
	Below    []controller.EdgeReport `cbor:"2,keyasint,omitempty"`
	Revision uint64                  `cbor:"3,keyasint,omitempty"` // of the configuration held; its body need not come again
	Changes  bool                    `cbor:"4,keyasint,omitempty"` // takes differences between fleets
	Lending  *lending.Message        `cbor:"5,keyasint,omitempty"`
}

// Operator tells whether this is an operator who looks on, and no edge.
func (h Report) Operator() bool { return h.Self.Edge.IP == "" }

// All are the follower and those below it.
func (h Report) All() []controller.EdgeReport { return append(h.Below, h.Self) }

// every is the time until the next report.
func (h Report) every() time.Duration {
	evidence := func(e controller.EdgeReport) bool { return len(e.Rollouts) > 0 }
	if evidence(h.Self) || slices.ContainsFunc(h.Below, evidence) {
		return saySoon
	}
	return sayEvery
}

// Feed is the set of those who follow.
type Feed struct {
	mu    sync.Mutex
	links map[*peer.Link]bool // whether the follower takes differences between fleets
}

// Join adds a follower and gives it the snapshot, without the body of a configuration that it holds already. Join and
// Publish are called in the order of what they tell.
func (f *Feed) Join(l *peer.Link, report Report, snapshot clusterstate.Update, fresh clusterstate.Freshness) {
	f.mu.Lock()
	if f.links == nil {
		f.links = map[*peer.Link]bool{}
	}
	f.links[l] = report.Changes
	f.mu.Unlock()
	if report.Revision >= snapshot.Revision {
		snapshot.Body = nil
	}
	l.Say(newMessage(&snapshot, fresh))
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

// Publish tells all who follow; a nil update is a sign of life.
func (f *Feed) Publish(update *clusterstate.Update, fresh clusterstate.Freshness) {
	f.mu.Lock()
	defer f.mu.Unlock()
	frames := map[bool]peer.Frame{} // by whether the follower takes differences
	for l, changes := range f.links {
		frame, made := frames[changes]
		if !made {
			if frame = encode(update, fresh, changes); frame == nil {
				return
			}
			frames[changes] = frame
		}
		l.Send(frame)
	}
}

// encode makes the frame for followers that take differences between fleets, or for those that do not; nil, and a line
// in the log, where that fails.
func encode(update *clusterstate.Update, fresh clusterstate.Freshness, changes bool) peer.Frame {
	if update != nil {
		told := update.ForWire(changes)
		update = &told
	}
	frame, err := peer.Encode(newMessage(update, fresh))
	if err != nil {
		klog.ErrorS(err, "an update cannot be encoded")
		return nil
	}
	return frame
}

// Beats publishes signs of life until ctx ends.
func (f *Feed) Beats(ctx context.Context, fresh func() clusterstate.Freshness) {
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f.Publish(nil, fresh())
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

// Follower keeps one link to a feeder. Its functions are called by the goroutine of Run.
type Follower struct {
	Report    func() Report
	Addresses func() []string                    // feeders to try, the best first
	Take      func(clusterstate.Update) bool     // false where it cannot be used and a snapshot is needed
	Sign      func(fresh clusterstate.Freshness) // a message came, and said this of the feeder; nil where nobody wants it
	Note      func(lending.Message)              // the feeder said what it lends and wants; nil where nobody wants it

	mu     sync.Mutex // guards what follows
	base   time.Time
	decide follower.Follower
}

// now is the follower's steady clock, ns. The caller holds mu.
func (f *Follower) now() int64 {
	if f.base.IsZero() {
		f.base = time.Now().Add(-time.Hour)
	}
	return int64(time.Since(f.base))
}

// Freshness is how fresh the state held here is, for those that follow in turn.
func (f *Follower) Freshness() clusterstate.Freshness {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decide.Freshness(f.now())
}

func (f *Follower) connected(alternatives int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decide.Connected(f.now(), alternatives)
}

func (f *Follower) disconnected() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decide.Disconnected()
}

func (f *Follower) heard(fresh clusterstate.Freshness) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decide.HandleFreshness(f.now(), fresh)
}

func (f *Follower) leave() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decide.ShouldLeave(f.now())
}

// report sends a report and returns the time until the next. What a Follower's Take is given may hold differences between
// fleets.
func (f *Follower) report(l *peer.Link) time.Duration {
	r := f.Report()
	r.Changes = true
	l.Say(r)
	return r.every()
}

// Run follows one feeder after the other until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	stay := firstStay
	for n := 0; ctx.Err() == nil; {
		if addresses := f.Addresses(); len(addresses) > 0 {
			n %= len(addresses)
			lost := f.follow(ctx, addresses[n], len(addresses)-1, stay)
			stay = stayFor
			f.disconnected()
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

// follow tells whether the feeder was lost; else it was left, after stay at the earliest, for one that should be followed
// instead.
func (f *Follower) follow(ctx context.Context, address string, alternatives int, stay time.Duration) (lost bool) {
	l, err := peer.Dial(ctx, address)
	if err != nil {
		klog.V(1).InfoS("a feeder cannot be reached", "address", address, "err", err.Error())
		return true
	}
	defer l.Close()
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	next := f.report(l)
	f.connected(alternatives)
	began := time.Now()
	said := began
	for {
		var m Message
		if err := l.Receive(&m, silentAfter); err != nil {
			klog.InfoS("a feeder is lost", "address", address, "err", err.Error())
			return true
		}
		f.heard(m.freshness())
		if m.Lending != nil {
			if f.Note != nil {
				f.Note(*m.Lending)
			}
			continue
		}
		if m.Update != nil && !f.Take(*m.Update) {
			klog.InfoS("a snapshot is asked for again", "address", address)
			return false
		}
		if f.Sign != nil && (m.Update == nil || m.Update.Snapshot) {
			f.Sign(f.Freshness())
		}
		if f.leave() {
			klog.InfoS("a feeder is cut off from the others", "address", address)
			return true
		}
		now := time.Now()
		if now.Sub(said) > next {
			said = now
			next = f.report(l)
			if a := f.Addresses(); now.Sub(began) >= stay && len(a) > 0 && a[0] != address {
				klog.InfoS("another feeder is to be followed", "address", address, "next", a[0])
				return false
			}
		}
	}
}
