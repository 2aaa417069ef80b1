package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"willowsill/balance"
	"willowsill/lab/emulator/agenda"
	"willowsill/lab/emulator/checker"
)

// execution is one run of a part, as its aggregator sees it.
type execution struct {
	to   int
	sent int64
	over bool
}

// asked is a query that an aggregator holds.
type asked struct {
	load   int
	at     int64
	ended  bool
	tries  int
	shards []int

	came       []int // sites that it came through
	from       int32 // the aggregator that carried it here,
	fromNumber int32 // by its number
	fromRun    int16
	carriedIn  bool
	carried    bool // to another site,
	link       int  // over this
	parts      [][]execution
	weights    []float64
}

// aggregator is one with its brain, and with the clients that ask it.
type aggregator struct {
	outlet
	*Plan
	arrivals []*Arrivals // by load
	clients  *rand.Rand  // of who asks again
	network  *rand.Rand
	brain    brain
	watch    *checker.Aggregator
	queries  map[int32]*asked
	repeats  map[int32][]int // the shards of queries that will be asked again
	last     int64           // the last round
	due      int64           // the next, 0 for none
	next     int32
	news     []uint64 // by replica: the newest that the list told
	tally    *Tally
	world    *world
	member   *member           // nil without a store
	spent    map[int][]int64   // by load: when a query was let in as within its quota
	gate     *gate             // nil without other sites
	list     []balance.Listing // as it was told last
	down     bool
	frozen   int64 // it does nothing until then, 0 for not

	processor *processor // its own; nil where what it does costs nothing
}

// wake begins anew, with nothing but the list.
func (a *aggregator) wake(now int64) {
	for _, l := range a.list {
		a.watch.Listed(now, l.Replica, l.Cell, l.Status == balance.Up)
	}
	if a.Policy == "module" {
		whole := slices.DeleteFunc(slices.Clone(a.list), func(l balance.Listing) bool { return l.Status == balance.Gone })
		for i := range whole {
			whole[i].New = true
		}
		m := newModule(now, a.deployment(int(a.self)), whole)
		if a.brain = m; a.Watch {
			a.brain = newWatched(m, a.Plan, int(a.self), whole)
		}
	} else {
		truths := &a.world.truths
		a.brain = newRival(a.Plan, int(a.self), a.list, func(r int) (int64, bool) { return (*truths)[r].wait, (*truths)[r].sound })
	}
	a.join(now)
	a.openGate(now)
	if a.Break != "" {
		a.brain = &broken{brain: a.brain, how: a.Break}
	}
}

// listing is what it was told last of a replica of its site.
func (a *aggregator) listing(replica int) *balance.Listing {
	return &a.list[replica-a.siteOf(int(a.self))*a.perSite()]
}

// turn has a fault of its own begin or end.
func (a *aggregator) turn(now int64, number int, begins bool) {
	f := a.Faults[number]
	switch {
	case f.Kind == "crash" && begins:
		a.down = true
		for _, q := range a.queries { // their clients see the connection break
			if !q.ended {
				q.ended = true
				a.tally.End(q.at-origin, now-origin, q.load, q.tries, balance.Forfeited)
			}
		}
		a.queries, a.gate = map[int32]*asked{}, nil
		a.watch.Crashed()
		a.trace(now, "dies")
	case f.Kind == "crash":
		a.down, a.due, a.last = false, 0, 0
		a.wake(now)
		a.moved(now)
		a.trace(now, "is back")
	case f.Kind == "freeze" && begins && now < origin+f.Until:
		a.frozen = now + f.For
		if f.Every > f.For {
			a.cause(now, agenda.Event{At: now + f.Every, To: a.self, Kind: beginsAgain, Value: int64(number)})
		}
	}
}

