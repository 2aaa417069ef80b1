package sharedhealth

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"willowsill/balance"
)

const (
	hearFor      = 4      // rounds that a record counts: then its writer is silent on it, or gone
	holdsFor     = 3      // rounds that a word holds without being said again
	witnesses    = 2      // independent ones at least, for anything
	several      = 4      // that are believed at once
	accuseMost   = 0.4    // of its replicas: a witness that accuses more is itself in trouble
	accuseFew    = 3      // accused at least, for that
	excludeMost  = 1. / 3 // of a cell's replicas that hearsay may have passed over at a time, one at least
	tries        = 2.0    // that all aggregators together make in a rest at a replica set aside
	splitMost    = 8      // rests that a try is put off by at most
	slowFrom     = 2.0    // times the typical is slow where it was met often,
	slowFew      = 1.5    // and so much more over the number of calls where it was not: any part may be a heavy one
	wellFor      = 2e9    // ns since it last served: still well
	paceHeard    = 8.0    // the highest pace that is gone by
	recordsMost  = 1024   // that are kept of others, the newest
	testifiedFor = 8e9    // ns: an older finding is no news
	rumoursFor   = 60e9   // ns that one off the list is remembered
	relapseIn    = 20e9   // ns: spoken against again within so long, it is not yet mended, and each time
	relapseHolds = 4e9    // ns longer a word holds, whoever finds it well,
	relapseMost  = 3      // so many times at most
	releaseOver  = 6e9    // ns, by chance, that a word holds on when nobody says it any more
)

// Survey is what this aggregator knows itself at one time.
type Survey struct {
	Findings []balance.Finding
	Keys     []uint64  // of each finding's replica
	Demand   []float64 // queries of each quota's customer since the survey before
	Left     []float64 // tokens of each that the purse still holds
}

// witness is another aggregator's last record.
type witness struct {
	Record
	heard int64 // when it was read here
	fresh int64 // how old it was then by the store's clock, ns
}

// rumour is what is kept of one replica.
type rumour struct {
	split int64        // the rest whose end was put off last
	since int64        // it has been spoken against since then, 0 for not
	word  balance.Word // the last on its pace; Weight 0 for none that still holds
	until int64        // that holds so long without being said again
	late  int64        // after it was last said
	last  int64        // it was last spoken against
	again int          // times that this began anew soon after
	seen  int64        // it was last on the list
}

// hearsay weighs what others found. The zero value is not usable; see newHearsay.
type hearsay struct {
	round, rest int64
	chance      *rand.Rand
	others      map[string]*witness
	rumours     map[uint64]*rumour
	accused     map[uint64]bool // by another lately: whoever finds them well says so
	words       []balance.Word
	counted     map[uint64]*count
}

// count is what the witnesses say of one replica.
type count struct {
	aside, failing, slow, well int
	paces                      []float64
	olds, wells                []int64 // how old the findings are, against it and for it
}

// against is how many speak against it.
func (c *count) against() int { return c.aside + c.failing + c.slow }

func newHearsay(round, rest int64, chance *rand.Rand) *hearsay {
	return &hearsay{round: round, rest: rest, chance: chance, others: map[string]*witness{},
		rumours: map[uint64]*rumour{}, accused: map[uint64]bool{}, counted: map[uint64]*count{}}
}

// record is one that was read; clock is the store's time then. It tells whether it was taken.
//
// Danger: what a restart or an older copy of the store left behind must not be heard again: only what is higher in
// incarnation, or the same with a higher sequence, replaces what is known.
func (h *hearsay) record(now, clock int64, name string, r Record) bool {
	age := clock - r.At
	if age < -h.round || age > hearFor*h.round {
		return false
	}
	was := h.others[name]
	if was != nil && (r.Incarnation < was.Incarnation ||
		r.Incarnation == was.Incarnation && r.Sequence < was.Sequence) {
		return false
	}
	if was == nil && len(h.others) >= recordsMost {
		return false
	}
	h.others[name] = &witness{r, now, max(age, 0)}
	return true
}

// age is how old a witness's record is.
func (h *hearsay) age(now int64, w *witness) int64 { return now - w.heard + w.fresh }

