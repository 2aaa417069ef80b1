package balance

import "math"
import "slices"

// Who is eligible, and the pick.

// warmUpAllows tells whether a cold replica may be sent a part. Danger: right after a start a replica falls over
// under its usual load and stays down. It bears a multiple of what it can do now: if none sends it more than
// that share of its own usual traffic, all stay within it together, and a shard of cold ones is not starved.
// Each part has a lot, drawn once; no burst; what peers that are away should bear makes it less.
func (a *Aggregator) warmUpAllows(now int64, r *replica, p *part) bool {
	if r.startedAt == 0 || now-r.startedAt >= a.WarmUpTime {
		return true
	}
	present := a.ColdCapacity + (1-a.ColdCapacity)*float64(max(now-r.startedAt, 0))/float64(a.WarmUpTime)
	open := 0.0
	for _, h := range a.holders[p.shard] {
		if peer := &a.replicas[h]; !peer.ejected && !peer.stale && now >= peer.skipUntil {
			open++
		}
	}
	share := warmUpSafety * a.OverloadFactor * present * max(open, 1) / float64(a.maxHolders)
	usual := a.sent.sum(now) / float64(max(a.upCount, 1))
	return p.draw < share && r.sent.sum(now) < max(share*usual, 1)
}

// freeTrial tells whether a replica set aside has nothing to do, and a try there costs next to nothing.
func (r *replica) freeTrial() bool { return r.ejected && r.failedFast && r.calls == 0 && !r.stale }

// trialDue tells whether a replica that was set aside may have one more part now. Danger: a once-only part
// lost by such a try cannot run elsewhere: it makes one only where no other has for half the time.
func (r *replica) trialDue(now, rest int64, effect RetrySafety) bool {
	if now >= r.trialAt+rest {
		r.used, r.trialAt = 0, now
	}
	return now >= r.trialAt && r.used < r.quota && (effect != OnceOnly || now >= r.trialAt+rest/2)
}

// bestEstimate is how long a part sent now should take at the best replica of its shard; crowded tells that sound
// ones would be late, and one stands idle that was set aside for failures that cost no time. Danger: with
// none sound, declining all would never find one mended; and what the sound have no room for would be
// declined while others rest, though a try there costs next to nothing.
func (a *Aggregator) bestEstimate(now int64, p *part, w *workload, pick bool) (best int64, crowded bool) {
	prior, doubt := a.priorTime(now, w)
	if !pick {
		prior = a.holdersMean(now, p, prior, doubt)
	}
	times := [...]int64{math.MaxInt64, math.MaxInt64, math.MaxInt64, math.MaxInt64}
	for _, h := range a.holders[p.shard] {
		if r := &a.replicas[h]; now >= r.skipUntil && a.warmUpAllows(now, r, p) {
			n := slices.Index([]bool{!r.ejected && !r.stale, r.freeTrial(), !r.stale, true}, true)
			times[n] = min(times[n], r.estimate(now, prior, doubt, pick)<<(n/3)) // in doubt: it waits for those before it
		}
	}
	if float64(times[0]) > crowdShare*float64(a.minGoal) && times[1] < times[0] {
		return times[1], true
	}
	return times[max(slices.IndexFunc(times[:], func(t int64) bool { return t < math.MaxInt64 }), 0)], false
}

// pick chooses the replica with the lowest Running Execution Cost for a part, or -1; ties go round.
func (a *Aggregator) pick(now int64, p *part, w *workload, overCap bool) int {
	holders := a.holders[p.shard]
	from := a.nextTied[p.shard] % max(len(holders), 1)
	prior, doubt := a.priorTime(now, w)
	expected, crowded := a.bestEstimate(now, p, w, true)
	for level := range 4 {
		best, choice, tied := (maxCost-baseCost+1)*Distances, -1, false
		for k := range holders {
			i := holders[(from+k)%len(holders)]
			r := &a.replicas[i]
			// A slow replica, one that has just failed this part and one set aside are there when no other is.
			if level < 3 && r.ejected && !(crowded && r.freeTrial()) && !r.trialDue(now, a.ejection, w.RetrySafety) ||
				!a.warmUpAllows(now, r, p) ||
				level < 1 && float64(r.estimate(now, prior, doubt, true)) > slowFactor*float64(expected) ||
				level < 2 && slices.ContainsFunc(p.executions, func(e execution) bool { return e.replica == i }) ||
				!overCap && (r.calls >= maxCalls || r.maxCalls > 0 && r.calls >= r.maxCalls ||
					r.stale || now < r.skipUntil) {
				continue
			}
			cost := baseCost*r.calls*Distances + r.distance // of the cheapest the nearest, and of those in turn
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

// send starts an execution.
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
