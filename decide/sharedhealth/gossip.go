package sharedhealth

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"willowsill/balance"
)

const (
	recordMaxAgeRounds  = 4      // rounds that a record counts: then its writer is silent on it, or gone
	reportValidRounds   = 3      // rounds that a word holds without being said again
	minReporters        = 2      // independent ones at least, for anything
	immediateReporters  = 4      // that are believed at once
	maxFailingShare     = 0.4    // of its replicas: a witness that accuses more is itself in trouble
	minFailing          = 3      // accused at least, for that
	maxPassedOverShare  = 1. / 3 // of a cell's replicas that hearsay may have passed over at a time, one at least
	trialsPerEjection   = 2.0    // that all aggregators together make in a rest at a replica set aside
	maxDelayEjections   = 8      // rests that a try is put off by at most
	minSlowdown         = 2.0    // times the typical is slow where it was met often,
	slowdownMargin      = 1.5    // and so much more over the number of calls where it was not: any part may be a heavy one
	healthyForNs        = 2e9    // ns since it last served: still well
	maxReportedSlowdown = 8.0    // the highest pace that is gone by
	maxPeerRecords      = 1024   // that are kept of others, the newest
	findingMaxAgeNs     = 8e9    // ns: an older finding is no news
	unlistedRetentionNs = 60e9   // ns that one off the list is remembered
	relapseWindowNs     = 20e9   // ns: spoken against again within so long, it is not yet mended, and each time
	relapseExtensionNs  = 4e9    // ns longer a word holds, whoever finds it well,
	maxRelapses         = 3      // so many times at most
	releaseSpreadNs     = 6e9    // ns, by chance, that a word holds on when nobody says it any more
)

// Survey is what this aggregator knows itself at one time.
type Survey struct {
	Findings   []balance.Finding
	Keys       []uint64  // of each finding's replica
	Demand     []float64 // queries of each quota's customer since the survey before
	TokensLeft []float64 // tokens of each that the purse still holds
}

// peerRecord is another aggregator's last record.
type peerRecord struct {
	Record
	receivedAt int64 // when it was read here
	initialAge int64 // how old it was then by the store's clock, ns
}

// replicaHistory is what is kept of one replica.
type replicaHistory struct {
	movedTrialAt    int64                // the rest whose end was put off last
	accusedSince    int64                // it has been spoken against since then, 0 for not
	lastReport      balance.SharedReport // the last on its pace; Weight 0 for none that still holds
	lastReportUntil int64                // that holds so long without being said again
	releaseDelay    int64                // after it was last said
	lastAccused     int64                // it was last spoken against
	relapses        int                  // times that this began anew soon after
	lastListed      int64                // it was last on the list
}

// gossip weighs what others found. The zero value is not usable; see newHearsay.
type gossip struct {
	roundInterval, baseEjection int64
	rng                         *rand.Rand
	peers                       map[string]*peerRecord
	histories                   map[uint64]*replicaHistory
	accused                     map[uint64]bool // by another lately: whoever finds them well says so
	reports                     []balance.SharedReport
	verdicts                    map[uint64]*verdictCounts
}

// verdictCounts is what the witnesses say of one replica.
type verdictCounts struct {
	ejected, failing, slow, healthy int
	slowdowns                       []float64
	accusationAges, healthyAges     []int64 // how old the findings are, against it and for it
}

// accusers is how many speak against it.
func (c *verdictCounts) accusers() int { return c.ejected + c.failing + c.slow }

func newGossip(round, rest int64, chance *rand.Rand) *gossip {
	return &gossip{roundInterval: round, baseEjection: rest, rng: chance, peers: map[string]*peerRecord{},
		histories: map[uint64]*replicaHistory{}, accused: map[uint64]bool{}, verdicts: map[uint64]*verdictCounts{}}
}

// mergeRecord is one that was read; clock is the store's time then. It tells whether it was taken.
//
// Danger: what a restart or an older copy of the store left behind must not be heard again: only what is higher in
// incarnation, or the same with a higher sequence, replaces what is known.
func (h *gossip) mergeRecord(now, clock int64, name string, r Record) bool {
	age := clock - r.WrittenAt
	if age < -h.roundInterval || age > recordMaxAgeRounds*h.roundInterval {
		return false
	}
	was := h.peers[name]
	if was != nil && (r.Incarnation < was.Incarnation ||
		r.Incarnation == was.Incarnation && r.Sequence < was.Sequence) {
		return false
	}
	if was == nil && len(h.peers) >= maxPeerRecords {
		return false
	}
	h.peers[name] = &peerRecord{r, now, max(age, 0)}
	return true
}

// recordAge is how old a witness's record is.
func (h *gossip) recordAge(now int64, w *peerRecord) int64 { return now - w.receivedAt + w.initialAge }

