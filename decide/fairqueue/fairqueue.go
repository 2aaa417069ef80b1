// Package fairqueue holds queries that wait for free capacity and chooses the next one, so that a customer with many queries
// can't block the others. It does no I/O and reads no clock.
//
// Decides: which queries may wait, which one is next, and which have waited too long.
//
// The order is weighted fair queuing. Each customer has a virtual time that grows with every query served, by the inverse of
// the customer's weight, and the customer with the lowest virtual time is next. Within a customer the oldest query is next.
// If a customer has to lose a query, it is the oldest one too, because the newest has the most time left.
package fairqueue

import (
	"cmp"
	"slices"
)

const maxCustomers = 4096 // customers whose virtual time is kept; with more, those without waiting queries are dropped

// Limits bound the queue.
type Limits struct {
	MaxWaiting       int     // maximum number of waiting queries
	MaxCustomerShare float64 // maximum fraction of MaxWaiting that one customer may have waiting
}

// Item is a waiting query.
type Item struct {
	Customer string
	Weight   float64 // weight of the customer: twice the weight gets twice the turns; 0 or less counts as 1
	Deadline int64   // time in ns until which the query may wait
	Handle   any     // returned unchanged to the caller, which identifies the query by it
}

// customer is a customer with its waiting queries, the oldest first.
type customer struct {
	name        string
	virtualTime float64 // sum of the inverse weights of the served queries
	items       []Item
}

// Queue is a fair queue. The zero value isn't usable; see New.
type Queue struct {
	Limits
	customers   map[string]*customer
	waiting     int
	virtualTime float64 // virtual time of the last customer served; a customer that returns starts here, so it can't save up turns
}

// New returns an empty queue.
func New(limits Limits) *Queue { return &Queue{Limits: limits, customers: map[string]*customer{}} }

// Len returns how many queries wait.
func (q *Queue) Len() int { return q.waiting }

// Push adds a query. If the queue is full, the query replaces the oldest query of the customer with the most waiting,
// provided that customer then still has at least as many waiting as this one. The replaced query is returned in dropped,
// together with expired ones. Push returns false if there is no place for the query.
//
// Danger: if a full queue simply rejected new queries, the customer that filled it would keep the whole queue.
func (q *Queue) Push(now int64, item Item) (dropped []Item, queued bool) {
	if item.Deadline <= now {
		return nil, false
	}
	dropped = q.Expire(now)
	c := q.customer(item.Customer)
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
	c.items = append(c.items, item)
	q.waiting++
	return dropped, true
}

// Pop removes and returns the next query, if any waits, and also the queries that have expired.
func (q *Queue) Pop(now int64) (next Item, expired []Item, ok bool) {
	expired = q.Expire(now)
	var first *customer
	for _, c := range q.customers {
		if len(c.items) > 0 && (first == nil || cmp.Or(cmp.Compare(c.virtualTime, first.virtualTime), cmp.Compare(c.name, first.name)) < 0) {
			first = c
		}
	}
	if first == nil {
		return Item{}, expired, false
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
	return next, expired, true
}

// Expire removes and returns the queries whose deadline has passed.
func (q *Queue) Expire(now int64) (expired []Item) {
	for _, c := range q.customers {
		c.items = slices.DeleteFunc(c.items, func(item Item) bool {
			over := item.Deadline <= now
			if over {
				expired = append(expired, item)
			}
			return over
		})
	}
	q.waiting -= len(expired)
	slices.SortStableFunc(expired, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.Customer, b.Customer))
	})
	return expired
}

// Remove removes a waiting query by its handle. It returns false if the query isn't in the queue.
func (q *Queue) Remove(name string, handle any) bool {
	c := q.customers[name]
	if c == nil {
		return false
	}
	i := slices.IndexFunc(c.items, func(item Item) bool { return item.Handle == handle })
	if i < 0 {
		return false
	}
	c.items = slices.Delete(c.items, i, i+1)
	q.waiting--
	return true
}

// NextDeadline returns the earliest deadline of a waiting query, or 0 if none waits.
func (q *Queue) NextDeadline() (at int64) {
	for _, c := range q.customers {
		for _, item := range c.items {
			if at == 0 || item.Deadline < at {
				at = item.Deadline
			}
		}
	}
	return at
}

// customer returns the customer of that name, and adds it if it is new.
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

// mostWaiting returns the customer with the most waiting queries.
func (q *Queue) mostWaiting() (busiest *customer) {
	for _, c := range q.customers {
		if busiest == nil || cmp.Or(cmp.Compare(len(c.items), len(busiest.items)), cmp.Compare(busiest.name, c.name)) > 0 {
			busiest = c
		}
	}
	return busiest
}
