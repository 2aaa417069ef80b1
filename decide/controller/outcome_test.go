package controller

import (
	"bytes"
	"compress/flate"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
	"willowsill/decide/register"
)

// packedOrder returns an order as PutConfiguration makes it.
func packedOrder(revision uint64, content string) *order {
	return newOrder(revision, packedContent(content))
}

// TestVerdicts applies orders to a value with revision 9 in force and revision 5 recorded, and checks their outcomes.
func TestVerdicts(t *testing.T) {
	var held register.Value
	for _, o := range []*order{packedOrder(5, "five"), packedOrder(9, "nine")} {
		held, _ = o.apply(held)
	}
	for _, c := range []struct {
		name     string
		order    *order
		changes  bool
		outcome  OrderOutcome
		revision uint64
	}{
		{"a higher revision", packedOrder(12, "twelve"), true, OutcomeInForce, 12},
		{"the order in force, sent again", packedOrder(9, "nine"), false, OutcomeInForce, 9},
		{"other content under the revision in force", packedOrder(9, "other"), false, OutcomeConflict, 9},
		{"a superseded order, sent again", packedOrder(5, "five"), false, OutcomeSuperseded, 9},
		{"other content under a superseded revision", packedOrder(5, "other"), false, OutcomeConflict, 9},
		{"a lower revision that was never stored", packedOrder(7, "seven"), true, OutcomeSuperseded, 9},
		{"the content in force under a lower revision", packedOrder(7, "nine"), true, OutcomeSuperseded, 9},
	} {
		next, changed := c.order.apply(held)
		must.Eq(t, c.changes, changed, must.Sprint(c.name))
		must.Eq(t, c.outcome, c.order.outcome(next), must.Sprint(c.name))
		must.Eq(t, c.revision, next.Revision, must.Sprint(c.name))
		again, changed := c.order.apply(next) // a repeated round applies the order again
		must.False(t, changed, must.Sprint(c.name))
		must.Eq(t, next, again, must.Sprint(c.name))
	}
	must.Eq(t, OutcomeUnknown, packedOrder(12, "twelve").outcome(held))
}

// TestOrderOlderThanTheRecord checks that an order older than all recorded ones is acknowledged and changes nothing.
func TestOrderOlderThanTheRecord(t *testing.T) {
	var value register.Value
	for i := range uint64(register.MaxOrders + 10) {
		value, _ = packedOrder(100+i, "content").apply(value)
	}
	old := packedOrder(102, "other")
	_, changed := old.apply(value)
	must.False(t, changed)
	must.Eq(t, OutcomeSuperseded, old.outcome(value))
	must.Eq(t, OutcomeConflict, packedOrder(110, "other").outcome(value))
	must.Eq(t, OutcomeSuperseded, packedOrder(110, "content").outcome(value))
}

// TestContentIsKnownHoweverItIsPacked checks that the sum of a content does not depend on how it is packed: an order
// that is sent again may reach a controller of a version that packs differently.
func TestContentIsKnownHoweverItIsPacked(t *testing.T) {
	content := bytes.Repeat([]byte("route "), 100)
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.HuffmanOnly)
	must.NoError(t, err)
	_, err = w.Write(content)
	must.NoError(t, err)
	must.NoError(t, w.Close())
	usual := clusterstate.Pack(content)
	must.NotEq(t, usual, packed.Bytes())
	must.Eq(t, contentSum(usual), contentSum(packed.Bytes()))
	must.NotEq(t, contentSum(usual), contentSum(clusterstate.Pack([]byte("other"))))
}
