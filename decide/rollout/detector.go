package rollout

import (
	"fmt"
	"math"
	"slices"
)

// A version is judged by a repeated likelihood ratio test on the share of bad answers: those that failed, and those that
// took several times as long as answers of the other versions on the same route, at the same distance and in the same
// seconds. A burst, a partition or slow machines raise the share of bad answers of both sides, so they don't change the
// verdict. Of a replica that is much worse than the median replica of its version only part of the bad answers count, so a
// few replicas in trouble are no evidence against their version.

const (
	// threshold is the logarithm of the likelihood ratio (about 1,100 to 1) at which a version counts as bad.
	threshold = 7.0
	// suspicionThreshold is the logarithm of the likelihood ratio at which a version stops getting more traffic.
	suspicionThreshold = 3.5
	// toleranceFactor and toleranceShare are the multiple and the addition by which the target's share of bad answers may
	// exceed that of the other versions without counting as evidence.
	toleranceFactor = 1.5
	toleranceShare  = 0.02
	// maxExpectedShare bounds the expected share of bad answers. With more bad answers at the other versions the test could
	// not tell the versions apart.
	maxExpectedShare = 0.6
	// slowBuckets is how many buckets above the median of the other versions an answer counts as slow: at least twice as
	// long.
	slowBuckets = 3
	// minSlowBucket is the lowest bucket that counts as slow: 16 ms.
	minSlowBucket = 8
	// newConnectionSlowBuckets and newConnectionMinSlowBucket replace slowBuckets and minSlowBucket for answers on new
	// connections, because opening a connection takes the replica extra time: at least four times as long as the median, and
	// 64 ms.
	newConnectionSlowBuckets   = 5
	newConnectionMinSlowBucket = 12
	// priorRequests and priorBad are added to the requests and bad answers of the other versions, as an estimate before any
	// answer has arrived.
	priorRequests = 10.0
	priorBad      = 0.2
	// badCapBase and badCapFactor limit the bad answers that count for one replica: badCapBase, plus badCapFactor times what
	// it would have with the median replica's share of bad answers.
	badCapBase   = 2.0
	badCapFactor = 1.5
)

// decayFactors are the fractions of a window's counts that remain after each evaluation: a window of about three seconds
// finds versions that turn bad late, one of about twelve seconds finds versions that are bad only occasionally.
var decayFactors = [...]float64{0.92, 0.98}

// hypothesis is one of the alternatives that are tested side by side. Failures are also tested without slow answers, because
// slow answers without a cause are more frequent than failures without one.
type hypothesis struct {
	failuresOnly bool    // true: only failed answers are bad; false: slow ones are too
	increase     float64 // assumed rise of the share of bad answers; a small rise takes many requests to detect, a large one few
}

// description returns the finding for operators.
func (h hypothesis) description() string {
	if h.failuresOnly {
		return "fails more"
	}
	return "fails more or is slower"
}

var hypotheses = [...]hypothesis{{true, 0.1}, {true, 0.35}, {false, 0.1}, {false, 0.35}}

// logRatios are the logarithms of the likelihood ratios, one for each hypothesis.
type logRatios [len(hypotheses)]float64

// sample counts requests by outcome and latency, with decayed weights.
type sample struct {
	failed    float64
	latencies [buckets]float64
}

// addGrowth adds what has come in between two reports of the same counts.
func (s *sample) addGrowth(now, was OutcomeCounts) {
	s.failed += float64(now.Failed) - float64(was.Failed)
	before := was.unpack()
	for i, n := range now.unpack() {
		s.latencies[i] += float64(n) - float64(before[i])
	}
}

func (s *sample) add(o *sample) {
	s.failed += o.failed
	for i, n := range o.latencies {
		s.latencies[i] += n
	}
}

// decay multiplies all counts by a factor below 1.
func (s *sample) decay(by float64) {
	s.failed *= by
	for i := range s.latencies {
		s.latencies[i] *= by
	}
}

// total returns the number of requests, by weight.
func (s *sample) total() float64 {
	all, _ := s.totalAndBad(buckets)
	return all
}

// totalAndBad returns the number of requests, and how many of them failed or are in the given latency bucket or above.
func (s *sample) totalAndBad(bucket int) (all, bad float64) {
	all, bad = s.failed, s.failed
	for i, n := range s.latencies {
		all += n
		if i >= bucket {
			bad += n
		}
	}
	return all, bad
}

