package rollout

import (
	"fmt"
	"math"
	"slices"
)

// The verdict is a repeated likelihood ratio test on the share of bad answers: those that failed, and those that took several
// times as long as answers of the other versions do on the same route, at the same distance and in the same seconds. A burst, a
// cut or slow machines raise the share of both and so move nothing. A replica that does much worse than the middle one of its
// version counts for little more than that one, so a few replicas in trouble are no evidence against their version.

const (
	// threshold is the logarithm of the likelihood ratio at which a version counts as bad: 1,100 to 1.
	threshold = 7.0
	// suspicious is the ratio, as a logarithm, from which on a version gets no more traffic.
	suspicious = 3.5
	// doubtFactor and doubtShare are by how much more the target's answers may be bad for no reason of its own.
	doubtFactor = 1.5
	doubtShare  = 0.02
	// mostUsual bounds the share that is taken for usual: above it no evidence is to be had.
	mostUsual = 0.6
	// slowBuckets is how many buckets above the median of the other versions an answer is slow: twice as long.
	slowBuckets = 3
	// slowLeast is the bucket below which nothing is slow: 16 ms.
	slowLeast = 8
	// freshSlowBuckets and freshSlowLeast are the same for answers on connections that were just opened, which takes the
	// replica some time: over four times as long, 64 ms.
	freshSlowBuckets = 5
	freshSlowLeast   = 12
	// priorRequests and priorBad are what is taken for known of the other versions before any answer.
	priorRequests = 10.0
	priorBad      = 0.2
	// capBad and capFactor bound a replica's bad answers: so many, and this multiple of what the middle replica's share
	// would make of its requests.
	capBad    = 2.0
	capFactor = 1.5
)

// fades are what is left of a window's counts after a look: one of some three seconds, for what turns bad late, and one of
// some twelve, for what is bad now and then.
var fades = [...]float64{0.92, 0.98}

// test is one of the tests that are made side by side. Failures alone are tested for beside all bad answers, since more
// answers are slow for no reason than fail.
type test struct {
	failures bool    // failed answers alone, else slow ones too
	worseBy  float64 // the rise of the share: a small one takes many requests to find, a large one few
}

// worse says what a test finds, for people.
func (t test) worse() string {
	if t.failures {
		return "fails more"
	}
	return "fails more or is slower"
}

var tests = [...]test{{true, 0.1}, {true, 0.35}, {false, 0.1}, {false, 0.35}}

// ratios are the logarithms of the likelihood ratios, by test.
type ratios [len(tests)]float64

// batch is a count of requests.
type batch struct {
	failed float64
	took   [buckets]float64
}

// grow adds by how much a count has grown.
func (b *batch) grow(now, was Count) {
	b.failed += float64(now.Failed) - float64(was.Failed)
	before := was.unpack()
	for i, n := range now.unpack() {
		b.took[i] += float64(n) - float64(before[i])
	}
}

func (b *batch) add(o *batch) {
	b.failed += o.failed
	for i, n := range o.took {
		b.took[i] += n
	}
}

func (b *batch) fade(by float64) {
	b.failed *= by
	for i := range b.took {
		b.took[i] *= by
	}
}

// requests are all that are counted.
func (b *batch) requests() float64 {
	all, _ := b.badFrom(buckets)
	return all
}

// badFrom returns how many requests there are, and how many of them failed or are in this bucket or beyond.
func (b *batch) badFrom(bucket int) (all, bad float64) {
	all, bad = b.failed, b.failed
	for i, n := range b.took {
		all += n
		if i >= bucket {
			bad += n
		}
	}
	return all, bad
}

// slowFrom is the bucket from which on an answer is slow, by the median of these.
func (b *batch) slowFrom(fresh bool) int {
	total := 0.0
	for _, n := range b.took {
		total += n
	}
	if total < priorRequests {
		return buckets
	}
	left := total / 2
	for i, n := range b.took {
		if left -= n; left < 0 {
			if fresh {
				return max(i+freshSlowBuckets, freshSlowLeast)
			}
			return max(i+slowBuckets, slowLeast)
		}
	}
	return buckets
}

// expectation is what is expected of the target version's answers by those of the others.
type expectation struct {
	slow        int     // the bucket from which on an answer is slow
	failed, bad float64 // shares of the answers
}

// of returns the expected share for a test.
func (e expectation) of(t test) float64 {
	if t.failures {
		return e.failed
	}
	return e.bad
}

// expectedShare is the share of bad answers that a version as good as the others may have.
func expectedShare(bad, all float64) float64 {
	return min((bad+priorBad)/(all+priorRequests)*doubtFactor+doubtShare, mostUsual)
}

// window is what was seen of late.
type window struct {
	fade   float64
	counts map[countKey]*batch
}

func (w *window) take(incoming map[countKey]*batch) {
	for key, b := range w.counts {
		if b.fade(w.fade); !b.matters() {
			delete(w.counts, key)
		}
	}
	for key, b := range incoming {
		if w.counts[key] == nil {
			w.counts[key] = &batch{}
		}
		w.counts[key].add(b)
	}
}

// matters tells whether enough is left of a batch to be kept.
func (b *batch) matters() bool {
	return b.requests() > 0.01
}

// batch is what was seen under a key, empty for nothing.
func (w *window) batch(key countKey) *batch {
	if b := w.counts[key]; b != nil {
		return b
	}
	return &batch{}
}

