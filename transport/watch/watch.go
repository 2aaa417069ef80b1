// Package watch distributes updates of the cluster's state: from controllers to agents, and from an agent to
// its downstream agents and to the proxy on the same machine. It owns the links. decide/follower decides when a
// process leaves its upstream for another one.
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
	"willowsill/transport/boundedread"
	"willowsill/transport/peer"
)

const (
	heartbeatInterval     = 300 * time.Millisecond  // time between two heartbeats to the downstream edges
	upstreamTimeout       = 1000 * time.Millisecond // an upstream that is silent for this time counts as lost: three heartbeats are missing
	reportInterval        = time.Second             // time between two reports to the upstream
	rolloutReportInterval = 200 * time.Millisecond  // time between two reports while they hold evidence of an active rollout
	downstreamTimeout     = 5 * time.Second         // a downstream link without a report for this time is closed
	retryDelay            = 100 * time.Millisecond  // wait before the next upstream is tried
	minStay               = 5 * time.Second         // how long a process stays with an upstream before it returns to its preferred one
	// firstMinStay replaces minStay for the first upstream after the start, which was chosen before any other was
	// known.
	firstMinStay = reportInterval
)

// Message is what a process sends downstream. Without an update it is a heartbeat that states how fresh the
// sender's state is.
//
// Danger: relays that declared themselves fresh could form a cycle of upstreams in which none receives updates
// and none notices. So freshness originates at a controller, and each relay adds the time that it has held the
// state before it passes the freshness on.
type Message struct {
	Update    *clusterstate.Update    `cbor:"1,keyasint,omitempty"`
	InContact bool                    `cbor:"2,keyasint,omitempty"` // the sender is in contact with a majority; read only by edges of the former version
	Freshness *clusterstate.Freshness `cbor:"3,keyasint,omitempty"` // nil if the sender is of the former version
	Lending   *lending.Message        `cbor:"4,keyasint,omitempty"` // requests and loans for the receiving edge alone
}

// maxContactAge is the age of the state up to which InContact is set, for edges of the former version.
const maxContactAge = 2 * time.Second

func newMessage(u *clusterstate.Update, fresh clusterstate.Freshness) Message {
	return Message{Update: u, InContact: fresh.Known && fresh.Age < int64(maxContactAge), Freshness: &fresh}
}

// freshness returns the freshness that the message states. A sender of the former version states only whether
// it is in contact.
func (m Message) freshness() clusterstate.Freshness {
	if m.Freshness == nil {
		return clusterstate.Freshness{Known: m.InContact}
	}
	return *m.Freshness
}

// Report is what an edge periodically sends to its upstream: its own state, that of its downstream edges, and
// the revision of its configuration.
type Report struct {
	Self           controller.EdgeReport   `cbor:"1,keyasint"`
	Downstream     []controller.EdgeReport `cbor:"2,keyasint,omitempty"`
	Revision       uint64                  `cbor:"3,keyasint,omitempty"` // revision of the configuration that the edge holds, whose body is not sent to it again
	AcceptsChanges bool                    `cbor:"4,keyasint,omitempty"` // the edge can apply changes of the fleet; otherwise it needs the whole fleet
	Lending        *lending.Message        `cbor:"5,keyasint,omitempty"`
}

// IsOperator reports whether the sender is an operator's watch and not an edge.
func (r Report) IsOperator() bool { return r.Self.Edge.IP == "" }

// All returns the sender's own report and those of its downstream edges.
func (r Report) All() []controller.EdgeReport { return append(r.Downstream, r.Self) }

// interval returns the time until the next report.
func (r Report) interval() time.Duration {
	evidence := func(e controller.EdgeReport) bool { return len(e.Rollouts) > 0 }
	if evidence(r.Self) || slices.ContainsFunc(r.Downstream, evidence) {
		return rolloutReportInterval
	}
	return reportInterval
}

// Feed is the set of downstream links that updates are published to.
type Feed struct {
	mu    sync.Mutex
	links map[*peer.Link]bool // for each link, whether its edge accepts changes of the fleet
}

// Join adds a link and sends it the snapshot, without the body of the configuration if the edge already holds
// it. The caller must make calls of Join and Publish in the order of the states that they send.
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

// Leave removes a link, which then gets no more updates.
func (f *Feed) Leave(l *peer.Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.links, l)
}

// Count returns the number of links.
func (f *Feed) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.links)
}

// Publish sends an update to all links. A nil update sends a heartbeat.
func (f *Feed) Publish(update *clusterstate.Update, fresh clusterstate.Freshness) {
	f.mu.Lock()
	defer f.mu.Unlock()
	frames := map[bool]peer.Frame{} // a frame for edges that accept changes of the fleet, and one for those that don't
	for l, acceptsChanges := range f.links {
		frame, encoded := frames[acceptsChanges]
		if !encoded {
			if frame = encode(update, fresh, acceptsChanges); frame == nil {
				return
			}
			frames[acceptsChanges] = frame
		}
		l.Send(frame)
	}
}