// credible tells whether a witness is heard on what fails. Danger: one that is itself cut off or starved finds most
// replicas failing, and would have all others leave what is sound.
func (w *witness) credible() bool {
	return w.Accused < accuseFew || float64(w.Accused) <= accuseMost*float64(w.Replicas)
}

// tally counts what is said of each replica.
func (h *hearsay) tally(now int64) {
	clear(h.counted)
	clear(h.accused)
	for name, w := range h.others {
		if h.age(now, w) > hearFor*h.round {
			delete(h.others, name)
			continue
		}
		for _, t := range w.Testimonies {
			c := h.counted[t.Key]
			if c == nil {
				c = &count{}
				h.counted[t.Key] = c
			}
			old := t.Old + h.age(now, w)
			switch {
			case t.Verdict == FoundWell:
				c.wells = append(c.wells, old)
				continue
			case !w.credible() || old > testifiedFor:
				continue
			case t.Verdict == FoundAside:
				c.aside++
			case t.Verdict == FoundFailing:
				c.failing++
			case t.Verdict == FoundSlow:
				c.slow++
			}
			// A failure costs a further execution, however fast it came.
			if t.Verdict != FoundSlow {
				t.Pace = paceHeard
			}
			c.paces = append(c.paces, t.Pace)
			c.olds = append(c.olds, old)
			h.accused[t.Key] = true
		}
	}
	// Danger: in the first seconds of a trouble more have met the replica before it than since. Who found it well
	// counts only where that is later than what half of those found who speak against it.
	for _, c := range h.counted {
		slices.Sort(c.olds)
		for _, old := range c.wells {
			if len(c.olds) == 0 || old < c.olds[len(c.olds)/2] {
				c.well++
			}
		}
	}
}

// weigh makes words of what the witnesses say; live is how many aggregators there are.
func (h *hearsay) weigh(now int64, s Survey, live int) []balance.Word {
	h.words = h.words[:0]
	h.tally(now)
	cells := map[int]*cell{}
	for i, f := range s.Findings {
		if cells[f.Cell] == nil {
			cells[f.Cell] = &cell{}
		}
		cells[f.Cell].listed++
		r := h.rumours[s.Keys[i]]
		if r == nil {
			r = &rumour{}
			h.rumours[s.Keys[i]] = r
		}
		r.seen = now
	}
	selfCut := h.selfCut(s)
	for _, i := range h.gravest(s) {
		f, said := s.Findings[i], h.counted[s.Keys[i]]
		if said == nil {
			said = &count{}
		}
		r, c := h.rumours[s.Keys[i]], cells[f.Cell]
		w := balance.Word{Replica: f.Replica, Until: now + holdsFor*h.round}
		against := said.against()
		if against < witnesses || against <= said.well {
			r.since = 0
			// Danger: as the last testimony fades a hundred aggregators would try the replica at once, and lose a
			// query each. So they come back one by one; what the first finds the others hear.
			mended := said.well > against && now >= r.last+int64(r.again)*relapseHolds
			if r.word.Weight > 0 && !mended && now < r.until && c.passed < c.most() {
				c.passed++
				w.Pace, w.Weight = r.word.Pace, r.word.Weight
			} else {
				r.word.Weight = 0
			}
		} else {
			if r.since == 0 {
				// Danger: one that fails and recovers by turns is found well by some in each good turn.
				if r.since = now; r.last > 0 && now-r.last < relapseIn {
					r.again = min(r.again+1, relapseMost)
				} else {
					r.again = 0
				}
			}
			r.last = now
			w.Suspect = said.aside+said.failing >= witnesses
			// Danger: where every replica fails now and then, at any time some aggregator has just met that. Those
			// who find it well need a round to say so; only two that set it aside are believed at once, or several
			// whom nobody contradicts.
			if (said.aside >= witnesses || against >= several && said.well == 0 || now-r.since >= h.round/2) &&
				c.passed < c.most() {
				c.passed++
				slices.Sort(said.paces)
				w.Pace, w.Weight = min(said.paces[len(said.paces)/2], paceHeard), float64(against)
				if r.word.Weight == 0 {
					r.late = int64(h.chance.Float64() * releaseOver)
				}
				r.word, r.until = w, now+r.late+int64(r.again)*relapseHolds
			}
		}
		switch {
		case !f.Aside:
		case said.well >= witnesses && said.well > against && !selfCut:
			// Others have seen it well: the rest ends soon, not for all at once.
			if f.Trickle > now+h.rest/2 {
				w.Try = now + int64(h.chance.Float64()*float64(h.rest)/2)
			}
		case said.aside >= witnesses && f.Trickle > now && r.split != f.Trickle:
			// Danger: a hundred aggregators that all try a replica when its rest is over hold it down, and each
			// loses a query by it. A few tries a rest are enough to find out, and all hear of them.
			if put := min(float64(live)/tries, splitMost) - 1; put > 0 {
				w.Try = f.Trickle + int64(h.chance.Float64()*put*float64(h.rest))
				r.split = w.Try
			}
		}
		if w.Suspect || w.Weight > 0 || w.Try > 0 {
			h.words = append(h.words, w)
		}
	}
	for key, r := range h.rumours {
		if now-r.seen > rumoursFor {
			delete(h.rumours, key)
		}
	}
	return h.words
}

