package controller

import (
	"bytes"
	"compress/flate"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
	"willowsill/decide/register"
)

// packedOrder is an order as Put makes it.
func packedOrder(revision uint64, content string) *order {
	return newOrder(revision, packedContent(content))
}

// TestVerdicts applies orders to a value that holds number 9 and knows number 5, and reads off what became of them.
func TestVerdicts(t *testing.T) {
	var held register.Value
	for _, o := range []*order{packedOrder(5, "five"), packedOrder(9, "nine")} {
		held, _ = o.apply(held)
	}
	for _, c := range []struct {
		name     string
		order    *order
		changes  bool
		verdict  OrderOutcome
		revision uint64
	}{
		{"a higher number", packedOrder(12, "twelve"), true, OutcomeInForce, 12},
		{"sent again while held", packedOrder(9, "nine"), false, OutcomeInForce, 9},
		{"another content under the number held", packedOrder(9, "other"), false, OutcomeConflict, 9},
		{"sent again once overtaken", packedOrder(5, "five"), false, OutcomeSuperseded, 9},
		{"another content under a number that was taken", packedOrder(5, "other"), false, OutcomeConflict, 9},
		{"a lower number that was never taken", packedOrder(7, "seven"), true, OutcomeSuperseded, 9},
		{"the content held under another number", packedOrder(7, "nine"), true, OutcomeSuperseded, 9},
	} {
		next, changed := c.order.apply(held)
		must.Eq(t, c.changes, changed, must.Sprint(c.name))
		must.Eq(t, c.verdict, c.order.outcome(next), must.Sprint(c.name))
		must.Eq(t, c.revision, next.Revision, must.Sprint(c.name))
		again, changed := c.order.apply(next) // a round that is run again
		must.False(t, changed, must.Sprint(c.name))
		must.Eq(t, next, again, must.Sprint(c.name))
	}
	must.Eq(t, OutcomeUnknown, packedOrder(12, "twelve").outcome(held))
}

// TestOrderOlderThanTheRecord: what the record reaches no longer is acknowledged, changes nothing and writes nothing.
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

// TestContentIsKnownHoweverItIsPacked: an order that is sent again may reach a version that packs otherwise.
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
