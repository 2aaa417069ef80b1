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

// Event is an event at one entity. No two events have the same At, From and Seq; the queue reads no other fields.
type Event struct {
	At   int64  // time of the event, ns
	From int32  // entity that scheduled it
	To   int32  // entity at which it happens
	Seq  uint64 // increases with each event that From schedules
	Kind uint8

	Result  uint8
	Part    int16
	Attempt int16
	Query   int32
	Value   int64
	Payload any // further data, which belongs to the receiver
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
func (q *Queue) Len() int { return len(q.sorted) + len(q.added) + q.inBuckets + len(q.overflow) }

// Push adds an event. One earlier than the current bucket is put into that bucket.
func (q *Queue) Push(e Event) {
	switch bucket := e.At >> bucketBits; {
	case bucket <= q.current:
		heap.Push((*byTime)(&q.added), e)
	case bucket-q.current < bucketCount:
		slot := bucket & bucketMask
		q.buckets[slot] = append(q.buckets[slot], e)
		q.occupied[slot/64] |= 1 << (slot % 64)
		q.inBuckets++
	default:
		heap.Push(&q.overflow, e)
	}
}

// NextTime returns the time of the next event, or a time later than any event if the queue is empty.
func (q *Queue) NextTime() int64 {
	if len(q.sorted) == 0 && len(q.added) == 0 && !q.advance() {
		return never
	}
	at := int64(never)
	if n := len(q.sorted); n > 0 {
		at = q.sorted[n-1].At
	}
	if len(q.added) > 0 {
		at = min(at, q.added[0].At)
	}
	return at
}

// Pop removes and returns the next event if it is before a time.
func (q *Queue) Pop(before int64) (Event, bool) {
	if q.NextTime() >= before {
		return Event{}, false
	}
	n := len(q.sorted)
	if n == 0 || len(q.added) > 0 && Compare(q.added[0], q.sorted[n-1]) < 0 {
		return heap.Pop((*byTime)(&q.added)).(Event), true
	}
	e := q.sorted[n-1]
	q.sorted = q.sorted[:n-1]
	return e, true
}

// advance makes the next bucket with events the current one. It returns false if there is none.
func (q *Queue) advance() bool {
	if q.inBuckets == 0 {
		if len(q.overflow) == 0 {
			return false
		}
		q.current = q.overflow[0].At>>bucketBits - 1 // no bucket in between has events
	}
	q.current = q.nextBucket()
	// Events of the overflow heap may be within the buckets now.
	for len(q.overflow) > 0 && q.overflow[0].At>>bucketBits-q.current < bucketCount {
		e := heap.Pop(&q.overflow).(Event)
		if e.At>>bucketBits <= q.current {
			q.added = append(q.added, e) // appended in order, which keeps the heap property
			continue
		}
		slot := e.At >> bucketBits & bucketMask
		q.buckets[slot] = append(q.buckets[slot], e)
		q.occupied[slot/64] |= 1 << (slot % 64)
		q.inBuckets++
	}
	slot := q.current & bucketMask
	q.sorted, q.buckets[slot] = q.buckets[slot], q.sorted[:0]
	q.occupied[slot/64] &^= 1 << (slot % 64)
	q.inBuckets -= len(q.sorted)
	slices.SortFunc(q.sorted, func(x, y Event) int { return Compare(y, x) })
	return true
}

// nextBucket returns the number of the first bucket after the current one with events, in the buckets or in the overflow heap.
func (q *Queue) nextBucket() int64 {
	firstOverflow := int64(never)
	if len(q.overflow) > 0 {
		firstOverflow = q.overflow[0].At >> bucketBits
	}
	if q.inBuckets == 0 {
		return firstOverflow
	}
	for bucket := q.current + 1; ; {
		slot := bucket & bucketMask
		if word := q.occupied[slot/64] >> (slot % 64); word != 0 {
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
