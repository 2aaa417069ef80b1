package register

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestOrdersKnowEachRevision adds orders in random sequence and compares with a map: the highest MaxOrders revisions are known
// with the sum that came first, and Covers is false for those left out.
func TestOrdersKnowEachRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var orders Orders
		model := map[uint64]uint64{}
		for range rapid.IntRange(0, 2*MaxOrders).Draw(t, "orders") {
			order := Order{rapid.Uint64Range(0, 1500).Draw(t, "revision"), rapid.Uint64().Draw(t, "sum")}
			if _, known := orders.Lookup(order.Revision); !known && !orders.Covers(order.Revision) {
				continue
			}
			before := string(orders)
			next := orders.Add(order)
			must.Eq(t, before, string(orders), must.Sprint("a list was changed in place"))
			if _, known := model[order.Revision]; !known {
				model[order.Revision] = order.Sum
			}
			orders = next
		}
		all := orders.All()
		must.LessEq(t, MaxOrders, len(all))
		must.Eq(t, min(MaxOrders, len(model)), len(all))
		for revision, sum := range model {
			got, known := orders.Lookup(revision)
			if known {
				must.Eq(t, sum, got)
			} else {
				must.False(t, orders.Covers(revision))
			}
		}
	})
}

// TestOrdersAreSmall bounds the packed size, since each Accept carries the list.
func TestOrdersAreSmall(t *testing.T) {
	var orders Orders
	for i := range uint64(3 * MaxOrders) {
		orders = orders.Add(Order{1_000_000 + 90*i, i})
	}
	must.LessEq(t, 2600, len(orders))
	must.Eq(t, MaxOrders, len(orders.All()))
}

// TestOrdersThatAreMalformed: arbitrary bytes in place of a list, from a disk or the wire, cause no panic.
func TestOrdersThatAreMalformed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		orders := Orders(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
		orders.Lookup(rapid.Uint64().Draw(t, "revision"))
		orders.Covers(7)
		must.LessEq(t, MaxOrders, len(orders.Add(Order{7, 7}).All()))
	})
}

// TestValueOfAnOlderVersion: this version decodes a value without orders, and an older version, whose value has no such
// field, decodes one with orders.
func TestValueOfAnOlderVersion(t *testing.T) {
	older := struct {
		Members  []string `cbor:"2,keyasint,omitempty"`
		Revision uint64   `cbor:"4,keyasint,omitempty"`
		Body     []byte   `cbor:"5,keyasint,omitempty"`
	}{[]string{"a"}, 7, []byte("seven")}
	packed, err := cbor.Marshal(older)
	must.NoError(t, err)
	var value Value
	must.NoError(t, cbor.Unmarshal(packed, &value))
	must.Eq(t, Value{Members: []string{"a"}, Revision: 7, Body: []byte("seven")}, value)
	value.Orders = value.Orders.Add(Order{7, 1})
	packed, err = cbor.Marshal(value)
	must.NoError(t, err)
	must.NoError(t, cbor.Unmarshal(packed, &older))
	must.Eq(t, 7, older.Revision)
}

// TestKnownValueComesWithoutOrders: an acceptor omits the orders where the asker holds the same value, and the proposer fills
// in its own.
func TestKnownValueComesWithoutOrders(t *testing.T) {
	value := Value{Members: []string{"a"}, Revision: 7, Body: []byte("seven"), Orders: Orders{}.Add(Order{7, 1})}
	held := State{Promised: Ballot{3, "x"}, Accepted: Ballot{3, "x"}, Value: value}
	disk := Acceptor{held, true}
	p := NewProposer("b/1", value, func() float64 { return 0 })
	p.CacheState(held)
	var seen Value
	_, out := p.Edit(0, func(v Value) (Value, bool) { seen = v; return v, false })
	answer, _, _ := disk.Step(out.Send)
	must.True(t, answer.BodyOmitted)
	must.SliceEmpty(t, answer.State.Value.Orders)
	done := p.Step(0, "a", answer)
	must.SliceLen(t, 1, done.Done)
	must.Eq(t, value, seen)
	must.Eq(t, value, done.Done[0].Value)
}
