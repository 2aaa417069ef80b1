package register

import (
	"encoding/binary"
	"slices"
)

// MaxOrders is the number of orders that a value remembers, those with the highest revisions.
const MaxOrders = 256

// sumBytes is the length of one sum in packed Orders.
const sumBytes = 8

// Order identifies a configuration that an operator sent: its revision and a sum of its content.
type Order struct {
	Revision uint64
	Sum      uint64
}

// Orders is the packed list of the orders that were confirmed, with one content for each revision. It is part of the value,
// so it is as durable as the configuration, and every proposer decides by the same list. Each Accept carries it, so it is
// packed: by ascending revision, the difference to the previous revision as a varint, then the sum in 8 bytes. That takes 9
// to 10 bytes for an order and at most 2.5 KB. It is never changed in place.
type Orders []byte

// All unpacks the list. A malformed entry and all after it are left out.
func (o Orders) All() []Order {
	var all []Order
	revision := uint64(0)
	for rest := []byte(o); len(rest) > 0; {
		delta, size := binary.Uvarint(rest)
		if size <= 0 || len(rest) < size+sumBytes || delta == 0 && len(all) > 0 || revision+delta < revision {
			break
		}
		revision += delta
		all = append(all, Order{revision, binary.BigEndian.Uint64(rest[size:])})
		rest = rest[size+sumBytes:]
	}
	return all
}

// Lookup returns the sum of the content that was confirmed under a revision. known is false where none was confirmed, or
// where it is no longer remembered (see Covers).
func (o Orders) Lookup(revision uint64) (sum uint64, known bool) {
	all := o.All()
	i, known := findRevision(all, revision)
	if !known {
		return 0, false
	}
	return all[i].Sum, true
}

// Covers reports whether the list goes back as far as a revision. If it does and Lookup does not know the revision, then no
// order was confirmed under it.
func (o Orders) Covers(revision uint64) bool {
	all := o.All()
	return len(all) < MaxOrders || revision > all[0].Revision
}

// Add returns the list with the order added, or unchanged where it has the revision already. Of more than MaxOrders the
// lowest revision is left out.
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

// findRevision returns the index of a revision in orders sorted by revision, or where it would be inserted, and whether it
// is there.
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
