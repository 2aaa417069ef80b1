package node

import "willowsill/transport/replica"

// Transport takes parts to replicas and brings back what became of them. Its methods are for the loop alone; what its
// goroutines have to tell comes through the loop's queue to Note. A ticket's end is seen just once: Note reports it, or
// the loop gives it up.
type Transport interface {
	SetAddress(replica int, dial string)              // where a replica is reached from now on
	Retire(replica int)                               // nothing new goes there
	Drained(replica int) bool                         // nothing is out there, and nothing held
	Send(replica int, tickets []*replica.Ticket) bool // false without room
	Withdraw(t *replica.Ticket) bool                  // true where it never left, and never will
	Abandon(t *replica.Ticket, tell bool) bool        // the same, and else the wait for it ends
	CloseIdle(replica int)                            // idle connections are given back
	Handle(v any) (ended []replica.Report, trouble error)
	Sweep()
	Close()
	OpenConnections() int // connections that have not ended
}

// transportEvent is what a carrier has to tell.
type transportEvent struct{ payload any }

// frameTransport carries parts in frames, as the platform's replicas take them.
type frameTransport struct{ *replica.Pool }

func (f frameTransport) Handle(v any) ([]replica.Report, error) {
	n := v.(replica.Notice)
	return f.Pool.Handle(n), n.Err
}
