package emulator

import (
	"math"
	"math/rand/v2"
	"slices"

	"willowsill/balance"
	"willowsill/lab/emulator/agenda"
	"willowsill/lab/emulator/checker"
)

// What happens.
const (
	arrives uint8 = iota // a part at a replica; Result is its load, Value until when it is waited for
	dropped              // it is given up by its aggregator
	worked               // a worker has done one
	begins               // a fault; Value is its number
	ends
	beginsAgain // the next period of one
	resumes     // a pause is over
	replies     // an outcome at an aggregator
	cuts        // an execution's time is up
	decides     // a round is due
	asks        // a client's query; Value is its load
	again       // a client asks again; Value is its load
	gone        // a client's time is up
	isFree      // an aggregator's own processor comes to what waits next
	isServed    // a query that waited for it
	reads       // strain is told how it stands
	forgets     // nothing more can come of a query
	shares      // a round with the store is due; Value is the round before
	storeHears  // a round comes to the store
	storeTells  // and back
	storeLate   // it did not come back in time
	pings       // the gateway's: pings are due,
	pinged      // one comes,
	pingBack    // and is back; Value is the link
	looks       // gateway wants to be asked
	hops        // a round of the hop is due
	comes       // a query comes from another site
	goesBack    // and its answer goes back
	tripLate    // a trip's time is up
	listed      // the list tells of a replica; Query is its number, Result its standing, Value its start
	stands      // a replica makes a pause by itself
)

// key names an execution among those that a replica has.
type key struct {
	from         int32
	query        int32
	part, number int16
}

type job struct {
	key
	turn uint64 // of its service, so that an old end does nothing
	at   int64  // its service ends
	by   int64  // nobody waits for it from then on
}

// truth is what the oracle may see of a replica.
type truth struct {
	wait  int64
	sound bool
}

// replica is a model: workers that take parts from one queue.
type replica struct {
	outlet
	*Plan
	number  int
	chance  *rand.Rand
	speed   float64
	began   int64 // 0 for long ago
	down    bool
	queue   []job
	busy    []job
	turns   uint64
	under   map[int]bool // faults by number that hold now
	held    bool         // it is paused,
	since   int64        // from then
	until   int64        // until then
	watch   *checker.Replica
	met     int // executions while a fault holds
	falling bool
}

func (r *replica) is(kind string) (Fault, bool) {
	for i := range r.Faults { // in their order
		if r.under[i] && r.Faults[i].Kind == kind {
			return r.Faults[i], true
		}
	}
	return Fault{}, false
}

// phase tells whether a fault with a period is in its bad stretch.
func (f Fault) phase(now int64) bool { return f.Every <= 0 || (now-origin-f.From)%f.Every < f.For }

func (r *replica) hangs(now int64) bool {
	if _, hung := r.is("hang"); hung {
		return true
	}
	f, flaps := r.is("flap")
	return flaps && f.phase(now)
}

func (r *replica) happen(now int64, e agenda.Event) {
	switch e.Kind {
	case arrives:
		r.arrive(now, key{e.From, e.Query, e.Part, e.Number}, int(e.Result), e.Value)
	case dropped:
		r.drop(now, key{e.From, e.Query, e.Part, e.Number})
	case worked:
		r.worked(now, uint64(e.Value))
	case begins, ends:
		r.turn(now, int(e.Value), e.Kind == begins)
	case stands:
		r.hold(now, r.StopFor/2+r.chance.Int64N(r.StopFor+1))
		r.stop(now)
	case resumes:
		if !r.held || now < r.until { // a longer pause has begun meanwhile
			return
		}
		r.held = false
		for i := range r.busy { // what was under way goes on where it was
			r.schedule(now, &r.busy[i], max(r.busy[i].at-r.since, 0))
		}
		r.serve(now)
	}
}

// reply tells an aggregator how an execution ended.
func (r *replica) reply(now int64, k key, result balance.Result, after int64) {
	if _, lost := r.is("silence"); lost || r.apart(now, int(k.from), r.number) {
		return
	}
	r.cause(now, agenda.Event{At: now + after + r.way(), To: k.from, Kind: replies, Query: k.query, Part: k.part, Number: k.number,
		Result: uint8(result)})
}

func (r *replica) way() int64 { return r.Way + int64(r.chance.ExpFloat64()*float64(r.Way)/4) }

const errorTime = int64(1e6)

// arrive takes a part of a load in that is waited for until by.
func (r *replica) arrive(now int64, k key, load int, by int64) {
	if r.apart(now, int(k.from), r.number) {
		return
	}
	if r.down {
		r.reply(now, k, balance.ConnectFailed, 0)
		return
	}
	if len(r.under) > 0 {
		r.met++
	}
	if r.watch.Came(now) {
		r.fall(now)
		return
	}
	if _, errs := r.is("errors"); errs {
		r.reply(now, k, balance.Errored, errorTime)
		return
	}
	if f, some := r.is("unanswered"); r.hangs(now) || some && f.Load == load {
		return
	}
	if r.Room > 0 && len(r.queue) >= r.Room {
		r.reply(now, k, balance.Full, 0)
		return
	}
	r.queue = append(r.queue, job{key: k, by: by})
	r.serve(now)
}

// serve puts waiting parts to work.
func (r *replica) serve(now int64) {
	for !r.held && len(r.busy) < r.Workers && len(r.queue) > 0 {
		j := r.queue[0]
		r.queue = r.queue[1:]
		if r.Expires && now >= j.by {
			continue
		}
		r.busy = append(r.busy, j)
		r.schedule(now, &r.busy[len(r.busy)-1], r.takes(now))
	}
}

