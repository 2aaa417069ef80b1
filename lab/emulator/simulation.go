package emulator

import (
	"math"
	"runtime"
	"sync"
	"sync/atomic"

	"willowsill/lab/emulator/checker"
	"willowsill/lab/emulator/eventqueue"
)

// eventLoopCount is the number of event loops that the entities are divided over. It does not depend on the machine. The result
// does not depend on it either: each entity handles its events in their order, and entities share nothing but events and oracleViews,
// which change only between intervals.
const eventLoopCount = 16

// entity is an aggregator, a replica or the shared store.
type entity interface {
	handle(now int64, e eventqueue.Event)
}

// simulation is one run. A message between two entities takes at least NetworkDelay, so all event loops can process an interval
// of that length independently before the messages between them are delivered.
type simulation struct {
	*Plan
	entities    []entity
	loops       [eventLoopCount]*eventLoop
	aggregators []*aggregator
	replicas    []*replica
	oracleViews []oracleView // the replicas at the end of the last interval; nil without the baseline "oracle"
	events      int64
}

// eventLoop processes the events of a part of the entities.
type eventLoop struct {
	*simulation
	queue     *eventqueue.Queue
	outbox    [eventLoopCount][]eventqueue.Event // events for other loops, by receiving loop
	processed int64                              // number of events processed so far
}

// emitter lets an entity schedule events. seq orders the events that one entity schedules for the same time.
type emitter struct {
	loop     *eventLoop
	entityID int32
	seq      uint64
}

// emit schedules an event for this entity or another. Danger: an event for another entity sooner than NetworkDelay could fall
// into an interval that the other's loop has already processed, so it is delayed to that time at least.
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

// runUntil processes all events before a time.
func (l *eventLoop) runUntil(until int64) {
	for {
		e, ok := l.queue.Pop(until)
		if !ok {
			return
		}
		l.processed++
		l.entities[e.To].handle(e.At, e)
	}
}

// receive collects the events that other loops have for this one.
func (l *eventLoop) receive() {
	self := 0
	for i, other := range l.loops {
		if other == l {
			self = i
		}
	}
	for _, other := range l.loops {
		for _, e := range other.outbox[self] {
			l.queue.Push(e)
		}
		other.outbox[self] = other.outbox[self][:0]
	}
}

// run simulates until a time, on the given number of cores. It ends early at a rule violation, at the same time on any number of
// cores.
func (sim *simulation) run(until int64, cores int) {
	pool := newWorkerPool(min(max(cores, 1), eventLoopCount))
	defer pool.stop()
	for {
		next := int64(math.MaxInt64)
		for _, s := range sim.loops {
			next = min(next, s.queue.NextTime())
		}
		if next >= until {
			break
		}
		end := min(next+sim.NetworkDelay, until)
		pool.forEachLoop(func(i int) { sim.loops[i].runUntil(end) })
		pool.forEachLoop(func(i int) { sim.loops[i].receive() })
		if sim.oracleViews != nil {
			for i, r := range sim.replicas {
				sim.oracleViews[i] = r.oracleView(end)
			}
		}
		if sim.firstViolation() != nil {
			break
		}
	}
	for _, s := range sim.loops {
		sim.events += s.processed
	}
}

// firstViolation returns the earliest rule violation, or nil.
func (sim *simulation) firstViolation() (first *checker.Violation) {
	consider := func(all []checker.Violation) {
		if len(all) > 0 && (first == nil || all[0].At < first.At) {
			first = &all[0]
		}
	}
	for _, a := range sim.aggregators {
		consider(a.ruleChecker.Violations)
	}
	for _, r := range sim.replicas {
		consider(r.ruleChecker.Violations)
	}
	return first
}

// workerPool is a set of goroutines that apply one function after the other to all event loops.
type workerPool struct {
	size    int
	next    atomic.Int64 // index of the next loop to take
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

// work takes loops and calls do with them until none is left.
func (p *workerPool) work() {
	for {
		i := int(p.next.Add(1)) - 1
		if i >= eventLoopCount {
			return
		}
		p.do(i)
	}
}

// forEachLoop calls do with the index of each event loop, concurrently, and returns when all calls have returned.
func (p *workerPool) forEachLoop(do func(int)) {
	p.do = do
	p.next.Store(0)
	p.done.Add(len(p.wakeups))
	for _, c := range p.wakeups {
		c <- struct{}{}
	}
	p.work()
	p.done.Wait()
}

func (p *workerPool) stop() {
	for _, c := range p.wakeups {
		close(c)
	}
}

// MaxCores returns the number of the machine's cores that a single run can use.
func MaxCores() int { return min(runtime.GOMAXPROCS(0), eventLoopCount) }
