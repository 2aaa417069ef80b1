package node

import "willowsill/transport/replica"

// Carrier takes parts to replicas and brings back what became of them. Its methods are for the loop alone; what its
// goroutines have to tell comes through the loop's queue to Note. A ticket's end is seen just once: Note reports it, or
// the loop gives it up.
type Carrier interface {
	Address(replica int, dial string)                 // where a replica is reached from now on
	Leave(replica int)                                // nothing new goes there
	Left(replica int) bool                            // nothing is out there, and nothing held
	Call(replica int, tickets []*replica.Ticket) bool // false without room
	Withdraw(t *replica.Ticket) bool                  // true where it never left, and never will
	GiveUp(t *replica.Ticket, tell bool) bool         // the same, and else the wait for it ends
	Release(replica int)                              // idle connections are given back
	Note(v any) (ended []replica.Report, trouble error)
	Sweep()
	Close()
	Open() int // connections that have not ended
}

// notice is what a carrier has to tell.
type notice struct{ what any }

// frames carries parts in frames, as the platform's replicas take them.
type frames struct{ *replica.Pool }

func (f frames) Note(v any) ([]replica.Report, error) {
	n := v.(replica.Notice)
	return f.Pool.Note(n), n.Err
}
