// Package zonehealth knows when a whole zone of replicas is out of this aggregator's reach: cut off, or lost. An aggregator that meets each
// replica once in some seconds would find them out one by one, at the cost of a query each; what fails in one zone and nowhere
// else it finds out by the first query. It does no I/O, has no clock and is owned by one caller at a time.
//
// Decides: which zones are out of reach; by how many of their replicas, and when, one is tried again.
//
// Nothing here chooses a replica. Those of a zone out of reach are passed over by a word to the module, as slow ones are, and
// serve where no other can.
package zonehealth

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"

	"willowsill/balance"
	"willowsill/internal/counters"
)

const (
	tooLong  = 4    // an execution that the shortest latency goal / this brought nothing of counts as failed
	tryAfter = 1    // rests until a zone is tried,
	tryMost  = 2    // doubled up to so many rests
	trySome  = 0.25 // of its replicas are let in for a try,
	tryLeast = 2    // and at least so many
)

// Terms are what a Tracker is made from.
type Terms struct {
	Rest int64 // the first rest of a replica that is set aside, ns: the scale of all times here
	Few  int   // replicas of one zone that have to fail, with none of it heard between
	Seed uint64
}

// Check tells what is wrong with the terms.
func (t Terms) Check() error {
	if t.Rest <= 0 {
		return fmt.Errorf("the rest is %d ns, not above 0", t.Rest)
	}
	if t.Few < 2 {
		return fmt.Errorf("%d failed replicas tell nothing of a zone, two do at least", t.Few)
	}
	return nil
}

type replica struct {
	zone   int  // index of its zone + 1, 0 for one that is not listed or has none
	failed int  // the zone's turn in which it was last counted as failed
	barred bool // the module has been told that it is out of reach
	anew   bool // listed since its zone went out of reach, and nothing has failed there since
}

type zone struct {
	name     string
	replicas int // listed
	turn     int // rises with each answer: failures of earlier turns do not count
	failures int // replicas that failed in this turn
	heard    int64
	out      bool
	wait     int64 // until the next try, ns
	tryAt    int64 // the next try
	trying   bool  // some are let in, and nothing has been sent to them yet
	open     int   // trying: replicas still to be let in, of
	rest     int   // so many still to be drawn from
}

// Figures may be read at any time.
type Figures struct {
	Found counters.Count `json:"found"` // how often a zone was found out of reach,
	Back  counters.Count `json:"back"`  // and one of those answered again
	Tries counters.Count `json:"tries"`
}

// MarshalJSON encodes the present values.
func (f *Figures) MarshalJSON() ([]byte, error) {
	type plain Figures
	return json.Marshal((*plain)(f))
}

// Tracker keeps the zones of one aggregator.
type Tracker struct {
	terms    Terms
	chance   *rand.Rand
	replicas []replica
	zones    []zone
	stale    bool  // the module's words are to be looked over
	next     int64 // the soonest try, math.MaxInt64 for none
	Figures  *Figures
}

// New makes a Tracker with no replicas.
func New(t Terms) *Tracker {
	return &Tracker{terms: t, chance: rand.New(rand.NewPCG(t.Seed, t.Seed^0x9e3779b97f4a7c15)), next: math.MaxInt64, Figures: &Figures{}}
}

// Listed tells that a replica is listed as up, in which zone, and whether anything was known of it before; an empty zone is none.
func (f *Tracker) Listed(i int, name string, known bool) {
	for len(f.replicas) <= i {
		f.replicas = append(f.replicas, replica{})
	}
	r, z := &f.replicas[i], 0
	if name != "" {
		z = f.place(name)
	}
	if r.zone == z && known {
		return
	}
	f.drop(i)
	if !known {
		r.barred = false // the module has forgotten it
	}
	if r.zone = z; z > 0 {
		f.zones[z-1].replicas++
		// Danger: a zone that was lost comes back with new processes; found out by tries alone it would bear nothing for seconds.
		r.anew, f.stale = true, true
	} else if r.barred {
		f.stale = true
	}
}

// Gone tells that a replica is no longer listed as up.
func (f *Tracker) Gone(i int) {
	if i < len(f.replicas) {
		f.drop(i)
	}
}

func (f *Tracker) drop(i int) {
	if r := &f.replicas[i]; r.zone > 0 {
		z := &f.zones[r.zone-1]
		z.replicas--
		if r.failed == z.turn {
			z.failures--
		}
		r.zone, r.failed = 0, -1
		// Danger: with its last replica a zone is no longer one that can take over. If it was the last such zone, the
		// zones out of reach are to be let in again; that their own replicas are unchanged must not hide it.
		f.stale = f.stale || r.barred || z.replicas == 0
	}
}

func (f *Tracker) place(name string) int {
	empty := -1
	for i := range f.zones {
		switch {
		case f.zones[i].name == name:
			return i + 1
		case f.zones[i].replicas == 0:
			empty = i
		}
	}
	// Danger: a list that names new zones all day would grow this for as long as the process runs.
	if empty >= 0 {
		f.zones[empty] = zone{name: name, turn: 1}
		return empty + 1
	}
	f.zones = append(f.zones, zone{name: name, turn: 1})
	return len(f.zones)
}