func (r *replica) schedule(now int64, j *job, takes int64) {
	r.turns++
	j.turn, j.at = r.turns, now+takes
	r.cause(now, agenda.Event{At: j.at, To: r.self, Kind: worked, Value: int64(j.turn)})
}

// takes draws how long a part takes here and now.
func (r *replica) takes(now int64) int64 {
	t := float64(r.Work) * math.Exp(r.Spread*r.chance.NormFloat64()) * r.speed
	if r.Tail > 0 && r.chance.Float64() < r.Tail {
		t *= math.Pow(1-r.chance.Float64(), -1/1.5) // Pareto's law with a tail of 1.5
	}
	return int64(min(t*r.slower(now), 600e9))
}

// slower is how many times as long a part takes here and now, by faults, cold and crowd.
func (r *replica) slower(now int64) float64 {
	t := 1.0
	if f, slow := r.is("slow"); slow {
		t *= f.Times
	}
	if age := now - r.began; r.began > 0 && age < r.ColdRamp {
		t /= r.ColdShare + (1-r.ColdShare)*float64(age)/float64(r.ColdRamp)
	}
	held := float64(len(r.queue)+len(r.busy)) / float64(r.Workers)
	return t * (1 + r.Crowd*max(held-r.CrowdAt, 0))
}

func (r *replica) worked(now int64, turn uint64) {
	i := slices.IndexFunc(r.busy, func(j job) bool { return j.turn == turn })
	if i < 0 || r.held {
		return
	}
	k := r.busy[i].key
	r.busy = slices.Delete(r.busy, i, i+1)
	if !r.hangs(now) {
		r.reply(now, k, balance.Fulfilled, 0)
	}
	r.serve(now)
}

// drop gives an execution up: it leaves the queue or its worker.
func (r *replica) drop(now int64, k key) {
	same := func(j job) bool { return j.key == k }
	if !r.KeepsPlace {
		r.queue = slices.DeleteFunc(r.queue, same)
	}
	if r.GoesOn {
		return
	}
	if r.busy = slices.DeleteFunc(r.busy, same); !r.held {
		r.serve(now)
	}
}

// die ends all that is there.
func (r *replica) die(now int64) {
	r.down = true
	for _, j := range append(slices.Clone(r.busy), r.queue...) {
		r.reply(now, j.key, balance.Reset, 0)
	}
	r.busy, r.queue = nil, nil
	r.tell(now, balance.Gone)
}

func (r *replica) rise(now int64) {
	r.down, r.began, r.falling = false, now, false
	r.watch.Started(now)
	r.tell(now, balance.Up)
}

// fall has a cold replica that was pushed over die, and come back after a while.
func (r *replica) fall(now int64) {
	if !r.falling {
		r.falling = true
		r.die(now)
		r.cause(now, agenda.Event{At: now + r.ColdRamp, To: r.self, Kind: ends, Value: -1})
	}
}

// tell has the list tell all aggregators of a change, each in its own time.
func (r *replica) tell(now int64, standing balance.Status) {
	for a := range r.Aggregators {
		if r.siteOf(a) != r.siteOfReplica(r.number) {
			continue
		}
		at := now + r.ListDelay + r.chance.Int64N(r.ListDelay+1)
		for _, f := range r.Faults {
			if f.Kind == "list" && at >= origin+f.From && at < origin+f.Until {
				at = origin + f.Until
			}
		}
		r.cause(now, agenda.Event{At: at, To: int32(a), Kind: listed, Query: int32(r.number), Result: uint8(standing), Value: r.began})
	}
}

// turn has a fault begin or end here.
func (r *replica) turn(now int64, number int, begins bool) {
	if number < 0 { // it is back after it was pushed over
		r.rise(now)
		return
	}
	f := r.Faults[number]
	if begins {
		r.under[number] = true
	} else {
		delete(r.under, number)
	}
	switch {
	case f.Kind == "restart" && begins && !r.down:
		r.die(now)
	case f.Kind == "restart" && !begins && !r.falling:
		r.rise(now)
	case f.Kind == "drain" && !r.down:
		standing := balance.Up
		if begins {
			standing = balance.Draining
		}
		r.tell(now, standing)
	case f.Kind == "pause" && begins:
		r.pause(now, number)
	}
}

// hold has all work stand still for so long, or longer where it does already.
func (r *replica) hold(now, d int64) {
	if !r.held {
		r.held, r.since, r.until = true, now, now
	}
	r.until = max(r.until, now+d)
	r.cause(now, agenda.Event{At: r.until, To: r.self, Kind: resumes})
}

// stop has the next pause come that a replica makes by itself.
func (r *replica) stop(now int64) {
	if r.StopEvery > 0 {
		at := now + max(int64(r.chance.ExpFloat64()*float64(r.StopEvery)), 1)
		r.cause(now, agenda.Event{At: at, To: r.self, Kind: stands})
	}
}

// pause has all work stand still for a stretch, and again at each period while the fault holds.
func (r *replica) pause(now int64, number int) {
	f := r.Faults[number]
	if now >= origin+f.Until {
		return
	}
	r.hold(now, f.For)
	if f.Every > f.For {
		r.cause(now, agenda.Event{At: now + f.Every, To: r.self, Kind: begins, Value: int64(number)})
	}
}

// truth is what a part would wait here, for the oracle.
func (r *replica) truth(now int64) truth {
	_, errs := r.is("errors")
	_, lost := r.is("silence")
	work := float64(r.Work) * r.speed * r.slower(now)
	waiting := max(float64(len(r.queue)+len(r.busy)-r.Workers+1), 0)
	return truth{int64(work * (1 + waiting/float64(r.Workers))), !r.down && !errs && !lost && !r.hangs(now) && !r.held}
}
