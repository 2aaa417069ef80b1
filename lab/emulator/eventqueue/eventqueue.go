// Package eventqueue holds the events of a simulation in order. It is a calendar queue: events of the next half second are in
// short buckets, of which only the current one is sorted, and later events are in a heap. It is fast for events that are mostly
// less than half a second ahead.
//
// Decides: which event is next, independent of the order in which events were pushed.
package eventqueue

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// Event is an event at one entity. No two events have the same At, From and Seq. The fields from Result on are the sender's.
type Event struct {
	At   int64  // ns
	From int32  // entity that scheduled it
	To   int32  // entity at which it happens
	Seq  uint64 // increases with each event that From schedules
	Kind uint8

	Result  uint8
	Part    int16
	Attempt int16
	Query   int32
	Value   int64
	Payload any // owned by the receiver
}

// Compare orders events by time, and those of the same time by the entity that scheduled them and the order in which it did.
func Compare(a, b Event) int {
	if a.At != b.At {
		return cmp.Compare(a.At, b.At)
	}
	return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Seq, b.Seq))
}

const (
	bucketBits  = 17                // a bucket covers 2^17 ns (0.13 ms)
	bucketCount = 1 << 12           // all buckets together cover half a second
	bucketMask  = bucketCount - 1   // gives the slot of a bucket number
	never       = math.MaxInt64 / 2 // later than any event
)

// Queue is a priority queue of events. Its zero value is not usable; see New.
type Queue struct {
	current   int64                    // number of the current bucket
	sorted    []Event                  // events of the current bucket and earlier, the next one last
	added     []Event                  // events pushed for the current bucket since it was sorted, a heap
	buckets   [][]Event                // events of the buckets that follow, unsorted, by bucket number & bucketMask
	occupied  [bucketCount / 64]uint64 // bitmap of the slots with events
	overflow  byTime                   // events later than all buckets, a heap
	inBuckets int                      // number of events in buckets
}

// New returns an empty queue. start is the earliest time of an event, in ns and not negative.
func New(start int64) *Queue {
	return &Queue{current: start >> bucketBits, buckets: make([][]Event, bucketCount)}
}

// Len returns the number of queued events.
func (a *Queue) Len() int { return len(a.sorted) + len(a.added) + a.inBuckets + len(a.overflow) }

// Push adds an event. One earlier than the current bucket is put into that bucket.
func (a *Queue) Push(e Event) {
	switch bucket := e.At >> bucketBits; {
	case bucket <= a.current:
		heap.Push((*byTime)(&a.added), e)
	case bucket-a.current < bucketCount:
		slot := bucket & bucketMask
		a.buckets[slot] = append(a.buckets[slot], e)
		a.occupied[slot/64] |= 1 << (slot % 64)
		a.inBuckets++
	default:
		heap.Push(&a.overflow, e)
	}
}

// NextTime returns the time of the next event, or a time later than any event if the queue is empty.
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

// Pop removes and returns the next event if it is before a time.
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

// advance makes the next bucket with events the current one. It returns false if there is none.
func (a *Queue) advance() bool {
	if a.inBuckets == 0 {
		if len(a.overflow) == 0 {
			return false
		}
		a.current = a.overflow[0].At>>bucketBits - 1 // no bucket in between has events
	}
	a.current = a.nextBucket()
	// Events of the overflow heap may be within the buckets now.
	for len(a.overflow) > 0 && a.overflow[0].At>>bucketBits-a.current < bucketCount {
		e := heap.Pop(&a.overflow).(Event)
		if e.At>>bucketBits <= a.current {
			a.added = append(a.added, e) // appended in order, which keeps the heap property
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

// nextBucket returns the number of the first bucket after the current one with events, in the buckets or in the overflow heap.
func (a *Queue) nextBucket() int64 {
	firstOverflow := int64(never)
	if len(a.overflow) > 0 {
		firstOverflow = a.overflow[0].At >> bucketBits
	}
	if a.inBuckets == 0 {
		return firstOverflow
	}
	for bucket := a.current + 1; ; {
		slot := bucket & bucketMask
		if word := a.occupied[slot/64] >> (slot % 64); word != 0 {
			for word&1 == 0 {
				word >>= 1
				bucket++
			}
			return min(bucket, firstOverflow)
		}
		bucket += 64 - slot%64
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