func (a *aggregator) happen(now int64, e agenda.Event) {
	switch e.Kind {
	case begins, beginsAgain, ends:
		a.turn(now, int(e.Value), e.Kind != ends)
		return
	case gone: // the client's own clock
		a.watch.Gone(now, e.Query)
		return
	}
	if a.frozen > now { // whatever comes waits, in its order, until it goes on
		e.At = a.frozen
		a.sector.agenda.Push(e)
		return
	}
	if a.queues(now, e) {
		return
	}
	switch e.Kind {
	case isFree:
		a.comesTo(now)
	case reads:
		a.reading(now)
	case decides:
		if a.due != 0 && a.due <= now && !a.down {
			a.due = 0
			a.round(now)
		}
	case replies:
		a.outcome(now, e.Query, int(e.Part), int(e.Number), balance.Result(e.Result))
	case cuts:
		a.outcome(now, e.Query, int(e.Part), int(e.Number), balance.TimedOut)
	case asks:
		shards := a.arrivals[e.Part].Shards()
		a.come(e.Value, int(e.Part))
		a.take(now, e.Value, int(e.Part), 0, shards)
	case again:
		a.take(now, e.Value, int(e.Part), int(e.Number), a.repeats[e.Query])
		delete(a.repeats, e.Query)
	case pings, pinged, pingBack, looks, hops, comes, goesBack, tripLate:
		a.meetsGate(now, e)
	case shares, storeTells, storeLate:
		a.meets(now, e)
	case forgets:
		a.watch.Forget(e.Query)
		a.brain.forget(e.Query)
		delete(a.queries, e.Query)
		a.gateForgets(e.Query)
	case listed:
		if e.Seq > a.news[e.Query] {
			a.news[e.Query] = e.Seq
			l := balance.Listing{Replica: int(e.Query), Cell: a.shardOf(int(e.Query)), Status: balance.Status(e.Result), StartedAt: e.Value}
			*a.listing(l.Replica) = l
			if a.down {
				return
			}
			a.watch.Listed(now, l.Replica, l.Cell, l.Status == balance.Up)
			a.trace(now, "the list has replica %d %s", e.Query, [...]string{"up", "draining", "gone"}[e.Result])
			a.brain.list(now, l)
			a.moved(now)
		}
	}
}

// moved has a round come as soon as one may.
func (a *aggregator) moved(now int64) { a.schedule(max(a.last+a.Tick, now)) }

func (a *aggregator) schedule(at int64) {
	if a.due != 0 && a.due <= at {
		return
	}
	a.due = at
	a.cause(at, agenda.Event{At: at, To: a.self, Kind: decides})
}

// come has the next query of a load come, until the clients end.
func (a *aggregator) come(now int64, load int) {
	if at, comes := a.arrivals[load].Next(now - origin); comes {
		a.cause(now, agenda.Event{At: origin + at, To: a.self, Kind: asks, Value: origin + at, Part: int16(load)})
	}
}

// take takes a query in that was asked at a time: now, or before a freeze.
func (a *aggregator) take(now, at int64, load, tries int, shards []int) {
	l := &a.Loads[load]
	if tries == 0 {
		a.tally.Ask(at-origin, load)
	}
	switch {
	case a.down: // nobody listens
		a.tally.End(at-origin, now-origin, load, tries, balance.Declined)
		return
	case now >= at+l.Patience: // its client has left
		a.tally.End(at-origin, now-origin, load, tries, balance.Forfeited)
		a.next++
		a.insists(now, a.next, &asked{load: load, at: at, tries: tries, shards: shards}, balance.Forfeited, 0)
		return
	}
	a.hold(now, &asked{load: load, at: at, tries: tries, shards: shards}, at+l.Patience-now)
}

// hold has a query that was taken in served here, or elsewhere.
func (a *aggregator) hold(now int64, q *asked, left int64) {
	a.next++
	number := a.next
	l := &a.Loads[q.load]
	q.parts = make([][]execution, len(q.shards))
	for range q.shards {
		q.weights = append(q.weights, 1/float64(len(q.shards)))
	}
	a.queries[number] = q
	a.watch.Taken(now, number, left, int(l.Effect), q.weights)
	a.cause(now, agenda.Event{At: now + left + 1, To: a.self, Kind: gone, Query: number})
	a.cause(now, agenda.Event{At: now + 3*l.Patience, To: a.self, Kind: forgets, Query: number})
	mark := float64(uint32(number)*2654435761%1000) / 1000
	if a.gate != nil && !a.gate.gateway.ServesLocally(now, mark, q.carriedIn) {
		if !a.goesElsewhere(now, number, q, false) {
			a.final(now, ending{query: number, final: balance.Declined, comeBack: 1e9})
		}
		return
	}
	a.brain.take(now, number, q.load, left, !q.carriedIn && a.over(now, q.load), q.shards, q.weights)
	a.trace(now, "query %d taken: %s, shards %v", number, l.Name, q.shards)
	a.moved(now)
}

// trace tells who asked for it what happens here.
func (a *aggregator) trace(now int64, format string, args ...any) {
	if a.Trace != nil {
		a.Trace(now-origin, fmt.Sprint("aggregator ", a.self), fmt.Sprintf(format, args...))
	}
}

