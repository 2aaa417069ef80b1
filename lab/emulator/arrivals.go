package emulator

import (
	"math"
	"math/rand/v2"
)

// Arrivals are the queries of one load at one aggregator: when they come, and which shards they need. They go by the seed
// alone, so the same come whatever is decided, and whether the fleet is emulated or real.
type Arrivals struct {
	workload *Workload
	rate     float64
	duration int64
	shards   int
	zipf     *zipf
	rng      *rand.Rand
}

// Arrivals are those of a load at an aggregator, both by number.
func (p *Plan) Arrivals(aggregator, load int) *Arrivals {
	// One draw for all loads of an aggregator: where it gets much, it gets much of all.
	share := math.Exp(p.LoadSigma*rand.New(rand.NewPCG(p.Seed, 4<<32+uint64(aggregator))).NormFloat64() - p.LoadSigma*p.LoadSigma/2)
	a := &Arrivals{workload: &p.Workloads[load], duration: p.Duration, shards: p.Shards(),
		rng: rand.New(rand.NewPCG(p.Seed, 2<<32+uint64(aggregator)<<8+uint64(load)))}
	a.rate = a.workload.Rate * share
	if a.workload.Skew > 0 {
		a.zipf = newZipf(a.shards, a.workload.Skew)
	}
	return a
}

// Next is when the next query after a time comes, ns from the run's start; false where none comes any more.
func (a *Arrivals) Next(at int64) (int64, bool) {
	for {
		next, comes := a.nextWithoutWave(at)
		// Of queries that come as at the height of the day so many are left out as it is lower now.
		if l := a.workload; !comes || l.WaveAmplitude <= 0 || l.WavePeriod <= 0 ||
			a.rng.Float64()*(1+l.WaveAmplitude) < 1+l.WaveAmplitude*math.Sin(2*math.Pi*float64(next)/float64(l.WavePeriod)) {
			return next, comes
		}
		at = next
	}
}

// nextWithoutWave is the next by a rate that changes at the edges of bursts alone.
func (a *Arrivals) nextWithoutWave(at int64) (int64, bool) {
	l := a.workload
	for at < a.duration {
		rate, until := a.rate*(1+max(l.WaveAmplitude, 0)), int64(math.MaxInt64)
		if l.BurstInterval > 0 { // a rate that holds until the burst's next edge
			since := at - l.BurstStart
			if since < 0 {
				since = l.BurstInterval + since%l.BurstInterval // the end of a stretch without a burst
			}
			since %= l.BurstInterval
			if until = at - since + l.BurstInterval; since < l.BurstTime && at >= l.BurstStart {
				rate, until = rate*l.BurstFactor, at-since+l.BurstTime
			}
		}
		if next := at + int64(a.rng.ExpFloat64()*1e9/max(rate, 1e-9)); next < until {
			return next, next < a.duration
		}
		at = until // by the law's want of memory the wait begins anew there
	}
	return at, false
}

// DrawShards draws which shards the next query needs: all alike, or by Zipf's law, the first ones hot.
func (a *Arrivals) DrawShards() []int {
	if a.zipf == nil {
		return a.rng.Perm(a.shards)[:a.workload.Parts]
	}
	var all []int
	for seen := map[int]bool{}; len(all) < a.workload.Parts; {
		if s := a.zipf.draw(a.rng); !seen[s] {
			seen[s] = true
			all = append(all, s)
		}
	}
	return all
}

// zipf draws numbers by Zipf's law.
type zipf struct{ cumulative []float64 }

func newZipf(n int, skew float64) *zipf {
	z := &zipf{}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -skew)
		z.cumulative = append(z.cumulative, sum)
	}
	return z
}

func (z *zipf) draw(chance *rand.Rand) int {
	x := chance.Float64() * z.cumulative[len(z.cumulative)-1]
	low, high := 0, len(z.cumulative)-1
	for low < high {
		if mid := (low + high) / 2; z.cumulative[mid] <= x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}
