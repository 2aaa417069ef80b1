package controller

import (
	"fmt"

	"willowsill/decide/clusterstate"
	"willowsill/decide/register"
)

// Statuses of HTTP that callers are answered.
const (
	statusOK          = 200
	statusNotFound    = 404
	statusConflict    = 409 // ends the operator's call
	statusUnavailable = 503 // has the operator try another controller
)

// OrderOutcome is what became of an operator's order. It is read off the value that is known to stand on a majority
// once the order's round has ended, never off an earlier look at a value that may still be replaced.
type OrderOutcome uint8

// The verdicts.
const (
	OutcomeUnknown    OrderOutcome = iota // the value says nothing of the order: it may yet be taken or not
	OutcomeInForce                        // the value holds this content under this revision
	OutcomeSuperseded                     // a higher revision is held, and no other content was confirmed under this one
	OutcomeConflict                       // another content was confirmed under this revision
)

// order is one configuration as an operator sent it.
type order struct {
	register.Order
	packed []byte // the content as clusterstate.Pack gave it
}

func newOrder(revision uint64, packed []byte) *order {
	return &order{register.Order{Revision: revision, Sum: contentSum(packed)}, packed}
}

// ConfigurationOf identifies the configuration that a value holds, by its revision and the sum of its content; the zero
// Order where it holds none. A revision alone identifies none: disks may have accepted several contents under it, of
// which one at most is committed.
func ConfigurationOf(value register.Value) register.Order {
	if value.Revision == 0 {
		return register.Order{}
	}
	sum, _ := ordersWithCurrent(value).Lookup(value.Revision)
	return register.Order{Revision: value.Revision, Sum: sum}
}

// contentSum is the sum of a packed content as the operator sent it. A sum of the packed form
// would not do: another version of the program may pack the same bytes otherwise, and an order that was
// confirmed by the one must be recognised by the other.
func contentSum(packed []byte) uint64 {
	content, ok := clusterstate.Unpack(packed)
	if !ok {
		content = packed
	}
	return clusterstate.ContentSum(content)
}

// ordersWithCurrent returns the orders of a value with the one in force among them.
//
// It guards against a version of the program that keeps no orders: a value that it wrote lacks the newest, whose
// sum can still be had from the content held.
func ordersWithCurrent(value register.Value) register.Orders {
	if value.Revision == 0 {
		return value.Orders
	}
	if _, known := value.Orders.Lookup(value.Revision); known {
		return value.Orders
	}
	return value.Orders.Add(register.Order{Revision: value.Revision, Sum: contentSum(value.Body)})
}

// apply is the order as an edit of the register; it may run several times, each time on a newer value. The
// configuration changes where the revision is above the one held. Also an order that comes too late for that is
// recorded before it is confirmed, lest another content be confirmed under its revision afterwards.
func (o *order) apply(value register.Value) (next register.Value, changed bool) {
	orders := ordersWithCurrent(value)
	if _, known := orders.Lookup(o.Revision); known {
		return value, false // sent again, or another content came first
	}
	if o.Revision <= value.Revision && !orders.Covers(o.Revision) {
		return value, false // too old to be remembered
	}
	if o.Revision > value.Revision {
		value.Revision, value.Body = o.Revision, o.packed
	}
	value.Orders = orders.Add(o.Order)
	return value, true
}

// outcome tells what became of the order by the value that stands.
func (o *order) outcome(value register.Value) OrderOutcome {
	sum, known := ordersWithCurrent(value).Lookup(o.Revision)
	switch {
	case known && sum != o.Sum:
		return OutcomeConflict
	case o.Revision > value.Revision:
		return OutcomeUnknown
	case o.Revision == value.Revision:
		return OutcomeInForce
	}
	return OutcomeSuperseded
}

// answerOrder tells an operator what became of an order.
func (c *Controller) answerOrder(call *pendingCall, value register.Value) {
	switch verdict := call.order.outcome(value); verdict {
	case OutcomeInForce, OutcomeSuperseded:
		c.answer(call, statusOK, nil, "")
	case OutcomeConflict:
		c.answer(call, statusConflict, nil, fmt.Sprintf("revision %d was confirmed with another content", call.order.Revision))
	default:
		c.answer(call, statusUnavailable, nil, "it is not known what became of the configuration")
	}
}
