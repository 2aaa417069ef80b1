package watch

import (
	"sync"
	"time"

	"willowsill/decide/clusterstate"
	"willowsill/decide/lending"
	"willowsill/transport/peer"
)

// upstreamNeighbor is the key of this process's upstream in the relay. Downstream edges have their IPs as keys.
const upstreamNeighbor lending.Neighbor = "feeder"

// Loans relays requests for retry budget and the loans that answer them, between the downstream edges and the
// upstream.
type Loans struct {
	startedAt time.Time
	mu        sync.Mutex
	relay     *lending.Relay
}

// NewLoans returns a relay for a retry budget that is accounted over a window of the given length, ns.
func NewLoans(window int64) *Loans {
	return &Loans{startedAt: time.Now(), relay: lending.NewRelay(lending.DefaultTiming(window))}
}

func (l *Loans) now() int64 { return int64(time.Since(l.startedAt)) }

// HandleReport handles the lending part of a downstream edge's report. If messages for that edge are
// waiting, it sends them on the link, together with this process's freshness.
func (l *Loans) HandleReport(link *peer.Link, report Report, fresh clusterstate.Freshness) {
	from := lending.Neighbor(report.Self.Edge.IP)
	l.mu.Lock()
	if report.Lending != nil {
		l.relay.Handle(l.now(), from, *report.Lending)
	}
	message := l.relay.NextMessage(l.now(), from)
	l.mu.Unlock()
	if message.Empty() {
		return
	}
	m := newMessage(nil, fresh)
	m.Lending = &message
	link.SendMessage(m)
}

// HandleUpstream handles a lending message from the upstream.
func (l *Loans) HandleUpstream(message lending.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relay.Handle(l.now(), upstreamNeighbor, message)
}

// UpstreamMessage returns the next lending message for the upstream, nil if there is none.
func (l *Loans) UpstreamMessage() *lending.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	message := l.relay.NextMessage(l.now(), upstreamNeighbor)
	if message.Empty() {
		return nil
	}
	return &message
}