func (a *aggregator) outcome(now int64, number int32, part, execution int, result balance.Result) {
	q := a.queries[number]
	if q == nil || execution >= len(q.parts[part]) || q.parts[part][execution].over {
		return
	}
	x := &q.parts[part][execution]
	x.over = true
	if result == balance.TimedOut || result == balance.Cancelled {
		a.cause(now, agenda.Event{At: now + a.way(), To: int32(a.Aggregators + x.to), Kind: dropped, Query: number, Part: int16(part),
			Number: int16(execution)})
	}
	ended := checker.MayHaveRan
	switch {
	case result == balance.Fulfilled:
		ended = checker.Fulfilled
	case result.NeverRan():
		ended = checker.NeverRan
	}
	a.watch.Outcome(now, number, part, execution, ended)
	a.trace(now, "query %d part %d execution %d at replica %d: %s after %.3f ms", number, part, execution, x.to, results[result],
		float64(now-x.sent)/1e6)
	a.brain.outcome(now, number, part, execution, result, now-x.sent)
	a.moved(now)
}

func (a *aggregator) way() int64 { return a.Way + int64(a.network.ExpFloat64()*float64(a.Way)/4) }

// round lets the brain decide, and carries it out in the node's order.
func (a *aggregator) round(now int64) {
	a.last = now
	r := a.brain.decide(now)
	for _, s := range r.sends {
		q := a.queries[s.query]
		a.watch.Sent(now, s.query, s.part, s.replica)
		number := len(q.parts[s.part])
		q.parts[s.part] = append(q.parts[s.part], execution{to: s.replica, sent: now})
		if a.Trace != nil {
			a.trace(now, "query %d part %d execution %d to replica %d, cut off in %.1f ms; own parts in flight at its holders: %s", s.query,
				s.part, number, s.replica, float64(s.cutAt-now)/1e6, a.inFlight(s.replica))
		}
		a.tally.Send(q.at-origin, number > 0)
		e := agenda.Event{At: now + a.way(), To: int32(a.Aggregators + s.replica), Kind: arrives, Query: s.query, Part: int16(s.part),
			Number: int16(number), Result: uint8(q.load), Value: s.cutAt}
		a.cause(now, e)
		e.At, e.To, e.Kind = s.cutAt, a.self, cuts
		a.cause(now, e)
	}
	for _, c := range r.giveUps {
		a.outcome(now, c.query, c.part, c.which, balance.Cancelled)
	}
	for _, e := range r.endings {
		a.answer(now, e)
	}
	if r.wake > 0 {
		a.schedule(max(r.wake, a.last+a.Tick))
	}
}

// answer is what the own module ends a query with. What it declines may go elsewhere first.
func (a *aggregator) answer(now int64, e ending) {
	q := a.queries[e.query]
	if q != nil && !q.ended && a.gate != nil {
		a.gate.gateway.Ended(now, !q.carriedIn, e.final == balance.Declined)
		if e.final == balance.Declined && a.goesElsewhere(now, e.query, q, true) {
			return
		}
	}
	a.final(now, e)
}

// final gives a query its one answer.
func (a *aggregator) final(now int64, e ending) {
	q := a.queries[e.query]
	if q != nil && q.carried {
		a.watch.Elsewhere(e.query)
	}
	a.watch.Answered(now, e.query, e.final == balance.Whole || e.final == balance.Partial, e.final == balance.Whole)
	if q == nil || q.ended {
		return
	}
	q.ended = true
	a.trace(now, "query %d ends %s after %.3f ms", e.query, finals[e.final], float64(now-q.at)/1e6)
	if q.carriedIn {
		a.tellGate(now, int(q.from), agenda.Event{Kind: goesBack, Query: q.fromNumber, Number: q.fromRun,
			Load: carriedBack{final: e.final, willing: a.willing(now), comeBack: e.comeBack}})
		return
	}
	a.served(now, q, e.final)
	a.insists(now, e.query, q, e.final, e.comeBack)
	a.tally.End(q.at-origin, now-origin, q.load, q.tries, e.final)
}

func (a *aggregator) willing(now int64) float64 {
	if a.gate == nil {
		return 0
	}
	return a.gate.gateway.AdvertisedRate(now)
}

var (
	results = [...]string{"fulfilled", "an error", "turned away", "timed out", "no connection", "reset", "cancelled", "never left"}
	finals  = [...]string{"whole", "partial", "declined", "forfeited"}
)

// inFlight tells how many own parts are out at each holder of a replica's shard: what the module's pick goes by, and a reader
// wants to see beside it.
func (a *aggregator) inFlight(replica int) string {
	count := map[int]int{}
	for _, q := range a.queries {
		for _, runs := range q.parts {
			for _, x := range runs {
				if !x.over {
					count[x.to]++
				}
			}
		}
	}
	var all []string
	for r := a.shardOf(replica); r < a.Replicas; r += a.Plan.Shards() {
		all = append(all, fmt.Sprintf("%d has %d", r, count[r]))
	}
	return strings.Join(all, ", ")
}
