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
	heartbeatInterval     = 300 * time.Millisecond  // between two messages of a feeder
	upstreamTimeout       = 1000 * time.Millisecond // three messages left out, and the feeder is lost
	reportInterval        = time.Second             // between two reports of a follower,
	rolloutReportInterval = 200 * time.Millisecond  // or where they hold evidence of an active rollout
	downstreamTimeout     = 5 * time.Second         // without a report, and the follower is
	retryDelay            = 100 * time.Millisecond  // before the next feeder is tried
	minStay               = 5 * time.Second         // before a follower goes back to the feeder that it should have,
	firstMinStay          = reportInterval          // or from the first one in its life, which it chose before it knew any other
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

// maxContactAge is the age up to which followers of the former version are told that the feeder is in contact.
const maxContactAge = 2 * time.Second

func newMessage(u *clusterstate.Update, fresh clusterstate.Freshness) Message {
	return Message{Update: u, InContact: fresh.Known && fresh.Age < int64(maxContactAge), Freshness: &fresh}
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
	Self           controller.EdgeReport   `cbor:"1,keyasint"`
	Downstream     []controller.EdgeReport `cbor:"2,keyasint,omitempty"`
	Revision       uint64                  `cbor:"3,keyasint,omitempty"` // of the configuration held; its body need not come again
	AcceptsChanges bool                    `cbor:"4,keyasint,omitempty"` // takes differences between fleets
	Lending        *lending.Message        `cbor:"5,keyasint,omitempty"`
}

// IsOperator tells whether this is an operator who looks on, and no edge.
func (h Report) IsOperator() bool { return h.Self.Edge.IP == "" }

// All are the follower and those below it.
func (h Report) All() []controller.EdgeReport { return append(h.Downstream, h.Self) }

// interval is the time until the next report.
func (h Report) interval() time.Duration {
	evidence := func(e controller.EdgeReport) bool { return len(e.Rollouts) > 0 }
	if evidence(h.Self) || slices.ContainsFunc(h.Downstream, evidence) {
		return rolloutReportInterval
	}
	return reportInterval
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
	f.links[l] = report.AcceptsChanges
	f.mu.Unlock()
	if report.Revision >= snapshot.Revision {
		snapshot.Body = nil
	}
	l.SendMessage(newMessage(&snapshot, fresh))
}

// Leave removes a follower.
func (f *Feed) Leave(l *peer.Link) {
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

// SendHeartbeats publishes signs of life until ctx ends.
func (f *Feed) SendHeartbeats(ctx context.Context, fresh func() clusterstate.Freshness) {
	t := time.NewTicker(heartbeatInterval)
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

// ReceiveReports takes a follower's words until it is gone; join is called with the first, here with every one.
func ReceiveReports(l *peer.Link, onFirst func(Report), onReport func(Report)) {
	for first := true; ; first = false {
		var h Report
		if l.Receive(&h, downstreamTimeout) != nil {
			return
		}
		if first {
			onFirst(h)
		}
		onReport(h)
	}
}

// Upstream keeps one link to a feeder. Its functions are called by the goroutine of Run.
type Upstream struct {
	Report      func() Report
	Addresses   func() []string                    // feeders to try, the best first
	Apply       func(clusterstate.Update) bool     // false where it cannot be used and a snapshot is needed
	OnFreshness func(fresh clusterstate.Freshness) // a message came, and said this of the feeder; nil where nobody wants it
	OnLending   func(lending.Message)              // the feeder said what it lends and wants; nil where nobody wants it

	mu      sync.Mutex // guards what follows
	base    time.Time
	decider follower.Follower
}

// now is the follower's steady clock, ns. The caller holds mu.
func (f *Upstream) now() int64 {
	if f.base.IsZero() {
		f.base = time.Now().Add(-time.Hour)
	}
	return int64(time.Since(f.base))
}

// Freshness is how fresh the state held here is, for those that follow in turn.
func (f *Upstream) Freshness() clusterstate.Freshness {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decider.Freshness(f.now())
}

func (f *Upstream) connected(alternatives int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decider.Connected(f.now(), alternatives)
}

func (f *Upstream) disconnected() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decider.Disconnected()
}

func (f *Upstream) recordFreshness(fresh clusterstate.Freshness) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decider.HandleFreshness(f.now(), fresh)
}

func (f *Upstream) shouldLeave() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decider.ShouldLeave(f.now())
}

// sendReport sends a report and returns the time until the next. What a Follower's Take is given may hold differences between
// fleets.
func (f *Upstream) sendReport(l *peer.Link) time.Duration {
	r := f.Report()
	r.AcceptsChanges = true
	l.SendMessage(r)
	return r.interval()
}

// Run follows one feeder after the other until ctx ends.
func (f *Upstream) Run(ctx context.Context) {
	stay := firstMinStay
	for n := 0; ctx.Err() == nil; {
		if addresses := f.Addresses(); len(addresses) > 0 {
			n %= len(addresses)
			lost := f.receive(ctx, addresses[n], len(addresses)-1, stay)
			stay = minStay
			f.disconnected()
			if n++; !lost {
				n = 0
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// receive tells whether the feeder was lost; else it was left, after stay at the earliest, for one that should be followed
// instead.
func (f *Upstream) receive(ctx context.Context, address string, alternatives int, stay time.Duration) (lost bool) {
	l, err := peer.Dial(ctx, address)
	if err != nil {
		klog.V(1).InfoS("a feeder cannot be reached", "address", address, "err", err.Error())
		return true
	}
	defer l.Close()
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	next := f.sendReport(l)
	f.connected(alternatives)
	began := time.Now()
	said := began
	for {
		var m Message
		if err := l.Receive(&m, upstreamTimeout); err != nil {
			klog.InfoS("a feeder is lost", "address", address, "err", err.Error())
			return true
		}
		f.recordFreshness(m.freshness())
		if m.Lending != nil {
			if f.OnLending != nil {
				f.OnLending(*m.Lending)
			}
			continue
		}
		if m.Update != nil && !f.Apply(*m.Update) {
			klog.InfoS("a snapshot is asked for again", "address", address)
			return false
		}
		if f.OnFreshness != nil && (m.Update == nil || m.Update.Snapshot) {
			f.OnFreshness(f.Freshness())
		}
		if f.shouldLeave() {
			klog.InfoS("a feeder is cut off from the others", "address", address)
			return true
		}
		now := time.Now()
		if now.Sub(said) > next {
			said = now
			next = f.sendReport(l)
			if a := f.Addresses(); now.Sub(began) >= stay && len(a) > 0 && a[0] != address {
				klog.InfoS("another feeder is to be followed", "address", address, "next", a[0])
				return false
			}
		}
	}
}
