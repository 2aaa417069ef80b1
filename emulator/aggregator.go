package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"willowsill/balance"
	"willowsill/emulator/agenda"
	"willowsill/emulator/checker"
)

// execution is one run of a part, as its aggregator sees it.
type execution struct {
	to   int
	sent int64
	over bool
}

// asked is a query that an aggregator holds.
type asked struct {
	load    int
	at      int64
	counts  bool
	ended   bool
	tries   int
	first   int64 // when its client asked the first time
	parts   [][]execution
	weights []float64
}

// aggregator is one with its brain, and with the clients that ask it.
type aggregator struct {
	outlet
	*Plan
	clients *rand.Rand // their chance alone: the same queries come whatever is decided
	network *rand.Rand
	share   float64
	brain   brain
	watch   *checker.Aggregator
	queries map[int32]*asked
	last    int64 // the last round
	due     int64 // the next, 0 for none
	next    int32
	news    []uint64 // by replica: the newest that the list told
	tally   *tally
	zipf    []*zipf
}

func (a *aggregator) happen(now int64, e agenda.Event) {
	switch e.Kind {
	case decides:
		if a.due == e.At {
			a.due = 0
			a.round(now)
		}
	case replies:
		a.outcome(now, e.Query, int(e.Part), int(e.Number), balance.Result(e.Result))
	case cuts:
		a.outcome(now, e.Query, int(e.Part), int(e.Number), balance.TimedOut)
	case asks:
		a.take(now, int(e.Value), 0, now)
		a.come(now, int(e.Value))
	case again:
		a.take(now, int(e.Value), int(e.Number), now)
	case gone:
		a.watch.Gone(now, e.Query)
	case forgets:
		a.watch.Forget(e.Query)
		a.brain.forget(e.Query)
		delete(a.queries, e.Query)
	case listed:
		if e.Seq > a.news[e.Query] {
			a.news[e.Query] = e.Seq
			up := balance.Standing(e.Result) == balance.Up
			a.watch.Listed(int(e.Query), up)
			a.trace(now, "the list has replica %d %s", e.Query, [...]string{"up", "draining", "gone"}[e.Result])
			a.brain.list(now, balance.Listing{Replica: int(e.Query), Cell: a.shardOf(int(e.Query)),
				Standing: balance.Standing(e.Result), Started: e.Value})
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

// come has the next query of a load come by chance, until the clients end.
func (a *aggregator) come(now int64, load int) {
	l := &a.Loads[load]
	at := now
	for {
		rate, until := l.Rate*a.share, int64(math.MaxInt64)
		if l.Every > 0 { // a rate that holds until the burst's next edge
			since := (at - origin) % l.Every
			if until = at - since + l.Every; since < l.For {
				rate, until = rate*l.Burst, at-since+l.For
			}
		}
		next := at + int64(a.clients.ExpFloat64()*1e9/max(rate, 1e-9))
		if next < until {
			at = next
			break
		}
		at = until // by the law's want of memory the wait begins anew there
	}
	if at < origin+a.Span {
		a.cause(now, agenda.Event{At: at, To: a.self, Kind: asks, Value: int64(load)})
	}
}

func (a *aggregator) take(now int64, load, tries int, first int64) {
	l := &a.Loads[load]
	a.next++
	number := a.next
	q := &asked{load: load, at: now, tries: tries, first: first, parts: make([][]execution, l.Parts),
		counts: now >= origin+a.From && now < origin+a.Until}
	shards := a.shards(load)
	for range shards {
		q.weights = append(q.weights, 1/float64(l.Parts))
	}
	a.queries[number] = q
	a.watch.Taken(now, number, l.Patience, int(l.Effect), q.weights)
	if tries == 0 {
		a.tally.asked(now, q, l)
	}
	a.brain.take(now, number, load, l, shards, q.weights)
	a.trace(now, "query %d taken: %s, shards %v", number, l.Name, shards)
	a.cause(now, agenda.Event{At: now + l.Patience + 1, To: a.self, Kind: gone, Query: number})
	a.cause(now, agenda.Event{At: now + 3*l.Patience, To: a.self, Kind: forgets, Query: number})
	a.moved(now)
}

// shards draws which shards a query needs: all alike, or by Zipf's law, the first ones hot.
func (a *aggregator) shards(load int) []int {
	l := &a.Loads[load]
	if a.zipf[load] == nil {
		return a.clients.Perm(a.Shards())[:l.Parts]
	}
	var all []int
	for seen := map[int]bool{}; len(all) < l.Parts; {
		if s := a.zipf[load].draw(a.clients); !seen[s] {
			seen[s] = true
			all = append(all, s)
		}
	}
	return all
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
		if q.counts {
			if a.tally.Executions++; number > 0 {
				a.tally.Further++
			}
		}
		e := agenda.Event{At: now + a.way(), To: int32(a.Aggregators + s.replica), Kind: arrives, Query: s.query, Part: int16(s.part),
			Number: int16(number)}
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

func (a *aggregator) answer(now int64, e ending) {
	a.watch.Answered(now, e.query, e.final == balance.Whole || e.final == balance.Partial, e.final == balance.Whole)
	q := a.queries[e.query]
	if q == nil || q.ended {
		return
	}
	q.ended = true
	a.trace(now, "query %d ends %s after %.3f ms", e.query, finals[e.final], float64(now-q.at)/1e6)
	l := &a.Loads[q.load]
	if e.final == balance.Declined && e.comeBack > 0 && q.tries < 3 && a.clients.Float64() < l.Retry {
		wait := e.comeBack + int64(a.clients.Float64()*float64(e.comeBack)/10)
		a.cause(now, agenda.Event{At: now + wait, To: a.self, Kind: again, Value: int64(q.load), Number: int16(q.tries + 1)})
	}
	a.tally.ended(now, q, l, e.final)
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

// zipf draws numbers by Zipf's law.
type zipf struct{ sums []float64 }

func newZipf(n int, skew float64) *zipf {
	z := &zipf{}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -skew)
		z.sums = append(z.sums, sum)
	}
	return z
}

func (z *zipf) draw(chance *rand.Rand) int {
	x := chance.Float64() * z.sums[len(z.sums)-1]
	low, high := 0, len(z.sums)-1
	for low < high {
		if mid := (low + high) / 2; z.sums[mid] <= x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}
