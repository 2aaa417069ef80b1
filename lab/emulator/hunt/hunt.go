// Package hunt looks for the schedule of faults that harms a fleet most, or breaks a rule, and cuts it down to what is needed
// for that. It plays nothing itself: how bad a schedule is, is told to it.
//
// Decides: which schedule of faults is tried next, which one is kept, and what can be left out of it.
package hunt

import (
	"math/rand/v2"
	"slices"

	"willowsill/lab/emulator"
)

// Terms bound the search. Times in ns.
type Terms struct {
	Seed     uint64
	Tries    int // schedules that are tried
	Faults   int // of a schedule at most
	Replicas int
	Most     int // replicas that one fault may befall
	From     int64
	Until    int64
	Kinds    []string // that may befall; all where there are none
}

// Verdict is how a schedule went: a broken rule is worse than any share.
type Verdict struct {
	Rule  int // 0 for none
	Share float64
}

func (v Verdict) worse(than Verdict) bool {
	if (v.Rule > 0) != (than.Rule > 0) {
		return v.Rule > 0
	}
	return v.Share < than.Share
}

// Found is the worst schedule.
type Found struct {
	Faults  []emulator.Fault
	Verdict Verdict
	Tried   int
}

const (
	fresh   = 0.25 // of the tries are new schedules, the others small changes of the worst few so far
	kept    = 4    // schedules that are changed further
	allowed = 0.02 // of the share that a cut-down schedule may be milder
	step    = 0.5  // of a fault's length that is cut off at a time
	least   = 200e6
)

// Search looks for the worst schedule and cuts it down. With the same terms and the same judge it finds the same.
func Search(t Terms, judge func([]emulator.Fault) Verdict) Found {
	if len(t.Kinds) == 0 {
		t.Kinds = emulator.Kinds
	}
	chance := rand.New(rand.NewPCG(t.Seed, 9))
	var best []Found
	f := Found{}
	for n := range t.Tries {
		var faults []emulator.Fault
		if n < kept || chance.Float64() < fresh {
			for range 1 + chance.IntN(t.Faults) {
				faults = append(faults, t.draw(chance))
			}
		} else {
			faults = t.change(chance, best[chance.IntN(len(best))].Faults)
		}
		f.Tried++
		best = append(best, Found{Faults: faults, Verdict: judge(faults)})
		slices.SortStableFunc(best, func(a, b Found) int {
			switch {
			case a.Verdict.worse(b.Verdict):
				return -1
			case b.Verdict.worse(a.Verdict):
				return 1
			}
			return 0
		})
		best = best[:min(len(best), kept)]
		if best[0].Verdict.Rule > 0 {
			break
		}
	}
	f.Faults, f.Verdict = best[0].Faults, best[0].Verdict
	t.cut(&f, judge)
	return f
}

// draw makes a fault by chance.
func (t *Terms) draw(chance *rand.Rand) emulator.Fault {
	span := t.Until - t.From
	length := int64(least) + chance.Int64N(max(span/2, 1))
	at := t.From + chance.Int64N(max(span-length, 1))
	f := emulator.Fault{Kind: t.Kinds[chance.IntN(len(t.Kinds))], From: at, Until: at + length, Times: 2 + 8*chance.Float64()}
	f.Every = int64(500e6) + chance.Int64N(4e9)
	f.For = f.Every/10 + chance.Int64N(f.Every/2)
	f.Replicas = chance.Perm(t.Replicas)[:1+chance.IntN(max(min(t.Most, t.Replicas), 1))]
	slices.Sort(f.Replicas)
	return f
}

// change is a schedule with one fault drawn anew, moved, added or left out.
func (t *Terms) change(chance *rand.Rand, was []emulator.Fault) []emulator.Fault {
	faults := slices.Clone(was)
	i := chance.IntN(len(faults))
	switch n := chance.IntN(4); {
	case n == 0 && len(faults) < t.Faults:
		return append(faults, t.draw(chance))
	case n == 1 && len(faults) > 1:
		return slices.Delete(faults, i, i+1)
	case n == 2:
		f := faults[i]
		length := f.Until - f.From
		f.From = t.From + chance.Int64N(max(t.Until-t.From-length, 1))
		f.Until = f.From + length
		faults[i] = f
	default:
		faults[i] = t.draw(chance)
	}
	return faults
}

// cut leaves out of a schedule what it does not need: whole faults, then replicas, then time.
//
// Danger: a long schedule shows what went wrong to nobody; but one that is cut until the harm is another's would mislead, so
// each cut must keep the rule, or nearly all of the harm.
func (t *Terms) cut(f *Found, judge func([]emulator.Fault) Verdict) {
	as := func(v Verdict) bool {
		if f.Verdict.Rule > 0 {
			return v.Rule == f.Verdict.Rule
		}
		return v.Rule > 0 || v.Share <= f.Verdict.Share+allowed
	}
	try := func(faults []emulator.Fault) bool {
		f.Tried++
		v := judge(faults)
		if !as(v) {
			return false
		}
		f.Faults = faults
		if f.Verdict.Rule == 0 && v.Rule > 0 {
			f.Verdict = v
		}
		return true
	}
	for i := len(f.Faults) - 1; i >= 0 && len(f.Faults) > 1; i-- {
		try(slices.Delete(slices.Clone(f.Faults), i, i+1))
	}
	for i := range f.Faults {
		for r := len(f.Faults[i].Replicas) - 1; r >= 0 && len(f.Faults[i].Replicas) > 1; r-- {
			faults := slices.Clone(f.Faults)
			faults[i].Replicas = slices.Delete(slices.Clone(faults[i].Replicas), r, r+1)
			try(faults)
		}
		for range 4 { // halves of its time
			was := f.Faults[i]
			length := int64(step * float64(was.Until-was.From))
			if length < least {
				break
			}
			first, second := slices.Clone(f.Faults), slices.Clone(f.Faults)
			first[i].Until, second[i].From = was.From+length, was.Until-length
			if !try(first) && !try(second) {
				break
			}
		}
	}
	f.Verdict = judge(f.Faults)
}