// expected is what the other versions' answers of a place lead one to expect. Those on connections that were at hand are the
// measure for fresh ones too, of which other versions have few.
func (w *window) expected(place countKey) expectation {
	atHand, fresh := place, place
	atHand.fresh, fresh.fresh = false, true
	used, opened := w.batch(atHand), w.batch(fresh)
	e := expectation{slow: used.slowFrom(place.fresh), failed: expectedShare(used.failed+opened.failed, used.requests()+opened.requests())}
	all, bad := used.badFrom(e.slow)
	e.bad = expectedShare(bad, all)
	return e
}

// weighed is what one replica's answers on one route weigh in one test.
type weighed struct {
	all, bad        float64
	perBad, perGood float64 // what its bad answers weigh together, and the others
}

func (s *weighed) weigh(all, bad, expected, worseBy float64) {
	worse := expected + worseBy
	s.all, s.bad = s.all+all, s.bad+bad
	s.perBad += bad * math.Log(worse/expected)
	s.perGood += (all - bad) * math.Log((1-worse)/(1-expected))
}

// share is the share of its answers that are bad.
func (s *weighed) share() float64 { return s.bad / max(s.all, 1) }

// ratio is what all answers weigh, where those that are bad beyond most count for nothing.
func (s *weighed) ratio(most float64) float64 {
	counts := 1.0
	if s.bad > most {
		counts = most / s.bad
	}
	return counts*s.perBad + s.perGood
}

// replicaOfRoute is one replica of the target version on one route, at any distance.
type replicaOfRoute struct {
	route   uint32
	replica string
}

// trial is how the target version is being tried.
type trial struct {
	single bool // it has one replica alone: none is to be told from others
	alone  bool // nothing new goes to other versions: times have nothing of the same seconds to be compared with
}

// ratios returns the ratios by route, and of all routes together.
func (w *window) ratios(tried trial) (byRoute map[uint32]ratios, together ratios) {
	expected := map[countKey]expectation{}
	byRoute = map[uint32]ratios{}
	for n, t := range tests {
		if tried.alone && !t.failures {
			continue
		}
		replicas := map[replicaOfRoute]*weighed{}
		for key, b := range w.counts {
			if key.replica == "" {
				continue
			}
			place := key
			place.replica = ""
			e, known := expected[place]
			if !known {
				e = w.expected(place)
				expected[place] = e
			}
			at := replicaOfRoute{key.route, key.replica}
			if replicas[at] == nil {
				replicas[at] = &weighed{}
			}
			all, bad := b.badFrom(e.slow)
			if t.failures {
				bad = b.failed
			}
			replicas[at].weigh(all, bad, e.of(t), t.worseBy)
		}
		middles := middleShares(replicas)
		for at, s := range replicas {
			most := capBad + capFactor*middles[at.route]*s.all
			if tried.single {
				most = s.bad
			}
			sums := byRoute[at.route]
			sums[n] += s.ratio(most)
			byRoute[at.route] = sums
			together[n] += s.ratio(most)
		}
	}
	return byRoute, together
}

// middleShares are the medians of the replicas' shares of bad answers, by route.
func middleShares(replicas map[replicaOfRoute]*weighed) map[uint32]float64 {
	shares := map[uint32][]float64{}
	for at, s := range replicas {
		if s.all >= 1 {
			shares[at.route] = append(shares[at.route], s.share())
		}
	}
	middles := map[uint32]float64{}
	for route, all := range shares {
		slices.Sort(all)
		middles[route] = all[len(all)/2]
	}
	return middles
}

// judge takes the verdict on one rollout.
type judge struct {
	windows  [len(fades)]window
	incoming map[countKey]*batch

	target, others batch // all that was ever seen
}

func newJudge() *judge {
	j := &judge{incoming: map[countKey]*batch{}}
	for i, fade := range fades {
		j.windows[i] = window{fade, map[countKey]*batch{}}
	}
	return j
}

// take takes in how a count has grown.
func (j *judge) take(now, was Count) {
	key := now.key()
	if j.incoming[key] == nil {
		j.incoming[key] = &batch{}
	}
	j.incoming[key].grow(now, was)
}

// requests are how many were seen, at the target version and at the others.
func (j *judge) requests() (target, others float64) {
	return j.target.requests(), j.others.requests()
}

// verdict is what a look came to.
type verdict struct {
	bad        bool
	suspicious bool
	reason     string
}

// look takes the verdict on what came in since the last look.
func (j *judge) look(tried trial) (v verdict) {
	for key, b := range j.incoming {
		if key.replica == "" {
			j.others.add(b)
		} else {
			j.target.add(b)
		}
	}
	highest := math.Inf(-1)
	for i := range j.windows {
		j.windows[i].take(j.incoming)
		byRoute, together := j.windows[i].ratios(tried)
		for route, ratios := range byRoute {
			if ratio := slices.Max(ratios[:]); ratio > highest {
				highest, v.reason = ratio, fmt.Sprintf("%s than the version before on route %08x", tests[slices.Index(ratios[:], ratio)].worse(), route)
			}
		}
		if ratio := slices.Max(together[:]); len(byRoute) > 1 && ratio > highest {
			highest, v.reason = ratio, tests[slices.Index(together[:], ratio)].worse()+" than the version before on all routes"
		}
	}
	clear(j.incoming)
	v.bad, v.suspicious = highest >= threshold, highest >= suspicious
	return v
}