// cell is what is reckoned of the replicas of a cell.
type cell struct{ listed, passed int }

// most is how many of them hearsay may have passed over: never one that is alone.
func (c *cell) most() int {
	if c.listed < 2 {
		return 0
	}
	return max(int(excludeMost*float64(c.listed)), 1)
}

// gravest are the findings on replicas that are or were spoken of, those that most speak against first.
func (h *hearsay) gravest(s Survey) (order []int) {
	for i, key := range s.Keys {
		if h.counted[key] != nil || h.rumours[key].word.Weight > 0 {
			order = append(order, i)
		}
	}
	against := func(i int) int {
		if c := h.counted[s.Keys[i]]; c != nil {
			return c.against()
		}
		return 0
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(against(j), against(i)) })
	return order
}

// selfCut tells whether this aggregator itself finds most failing: then others' good word is not for it.
func (h *hearsay) selfCut(s Survey) bool {
	accused := accusations(s)
	return accused >= accuseFew && float64(accused) > accuseMost*float64(len(s.Findings))
}

func accusations(s Survey) (n int) {
	for _, f := range s.Findings {
		if f.Aside || f.Failed > 0 {
			n++
		}
	}
	return n
}

// testify makes this aggregator's record: the gravest first, and what others accuse and it finds well.
func (h *hearsay) testify(now int64, s Survey) Record {
	r := Record{Replicas: len(s.Findings), Accused: accusations(s)}
	for i, f := range s.Findings {
		t := Testimony{Key: s.Keys[i], Pace: f.Pace}
		well := f.Heard > f.Failed && f.Heard > now-wellFor
		switch {
		case f.Aside && !(well && f.Failed == 0):
			t.Verdict, t.Old = FoundAside, now-max(f.Failed, f.Heard)
			if f.Failed > 0 {
				t.Old = now - f.Failed
			}
		case f.Failed > 0 && now-f.Failed < testifiedFor:
			t.Verdict, t.Old = FoundFailing, now-f.Failed
		case f.Met > 0 && f.Pace >= slowFrom+slowFew/f.Met && now-f.Heard < testifiedFor:
			t.Verdict, t.Old = FoundSlow, max(now-f.Heard, 0)
		case h.accused[t.Key] && well:
			t.Verdict, t.Old = FoundWell, now-f.Heard
		default:
			continue
		}
		r.Testimonies = append(r.Testimonies, t)
	}
	grave := func(t Testimony) float64 {
		return map[Verdict]float64{FoundAside: 4000, FoundFailing: 3000, FoundWell: 2000, FoundSlow: 1000}[t.Verdict] + math.Min(t.Pace, 999)
	}
	slices.SortStableFunc(r.Testimonies, func(a, b Testimony) int { return cmp.Compare(grave(b), grave(a)) })
	r.Testimonies = r.Testimonies[:min(len(r.Testimonies), findingMost)]
	return r
}