// slowBucket returns the lowest latency bucket that counts as slow, by the median of this sample. With too few answers for a
// median no answer counts as slow.
func (s *sample) slowBucket(newConnection bool) int {
	total := 0.0
	for _, n := range s.latencies {
		total += n
	}
	if total < priorRequests {
		return buckets
	}
	left := total / 2
	for i, n := range s.latencies {
		if left -= n; left < 0 {
			if newConnection {
				return max(i+newConnectionSlowBuckets, newConnectionMinSlowBucket)
			}
			return max(i+slowBuckets, minSlowBucket)
		}
	}
	return buckets
}

// baseline is what the target version is expected to reach, by the answers of the other versions.
type baseline struct {
	slowBucket            int     // lowest latency bucket that counts as slow
	failedShare, badShare float64 // expected shares of failed and of all bad answers
}

// share returns the expected share of bad answers under a hypothesis.
func (b baseline) share(h hypothesis) float64 {
	if h.failuresOnly {
		return b.failedShare
	}
	return b.badShare
}

// expectedShare returns the share of bad answers that a version as good as the others may have.
func expectedShare(bad, all float64) float64 {
	return min((bad+priorBad)/(all+priorRequests)*toleranceFactor+toleranceShare, maxExpectedShare)
}

// window holds the exponentially decayed counts of one time scale.
type window struct {
	decayFactor float64
	counts      map[countKey]*sample
}

// merge decays the counts and adds the new ones.
func (w *window) merge(incoming map[countKey]*sample) {
	for key, s := range w.counts {
		if s.decay(w.decayFactor); !s.significant() {
			delete(w.counts, key)
		}
	}
	for key, s := range incoming {
		if w.counts[key] == nil {
			w.counts[key] = &sample{}
		}
		w.counts[key].add(s)
	}
}

// significant reports whether the decayed counts are large enough to keep.
func (s *sample) significant() bool {
	return s.total() > 0.01
}

// sample returns the counts for a key, empty if there are none.
func (w *window) sample(key countKey) *sample {
	if s := w.counts[key]; s != nil {
		return s
	}
	return &sample{}
}

// baseline returns what to expect from the target version, from the answers of the other versions on the same route and at
// the same distance. The median latency on existing connections is also the reference for new connections, because other
// versions open few.
func (w *window) baseline(baselineKey countKey) baseline {
	existingKey, newKey := baselineKey, baselineKey
	existingKey.newConnection, newKey.newConnection = false, true
	onExisting, onNew := w.sample(existingKey), w.sample(newKey)
	b := baseline{slowBucket: onExisting.slowBucket(baselineKey.newConnection),
		failedShare: expectedShare(onExisting.failed+onNew.failed, onExisting.total()+onNew.total())}
	all, bad := onExisting.totalAndBad(b.slowBucket)
	b.badShare = expectedShare(bad, all)
	return b
}

// replicaScore is the evidence in one replica's answers on one route under one hypothesis.
type replicaScore struct {
	total, bad            float64
	badWeight, goodWeight float64 // sums of the log-likelihood ratios of the bad answers and of the others
}

// add counts answers of which a share of expected should be bad, or expected+increase if the hypothesis holds.
func (s *replicaScore) add(all, bad, expected, increase float64) {
	raised := expected + increase
	s.total, s.bad = s.total+all, s.bad+bad
	s.badWeight += bad * math.Log(raised/expected)
	s.goodWeight += (all - bad) * math.Log((1-raised)/(1-expected))
}

// badShare returns the share of the answers that are bad.
func (s *replicaScore) badShare() float64 { return s.bad / max(s.total, 1) }

// logRatio returns the log-likelihood ratio of all answers. Bad answers beyond maxBad don't count.
func (s *replicaScore) logRatio(maxBad float64) float64 {
	counted := 1.0
	if s.bad > maxBad {
		counted = maxBad / s.bad
	}
	return counted*s.badWeight + s.goodWeight
}

// routeReplica is one replica of the target version on one route, over all distances.
type routeReplica struct {
	route   uint32
	replica string
}

