// Package eventqueue keeps the events of a simulation in their order: a calendar of short days, of which only the present one is
// sorted, and a heap for what is far away. It is made for events that mostly come within the calendar's reach.
//
// Decides: which event is next, the same whatever order they were put in.
package eventqueue

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// Event is one thing that happens to one entity. Two are never equal in At, From and Seq together.
type Event struct {
	At   int64 // ns
	From int32 // who caused it,
	To   int32 // and whom it befalls
	Seq  uint64
	Kind uint8

	Result  uint8
	Part    int16
	Attempt int16
	Query   int32
	Value   int64
	Payload any // what a message carries; whoever gets it owns it
}

// Compare orders events in time, and those of one time by who caused them and in what order.
func Compare(a, b Event) int {
	if a.At != b.At {
		return cmp.Compare(a.At, b.At)
	}
	return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Seq, b.Seq))
}

const (
	bucketBits  = 17                // a day has 2^17 ns, 0.13 ms,
	bucketCount = 1 << 12           // and the calendar 4096 of them: half a second
	bucketMask  = bucketCount - 1   // of a day's number
	never       = math.MaxInt64 / 2 // no event is so far away
)

// Queue is the queue. Its zero value is not usable; see New.
type Queue struct {
	current   int64     // its number
	sorted    []Event   // of today and before, sorted, the next one last
	added     []Event   // put in for today since it was sorted, a heap
	buckets   [][]Event // of the days that follow, not sorted
	occupied  [bucketCount / 64]uint64
	overflow  byTime // beyond the calendar
	inBuckets int    // in days
}

// New makes an empty agenda; no event may come before start, ns from 0 on.
func New(start int64) *Queue {
	return &Queue{current: start >> bucketBits, buckets: make([][]Event, bucketCount)}
}

// Len is how many events wait.
func (a *Queue) Len() int { return len(a.sorted) + len(a.added) + a.inBuckets + len(a.overflow) }

// Push puts an event in. One before the present day counts as of today.
func (a *Queue) Push(e Event) {
	switch day := e.At >> bucketBits; {
	case day <= a.current:
		heap.Push((*byTime)(&a.added), e)
	case day-a.current < bucketCount:
		slot := day & bucketMask
		a.buckets[slot] = append(a.buckets[slot], e)
		a.occupied[slot/64] |= 1 << (slot % 64)
		a.inBuckets++
	default:
		heap.Push(&a.overflow, e)
	}
}

// NextTime is when the next event comes; a time that never comes where there is none.
func (a *Queue) NextTime() int64 {
	if len(a.sorted) == 0 && len(a.added) == 0 && !a.advance() {
		return never
	}
	at := int64(never)
	if n := len(a.sorted); n > 0 {
		at = a.sorted[n-1].At
	}
	if len(a.added) > 0 {
		at = min(at, a.added[0].At)
	}
	return at
}

// Pop takes the next event out if it comes before a time.
func (a *Queue) Pop(before int64) (Event, bool) {
	if a.NextTime() >= before {
		return Event{}, false
	}
	n := len(a.sorted)
	if n == 0 || len(a.added) > 0 && Compare(a.added[0], a.sorted[n-1]) < 0 {
		return heap.Pop((*byTime)(&a.added)).(Event), true
	}
	e := a.sorted[n-1]
	a.sorted = a.sorted[:n-1]
	return e, true
}

// advance goes to the next day that has events.
func (a *Queue) advance() bool {
	if a.inBuckets == 0 {
		if len(a.overflow) == 0 {
			return false
		}
		a.current = a.overflow[0].At>>bucketBits - 1 // nothing lies between
	}
	a.current = a.nextBucket()
	// What was far may be near now.
	for len(a.overflow) > 0 && a.overflow[0].At>>bucketBits-a.current < bucketCount {
		e := heap.Pop(&a.overflow).(Event)
		if e.At>>bucketBits <= a.current {
			a.added = append(a.added, e) // comes sorted, so it is a heap
			continue
		}
		slot := e.At >> bucketBits & bucketMask
		a.buckets[slot] = append(a.buckets[slot], e)
		a.occupied[slot/64] |= 1 << (slot % 64)
		a.inBuckets++
	}
	slot := a.current & bucketMask
	a.sorted, a.buckets[slot] = a.buckets[slot], a.sorted[:0]
	a.occupied[slot/64] &^= 1 << (slot % 64)
	a.inBuckets -= len(a.sorted)
	slices.SortFunc(a.sorted, func(x, y Event) int { return Compare(y, x) })
	return true
}

// nextBucket is the first day after today that has events, near or far.
func (a *Queue) nextBucket() int64 {
	far := int64(never)
	if len(a.overflow) > 0 {
		far = a.overflow[0].At >> bucketBits
	}
	if a.inBuckets == 0 {
		return far
	}
	for day := a.current + 1; ; {
		slot := day & bucketMask
		if word := a.occupied[slot/64] >> (slot % 64); word != 0 {
			for word&1 == 0 {
				word >>= 1
				day++
			}
			return min(day, far)
		}
		day += 64 - slot%64
	}
}

type byTime []Event

func (q byTime) Len() int           { return len(q) }
func (q byTime) Less(i, j int) bool { return Compare(q[i], q[j]) < 0 }
func (q byTime) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *byTime) Push(x any)        { *q = append(*q, x.(Event)) }
func (q *byTime) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