func (f *Tracker) zone(i int) int {
	if i >= len(f.replicas) {
		return -1
	}
	return f.replicas[i].zone - 1
}

// Sent tells that an execution was sent to a replica. One is enough of a try: the others of its zone wait for what becomes of it.
func (f *Tracker) Sent(now int64, i int) {
	z := f.zone(i)
	if z < 0 || !f.zones[z].trying || f.replicas[i].barred {
		return
	}
	f.zones[z].trying = false
	f.Figures.Tries.Add(1)
	f.again(now, z)
}

// again puts off the next try.
func (f *Tracker) again(now int64, z int) {
	v := &f.zones[z]
	v.tryAt = now + int64(float64(v.wait)*(0.5+f.chance.Float64()))
	v.wait = min(2*v.wait, tryMost*f.terms.Rest)
	f.next = min(f.next, v.tryAt)
	f.stale = true
}

// Ended tells how an execution at a replica ended, and how long after its send, ns.
func (f *Tracker) Ended(now int64, i int, result balance.Result, took int64) {
	z := f.zone(i)
	if z < 0 {
		return
	}
	v, r := &f.zones[z], &f.replicas[i]
	switch result {
	case balance.Fulfilled, balance.Errored, balance.Full: // it can be reached
		v.turn++
		v.failures, v.heard = 0, now
		if v.out {
			v.out, v.trying, f.stale = false, false, true
			f.Figures.Back.Add(1)
		}
		return
	case balance.ConnectFailed, balance.Reset:
	default:
		if took < f.terms.Rest/tooLong {
			return
		}
	}
	// Danger: what was sent before the zone was last heard and fails now is one replica's trouble, or that of the way there.
	if now-took < v.heard || r.failed == v.turn {
		return
	}
	if r.failed = v.turn; r.anew {
		r.anew, f.stale = false, true
	}
	if v.failures++; v.failures >= f.terms.Few && !v.out {
		v.out, v.wait, v.trying = true, tryAfter*f.terms.Rest, false
		for i := range f.replicas {
			if f.replicas[i].zone == z+1 {
				f.replicas[i].anew = false
			}
		}
		f.Figures.Found.Add(1)
		f.again(now, z)
	}
}

// Next is when Decide has something to do at the latest; math.MaxInt64 for no such time.
func (f *Tracker) Next() int64 {
	if f.stale {
		return math.MinInt64
	}
	return f.next
}

// Decide appends what the module is to be told now.
func (f *Tracker) Decide(now int64, words []balance.Word) []balance.Word {
	if now < f.Next() {
		return words
	}
	f.next = math.MaxInt64
	sound := 0
	for z := range f.zones {
		v := &f.zones[z]
		// Danger: those let in may all be full or set aside; with no others drawn the zone would be out for ever.
		if v.out && now >= v.tryAt {
			v.trying, v.tryAt, f.stale = true, now+v.wait, true
		}
		if v.out {
			f.next = min(f.next, v.tryAt)
		}
		v.open, v.rest = 0, v.replicas
		if v.trying {
			v.open = min(max(tryLeast, int(trySome*float64(v.replicas))), v.replicas)
		}
		if v.replicas > 0 && !v.out {
			sound++
		}
	}
	if !f.stale {
		return words
	}
	f.stale = false
	for i := range f.replicas {
		r := &f.replicas[i]
		bar := false
		// Danger: where no zone is sound the trouble is this aggregator's own, and none is worse than another.
		if r.zone > 0 && sound > 0 {
			v := &f.zones[r.zone-1]
			lets := f.lets(v)
			bar = v.out && !r.anew && !lets
		}
		if bar != r.barred {
			r.barred = bar
			w := balance.Word{Replica: i, Away: now}
			if bar {
				w.Away = math.MaxInt64
			}
			words = append(words, w)
		}
	}
	return words
}

// lets draws whether the next replica of a zone is let in for a try: just so many are, any as likely as any other.
func (f *Tracker) lets(v *zone) bool {
	lets := v.open > 0 && f.chance.Float64()*float64(v.rest) < float64(v.open)
	if v.rest--; lets {
		v.open--
	}
	return lets
}

// Heed merges what others say of a replica with what is known here.
func (f *Tracker) Heed(w balance.Word) balance.Word {
	if w.Replica < len(f.replicas) && f.replicas[w.Replica].barred {
		w.Away = math.MaxInt64
	}
	return w
}

// Out appends the names of the zones that are out of reach.
func (f *Tracker) Out(names []string) []string {
	for _, z := range f.zones {
		if z.out {
			names = append(names, z.name)
		}
	}
	return names
}

// End appends what the module is to be told as nobody knows of zones any longer.
func (f *Tracker) End(now int64, words []balance.Word) []balance.Word {
	for i := range f.replicas {
		if f.replicas[i].barred {
			words = append(words, balance.Word{Replica: i, Away: now})
		}
	}
	return words
}
