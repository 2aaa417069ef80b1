package register

import (
	"encoding/binary"
	"slices"
)

// MaxOrders is how many orders a value remembers, the highest revisions.
const MaxOrders = 256

// sumBytes is the length of one sum in a record.
const sumBytes = 8

// Order names one order of an operator: the revision that it carried and a sum of its content.
type Order struct {
	Revision uint64
	Sum      uint64
}

// Orders is the record of the orders that were confirmed: one content a revision. It is a part of the value, so
// it is as durable as the configuration and every proposer decides by the same one. It travels with each Accept
// and is packed for that: by ascending revision the difference to the one before as a varint, then the sum in 8
// bytes, 9 to 10 bytes an order and 2.5 KB at most. It is never changed in place.
type Orders []byte

// All unpacks the record. What is malformed, and all behind it, is left out.
func (o Orders) All() []Order {
	var all []Order
	revision := uint64(0)
	for rest := []byte(o); len(rest) > 0; {
		step, size := binary.Uvarint(rest)
		if size <= 0 || len(rest) < size+sumBytes || step == 0 && len(all) > 0 || revision+step < revision {
			break
		}
		revision += step
		all = append(all, Order{revision, binary.BigEndian.Uint64(rest[size:])})
		rest = rest[size+sumBytes:]
	}
	return all
}

// Lookup returns the sum of the content that was confirmed under a revision. known is false where none was, or
// where it is remembered no longer (see Reaches).
func (o Orders) Lookup(revision uint64) (sum uint64, known bool) {
	all := o.All()
	i, known := findRevision(all, revision)
	if !known {
		return 0, false
	}
	return all[i].Sum, true
}

// Covers tells whether the record goes back as far as a revision: if it does and Lookup knows nothing of the
// revision, then no order was confirmed under it.
func (o Orders) Covers(revision uint64) bool {
	all := o.All()
	return len(all) < MaxOrders || revision > all[0].Revision
}

// Add returns the record with an order whose revision it does not hold yet. Past OrdersKept the lowest revision
// is left out.
func (o Orders) Add(order Order) Orders {
	all := o.All()
	i, known := findRevision(all, order.Revision)
	if known {
		return o
	}
	all = slices.Insert(all, i, order)
	if len(all) > MaxOrders {
		all = all[len(all)-MaxOrders:]
	}
	return packOrders(all)
}

// findRevision is where a revision stands, or belongs, in orders sorted by revision.
func findRevision(all []Order, revision uint64) (int, bool) {
	return slices.BinarySearchFunc(all, revision, func(o Order, revision uint64) int {
		switch {
		case o.Revision < revision:
			return -1
		case o.Revision > revision:
			return 1
		}
		return 0
	})
}

func packOrders(all []Order) Orders {
	packed := make(Orders, 0, len(all)*(sumBytes+2))
	revision := uint64(0)
	for _, order := range all {
		packed = binary.AppendUvarint(packed, order.Revision-revision)
		packed = binary.BigEndian.AppendUint64(packed, order.Sum)
		revision = order.Revision
	}
	return packed
}
