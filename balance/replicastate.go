package balance

import "cmp"
import "math"
import "math/bits"

// ring sums values over a window, in buckets of equal width that are reused.
type ring struct {
	width, newest int64 // width of a bucket, ns; number of the newest bucket since time 0
	sums          [ringBuckets + 1]float64
}

func newRing(span int64) ring { return ring{width: max(span/ringBuckets, 1)} }

func (r *ring) advance(now int64) {
	n := now / r.width
	for r.newest = max(r.newest, n-int64(len(r.sums))); r.newest < n; r.newest++ {
		r.sums[(r.newest+1)%int64(len(r.sums))] = 0
	}
}

func (r *ring) add(now int64, v float64) {
	r.advance(now)
	r.sums[r.newest%int64(len(r.sums))] += v
}

// sum covers the window and up to one bucket more.
func (r *ring) sum(now int64) (s float64) {
	r.advance(now)
	for _, v := range r.sums {
		s += v
	}
	return s
}

// sumWithin covers no more than the window: it leaves out the oldest bucket.
func (r *ring) sumWithin(now int64) float64 {
	s := r.sum(now)
	return s - r.sums[(r.newest+1)%int64(len(r.sums))]
}

// mean is a moving average over the window of its rings.
type mean struct{ total, count ring }

func newMean(span int64) mean { return mean{newRing(span), newRing(span)} }

func (m *mean) add(now int64, v, n float64) {
	m.total.add(now, v)
	m.count.add(now, n)
}

// at returns the average, or unseen if there are no values in the window.
func (m *mean) at(now int64, unseen float64) float64 {
	if n := m.count.sum(now); n > 0 {
		return m.total.sum(now) / n
	}
	return unseen
}

// rng is a multiply-with-carry random number generator.
type rng struct{ x, c uint32 }

func (g *rng) next() float64 {
	t := uint64(g.x)*4294957665 + uint64(g.c)
	g.x, g.c = uint32(t), uint32(t>>32)
	return float64(g.x) / (1 << 32)
}

// workload is a row of the table of workloads: its terms and statistics of its recent parts.
type workload struct {
	Workload
	logTimes, admitted *mean // logarithms of fulfilled part times; share admitted. All terms of a row share them
	row, typical       int64 // number of the row; typical part time, close to the median, ns
}

// updateTypical renews the typical part time. Danger: a time kept from congestion would decline all queries.
func (w *workload) updateTypical(now int64) {
	w.typical = int64(math.Exp(w.logTimes.at(now, math.Log(float64(w.LatencyGoal)/priorShare))))
}

// replica is what this aggregator knows of one replica.
type replica struct {
	listed, ejected     bool // listed as up; ejected after failures
	cell, distance      int
	startedAt, servedAt int64 // start of its process; last fulfilled execution
	calls, maxCalls     int   // this aggregator's calls in flight there; the listed limit of them, 0 for none
	openCall            *call
	sent                ring                         // executions sent to it within OverloadSpan
	fails               int                          // consecutive failures since the last fulfilled execution
	failedAt, skipUntil int64                        // time of last failure; time until which it gets no parts
	failedFast          bool                         // the last failure was no timeout and cost no time
	callTime, recent    mean                         // ns per own call; recent: half the window, for Findings
	decayed             struct{ sum, n, at float64 } // like callTime, but older times count less: for admission
	lastUsed            int64                        // time of its last execution or result, ns
	connected           bool                         // sent to since its idle connections were last closed
	stale               bool                         // its connection is suspect: no parts until it is closed
	ejection, trialAt   int64                        // length of the last ejection, ns; start of the trial quota
	quota, used, passed int                          // trial parts allowed, doubled on success; sent; fulfilled
	report              SharedReport                 // reported by other aggregators
}

// priorTime is the time per call assumed of a replica without recent samples, and its weight in own calls.
// Danger: one old time would bar its shard while it is kept, so the prior weighs more as more is declined.
func (a *Aggregator) priorTime(now int64, w *workload) (prior, weight float64) {
	prior = max(float64(w.typical), a.callTime[int(w.row)%len(a.callTime)].at(now, 0))
	return prior, cmp.Or(a.PriorWeight, priorWeight) / max(a.admitted.at(now, 1), minAdmitted)
}

// observe adds a time to the average for admission, where it counts half after halfLifeGoals shortest goals.
func (a *Aggregator) observe(now int64, r *replica, took, calls float64) {
	took = min(took, maxTimeGoals*float64(a.minGoal)*calls)
	decay := math.Exp2((r.decayed.at - float64(now)) / float64(halfLifeGoals*a.minGoal))
	r.decayed.sum, r.decayed.n, r.decayed.at = r.decayed.sum*decay+took, r.decayed.n*decay+calls, float64(now)
}

// holdersMean is the time per call of all holders of a shard together, for admission. Danger: if a replica is
// called once in seconds, congestion is over before it shows at each holder, and would bar the shard later.
func (a *Aggregator) holdersMean(now int64, p *part, prior, weight float64) float64 {
	sum, n := priorFactor*weight*prior, priorFactor*weight
	for _, h := range a.holders[p.shard] {
		r := &a.replicas[h]
		a.observe(now, r, 0, 0)
		sum, n = sum+r.decayed.sum, n+r.decayed.n
	}
	return sum / n
}

