package emulator

import (
	"math"
	"runtime"
	"sync"
	"sync/atomic"

	"willowsill/lab/emulator/checker"
	"willowsill/lab/emulator/eventqueue"
)

// eventLoopCount is into how many the entities are dealt. It does not depend on the machine, nor does the result depend on it: each
// entity has its events in their order, and entities share nothing but events.
const eventLoopCount = 16

// entity is an aggregator or a replica.
type entity interface {
	handle(now int64, e eventqueue.Event)
}

// simulation is one run. What an entity sends to another takes a way at least, so all sectors may play a stretch of that length
// apart from each other before what they sent is handed on.
type simulation struct {
	*Plan
	entities    []entity
	loops       [eventLoopCount]*eventLoop
	aggregators []*aggregator
	replicas    []*replica
	oracleViews []oracleView // as of the last stretch, for the oracle
	events      int64
}

type eventLoop struct {
	*simulation
	queue     *eventqueue.Queue
	outbox    [eventLoopCount][]eventqueue.Event
	processed int64
}

// emitter is how an entity causes events: its own place, and a count that orders what it causes.
type emitter struct {
	loop     *eventLoop
	entityID int32
	seq      uint64
}

// emit has an event happen to an entity. Danger: what comes to another sooner than a way would come into a stretch that its
// sector may have played already; so it comes no sooner.
func (o *emitter) emit(now int64, e eventqueue.Event) {
	o.seq++
	e.From, e.Seq = o.entityID, o.seq
	if e.To != o.entityID {
		e.At = max(e.At, now+o.loop.NetworkDelay)
		if to := int(e.To) % eventLoopCount; o.loop.loops[to] != o.loop {
			o.loop.outbox[to] = append(o.loop.outbox[to], e)
			return
		}
	}
	o.loop.queue.Push(e)
}

// runUntil plays all events before a time.
func (s *eventLoop) runUntil(until int64) {
	for {
		e, ok := s.queue.Pop(until)
		if !ok {
			return
		}
		s.processed++
		s.entities[e.To].handle(e.At, e)
	}
}

// receive takes in what other sectors sent.
func (s *eventLoop) receive() {
	me := 0
	for i, other := range s.loops {
		if other == s {
			me = i
		}
	}
	for _, other := range s.loops {
		for _, e := range other.outbox[me] {
			s.queue.Push(e)
		}
		other.outbox[me] = other.outbox[me][:0]
	}
}

// run plays until a time, on so many cores; it ends early at a broken rule, in the same stretch wherever it runs.
func (w *simulation) run(until int64, cores int) {
	team := newWorkerPool(min(max(cores, 1), eventLoopCount))
	defer team.stop()
	for {
		next := int64(math.MaxInt64)
		for _, s := range w.loops {
			next = min(next, s.queue.NextTime())
		}
		if next >= until {
			break
		}
		stretch := min(next+w.NetworkDelay, until)
		team.forEachLoop(func(i int) { w.loops[i].runUntil(stretch) })
		team.forEachLoop(func(i int) { w.loops[i].receive() })
		if w.oracleViews != nil {
			for i, r := range w.replicas {
				w.oracleViews[i] = r.oracleView(stretch)
			}
		}
		if w.firstViolation() != nil {
			break
		}
	}
	for _, s := range w.loops {
		w.events += s.processed
	}
}

// firstViolation is the first broken rule, if any.
func (w *simulation) firstViolation() (first *checker.Violation) {
	look := func(all []checker.Violation) {
		if len(all) > 0 && (first == nil || all[0].At < first.At) {
			first = &all[0]
		}
	}
	for _, a := range w.aggregators {
		look(a.ruleChecker.Violations)
	}
	for _, r := range w.replicas {
		look(r.ruleChecker.Violations)
	}
	return first
}

// workerPool is goroutines that do one thing after the other together.
type workerPool struct {
	size    int
	next    atomic.Int64
	do      func(int)
	wakeups []chan struct{}
	done    sync.WaitGroup
}

func newWorkerPool(size int) *workerPool {
	t := &workerPool{size: size}
	for range size - 1 {
		c := make(chan struct{}, 1)
		t.wakeups = append(t.wakeups, c)
		go func() {
			for range c {
				t.work()
				t.done.Done()
			}
		}()
	}
	return t
}

func (t *workerPool) work() {
	for {
		i := int(t.next.Add(1)) - 1
		if i >= eventLoopCount {
			return
		}
		t.do(i)
	}
}

// forEachLoop calls do with all sectors' numbers, and returns when all have ended.
func (t *workerPool) forEachLoop(do func(int)) {
	t.do = do
	t.next.Store(0)
	t.done.Add(len(t.wakeups))
	for _, c := range t.wakeups {
		c <- struct{}{}
	}
	t.work()
	t.done.Wait()
}

func (t *workerPool) stop() {
	for _, c := range t.wakeups {
		close(c)
	}
}

// MaxCores are those of the machine that a single run uses at most.
func MaxCores() int { return min(runtime.GOMAXPROCS(0), eventLoopCount) }
