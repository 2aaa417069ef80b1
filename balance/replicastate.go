package balance

import "cmp"
import "math"
import "math/bits"

// What is known of replicas and workloads.

// ring sums what happened over a span, in buckets of fixed width that are used again.
type ring struct {
	width, newest int64 // width of a bucket, ns; number of the newest
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

// sum covers the span and up to a bucket more.
func (r *ring) sum(now int64) (s float64) {
	r.advance(now)
	for _, v := range r.sums {
		s += v
	}
	return s
}

// sumWithin covers no more than the span: the oldest bucket is left out.
func (r *ring) sumWithin(now int64) float64 {
	s := r.sum(now)
	return s - r.sums[(r.newest+1)%int64(len(r.sums))]
}

// mean is an average over a ring's span.
type mean struct{ total, count ring }

func newMean(span int64) mean { return mean{newRing(span), newRing(span)} }

func (m *mean) add(now int64, v, n float64) {
	m.total.add(now, v)
	m.count.add(now, n)
}

// at is the average, or what is given where nothing was seen.
func (m *mean) at(now int64, unseen float64) float64 {
	if n := m.count.sum(now); n > 0 {
		return m.total.sum(now) / n
	}
	return unseen
}

// rng is a multiply-with-carry generator.
type rng struct{ x, c uint32 }

func (g *rng) next() float64 {
	t := uint64(g.x)*4294957665 + uint64(g.c)
	g.x, g.c = uint32(t), uint32(t>>32)
	return float64(g.x) / (1 << 32)
}

// workload is the table's row: what the module reads of a workload, and its recent part times.
type workload struct {
	Workload
	logTimes, admitted *mean // logarithms of the times of fulfilled parts; taken as the aggregator's; of all terms
	row, typical       int64 // the row; the typical part time, about the median
}

// updateTypical brings the typical part time up to date. Danger: one kept from a jam would decline all for ever.
func (w *workload) updateTypical(now int64) {
	w.typical = int64(math.Exp(w.logTimes.at(now, math.Log(float64(w.LatencyGoal)/priorShare))))
}

// replica is what is known of one server.
type replica struct {
	listed, ejected     bool // as up; set aside
	cell, distance      int
	startedAt, servedAt int64 // heard: last fulfilled execution
	calls, maxCalls     int   // own calls in flight: the count that the design goes by; its own cap, 0 for none
	openCall            *call
	sent                ring                         // executions there over the span of the cold rule
	fails               int                          // failures since the last fulfilled, one after the other
	failedAt, skipUntil int64                        // the last of these was told; until then it is left alone
	failedFast          bool                         // and cost no time
	callTime, recent    mean                         // time for each own call, ns; lately half as long, for others
	decayed             struct{ sum, n, at float64 } // as slot, but older times count less: what admission goes by
	lastUsed            int64                        // the last send to it, or its end
	connected           bool                         // sent to since its idle connections were last closed
	stale               bool                         // its connection is in doubt: nothing is sent until released
	ejection, trialAt   int64                        // how long the last rest was; the quota counts from since
	quota, used, passed int                          // parts a first rest, doubled if well; used; fulfilled of it
	report              SharedReport                 // of others; it fades by itself
}

// priorTime is what a replica not met lately is taken to need for a call, and how many calls' worth that counts.
// Danger: one old time would bar its shard while it is kept; the more is declined, the less it counts.
func (a *Aggregator) priorTime(now int64, w *workload) (prior, doubt float64) {
	prior = max(float64(w.typical), a.callTime[int(w.row)%len(a.callTime)].at(now, 0))
	return prior, cmp.Or(a.PriorWeight, priorWeight) / max(a.admitted.at(now, 1), minAdmitted)
}

// observe books a time for admission; it counts half after each freshGoals.
func (a *Aggregator) observe(now int64, r *replica, took, slots float64) {
	took = min(took, maxTimeGoals*float64(a.minGoal)*slots)
	kept := math.Exp2((r.decayed.at - float64(now)) / float64(halfLifeGoals*a.minGoal))
	r.decayed.sum, r.decayed.n, r.decayed.at = r.decayed.sum*kept+took, r.decayed.n*kept+slots, float64(now)
}

// holdersMean is what the holders of a shard needed for a call of late, all together. Danger: where each aggregator
// meets a replica once in seconds, a jam is over before it is known of each, and would bar the shard after.
func (a *Aggregator) holdersMean(now int64, p *part, prior, doubt float64) float64 {
	sum, n := priorFactor*doubt*prior, priorFactor*doubt
	for _, h := range a.holders[p.shard] {
		r := &a.replicas[h]
		a.observe(now, r, 0, 0)
		sum, n = sum+r.decayed.sum, n+r.decayed.n
	}
	return sum / n
}

// estimate is how long a part sent now should take: the replica's time for each own call, times the calls. The
// pick remembers a slow one, by the word of others as well; admission goes by what was met here and of late.
func (r *replica) estimate(now int64, prior, doubt float64, pick bool) int64 {
	sum, n := r.callTime.total.sum(now)+doubt*prior, r.callTime.count.sum(now)+doubt
	if !pick {
		sum, n = r.decayed.sum+priorFactor*doubt*prior, r.decayed.n+priorFactor*doubt
	} else if now < r.report.Expires { // others met it
		sum, n = sum+r.report.Weight*r.report.Slowdown*prior, n+r.report.Weight
	}
	return int64(sum / n * float64(r.calls+1))
}

// recordIdle books a part sent on a connection that had been idle so long, lost on it or not. It finds the
// shortest idle time after which too many are lost. Danger: something may forget idle connections on the way,
// and drop or reset what is sent on one. Else new ones cost in vain.
func (a *Aggregator) recordIdle(now, idle int64, lost float64) {
	n := min(bits.Len64(uint64(idle/idleMin)), idleBuckets)
	if n == 0 {
		return
	}
	a.idleLosses[n-1].add(now, lost, 1)
	for all, i := 0.0, idleBuckets-1; i >= 0; i-- { // what is lost after longer ones counts as well
		if limit := int64(idleMin) << i; a.idleLosses[i].at(now, 0) >= idleLossShare {
			all += a.idleLosses[i].total.sum(now)
			if all >= idleMinLosses && (limit < a.idleLimit || now >= a.idleLimitUntil) {
				a.idleLimit, a.idleLimitUntil = limit, now+idleLimitFor
			}
		}
	}
}

// updateHealth books an outcome in its replica's record and sets the replica aside or lets it back.
// Danger: all that is out on a connection fails as it breaks, and all that waits as a replica pauses: that is
// one failure. Peers that then had to bear a sound replica's share would decline what it could have served.
func (a *Aggregator) updateHealth(now int64, r *replica, sentAt int64, result Result) {
	// A jam says nothing of health, and what was out at the last failure nothing more.
	if result == Unsent || result == Cancelled || result == Full || result != Fulfilled && sentAt < r.failedAt {
		return
	}
	if r.fails, r.failedAt, r.failedFast = r.fails+1, now, result != TimedOut; result == Fulfilled {
		r.fails, r.failedAt = 0, 0
	}
	// Danger: a hung or dead replica draws parts as fast as it drops them, and every query that meets it is
	// late. A slow one is not set aside but passed over, for its peers may have no room for its share.
	if result != Fulfilled && (r.ejected || r.fails >= maxFails || now < r.report.Expires && r.report.Suspect) {
		a.eject(now, r)
	} else if r.passed++; r.ejected && r.passed >= r.quota {
		if r.quota, r.used, r.passed, r.trialAt = 2*r.quota, 0, 0, now; r.quota >= readmitQuota {
			r.readmit()
		}
	}
}

// eject rests a replica, longer each time; a trickle follows. Danger: a probe proves nothing about parts.
func (a *Aggregator) eject(now int64, r *replica) {
	r.ejection = min(max(2*r.ejection, a.ejection), ejectionGrowth*a.ejection)
	r.ejected, r.quota, r.used, r.passed, r.trialAt = true, 1, 0, 0, now+r.ejection
}

// readmit forgets what was held against a replica.
func (r *replica) readmit() {
	r.ejected, r.fails, r.failedAt, r.ejection, r.skipUntil = false, 0, 0, 0, 0
}

// ApplyReport takes in what others found of a replica. Danger: hearsay alone must not lock out what is sound. By it
// one is passed over like one met and found slow: it serves as its peers fill. One that is away has no
// room, whatever else is heard. A try is put off no further than the longest rest.
func (a *Aggregator) ApplyReport(now int64, w SharedReport) {
	if w.Replica >= len(a.replicas) || !a.replicas[w.Replica].listed {
		return
	}
	r := &a.replicas[w.Replica]
	if w.Weight = min(w.Weight, maxWeight); w.DownUntil > 0 { // what it brought meanwhile tells nothing of it
		r.readmit()
		r.skipUntil, r.callTime, r.decayed.sum, r.decayed.n = w.DownUntil, newMean(longWindow), 0, 0
	}
	if r.report = w; r.ejected && w.TrialAt > 0 && r.quota == 1 && r.used == 0 {
		r.trialAt = min(max(w.TrialAt, now), now+ejectionGrowth*a.ejection)
	}
}

// Findings appends what this aggregator has found itself of each replica listed as up.
func (a *Aggregator) Findings(now int64, found []Finding) []Finding {
	for i := range a.replicas {
		if r := &a.replicas[i]; r.listed {
			f := Finding{Replica: i, Cell: r.cell, Ejected: r.ejected, TrialAt: r.trialAt, LastFailure: r.failedAt, LastSuccess: r.servedAt}
			if typical := a.callTime[0].at(now, 0); typical > 0 && a.ShardBudgets == 0 {
				f.Slowdown, f.Samples = r.recent.at(now, 0)/typical, r.recent.count.sum(now)
			}
			found = append(found, f)
		}
	}
	return found
}
