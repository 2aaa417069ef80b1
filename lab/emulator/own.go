package emulator

import (
	"willowsill/balance"
	"willowsill/decide/overload"
	"willowsill/lab/emulator/agenda"
)

// Own is what an aggregator's own processor needs. Times in ns; with Query 0 it needs none.
type Own struct {
	Query   int64  // to take a query in and answer it
	Reply   int64  // to take in what a replica says
	Refusal int64  // to turn a query away unserved
	Strain  string // the limit by which it knows its strain, of strain.Limits; "none" for not at all
}

// Strains are the ways that an aggregator may know its strain.
var Strains = append([]string{"none"}, overload.LimitKinds...)

const readEach = int64(100e6)

// processor is an aggregator's own: one thing at a time, in the order in which they came.
type processor struct {
	free    int64
	waiting []agenda.Event
	begun   bool // an event is on its way for the next of them
	strain  *overload.Detector

	read   int64 // the last reading
	used   int64 // since then
	waited int64
	taken  int64
}

// power gives an aggregator a processor where the plan has costs for it.
func (a *aggregator) power(now int64) {
	if a.Own.Query == 0 {
		return
	}
	p := &processor{free: now, read: now}
	a.processor = p
	if a.Own.Strain == "" || a.Own.Strain == "none" {
		return
	}
	t := overload.Config{Cores: 1, LimitKind: a.Own.Strain, FixedRate: 0.8e9 / float64(a.Own.Query), WaitTarget: 10e6, MaxRetryAfter: 2e9, CustomerFloor: 0.05,
		Seed: a.Seed*1_000_003 + uint64(a.self)}
	for _, l := range a.Loads {
		t.Workloads = append(t.Workloads, overload.Workload{Revenue: l.Revenue, LatencyGoal: l.Goal})
	}
	p.strain = overload.New(now, t)
	a.cause(now, agenda.Event{At: now + readEach, To: a.self, Kind: reads})
}

// queues has what came wait for the processor; false where it needs none.
func (a *aggregator) queues(now int64, e agenda.Event) bool {
	p := a.processor
	if p == nil || a.down {
		return false
	}
	switch e.Kind {
	case asks:
		shards := a.arrivals[e.Part].Shards()
		a.come(e.Value, int(e.Part))
		e.Kind, e.Load = isServed, shards
	case again:
		e.Load = a.repeats[e.Query]
		delete(a.repeats, e.Query)
		e.Kind = isServed
	case replies:
	default:
		return false
	}
	e.At = now // since when it waits
	p.waiting = append(p.waiting, e)
	a.works(now)
	return true
}

// works has the processor come to the next that waits, now or when it is free.
func (a *aggregator) works(now int64) {
	p := a.processor
	if len(p.waiting) > 0 && !p.begun {
		p.begun = true
		at := max(p.free, now)
		a.cause(now, agenda.Event{At: at, To: a.self, Kind: isFree})
	}
}

// comesTo does the next thing that waits.
func (a *aggregator) comesTo(now int64) {
	p := a.processor
	p.begun = false
	if len(p.waiting) == 0 {
		return
	}
	e := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.waited += now - e.At
	p.taken++
	cost := a.Own.Reply
	if e.Kind == replies {
		a.outcome(now, e.Query, int(e.Part), int(e.Number), balance.Result(e.Result))
	} else {
		cost = a.comesToQuery(now, e)
	}
	p.free = now + cost
	p.used += cost
	a.works(now)
}

// comesToQuery takes a query that waited in, or turns it away, and returns what that costs.
func (a *aggregator) comesToQuery(now int64, e agenda.Event) (cost int64) {
	load, tries, shards := int(e.Part), int(e.Number), e.Load.([]int)
	left := e.Value + a.Loads[load].Patience - now
	taken, comeBack := true, int64(0)
	if s := a.processor.strain; s != nil {
		s.RecordWait(now - e.At)
		taken, comeBack = s.Admit(now, overload.Arrival{Workload: load, ID: uint64(e.Value), TimeLeft: left, Attempt: tries + 1})
	}
	if taken && left > 0 && left <= a.Tick { // there is no round in its time; on sockets limits are 50 ms longer
		taken, comeBack = false, 0
	}
	if taken {
		a.take(now, e.Value, load, tries, shards)
		return a.Own.Query
	}
	if tries == 0 {
		a.tally.Ask(e.Value-origin, load)
	}
	a.turned(now, &asked{load: load, at: e.Value, tries: tries, shards: shards}, comeBack)
	return a.Own.Refusal
}

// turned ends a query that was turned away before the module heard of it.
func (a *aggregator) turned(now int64, q *asked, comeBack int64) {
	a.next++
	a.trace(now, "query %d is turned away, to come back in %.3f ms", a.next, float64(comeBack)/1e6)
	a.insists(now, a.next, q, balance.Declined, comeBack)
	a.tally.End(q.at-origin, now-origin, q.load, q.tries, balance.Declined)
}

// insists has a client ask again: as it was told, or, where it was told nothing, soon.
func (a *aggregator) insists(now int64, number int32, q *asked, final balance.Outcome, comeBack int64) {
	l := &a.Loads[q.load]
	if final != balance.Declined && final != balance.Forfeited || q.tries >= 3 {
		return
	}
	share, wait := l.Retry, comeBack+int64(a.clients.Float64()*float64(comeBack)/10)
	if final == balance.Forfeited || comeBack <= 0 {
		share, wait = l.Insist, int64(50e6+a.clients.Float64()*100e6)
	}
	if share == 0 || a.clients.Float64() >= share {
		return
	}
	a.repeats[number] = q.shards
	a.cause(now, agenda.Event{At: now + wait, To: a.self, Kind: again, Query: number, Value: now + wait, Part: int16(q.load),
		Number: int16(q.tries + 1)})
}

// reading tells strain how the processor stands.
func (a *aggregator) reading(now int64) {
	p := a.processor
	oldest := int64(0)
	if len(p.waiting) > 0 {
		oldest = now - p.waiting[0].At
	}
	used := min(p.used, now-p.read)
	p.strain.Observe(now, overload.Reading{Span: now - p.read, MeanWait: p.waited / max(p.taken, 1), SchedLatency: oldest, TimerLateness: oldest, CPUTime: used})
	p.used, p.waited, p.taken, p.read = p.used-used, 0, 0, now
	a.cause(now, agenda.Event{At: now + readEach, To: a.self, Kind: reads})
}

// served tells strain how a query ended that was taken on.
func (a *aggregator) served(now int64, q *asked, final balance.Outcome) {
	if a.processor != nil && a.processor.strain != nil {
		a.processor.strain.RecordEnd(q.load, now-q.at, final <= balance.Partial)
	}
}
