// Package hunt searches for the schedule of faults that harms a fleet most or makes it violate a rule, and minimizes it. It runs no
// simulation itself: its caller evaluates each schedule.
//
// Decides: which schedule of faults is tried next, which ones are kept for mutation, and what can be left out of the worst one.
package hunt

import (
	"math/rand/v2"
	"slices"

	"willowsill/lab/emulator"
)

// Config bounds the search. Times are in ns from the start of a run.
type Config struct {
	Seed                uint64
	MaxSchedules        int      // maximum number of schedules to try, without those of the minimization
	MaxFaults           int      // maximum number of faults in a schedule
	Replicas            int      // number of replicas of the fleet
	MaxReplicasPerFault int      // maximum number of replicas that one fault may affect
	From                int64    // earliest start of a fault
	Until               int64    // latest end of a fault
	Kinds               []string // kinds of faults to use; empty for all of emulator.FaultKinds
}

// Score says how bad a schedule is. A violated rule is worse than any share of the revenue.
type Score struct {
	Rule  int     // the violated rule, 0 for none
	Share float64 // earned share of the possible revenue
}

func (v Score) worseThan(than Score) bool {
	if (v.Rule > 0) != (than.Rule > 0) {
		return v.Rule > 0
	}
	return v.Share < than.Share
}

// Result is the worst schedule found, minimized.
type Result struct {
	Faults []emulator.Fault
	Score  Score
	Tried  int // number of schedules evaluated
}

const (
	newScheduleShare = 0.25  // share of the schedules that are drawn afresh; the others are mutations of the worst few so far
	poolSize         = 4     // number of worst schedules that are kept for mutation
	shareTolerance   = 0.02  // how much higher the revenue share of a minimized schedule may be
	shrinkStep       = 0.5   // share of a fault's length that remains after one step of shortening
	minFaultNs       = 200e6 // shortest fault that is drawn or kept by shortening
)

// Search looks for the worst schedule by random search and mutation, and minimizes it. With the same configuration and a deterministic
// evaluate the result is always the same. The search ends at the first violated rule.
func Search(c Config, evaluate func([]emulator.Fault) Score) Result {
	if len(c.Kinds) == 0 {
		c.Kinds = emulator.FaultKinds
	}
	rng := rand.New(rand.NewPCG(c.Seed, 9))
	var worst []Result
	result := Result{}
	for n := range c.MaxSchedules {
		var faults []emulator.Fault
		if n < poolSize || rng.Float64() < newScheduleShare {
			for range 1 + rng.IntN(c.MaxFaults) {
				faults = append(faults, c.randomFault(rng))
			}
		} else {
			faults = c.mutate(rng, worst[rng.IntN(len(worst))].Faults)
		}
		result.Tried++
		worst = append(worst, Result{Faults: faults, Score: evaluate(faults)})
		slices.SortStableFunc(worst, func(a, b Result) int {
			switch {
			case a.Score.worseThan(b.Score):
				return -1
			case b.Score.worseThan(a.Score):
				return 1
			}
			return 0
		})
		worst = worst[:min(len(worst), poolSize)]
		if worst[0].Score.Rule > 0 {
			break
		}
	}
	result.Faults, result.Score = worst[0].Faults, worst[0].Score
	c.minimize(&result, evaluate)
	return result
}

// randomFault draws a fault's kind, replicas, times and strength.
func (c *Config) randomFault(rng *rand.Rand) emulator.Fault {
	span := c.Until - c.From
	length := int64(minFaultNs) + rng.Int64N(max(span/2, 1))
	at := c.From + rng.Int64N(max(span-length, 1))
	f := emulator.Fault{Kind: c.Kinds[rng.IntN(len(c.Kinds))], From: at, Until: at + length, Slowdown: 2 + 8*rng.Float64()}
	f.Period = int64(500e6) + rng.Int64N(4e9)
	f.ActiveTime = f.Period/10 + rng.Int64N(f.Period/2)
	f.Replicas = rng.Perm(c.Replicas)[:1+rng.IntN(max(min(c.MaxReplicasPerFault, c.Replicas), 1))]
	slices.Sort(f.Replicas)
	return f
}

// mutate returns a copy of a schedule with one fault redrawn, moved in time, added or removed.
func (c *Config) mutate(rng *rand.Rand, base []emulator.Fault) []emulator.Fault {
	faults := slices.Clone(base)
	i := rng.IntN(len(faults))
	switch n := rng.IntN(4); {
	case n == 0 && len(faults) < c.MaxFaults:
		return append(faults, c.randomFault(rng))
	case n == 1 && len(faults) > 1:
		return slices.Delete(faults, i, i+1)
	case n == 2:
		f := faults[i]
		length := f.Until - f.From
		f.From = c.From + rng.Int64N(max(c.Until-c.From-length, 1))
		f.Until = f.From + length
		faults[i] = f
	default:
		faults[i] = c.randomFault(rng)
	}
	return faults
}

// minimize removes from a schedule what is not needed for its effect: whole faults, then replicas, then time.
//
// Danger: minimizing can lead to a schedule that does its harm in a different way, which would mislead the reader. So each step must
// keep the violated rule, or nearly all of the harm.
func (c *Config) minimize(result *Result, evaluate func([]emulator.Fault) Score) {
	sameEffect := func(v Score) bool {
		if result.Score.Rule > 0 {
			return v.Rule == result.Score.Rule
		}
		return v.Rule > 0 || v.Share <= result.Score.Share+shareTolerance
	}
	try := func(faults []emulator.Fault) bool {
		result.Tried++
		v := evaluate(faults)
		if !sameEffect(v) {
			return false
		}
		result.Faults = faults
		if result.Score.Rule == 0 && v.Rule > 0 {
			result.Score = v
		}
		return true
	}
	for i := len(result.Faults) - 1; i >= 0 && len(result.Faults) > 1; i-- {
		try(slices.Delete(slices.Clone(result.Faults), i, i+1))
	}
	for i := range result.Faults {
		for r := len(result.Faults[i].Replicas) - 1; r >= 0 && len(result.Faults[i].Replicas) > 1; r-- {
			faults := slices.Clone(result.Faults)
			faults[i].Replicas = slices.Delete(slices.Clone(faults[i].Replicas), r, r+1)
			try(faults)
		}
		for range 4 { // keep the first or the second half of the fault, if that is enough
			fault := result.Faults[i]
			length := int64(shrinkStep * float64(fault.Until-fault.From))
			if length < minFaultNs {
				break
			}
			first, second := slices.Clone(result.Faults), slices.Clone(result.Faults)
			first[i].Until, second[i].From = fault.From+length, fault.Until-length
			if !try(first) && !try(second) {
				break
			}
		}
	}
	result.Score = evaluate(result.Faults)
}