// credible tells whether a witness is heard on what fails. Danger: one that is itself cut off or starved finds most
// replicas failing, and would have all others leave what is sound.
func (w *peerRecord) credible() bool {
	return w.FailingReplicas < minFailing || float64(w.FailingReplicas) <= maxFailingShare*float64(w.Replicas)
}

// countVerdicts counts what is said of each replica.
func (h *gossip) countVerdicts(now int64) {
	clear(h.verdicts)
	clear(h.accused)
	for name, w := range h.peers {
		if h.recordAge(now, w) > recordMaxAgeRounds*h.roundInterval {
			delete(h.peers, name)
			continue
		}
		for _, t := range w.Findings {
			c := h.verdicts[t.Key]
			if c == nil {
				c = &verdictCounts{}
				h.verdicts[t.Key] = c
			}
			old := t.Age + h.recordAge(now, w)
			switch {
			case t.Verdict == FoundHealthy:
				c.healthyAges = append(c.healthyAges, old)
				continue
			case !w.credible() || old > findingMaxAgeNs:
				continue
			case t.Verdict == FoundEjected:
				c.ejected++
			case t.Verdict == FoundFailing:
				c.failing++
			case t.Verdict == FoundSlow:
				c.slow++
			}
			// A failure costs a further execution, however fast it came.
			if t.Verdict != FoundSlow {
				t.Slowdown = maxReportedSlowdown
			}
			c.slowdowns = append(c.slowdowns, t.Slowdown)
			c.accusationAges = append(c.accusationAges, old)
			h.accused[t.Key] = true
		}
	}
	// Danger: in the first seconds of a trouble more have met the replica before it than since. Who found it well
	// counts only where that is later than what half of those found who speak against it.
	for _, c := range h.verdicts {
		slices.Sort(c.accusationAges)
		for _, old := range c.healthyAges {
			if len(c.accusationAges) == 0 || old < c.accusationAges[len(c.accusationAges)/2] {
				c.healthy++
			}
		}
	}
}

// evaluate makes words of what the witnesses say; live is how many aggregators there are.
func (h *gossip) evaluate(now int64, s Survey, aggregators int) []balance.SharedReport {
	h.reports = h.reports[:0]
	h.countVerdicts(now)
	cells := map[int]*cellCounts{}
	for i, f := range s.Findings {
		if cells[f.Cell] == nil {
			cells[f.Cell] = &cellCounts{}
		}
		cells[f.Cell].listed++
		r := h.histories[s.Keys[i]]
		if r == nil {
			r = &replicaHistory{}
			h.histories[s.Keys[i]] = r
		}
		r.lastListed = now
	}
	selfCut := h.selfImpaired(s)
	for _, i := range h.mostAccusedFirst(s) {
		f, said := s.Findings[i], h.verdicts[s.Keys[i]]
		if said == nil {
			said = &verdictCounts{}
		}
		r, c := h.histories[s.Keys[i]], cells[f.Cell]
		w := balance.SharedReport{Replica: f.Replica, Expires: now + reportValidRounds*h.roundInterval}
		against := said.accusers()
		if against < minReporters || against <= said.healthy {
			r.accusedSince = 0
			// Danger: as the last testimony fades a hundred aggregators would try the replica at once, and lose a
			// query each. So they come back one by one; what the first finds the others hear.
			mended := said.healthy > against && now >= r.lastAccused+int64(r.relapses)*relapseExtensionNs
			if r.lastReport.Weight > 0 && !mended && now < r.lastReportUntil && c.passedOver < c.maxPassedOver() {
				c.passedOver++
				w.Slowdown, w.Weight = r.lastReport.Slowdown, r.lastReport.Weight
			} else {
				r.lastReport.Weight = 0
			}
		} else {
			if r.accusedSince == 0 {
				// Danger: one that fails and recovers by turns is found well by some in each good turn.
				if r.accusedSince = now; r.lastAccused > 0 && now-r.lastAccused < relapseWindowNs {
					r.relapses = min(r.relapses+1, maxRelapses)
				} else {
					r.relapses = 0
				}
			}
			r.lastAccused = now
			w.Suspect = said.ejected+said.failing >= minReporters
			// Danger: where every replica fails now and then, at any time some aggregator has just met that. Those
			// who find it well need a round to say so; only two that set it aside are believed at once, or several
			// whom nobody contradicts.
			if (said.ejected >= minReporters || against >= immediateReporters && said.healthy == 0 || now-r.accusedSince >= h.roundInterval/2) &&
				c.passedOver < c.maxPassedOver() {
				c.passedOver++
				slices.Sort(said.slowdowns)
				w.Slowdown, w.Weight = min(said.slowdowns[len(said.slowdowns)/2], maxReportedSlowdown), float64(against)
				if r.lastReport.Weight == 0 {
					r.releaseDelay = int64(h.rng.Float64() * releaseSpreadNs)
				}
				r.lastReport, r.lastReportUntil = w, now+r.releaseDelay+int64(r.relapses)*relapseExtensionNs
			}
		}
		switch {
		case !f.Ejected:
		case said.healthy >= minReporters && said.healthy > against && !selfCut:
			// Others have seen it well: the rest ends soon, not for all at once.
			if f.TrialAt > now+h.baseEjection/2 {
				w.TrialAt = now + int64(h.rng.Float64()*float64(h.baseEjection)/2)
			}
		case said.ejected >= minReporters && f.TrialAt > now && r.movedTrialAt != f.TrialAt:
			// Danger: a hundred aggregators that all try a replica when its rest is over hold it down, and each
			// loses a query by it. A few tries a rest are enough to find out, and all hear of them.
			if put := min(float64(aggregators)/trialsPerEjection, maxDelayEjections) - 1; put > 0 {
				w.TrialAt = f.TrialAt + int64(h.rng.Float64()*put*float64(h.baseEjection))
				r.movedTrialAt = w.TrialAt
			}
		}
		if w.Suspect || w.Weight > 0 || w.TrialAt > 0 {
			h.reports = append(h.reports, w)
		}
	}
	for key, r := range h.histories {
		if now-r.lastListed > unlistedRetentionNs {
			delete(h.histories, key)
		}
	}
	return h.reports
}