// conditions describe the traffic during an evaluation.
type conditions struct {
	singleReplica     bool // the target version has one replica, so there is no median replica to compare it with
	noBaselineTraffic bool // other versions get no new requests, so there are no latencies of the same seconds to compare with
}

// ratios returns the log-likelihood ratios of each route, and of all routes together.
func (w *window) ratios(c conditions) (byRoute map[uint32]logRatios, together logRatios) {
	expected := map[countKey]baseline{}
	byRoute = map[uint32]logRatios{}
	for n, h := range hypotheses {
		if c.noBaselineTraffic && !h.failuresOnly {
			continue
		}
		replicas := map[routeReplica]*replicaScore{}
		for key, s := range w.counts {
			if key.replica == "" {
				continue
			}
			baselineKey := key
			baselineKey.replica = ""
			b, known := expected[baselineKey]
			if !known {
				b = w.baseline(baselineKey)
				expected[baselineKey] = b
			}
			replica := routeReplica{key.route, key.replica}
			if replicas[replica] == nil {
				replicas[replica] = &replicaScore{}
			}
			all, bad := s.totalAndBad(b.slowBucket)
			if h.failuresOnly {
				bad = s.failed
			}
			replicas[replica].add(all, bad, b.share(h), h.increase)
		}
		medians := medianShares(replicas)
		for replica, s := range replicas {
			maxBad := badCapBase + badCapFactor*medians[replica.route]*s.total
			if c.singleReplica {
				maxBad = s.bad
			}
			sums := byRoute[replica.route]
			sums[n] += s.logRatio(maxBad)
			byRoute[replica.route] = sums
			together[n] += s.logRatio(maxBad)
		}
	}
	return byRoute, together
}

// medianShares returns the median of the replicas' shares of bad answers, by route.
func medianShares(replicas map[routeReplica]*replicaScore) map[uint32]float64 {
	shares := map[uint32][]float64{}
	for replica, s := range replicas {
		if s.total >= 1 {
			shares[replica.route] = append(shares[replica.route], s.badShare())
		}
	}
	medians := map[uint32]float64{}
	for route, all := range shares {
		slices.Sort(all)
		medians[route] = all[len(all)/2]
	}
	return medians
}

// detector judges the target version of one rollout.
type detector struct {
	windows  [len(decayFactors)]window
	incoming map[countKey]*sample

	target, others sample // requests since the controller began to follow the rollout
}

// newDetector returns a detector without any counts.
func newDetector() *detector {
	d := &detector{incoming: map[countKey]*sample{}}
	for i, factor := range decayFactors {
		d.windows[i] = window{factor, map[countKey]*sample{}}
	}
	return d
}

// addCount adds what has come in between two reports of the same counts. It takes effect at the next evaluation.
func (d *detector) addCount(now, was OutcomeCounts) {
	key := now.key()
	if d.incoming[key] == nil {
		d.incoming[key] = &sample{}
	}
	d.incoming[key].addGrowth(now, was)
}

// requests returns how many requests were counted at the target version and at the others.
func (d *detector) requests() (target, others float64) {
	return d.target.total(), d.others.total()
}

// verdict is the result of one evaluation.
type verdict struct {
	bad        bool
	suspicious bool
	reason     string
}

// evaluate adds the counts that arrived since the last evaluation, and judges the target version.
func (d *detector) evaluate(c conditions) (v verdict) {
	for key, s := range d.incoming {
		if key.replica == "" {
			d.others.add(s)
		} else {
			d.target.add(s)
		}
	}
	highest := math.Inf(-1)
	for i := range d.windows {
		d.windows[i].merge(d.incoming)
		byRoute, together := d.windows[i].ratios(c)
		for route, ratios := range byRoute {
			if ratio := slices.Max(ratios[:]); ratio > highest {
				highest, v.reason = ratio, fmt.Sprintf("%s than the version before on route %08x", hypotheses[slices.Index(ratios[:], ratio)].description(), route)
			}
		}
		if ratio := slices.Max(together[:]); len(byRoute) > 1 && ratio > highest {
			highest, v.reason = ratio, hypotheses[slices.Index(together[:], ratio)].description()+" than the version before on all routes"
		}
	}
	clear(d.incoming)
	v.bad, v.suspicious = highest >= threshold, highest >= suspicionThreshold
	return v
}
