package balance

import "math"
import "slices"

// Who is eligible, and the pick.

// coldRoom tells whether a cold replica may be sent a part. Danger: right after a start a replica falls over
// under its usual load and stays down. It bears a multiple of what it can do now: if none sends it more than
// that share of its own usual traffic, all stay within it together, and a shard of cold ones is not starved.
// Each part has a lot, drawn once; no burst; what peers that are away should bear makes it less.
func (a *Aggregator) coldRoom(now int64, r *replica, p *part) bool {
	if r.started == 0 || now-r.started >= a.ColdRamp {
		return true
	}
	present := a.ColdShare + (1-a.ColdShare)*float64(max(now-r.started, 0))/float64(a.ColdRamp)
	open := 0.0
	for _, h := range a.holders[p.shard] {
		if peer := &a.replicas[h]; !peer.aside && !peer.stale && now >= peer.jammed {
			open++
		}
	}
	share := coldSafety * a.FallMultiple * present * max(open, 1) / float64(a.most)
	usual := a.sent.sum(now) / float64(max(a.up, 1))
	return p.lot < share && r.sent.sum(now) < max(share*usual, 1)
}

// idles tells whether a replica set aside has nothing to do, and a try there costs next to nothing.
func (r *replica) idles() bool { return r.aside && r.quick && r.calls == 0 && !r.stale }

// trickles tells whether a replica that was set aside may have one more part now. Danger: a once-only part
// lost by such a try cannot run elsewhere: it makes one only where no other has for half the time.
func (r *replica) trickles(now, rest int64, effect Effect) bool {
	if now >= r.since+rest {
		r.used, r.since = 0, now
	}
	return now >= r.since && r.used < r.quota && (effect != OnceOnly || now >= r.since+rest/2)
}

// expect is how long a part sent now should take at the best replica of its shard; crowded tells that sound
// ones would be late, and one stands idle that was set aside for failures that cost no time. Danger: with
// none sound, declining all would never find one mended; and what the sound have no room for would be
// declined while others rest, though a try there costs next to nothing.
func (a *Aggregator) expect(now int64, p *part, w *workload, pick bool) (best int64, crowded bool) {
	prior, doubt := a.guess(now, w)
	if !pick {
		prior = a.late(now, p, prior, doubt)
	}
	times := [...]int64{math.MaxInt64, math.MaxInt64, math.MaxInt64, math.MaxInt64}
	for _, h := range a.holders[p.shard] {
		if r := &a.replicas[h]; now >= r.jammed && a.coldRoom(now, r, p) {
			n := slices.Index([]bool{!r.aside && !r.stale, r.idles(), !r.stale, true}, true)
			times[n] = min(times[n], r.takes(now, prior, doubt, pick)<<(n/3)) // in doubt: it waits for those before it
		}
	}
	if float64(times[0]) > crowdShare*float64(a.shortest) && times[1] < times[0] {
		return times[1], true
	}
	return times[max(slices.IndexFunc(times[:], func(t int64) bool { return t < math.MaxInt64 }), 0)], false
}

// pick chooses the replica with the lowest Running Execution Cost for a part, or -1; ties go round.
func (a *Aggregator) pick(now int64, p *part, w *workload, overCap bool) int {
	holders := a.holders[p.shard]
	from := a.pointers[p.shard] % max(len(holders), 1)
	prior, doubt := a.guess(now, w)
	expected, crowded := a.expect(now, p, w, true)
	for level := range 4 {
		best, choice, tied := (costLimit-priority+1)*Distances, -1, false
		for k := range holders {
			i := holders[(from+k)%len(holders)]
			r := &a.replicas[i]
			// A slow replica, one that has just failed this part and one set aside are there when no other is.
			if level < 3 && r.aside && !(crowded && r.idles()) && !r.trickles(now, a.rest, w.Effect) ||
				!a.coldRoom(now, r, p) ||
				level < 1 && float64(r.takes(now, prior, doubt, true)) > slowMul*float64(expected) ||
				level < 2 && slices.ContainsFunc(p.executions, func(e execution) bool { return e.replica == i }) ||
				!overCap && (r.calls >= channels || r.channels > 0 && r.calls >= r.channels ||
					r.stale || now < r.jammed) {
				continue
			}
			cost := priority*r.calls*Distances + r.distance // of the cheapest the nearest, and of those in turn
			if tied = cost == best || tied && cost > best; cost < best {
				best, choice = cost, i
			}
		}
		if tied {
			a.pointers[p.shard] = slices.Index(holders, choice) + 1
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
	if r.shared == nil || r.shared.round != a.rounds || r.shared.parts >= a.PartsPerCall {
		r.shared = &call{round: a.rounds}
		r.calls++
	}
	r.shared.parts++
	r.sent.add(now, 1)
	r.used++
	a.further[p.shard%len(a.further)].add(now, float64(min(len(p.executions), 1)))
	a.sent.add(now, 1)
	idle := now - r.lastUsed
	if r.calls > 1 || !r.connected {
		idle = 0
	}
	r.lastUsed, r.connected = now, true
	p.executions = append(p.executions, execution{call: r.shared, sentAt: now, stood: a.stood, replica: to,
		idle: idle, slots: r.calls})
	p.stage = out
	if p.mayHaveRun == never {
		p.mayHaveRun = now
	}
	a.round.Sends = append(a.round.Sends, Send{q, number, to, q.cut(now, len(p.executions))})
}
