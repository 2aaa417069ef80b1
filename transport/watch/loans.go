package watch

import (
	"sync"
	"time"

	"willowsill/decide/clusterstate"
	"willowsill/decide/lending"
	"willowsill/transport/peer"
)

// upstreamNeighbor is the neighbor that a process follows itself; its followers are known by their IPs.
const upstreamNeighbor lending.Neighbor = "feeder"

// Loans passes on what edges lend each other, between those that follow this process and its own feeder.
type Loans struct {
	startedAt time.Time
	mu        sync.Mutex
	relay     *lending.Relay
}

// NewLoans makes Loans of a bound that is judged over a window of so many ns.
func NewLoans(window int64) *Loans {
	return &Loans{startedAt: time.Now(), relay: lending.NewRelay(lending.DefaultTiming(window))}
}

func (l *Loans) now() int64 { return int64(time.Since(l.startedAt)) }

// HandleReport takes in a follower's report and answers it, where there is anything to say; fresh is what is said beside it.
func (l *Loans) HandleReport(link *peer.Link, report Report, fresh clusterstate.Freshness) {
	from := lending.Neighbor(report.Self.Edge.IP)
	l.mu.Lock()
	if report.Lending != nil {
		l.relay.Handle(l.now(), from, *report.Lending)
	}
	note := l.relay.NextMessage(l.now(), from)
	l.mu.Unlock()
	if note.Empty() {
		return
	}
	m := newMessage(nil, fresh)
	m.Lending = &note
	link.SendMessage(m)
}

// HandleUpstream takes in what the feeder says.
func (l *Loans) HandleUpstream(note lending.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relay.Handle(l.now(), upstreamNeighbor, note)
}

// UpstreamMessage is what the feeder is told, nil for nothing.
func (l *Loans) UpstreamMessage() *lending.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	note := l.relay.NextMessage(l.now(), upstreamNeighbor)
	if note.Empty() {
		return nil
	}
	return &note
}
