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
	// suspicionThreshold is the ratio, as a logarithm, from which on a version gets no more traffic.
	suspicionThreshold = 3.5
	// toleranceFactor and doubtShare are by how much more the target's answers may be bad for no reason of its own.
	toleranceFactor = 1.5
	toleranceShare  = 0.02
	// maxExpectedShare bounds the share that is taken for usual: above it no evidence is to be had.
	maxExpectedShare = 0.6
	// slowBuckets is how many buckets above the median of the other versions an answer is slow: twice as long.
	slowBuckets = 3
	// minSlowBucket is the bucket below which nothing is slow: 16 ms.
	minSlowBucket = 8
	// newConnectionSlowBuckets and freshSlowLeast are the same for answers on connections that were just opened, which takes the
	// replica some time: over four times as long, 64 ms.
	newConnectionSlowBuckets   = 5
	newConnectionMinSlowBucket = 12
	// priorRequests and priorBad are what is taken for known of the other versions before any answer.
	priorRequests = 10.0
	priorBad      = 0.2
	// badCapBase and capFactor bound a replica's bad answers: so many, and this multiple of what the middle replica's share
	// would make of its requests.
	badCapBase   = 2.0
	badCapFactor = 1.5
)

// decayFactors are what is left of a window's counts after a look: one of some three seconds, for what turns bad late, and one of
// some twelve, for what is bad now and then.
var decayFactors = [...]float64{0.92, 0.98}

// hypothesis is one of the tests that are made side by side. Failures alone are tested for beside all bad answers, since more
// answers are slow for no reason than fail.
type hypothesis struct {
	failuresOnly bool    // failed answers alone, else slow ones too
	increase     float64 // the rise of the share: a small one takes many requests to find, a large one few
}

// description says what a test finds, for people.
func (t hypothesis) description() string {
	if t.failuresOnly {
		return "fails more"
	}
	return "fails more or is slower"
}

var hypotheses = [...]hypothesis{{true, 0.1}, {true, 0.35}, {false, 0.1}, {false, 0.35}}

// logRatios are the logarithms of the likelihood ratios, by test.
type logRatios [len(hypotheses)]float64

// sample is a count of requests.
type sample struct {
	failed    float64
	latencies [buckets]float64
}

// addGrowth adds by how much a count has grown.
func (b *sample) addGrowth(now, was OutcomeCounts) {
	b.failed += float64(now.Failed) - float64(was.Failed)
	before := was.unpack()
	for i, n := range now.unpack() {
		b.latencies[i] += float64(n) - float64(before[i])
	}
}

func (b *sample) add(o *sample) {
	b.failed += o.failed
	for i, n := range o.latencies {
		b.latencies[i] += n
	}
}

func (b *sample) decay(by float64) {
	b.failed *= by
	for i := range b.latencies {
		b.latencies[i] *= by
	}
}

// total are all that are counted.
func (b *sample) total() float64 {
	all, _ := b.totalAndBad(buckets)
	return all
}

// totalAndBad returns how many requests there are, and how many of them failed or are in this bucket or beyond.
func (b *sample) totalAndBad(bucket int) (all, bad float64) {
	all, bad = b.failed, b.failed
	for i, n := range b.latencies {
		all += n
		if i >= bucket {
			bad += n
		}
	}
	return all, bad
}

// slowBucket is the bucket from which on an answer is slow, by the median of these.
func (b *sample) slowBucket(fresh bool) int {
	total := 0.0
	for _, n := range b.latencies {
		total += n
	}
	if total < priorRequests {
		return buckets
	}
	left := total / 2
	for i, n := range b.latencies {
		if left -= n; left < 0 {
			if fresh {
				return max(i+newConnectionSlowBuckets, newConnectionMinSlowBucket)
			}
			return max(i+slowBuckets, minSlowBucket)
		}
	}
	return buckets
}

// baseline is what is expected of the target version's answers by those of the others.
type baseline struct {
	slowBucket            int     // the bucket from which on an answer is slow
	failedShare, badShare float64 // shares of the answers
}

// share returns the expected share for a test.
func (e baseline) share(t hypothesis) float64 {
	if t.failuresOnly {
		return e.failedShare
	}
	return e.badShare
}

// expectedShare is the share of bad answers that a version as good as the others may have.
func expectedShare(bad, all float64) float64 {
	return min((bad+priorBad)/(all+priorRequests)*toleranceFactor+toleranceShare, maxExpectedShare)
}

// window is what was seen of late.
type window struct {
	decayFactor float64
	counts      map[countKey]*sample
}

func (w *window) merge(incoming map[countKey]*sample) {
	for key, b := range w.counts {
		if b.decay(w.decayFactor); !b.significant() {
			delete(w.counts, key)
		}
	}
	for key, b := range incoming {
		if w.counts[key] == nil {
			w.counts[key] = &sample{}
		}
		w.counts[key].add(b)
	}
}

// significant tells whether enough is left of a batch to be kept.
func (b *sample) significant() bool {
	return b.total() > 0.01
}

// sample is what was seen under a key, empty for nothing.
func (w *window) sample(key countKey) *sample {
	if b := w.counts[key]; b != nil {
		return b
	}
	return &sample{}
}

