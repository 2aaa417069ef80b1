package controller

import (
	"fmt"

	"willowsill/decide/clusterstate"
	"willowsill/decide/register"
)

// HTTP statuses of answers.
const (
	statusOK          = 200
	statusNotFound    = 404
	statusConflict    = 409 // ends the operator's call
	statusUnavailable = 503 // has the operator try another controller
)

// OrderOutcome is the result of an operator's order to store a configuration. It is derived from the committed value
// after the order's round has ended, never from an earlier value that may still be replaced.
type OrderOutcome uint8

// The outcomes of an order, as the committed value shows them.
const (
	OutcomeUnknown    OrderOutcome = iota // the value does not contain the order; it may still be committed later
	OutcomeInForce                        // the value holds this content under this revision
	OutcomeSuperseded                     // the value holds a higher revision, and no other content has this one
	OutcomeConflict                       // other content was confirmed under this revision
)

// order is a configuration that an operator wants stored, identified by its revision and the sum of its content.
type order struct {
	register.Order
	packed []byte // the content, packed by clusterstate.Pack
}

func newOrder(revision uint64, packed []byte) *order {
	return &order{register.Order{Revision: revision, Sum: contentSum(packed)}, packed}
}

// ConfigurationOf returns the revision and the content sum of the configuration in a value, or the zero Order if it has
// none. A revision alone does not identify a configuration: disks may have accepted different contents under it, of
// which at most one is committed.
func ConfigurationOf(value register.Value) register.Order {
	if value.Revision == 0 {
		return register.Order{}
	}
	sum, _ := ordersWithCurrent(value).Lookup(value.Revision)
	return register.Order{Revision: value.Revision, Sum: sum}
}

// contentSum returns the sum of packed content in its unpacked form. A sum of the packed form would not identify the
// content: another version of the program may pack the same bytes differently, and each version must recognise an
// order that the other has confirmed.
func contentSum(packed []byte) uint64 {
	content, ok := clusterstate.Unpack(packed)
	if !ok {
		content = packed
	}
	return clusterstate.ContentSum(content)
}

// ordersWithCurrent returns the recorded orders of a value and adds the one in force if it is not recorded.
//
// A version of the program that keeps no orders writes values without the newest one. Its sum is then computed from the
// configuration in the value.
func ordersWithCurrent(value register.Value) register.Orders {
	if value.Revision == 0 {
		return value.Orders
	}
	if _, known := value.Orders.Lookup(value.Revision); known {
		return value.Orders
	}
	return value.Orders.Add(register.Order{Revision: value.Revision, Sum: contentSum(value.Body)})
}

// apply is the edit of the register that stores the order. It may run several times, each time on a newer value. The
// configuration changes if the order's revision is above the one in the value. An order with a lower revision is still
// recorded before it is confirmed, so that no other content can be confirmed under its revision later.
func (o *order) apply(value register.Value) (next register.Value, changed bool) {
	orders := ordersWithCurrent(value)
	if _, known := orders.Lookup(o.Revision); known {
		return value, false // the same order was sent again, or other content came first
	}
	if o.Revision <= value.Revision && !orders.Covers(o.Revision) {
		return value, false // older than all recorded orders
	}
	if o.Revision > value.Revision {
		value.Revision, value.Body = o.Revision, o.packed
	}
	value.Orders = orders.Add(o.Order)
	return value, true
}

// outcome returns the result of the order according to a committed value.
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

// answerOrder answers the operator whose order was in the round that committed this value.
func (c *Controller) answerOrder(call *pendingCall, value register.Value) {
	switch outcome := call.order.outcome(value); outcome {
	case OutcomeInForce, OutcomeSuperseded:
		c.answer(call, statusOK, nil, "")
	case OutcomeConflict:
		c.answer(call, statusConflict, nil, fmt.Sprintf("revision %d was confirmed with another content", call.order.Revision))
	default:
		c.answer(call, statusUnavailable, nil, "it is not known what became of the configuration")
	}
}
