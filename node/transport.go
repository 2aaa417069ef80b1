package node

import "willowsill/transport/replica"

// Transport sends parts to replicas and reports how they ended. Only the loop calls it; its goroutines send their
// events through the queue of the loop to Handle. The end of a ticket is seen once: either Handle reports it, or
// Withdraw or Abandon returns it to the loop.
type Transport interface {
	SetAddress(replica int, dial string)                  // sets the address of a replica for new connections
	Retire(replica int)                                   // sends nothing new there
	Drained(replica int) bool                             // no execution is under way there and no connection is left
	Send(replica int, tickets []*replica.Ticket) bool     // false if there is no capacity for a connection
	Withdraw(t *replica.Ticket) bool                      // true if the part was not sent, and never will be
	Abandon(t *replica.Ticket, notify bool) bool          // like Withdraw, but also ends the wait for a part that was sent
	CloseIdle(replica int)                                // closes idle connections to a replica
	Handle(v any) (ended []replica.Report, trouble error) // handles an event of its own goroutines
	Sweep()                                               // closes connections that were idle for too long
	Close()
	OpenConnections() int // connections that have not ended
}

// transportEvent carries an event of a transport to its Handle.
type transportEvent struct{ payload any }

// frameTransport sends parts in framed messages, the protocol of the platform's replicas.
type frameTransport struct{ *replica.Pool }

func (f frameTransport) Handle(v any) ([]replica.Report, error) {
	n := v.(replica.Event)
	return f.Pool.Handle(n), n.Err
}
