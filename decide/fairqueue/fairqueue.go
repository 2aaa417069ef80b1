// Package fairqueue keeps queries that wait for room, and says which is next, so that one customer's crowd does not keep out
// the others. It does no I/O and reads no clock.
//
// Decides: who may wait, who goes next, and who has waited too long.
//
// Customers take turns by what they were served: each has a virtual time that grows with every query served, by the inverse of
// its weight, and the one with the least goes next. Within a customer the oldest goes first; one whose time to wait is over is
// dropped from the front and never from the back, for the newest has the most time left.
package fairqueue

import (
	"cmp"
	"slices"
)

const maxCustomers = 4096 // whose turns are remembered; beyond that those who have nothing waiting are forgotten

// Limits bound the queue.
type Limits struct {
	MaxWaiting       int     // queries that wait
	MaxCustomerShare float64 // share of them that one customer may have
}

// Item is one query that waits.
type Item struct {
	Customer string
	Weight   float64 // of its customer: twice the weight, twice the turns; at or below 0 counts as 1
	Deadline int64   // it waits no longer, ns
	Handle   any     // the caller's
}

type customer struct {
	name        string
	virtualTime float64 // virtual time served
	items       []Item
}

// Queue is the queue. Its zero value is not usable; see New.
type Queue struct {
	Limits
	customers   map[string]*customer
	waiting     int
	virtualTime float64 // of the last one served: who comes anew starts here, and saves nothing up
}

// New makes an empty queue.
func New(t Limits) *Queue { return &Queue{Limits: t, customers: map[string]*customer{}} }

// Len is how many wait.
func (q *Queue) Len() int { return q.waiting }

// Push has a query wait. With the queue full it takes the place of the oldest of the customer with the most waiting, if
// that is another's; that one is returned as dropped. False means that there is no place for it.
//
// Danger: in a full queue that turns newcomers away, the one who filled it would have it to himself.
func (q *Queue) Push(now int64, it Item) (dropped []Item, taken bool) {
	if it.Deadline <= now {
		return nil, false
	}
	dropped = q.Expire(now)
	c := q.customer(it.Customer)
	if float64(len(c.items)+1) > max(q.MaxCustomerShare*float64(q.MaxWaiting), 1) {
		return dropped, false
	}
	if q.waiting >= q.MaxWaiting {
		longest := q.mostWaiting()
		if longest == nil || len(longest.items) <= len(c.items)+1 {
			return dropped, false
		}
		dropped = append(dropped, longest.items[0])
		longest.items = longest.items[1:]
		q.waiting--
	}
	if len(c.items) == 0 {
		c.virtualTime = max(c.virtualTime, q.virtualTime)
	}
	c.items = append(c.items, it)
	q.waiting++
	return dropped, true
}

// Pop takes the next query out, if any waits.
func (q *Queue) Pop(now int64) (next Item, late []Item, ok bool) {
	late = q.Expire(now)
	var first *customer
	for _, c := range q.customers {
		if len(c.items) > 0 && (first == nil || cmp.Or(cmp.Compare(c.virtualTime, first.virtualTime), cmp.Compare(c.name, first.name)) < 0) {
			first = c
		}
	}
	if first == nil {
		return Item{}, late, false
	}
	next = first.items[0]
	first.items = first.items[1:]
	q.waiting--
	q.virtualTime = first.virtualTime
	weight := next.Weight
	if weight <= 0 {
		weight = 1
	}
	first.virtualTime += 1 / weight
	return next, late, true
}

// Expire takes out all whose time to wait is over.
func (q *Queue) Expire(now int64) (late []Item) {
	for _, c := range q.customers {
		c.items = slices.DeleteFunc(c.items, func(it Item) bool {
			over := it.Deadline <= now
			if over {
				late = append(late, it)
			}
			return over
		})
	}
	q.waiting -= len(late)
	slices.SortStableFunc(late, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.Customer, b.Customer))
	})
	return late
}

// Remove takes a query out whose caller waits no longer, by its load; false where it is not there.
func (q *Queue) Remove(name string, load any) bool {
	c := q.customers[name]
	if c == nil {
		return false
	}
	i := slices.IndexFunc(c.items, func(it Item) bool { return it.Handle == load })
	if i < 0 {
		return false
	}
	c.items = slices.Delete(c.items, i, i+1)
	q.waiting--
	return true
}

// NextDeadline is when the first waiting query is late, or 0 where none waits.
func (q *Queue) NextDeadline() (at int64) {
	for _, c := range q.customers {
		for _, it := range c.items {
			if at == 0 || it.Deadline < at {
				at = it.Deadline
			}
		}
	}
	return at
}

func (q *Queue) customer(name string) *customer {
	c := q.customers[name]
	if c == nil {
		if len(q.customers) >= maxCustomers {
			for other, old := range q.customers {
				if len(old.items) == 0 {
					delete(q.customers, other)
				}
			}
		}
		c = &customer{name: name, virtualTime: q.virtualTime}
		q.customers[name] = c
	}
	return c
}

func (q *Queue) mostWaiting() (most *customer) {
	for _, c := range q.customers {
		if most == nil || cmp.Or(cmp.Compare(len(c.items), len(most.items)), cmp.Compare(most.name, c.name)) > 0 {
			most = c
		}
	}
	return most
}