// baseline is what the other versions' answers of a place lead one to expect. Those on connections that were at hand are the
// measure for fresh ones too, of which other versions have few.
func (w *window) baseline(place countKey) baseline {
	atHand, fresh := place, place
	atHand.newConnection, fresh.newConnection = false, true
	used, opened := w.sample(atHand), w.sample(fresh)
	e := baseline{slowBucket: used.slowBucket(place.newConnection), failedShare: expectedShare(used.failed+opened.failed, used.total()+opened.total())}
	all, bad := used.totalAndBad(e.slowBucket)
	e.badShare = expectedShare(bad, all)
	return e
}

// replicaScore is what one replica's answers on one route weigh in one test.
type replicaScore struct {
	total, bad            float64
	badWeight, goodWeight float64 // what its bad answers weigh together, and the others
}

func (s *replicaScore) add(all, bad, expected, worseBy float64) {
	worse := expected + worseBy
	s.total, s.bad = s.total+all, s.bad+bad
	s.badWeight += bad * math.Log(worse/expected)
	s.goodWeight += (all - bad) * math.Log((1-worse)/(1-expected))
}

// badShare is the share of its answers that are bad.
func (s *replicaScore) badShare() float64 { return s.bad / max(s.total, 1) }

// logRatio is what all answers weigh, where those that are bad beyond most count for nothing.
func (s *replicaScore) logRatio(most float64) float64 {
	counts := 1.0
	if s.bad > most {
		counts = most / s.bad
	}
	return counts*s.badWeight + s.goodWeight
}

// routeReplica is one replica of the target version on one route, at any distance.
type routeReplica struct {
	route   uint32
	replica string
}

// conditions is how the target version is being tried.
type conditions struct {
	singleReplica     bool // it has one replica alone: none is to be told from others
	noBaselineTraffic bool // nothing new goes to other versions: times have nothing of the same seconds to be compared with
}

// ratios returns the ratios by route, and of all routes together.
func (w *window) ratios(tried conditions) (byRoute map[uint32]logRatios, together logRatios) {
	expected := map[countKey]baseline{}
	byRoute = map[uint32]logRatios{}
	for n, t := range hypotheses {
		if tried.noBaselineTraffic && !t.failuresOnly {
			continue
		}
		replicas := map[routeReplica]*replicaScore{}
		for key, b := range w.counts {
			if key.replica == "" {
				continue
			}
			place := key
			place.replica = ""
			e, known := expected[place]
			if !known {
				e = w.baseline(place)
				expected[place] = e
			}
			at := routeReplica{key.route, key.replica}
			if replicas[at] == nil {
				replicas[at] = &replicaScore{}
			}
			all, bad := b.totalAndBad(e.slowBucket)
			if t.failuresOnly {
				bad = b.failed
			}
			replicas[at].add(all, bad, e.share(t), t.increase)
		}
		middles := medianShares(replicas)
		for at, s := range replicas {
			most := badCapBase + badCapFactor*middles[at.route]*s.total
			if tried.singleReplica {
				most = s.bad
			}
			sums := byRoute[at.route]
			sums[n] += s.logRatio(most)
			byRoute[at.route] = sums
			together[n] += s.logRatio(most)
		}
	}
	return byRoute, together
}

// medianShares are the medians of the replicas' shares of bad answers, by route.
func medianShares(replicas map[routeReplica]*replicaScore) map[uint32]float64 {
	shares := map[uint32][]float64{}
	for at, s := range replicas {
		if s.total >= 1 {
			shares[at.route] = append(shares[at.route], s.badShare())
		}
	}
	middles := map[uint32]float64{}
	for route, all := range shares {
		slices.Sort(all)
		middles[route] = all[len(all)/2]
	}
	return middles
}

// detector takes the verdict on one rollout.
type detector struct {
	windows  [len(decayFactors)]window
	incoming map[countKey]*sample

	target, others sample // all that was ever seen
}

func newDetector() *detector {
	j := &detector{incoming: map[countKey]*sample{}}
	for i, fade := range decayFactors {
		j.windows[i] = window{fade, map[countKey]*sample{}}
	}
	return j
}

// addCount takes in how a count has grown.
func (j *detector) addCount(now, was OutcomeCounts) {
	key := now.key()
	if j.incoming[key] == nil {
		j.incoming[key] = &sample{}
	}
	j.incoming[key].addGrowth(now, was)
}

// requests are how many were seen, at the target version and at the others.
func (j *detector) requests() (target, others float64) {
	return j.target.total(), j.others.total()
}

// verdict is what a look came to.
type verdict struct {
	bad        bool
	suspicious bool
	reason     string
}

// evaluate takes the verdict on what came in since the last look.
func (j *detector) evaluate(tried conditions) (v verdict) {
	for key, b := range j.incoming {
		if key.replica == "" {
			j.others.add(b)
		} else {
			j.target.add(b)
		}
	}
	highest := math.Inf(-1)
	for i := range j.windows {
		j.windows[i].merge(j.incoming)
		byRoute, together := j.windows[i].ratios(tried)
		for route, ratios := range byRoute {
			if ratio := slices.Max(ratios[:]); ratio > highest {
				highest, v.reason = ratio, fmt.Sprintf("%s than the version before on route %08x", hypotheses[slices.Index(ratios[:], ratio)].description(), route)
			}
		}
		if ratio := slices.Max(together[:]); len(byRoute) > 1 && ratio > highest {
			highest, v.reason = ratio, hypotheses[slices.Index(together[:], ratio)].description()+" than the version before on all routes"
		}
	}
	clear(j.incoming)
	v.bad, v.suspicious = highest >= threshold, highest >= suspicionThreshold
	return v
}