// estimate is how long a part sent now should take: the time per call, times the calls. For pick, older
// times and shared reports count too; admission uses only the recent times of this aggregator.
func (r *replica) estimate(now int64, prior, weight float64, pick bool) int64 {
	sum, n := r.callTime.total.sum(now)+weight*prior, r.callTime.count.sum(now)+weight
	if !pick {
		sum, n = r.decayed.sum+priorFactor*weight*prior, r.decayed.n+priorFactor*weight
	} else if now < r.report.Expires { // times that other aggregators reported
		sum, n = sum+r.report.Weight*r.report.Slowdown*prior, n+r.report.Weight
	}
	return int64(sum / n * float64(r.calls+1))
}

// recordIdle records whether a part sent on an idle connection was lost, and finds the shortest idle time at
// which too many are lost. Danger: a device on the way may forget idle connections, and drop or reset what is
// sent on them. Without such losses, closing idle connections would only cost new ones.
func (a *Aggregator) recordIdle(now, idle int64, lost float64) {
	n := min(bits.Len64(uint64(idle/idleMin)), idleBuckets)
	if n == 0 {
		return
	}
	a.idleLosses[n-1].add(now, lost, 1)
	for losses, i := 0.0, idleBuckets-1; i >= 0; i-- { // losses after longer idle times count as well
		if limit := int64(idleMin) << i; a.idleLosses[i].at(now, 0) >= idleLossShare {
			losses += a.idleLosses[i].total.sum(now)
			if losses >= idleMinLosses && (limit < a.idleLimit || now >= a.idleLimitUntil) {
				a.idleLimit, a.idleLimitUntil = limit, now+idleLimitFor
			}
		}
	}
}

// updateHealth records a result of a replica's execution, and ejects or readmits the replica. Danger: when a
// connection breaks or a replica pauses, all executions there fail together. That is one failure: ejecting a
// healthy replica for it would make its peers bear its share and decline what it could have served.
func (a *Aggregator) updateHealth(now int64, r *replica, sentAt int64, result Result) {
	// Congestion is no ill health, and executions sent before the last failure are part of that failure.
	if result == Unsent || result == Cancelled || result == Full || result != Fulfilled && sentAt < r.failedAt {
		return
	}
	if r.fails, r.failedAt, r.failedFast = r.fails+1, now, result != TimedOut; result == Fulfilled {
		r.fails, r.failedAt = 0, 0
	}
	// Danger: a hung or dead replica draws parts as fast as it drops them, and makes their queries late. A
	// slow one is not ejected but passed over, for its peers may have no capacity for its share.
	if result != Fulfilled && (r.ejected || r.fails >= maxFails || now < r.report.Expires && r.report.Suspect) {
		a.eject(now, r)
	} else if r.passed++; r.ejected && r.passed >= r.quota {
		if r.quota, r.used, r.passed, r.trialAt = 2*r.quota, 0, 0, now; r.quota >= readmitQuota {
			r.readmit()
		}
	}
}

// eject ejects a replica, longer each time; trials follow. Danger: a probe would prove nothing about parts.
func (a *Aggregator) eject(now int64, r *replica) {
	r.ejection = min(max(2*r.ejection, a.ejection), ejectionGrowth*a.ejection)
	r.ejected, r.quota, r.used, r.passed, r.trialAt = true, 1, 0, 0, now+r.ejection
}

// readmit ends the ejection of a replica and forgets its failures.
func (r *replica) readmit() {
	r.ejected, r.fails, r.failedAt, r.ejection, r.skipUntil = false, 0, 0, 0, 0
}

// ApplyReport applies what other aggregators found of a replica. Danger: reports alone must not lock out a
// healthy replica. A slow one is only passed over until its peers fill up. One that is down gets no parts,
// whatever else is reported. A trial is put off by no more than the longest ejection.
func (a *Aggregator) ApplyReport(now int64, w SharedReport) {
	if w.Replica >= len(a.replicas) || !a.replicas[w.Replica].listed {
		return
	}
	r := &a.replicas[w.Replica]
	if w.Weight = min(w.Weight, maxWeight); w.DownUntil > 0 { // its results while down prove nothing
		r.readmit()
		r.skipUntil, r.callTime, r.decayed.sum, r.decayed.n = w.DownUntil, newMean(longWindow), 0, 0
	}
	if r.report = w; r.ejected && w.TrialAt > 0 && r.quota == 1 && r.used == 0 {
		r.trialAt = min(max(w.TrialAt, now), now+ejectionGrowth*a.ejection)
	}
}

// Findings appends what this aggregator itself found of each replica that is listed as up.
func (a *Aggregator) Findings(now int64, found []Finding) []Finding {
	for i := range a.replicas {
		if r := &a.replicas[i]; r.listed {
			f := Finding{Replica: i, Cell: r.cell, Ejected: r.ejected, TrialAt: r.trialAt,
				LastFailure: r.failedAt, LastSuccess: r.servedAt}
			if typical := a.callTime[0].at(now, 0); typical > 0 && a.ShardBudgets == 0 {
				f.Slowdown, f.Samples = r.recent.at(now, 0)/typical, r.recent.count.sum(now)
			}
			found = append(found, f)
		}
	}
	return found
}