// cellCounts is what is reckoned of the replicas of a cell.
type cellCounts struct{ listed, passedOver int }

// maxPassedOver is how many of them hearsay may have passed over: never one that is alone.
func (c *cellCounts) maxPassedOver() int {
	if c.listed < 2 {
		return 0
	}
	return max(int(maxPassedOverShare*float64(c.listed)), 1)
}

// mostAccusedFirst are the findings on replicas that are or were spoken of, those that most speak against first.
func (h *gossip) mostAccusedFirst(s Survey) (order []int) {
	for i, key := range s.Keys {
		if h.verdicts[key] != nil || h.histories[key].lastReport.Weight > 0 {
			order = append(order, i)
		}
	}
	against := func(i int) int {
		if c := h.verdicts[s.Keys[i]]; c != nil {
			return c.accusers()
		}
		return 0
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(against(j), against(i)) })
	return order
}

// selfImpaired tells whether this aggregator itself finds most failing: then others' good word is not for it.
func (h *gossip) selfImpaired(s Survey) bool {
	accused := countFailing(s)
	return accused >= minFailing && float64(accused) > maxFailingShare*float64(len(s.Findings))
}

func countFailing(s Survey) (n int) {
	for _, f := range s.Findings {
		if f.Ejected || f.LastFailure > 0 {
			n++
		}
	}
	return n
}

// buildRecord makes this aggregator's record: the gravest first, and what others accuse and it finds well.
func (h *gossip) buildRecord(now int64, s Survey) Record {
	r := Record{Replicas: len(s.Findings), FailingReplicas: countFailing(s)}
	for i, f := range s.Findings {
		t := Finding{Key: s.Keys[i], Slowdown: f.Slowdown}
		well := f.LastSuccess > f.LastFailure && f.LastSuccess > now-healthyForNs
		switch {
		case f.Ejected && !(well && f.LastFailure == 0):
			t.Verdict, t.Age = FoundEjected, now-max(f.LastFailure, f.LastSuccess)
			if f.LastFailure > 0 {
				t.Age = now - f.LastFailure
			}
		case f.LastFailure > 0 && now-f.LastFailure < findingMaxAgeNs:
			t.Verdict, t.Age = FoundFailing, now-f.LastFailure
		case f.Samples > 0 && f.Slowdown >= minSlowdown+slowdownMargin/f.Samples && now-f.LastSuccess < findingMaxAgeNs:
			t.Verdict, t.Age = FoundSlow, max(now-f.LastSuccess, 0)
		case h.accused[t.Key] && well:
			t.Verdict, t.Age = FoundHealthy, now-f.LastSuccess
		default:
			continue
		}
		r.Findings = append(r.Findings, t)
	}
	grave := func(t Finding) float64 {
		return map[Verdict]float64{FoundEjected: 4000, FoundFailing: 3000, FoundHealthy: 2000, FoundSlow: 1000}[t.Verdict] + math.Min(t.Slowdown, 999)
	}
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return cmp.Compare(grave(b), grave(a)) })
	r.Findings = r.Findings[:min(len(r.Findings), maxFindings)]
	return r
}
