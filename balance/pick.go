package balance

import "math"
import "slices"

// warmUpAllows tells whether a cold replica may get a part. Danger: right after its start a replica collapses
// under its usual load and stays down. It bears OverloadFactor times its present capacity, so no aggregator
// sends it more than that multiple of its own usual traffic. A shard of cold replicas is still served. Parts
// draw one random number each, bursts are refused, and the load of absent peers lowers the share.
func (a *Aggregator) warmUpAllows(now int64, r *replica, p *part) bool {
	if r.startedAt == 0 || now-r.startedAt >= a.WarmUpTime {
		return true
	}
	present := a.ColdCapacity + (1-a.ColdCapacity)*float64(max(now-r.startedAt, 0))/float64(a.WarmUpTime)
	usable := 0.0
	for _, h := range a.holders[p.shard] {
		if peer := &a.replicas[h]; !peer.ejected && !peer.stale && now >= peer.skipUntil {
			usable++
		}
	}
	share := warmUpSafety * a.OverloadFactor * present * max(usable, 1) / float64(a.maxHolders)
	usual := a.sent.sum(now) / float64(max(a.upCount, 1))
	return p.draw < share && r.sent.sum(now) < max(share*usual, 1)
}

// freeTrial tells whether a trial costs next to nothing: the replica is ejected, failed fast and is idle.
func (r *replica) freeTrial() bool { return r.ejected && r.failedFast && r.calls == 0 && !r.stale }

// trialDue tells whether an ejected replica may get a trial part now. Danger: a once-only part that a trial
// loses cannot run elsewhere, so it is used only if no other part made the trial for half of the interval.
func (r *replica) trialDue(now, interval int64, safety RetrySafety) bool {
	if now >= r.trialAt+interval { // the quota is for one interval
		r.used, r.trialAt = 0, now
	}
	return now >= r.trialAt && r.used < r.quota && (safety != OnceOnly || now >= r.trialAt+interval/2)
}

// bestEstimate is how long a part sent now should take at the best replica of its shard. crowded means that
// the healthy ones would be late and an ejected one offers a free trial. Danger: with no healthy replica,
// declining all queries would never find one that has recovered, nor would declining what is beyond the rest.
func (a *Aggregator) bestEstimate(now int64, p *part, w *workload, pick bool) (best int64, crowded bool) {
	prior, weight := a.priorTime(now, w)
	if !pick {
		prior = a.holdersMean(now, p, prior, weight)
	}
	times := [...]int64{math.MaxInt64, math.MaxInt64, math.MaxInt64, math.MaxInt64}
	for _, h := range a.holders[p.shard] {
		if r := &a.replicas[h]; now >= r.skipUntil && a.warmUpAllows(now, r, p) {
			n := slices.Index([]bool{!r.ejected && !r.stale, r.freeTrial(), !r.stale, true}, true)
			times[n] = min(times[n], r.estimate(now, prior, weight, pick)<<(n/3)) // stale ones count double
		}
	}
	if float64(times[0]) > crowdShare*float64(a.minGoal) && times[1] < times[0] {
		return times[1], true
	}
	return times[max(slices.IndexFunc(times[:], func(t int64) bool { return t < math.MaxInt64 }), 0)], false
}

// pick returns the replica with the lowest Running Execution Cost for a part, or -1; ties go round robin.
func (a *Aggregator) pick(now int64, p *part, w *workload, ignoreCaps bool) int {
	holders := a.holders[p.shard]
	from := a.nextTied[p.shard] % max(len(holders), 1)
	prior, weight := a.priorTime(now, w)
	expected, crowded := a.bestEstimate(now, p, w, true)
	for level := range 4 {
		best, choice, tied := (maxCost-baseCost+1)*Distances, -1, false
		for k := range holders {
			i := holders[(from+k)%len(holders)]
			r := &a.replicas[i]
			// Slow replicas, those that had this part before and ejected ones serve only if no other can.
			if level < 3 && r.ejected && !(crowded && r.freeTrial()) && !r.trialDue(now, a.ejection, w.RetrySafety) ||
				!a.warmUpAllows(now, r, p) ||
				level < 1 && float64(r.estimate(now, prior, weight, true)) > slowFactor*float64(expected) ||
				level < 2 && slices.ContainsFunc(p.executions, func(e execution) bool { return e.replica == i }) ||
				!ignoreCaps && (r.calls >= maxCalls || r.maxCalls > 0 && r.calls >= r.maxCalls ||
					r.stale || now < r.skipUntil) {
				continue
			}
			cost := baseCost*r.calls*Distances + r.distance // among equal costs the nearest wins, then round robin
			if tied = cost == best || tied && cost > best; cost < best {
				best, choice = cost, i
			}
		}
		if tied {
			a.nextTied[p.shard] = slices.Index(holders, choice) + 1
		}
		if choice >= 0 {
			return choice
		}
	}
	return -1
}

// send starts an execution of a part, in a call that it may share with other parts of the round.
func (a *Aggregator) send(now int64, q *Query, number, to int) {
	p, r := &q.parts[number], &a.replicas[to]
	if r.openCall == nil || r.openCall.round != a.rounds || r.openCall.parts >= a.PartsPerCall {
		r.openCall = &call{round: a.rounds}
		r.calls++
	}
	r.openCall.parts++
	r.sent.add(now, 1)
	r.used++
	a.retries[p.shard%len(a.retries)].add(now, float64(min(len(p.executions), 1)))
	a.sent.add(now, 1)
	idle := now - r.lastUsed
	if r.calls > 1 || !r.connected {
		idle = 0
	}
	r.lastUsed, r.connected = now, true
	p.executions = append(p.executions, execution{call: r.openCall, sentAt: now, stalled: a.stalled, replica: to,
		idle: idle, inFlight: r.calls})
	p.stage = running
	if p.mayHaveRun == never {
		p.mayHaveRun = now
	}
	a.round.Sends = append(a.round.Sends, Send{q, number, to, q.sendDeadline(now, len(p.executions))})
}