// encode returns the frame for edges that accept changes of the fleet, or for those that don't. It logs an
// error and returns nil if the update cannot be encoded.
func encode(update *clusterstate.Update, fresh clusterstate.Freshness, acceptsChanges bool) peer.Frame {
	if update != nil {
		wireUpdate := update.ForWire(acceptsChanges)
		update = &wireUpdate
	}
	frame, err := peer.Encode(newMessage(update, fresh))
	if err != nil {
		klog.ErrorS(err, "an update cannot be encoded")
		return nil
	}
	return frame
}

// SendHeartbeats publishes a heartbeat every heartbeatInterval until ctx ends.
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

// ReceiveReports receives the reports of a downstream edge until its link fails or stays silent for
// downstreamTimeout. onFirst is called with the first report, onReport with every one.
func ReceiveReports(l *peer.Link, onFirst func(Report), onReport func(Report)) {
	for first := true; ; first = false {
		var report Report
		if l.Receive(&report, downstreamTimeout) != nil {
			return
		}
		if first {
			onFirst(report)
		}
		onReport(report)
	}
}

// Upstream keeps one link to an upstream process. Run calls the functions from its goroutine.
type Upstream struct {
	Report    func() Report
	Addresses func() []string     // addresses of possible upstreams in order of preference
	Frames    *boundedread.Budget // memory for the upstream's messages; nil for no limit
	// Apply applies an update, which may hold changes of the fleet. It returns false if it cannot be applied and a
	// snapshot is needed.
	Apply func(clusterstate.Update) bool
	// OnFreshness is called after each heartbeat and snapshot with the freshness of the state held here; nil if
	// unused.
	OnFreshness func(fresh clusterstate.Freshness)
	// OnLending is called with each lending message of the upstream; nil if unused.
	OnLending func(lending.Message)

	mu      sync.Mutex // guards base and decider
	base    time.Time
	decider follower.Follower
}

// now is a monotonic clock, ns. The caller holds mu.
func (u *Upstream) now() int64 {
	if u.base.IsZero() {
		u.base = time.Now().Add(-time.Hour)
	}
	return int64(time.Since(u.base))
}

// Freshness returns how fresh the state held here is, for the messages to downstream edges.
func (u *Upstream) Freshness() clusterstate.Freshness {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.decider.Freshness(u.now())
}

func (u *Upstream) connected(alternatives int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.decider.Connected(u.now(), alternatives)
}

func (u *Upstream) disconnected() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.decider.Disconnected()
}

func (u *Upstream) recordFreshness(fresh clusterstate.Freshness) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.decider.HandleFreshness(u.now(), fresh)
}

func (u *Upstream) shouldLeave() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.decider.ShouldLeave(u.now())
}

// sendReport sends a report and returns the time until the next one.
func (u *Upstream) sendReport(l *peer.Link) time.Duration {
	r := u.Report()
	r.AcceptsChanges = true
	l.SendMessage(r)
	return r.interval()
}

// Run keeps a link to one upstream after another until ctx ends.
func (u *Upstream) Run(ctx context.Context) {
	stay := firstMinStay
	for next := 0; ctx.Err() == nil; {
		if addresses := u.Addresses(); len(addresses) > 0 {
			next %= len(addresses)
			lost := u.receive(ctx, addresses[next], len(addresses)-1, stay)
			stay = minStay
			u.disconnected()
			if next++; !lost {
				next = 0
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// receive connects to an upstream and applies its messages. It returns true if the upstream was lost or has no
// contact with the controllers, so that the next one is tried. It returns false if the caller should
// connect to the preferred upstream: because that is another one and this one was kept for stay, or because an
// update could not be applied and a new connection starts with a snapshot.
func (u *Upstream) receive(ctx context.Context, address string, alternatives int, stay time.Duration) (lost bool) {
	l, err := peer.Dial(ctx, address, u.Frames)
	if err != nil {
		klog.V(1).InfoS("a feeder cannot be reached", "address", address, "err", err.Error())
		return true
	}
	defer l.Close()
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	reportIn := u.sendReport(l)
	u.connected(alternatives)
	connectedAt := time.Now()
	lastReport := connectedAt
	for {
		var m Message
		if err := l.Receive(&m, upstreamTimeout); err != nil {
			klog.InfoS("a feeder is lost", "address", address, "err", err.Error())
			return true
		}
		u.recordFreshness(m.freshness())
		if m.Lending != nil {
			if u.OnLending != nil {
				u.OnLending(*m.Lending)
			}
			continue
		}
		if m.Update != nil && !u.Apply(*m.Update) {
			klog.InfoS("an update cannot be applied; a snapshot is requested", "address", address)
			return false
		}
		if u.OnFreshness != nil && (m.Update == nil || m.Update.Snapshot) {
			u.OnFreshness(u.Freshness())
		}
		if u.shouldLeave() {
			klog.InfoS("a feeder is cut off from the others", "address", address)
			return true
		}
		now := time.Now()
		if now.Sub(lastReport) > reportIn {
			lastReport = now
			reportIn = u.sendReport(l)
			if a := u.Addresses(); now.Sub(connectedAt) >= stay && len(a) > 0 && a[0] != address {
				klog.InfoS("another feeder is to be followed", "address", address, "next", a[0])
				return false
			}
		}
	}
}
