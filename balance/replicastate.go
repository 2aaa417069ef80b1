package balance

import "cmp"
import "math"
import "math/bits"

// What is known of replicas and workloads.

// ring sums what happened over a span, in buckets of fixed width that are used again.
type ring struct {
	width, newest int64 // width of a bucket, ns; number of the newest
	sums          [spanBuckets + 1]float64
}

func newRing(span int64) ring { return ring{width: max(span/spanBuckets, 1)} }

func (r *ring) turn(now int64) {
	n := now / r.width
	for r.newest = max(r.newest, n-int64(len(r.sums))); r.newest < n; r.newest++ {
		r.sums[(r.newest+1)%int64(len(r.sums))] = 0
	}
}

func (r *ring) add(now int64, v float64) {
	r.turn(now)
	r.sums[r.newest%int64(len(r.sums))] += v
}

// sum covers the span and up to a bucket more.
func (r *ring) sum(now int64) (s float64) {
	r.turn(now)
	for _, v := range r.sums {
		s += v
	}
	return s
}

// within covers no more than the span: the oldest bucket is left out.
func (r *ring) within(now int64) float64 {
	s := r.sum(now)
	return s - r.sums[(r.newest+1)%int64(len(r.sums))]
}

// mean is an average over a ring's span.
type mean struct{ sum, n ring }

func newMean(span int64) mean { return mean{newRing(span), newRing(span)} }

func (m *mean) add(now int64, v, n float64) {
	m.sum.add(now, v)
	m.n.add(now, n)
}

// of is the average, or what is given where nothing was seen.
func (m *mean) of(now int64, unseen float64) float64 {
	if n := m.n.sum(now); n > 0 {
		return m.sum.sum(now) / n
	}
	return unseen
}

// chance is a multiply-with-carry generator.
type chance struct{ x, c uint32 }

func (g *chance) next() float64 {
	t := uint64(g.x)*4294957665 + uint64(g.c)
	g.x, g.c = uint32(t), uint32(t>>32)
	return float64(g.x) / (1 << 32)
}

// workload is the table's row: what the module reads of a workload, and its recent part times.
type workload struct {
	Workload
	logs, taken *mean // logarithms of the times of fulfilled parts; taken as the aggregator's; of all terms
	row, middle int64 // the row; the typical part time, about the median
}

// look brings the typical part time up to date. Danger: one kept from a jam would decline all for ever.
func (w *workload) look(now int64) {
	w.middle = int64(math.Exp(w.logs.of(now, math.Log(float64(w.LatencyGoal)/priorShare))))
}

// replica is what is known of one server.
type replica struct {
	listed, aside     bool // as up; set aside
	cell, distance    int
	started, heard    int64 // heard: last fulfilled execution
	calls, channels   int   // own calls in flight: the count that the design goes by; its own cap, 0 for none
	shared            *call
	sent              ring                         // executions there over the span of the cold rule
	fails             int                          // failures since the last fulfilled, one after the other
	failed, jammed    int64                        // the last of these was told; until then it is left alone
	quick             bool                         // and cost no time
	slot, lately      mean                         // time for each own call, ns; lately half as long, for others
	fresh             struct{ sum, n, at float64 } // as slot, but older times count less: what admission goes by
	lastUsed          int64                        // the last send to it, or its end
	connected         bool                         // sent to since its idle connections were last closed
	stale             bool                         // its connection is in doubt: nothing is sent until released
	hold, since       int64                        // how long the last rest was; the quota counts from since
	quota, used, good int                          // parts a first rest, doubled if well; used; fulfilled of it
	word              Word                         // of others; it fades by itself
}

// guess is what a replica not met lately is taken to need for a call, and how many calls' worth that counts.
// Danger: one old time would bar its shard while it is kept; the more is declined, the less it counts.
func (a *Aggregator) guess(now int64, w *workload) (prior, doubt float64) {
	prior = max(float64(w.middle), a.slot[int(w.row)%len(a.slot)].of(now, 0))
	return prior, cmp.Or(a.PaceDoubt, paceDoubt) / max(a.taken.of(now, 1), takenLeast)
}

// meet books a time for admission; it counts half after each freshGoals.
func (a *Aggregator) meet(now int64, r *replica, took, slots float64) {
	took = min(took, freshMost*float64(a.shortest)*slots)
	kept := math.Exp2((r.fresh.at - float64(now)) / float64(freshGoals*a.shortest))
	r.fresh.sum, r.fresh.n, r.fresh.at = r.fresh.sum*kept+took, r.fresh.n*kept+slots, float64(now)
}

// late is what the holders of a shard needed for a call of late, all together. Danger: where each aggregator
// meets a replica once in seconds, a jam is over before it is known of each, and would bar the shard after.
func (a *Aggregator) late(now int64, p *part, prior, doubt float64) float64 {
	sum, n := freshDoubt*doubt*prior, freshDoubt*doubt
	for _, h := range a.holders[p.shard] {
		r := &a.replicas[h]
		a.meet(now, r, 0, 0)
		sum, n = sum+r.fresh.sum, n+r.fresh.n
	}
	return sum / n
}

