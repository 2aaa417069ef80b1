package emulator

import (
	"math"
	"math/rand/v2"
)

// Arrivals generates the queries of one workload at one aggregator: when they arrive and which shards they need. They depend on
// the seed alone, so they are the same for every policy, and for an emulated fleet and a real one.
type Arrivals struct {
	workload *Workload
	rate     float64
	duration int64
	shards   int
	zipf     *zipf
	rng      *rand.Rand
}

// Arrivals returns the generator of a workload at an aggregator, both by index.
func (p *Plan) Arrivals(aggregator, workload int) *Arrivals {
	// One draw for all workloads of an aggregator, so that a busy aggregator gets more queries of each kind.
	factor := math.Exp(p.LoadSigma*rand.New(rand.NewPCG(p.Seed, 4<<32+uint64(aggregator))).NormFloat64() - p.LoadSigma*p.LoadSigma/2)
	a := &Arrivals{workload: &p.Workloads[workload], duration: p.Duration, shards: p.Shards(),
		rng: rand.New(rand.NewPCG(p.Seed, 2<<32+uint64(aggregator)<<8+uint64(workload)))}
	a.rate = a.workload.Rate * factor
	if a.workload.Skew > 0 {
		a.zipf = newZipf(a.shards, a.workload.Skew)
	}
	return a
}

// Next returns the arrival of the first query after a time, both in ns from the start of the run. It returns false if there is
// none within the duration of the plan.
func (a *Arrivals) Next(at int64) (int64, bool) {
	for {
		next, ok := a.nextWithoutWave(at)
		// Arrivals are drawn at the highest rate of the wave, then thinned to the present rate.
		if l := a.workload; !ok || l.WaveAmplitude <= 0 || l.WavePeriod <= 0 ||
			a.rng.Float64()*(1+l.WaveAmplitude) < 1+l.WaveAmplitude*math.Sin(2*math.Pi*float64(next)/float64(l.WavePeriod)) {
			return next, ok
		}
		at = next
	}
}

// nextWithoutWave returns the next arrival at the highest rate of the wave, which changes only at the edges of bursts.
func (a *Arrivals) nextWithoutWave(at int64) (int64, bool) {
	w := a.workload
	for at < a.duration {
		rate, end := a.rate*(1+max(w.WaveAmplitude, 0)), int64(math.MaxInt64)
		if w.BurstInterval > 0 { // the rate is constant until the next edge of a burst
			since := at - w.BurstStart
			if since < 0 {
				since = w.BurstInterval + since%w.BurstInterval // before the first burst: count back from it, in whole intervals
			}
			since %= w.BurstInterval
			if end = at - since + w.BurstInterval; since < w.BurstTime && at >= w.BurstStart {
				rate, end = rate*w.BurstFactor, at-since+w.BurstTime
			}
		}
		if next := at + int64(a.rng.ExpFloat64()*1e9/max(rate, 1e-9)); next < end {
			return next, next < a.duration
		}
		at = end // exponential waits are memoryless, so the draw can be repeated from the edge
	}
	return at, false
}

// DrawShards draws the shards that the next query needs, uniformly or from a Zipf distribution in which the first shards are hot.
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

// zipf draws numbers from a Zipf distribution, by its cumulative weights.
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

func (z *zipf) draw(rng *rand.Rand) int {
	x := rng.Float64() * z.cumulative[len(z.cumulative)-1]
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