// takes is how long a part sent now should take: the replica's time for each own call, times the calls. The
// pick remembers a slow one, by the word of others as well; admission goes by what was met here and of late.
func (r *replica) takes(now int64, prior, doubt float64, pick bool) int64 {
	sum, n := r.slot.sum.sum(now)+doubt*prior, r.slot.n.sum(now)+doubt
	if !pick {
		sum, n = r.fresh.sum+freshDoubt*doubt*prior, r.fresh.n+freshDoubt*doubt
	} else if now < r.word.Until { // others met it
		sum, n = sum+r.word.Weight*r.word.Pace*prior, n+r.word.Weight
	}
	return int64(sum / n * float64(r.calls+1))
}

// bookIdle books a part sent on a connection that had been idle so long, lost on it or not. It finds the
// shortest idle time after which too many are lost. Danger: something may forget idle connections on the way,
// and drop or reset what is sent on one. Else new ones cost in vain.
func (a *Aggregator) bookIdle(now, idle int64, lost float64) {
	n := min(bits.Len64(uint64(idle/idleLeast)), idleLengths)
	if n == 0 {
		return
	}
	a.idleTimes[n-1].add(now, lost, 1)
	for all, i := 0.0, idleLengths-1; i >= 0; i-- { // what is lost after longer ones counts as well
		if limit := int64(idleLeast) << i; a.idleTimes[i].of(now, 0) >= idleLost {
			all += a.idleTimes[i].sum.sum(now)
			if all >= idleSilences && (limit < a.idleLimit || now >= a.idleUntil) {
				a.idleLimit, a.idleUntil = limit, now+idleHold
			}
		}
	}
}

// judge books an outcome in its replica's record and sets the replica aside or lets it back.
// Danger: all that is out on a connection fails as it breaks, and all that waits as a replica pauses: that is
// one failure. Peers that then had to bear a sound replica's share would decline what it could have served.
func (a *Aggregator) judge(now int64, r *replica, sentAt int64, result Result) {
	// A jam says nothing of health, and what was out at the last failure nothing more.
	if result == Moot || result == Cancelled || result == Full || result != Fulfilled && sentAt < r.failed {
		return
	}
	if r.fails, r.failed, r.quick = r.fails+1, now, result != TimedOut; result == Fulfilled {
		r.fails, r.failed = 0, 0
	}
	// Danger: a hung or dead replica draws parts as fast as it drops them, and every query that meets it is
	// late. A slow one is not set aside but passed over, for its peers may have no room for its share.
	if result != Fulfilled && (r.aside || r.fails >= failRun || now < r.word.Until && r.word.Suspect) {
		a.setAside(now, r)
	} else if r.good++; r.aside && r.good >= r.quota {
		if r.quota, r.used, r.good, r.since = 2*r.quota, 0, 0, now; r.quota >= trickleFull {
			r.letIn()
		}
	}
}

// setAside rests a replica, longer each time; a trickle follows. Danger: a probe proves nothing about parts.
func (a *Aggregator) setAside(now int64, r *replica) {
	r.hold = min(max(2*r.hold, a.rest), holdDoubled*a.rest)
	r.aside, r.quota, r.used, r.good, r.since = true, 1, 0, 0, now+r.hold
}

// letIn forgets what was held against a replica.
func (r *replica) letIn() {
	r.aside, r.fails, r.failed, r.hold, r.jammed = false, 0, 0, 0, 0
}

// Hear takes in what others found of a replica. Danger: hearsay alone must not lock out what is sound. By it
// one is passed over like one met and found slow: it serves as its peers fill. One that is away has no
// room, whatever else is heard. A try is put off no further than the longest rest.
func (a *Aggregator) Hear(now int64, w Word) {
	if w.Replica >= len(a.replicas) || !a.replicas[w.Replica].listed {
		return
	}
	r := &a.replicas[w.Replica]
	if w.Weight = min(w.Weight, wordMost); w.Away > 0 { // what it brought meanwhile tells nothing of it
		r.letIn()
		r.jammed, r.slot, r.fresh.sum, r.fresh.n = w.Away, newMean(paceSpan), 0, 0
	}
	if r.word = w; r.aside && w.Try > 0 && r.quota == 1 && r.used == 0 {
		r.since = min(max(w.Try, now), now+holdDoubled*a.rest)
	}
}

// Findings appends what this aggregator has found itself of each replica listed as up.
func (a *Aggregator) Findings(now int64, found []Finding) []Finding {
	for i := range a.replicas {
		if r := &a.replicas[i]; r.listed {
			f := Finding{Replica: i, Cell: r.cell, Aside: r.aside, Trickle: r.since, Failed: r.failed, Heard: r.heard}
			if typical := a.slot[0].of(now, 0); typical > 0 && a.Accounts == 0 {
				f.Pace, f.Met = r.lately.of(now, 0)/typical, r.lately.n.sum(now)
			}
			found = append(found, f)
		}
	}
	return found
}
