package sharedhealth

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"willowsill/balance"
)

const (
	recordMaxAgeRounds  = 4      // rounds for which a peer's record counts; then the peer has removed it or is gone
	reportValidRounds   = 3      // rounds for which a shared report holds without being renewed
	minReporters        = 2      // peers that must agree before their findings have any effect
	immediateReporters  = 4      // peers that are believed at once if no peer contradicts them
	maxFailingShare     = 0.4    // share of its replicas: a peer that reports more as failing is in trouble itself
	minFailing          = 3      // replicas that a peer has to report as failing before maxFailingShare applies
	maxExcludedShare    = 1. / 3 // share of a cell's replicas that peers' findings may exclude at a time, but at least one
	trialsPerEjection   = 2.0    // trials that all aggregators together make during one ejection of a replica
	maxDelayEjections   = 8      // upper bound of the delay of a trial, in base ejections
	minSlowdown         = 2.0    // slowdown from which a replica is slow if it was called many times
	slowdownMargin      = 1.5    // this divided by the number of calls is added to minSlowdown, since a single call may be expensive
	healthyForNs        = 2e9    // ns since its last answer for which a replica counts as healthy
	maxReportedSlowdown = 8.0    // the highest slowdown that is used
	maxPeerRecords      = 1024   // peers whose newest record is kept
	findingMaxAgeNs     = 8e9    // ns: older findings against a replica are neither published nor counted
	unlistedRetentionNs = 60e9   // ns for which a replica that is no longer listed is remembered
	relapseWindowNs     = 20e9   // ns: a replica that is accused again within this time has relapsed
	relapseExtensionNs  = 4e9    // ns by which each relapse extends a shared report, even if peers find the replica healthy
	maxRelapses         = 3      // relapses that extend a shared report
	releaseSpreadNs     = 6e9    // ns within which shared reports end at random after peers stop accusing a replica
)

// Survey is what this aggregator knows itself at one time.
type Survey struct {
	Findings   []balance.Finding
	Keys       []uint64  // ReplicaKey of each finding's replica
	Demand     []float64 // queries of each quota's customer since the last survey
	TokensLeft []float64 // unspent leased tokens of each quota
}

// peerRecord is the newest record of a peer.
type peerRecord struct {
	Record
	receivedAt int64 // when the record was read, on this aggregator's clock
	initialAge int64 // age of the record when it was read, by the store's clock, ns
}

// replicaHistory is what is remembered about one replica.
type replicaHistory struct {
	movedTrialAt    int64                // the time to which a trial was last delayed
	accusedSince    int64                // since when peers accuse the replica; 0 if they do not
	lastReport      balance.SharedReport // latest shared report on its slowdown; Weight is 0 if it no longer holds
	lastReportUntil int64                // end of lastReport if peers do not accuse the replica again
	releaseDelay    int64                // ns for which lastReport holds after the last accusation
	lastAccused     int64                // when peers last accused the replica
	relapses        int                  // relapses in a row
	lastListed      int64                // when the replica was last listed
}

// gossip evaluates the findings of peers. The zero value is not usable; see newGossip. accused holds the replicas that
// a peer found failing or slow: if this aggregator finds one of them healthy, it publishes that.
type gossip struct {
	roundInterval, baseEjection int64
	rng                         *rand.Rand
	peers                       map[string]*peerRecord
	histories                   map[uint64]*replicaHistory
	accused                     map[uint64]bool
	reports                     []balance.SharedReport
	verdicts                    map[uint64]*verdictCounts
}

// verdictCounts counts the peers' verdicts on one replica.
type verdictCounts struct {
	ejected, failing, slow, healthy int
	slowdowns                       []float64
	accusationAges, healthyAges     []int64 // ages of the findings against the replica and in its favor, ns
}

// accusers returns the number of findings against the replica.
func (c *verdictCounts) accusers() int { return c.ejected + c.failing + c.slow }

func newGossip(roundInterval, baseEjection int64, rng *rand.Rand) *gossip {
	return &gossip{roundInterval: roundInterval, baseEjection: baseEjection, rng: rng, peers: map[string]*peerRecord{},
		histories: map[uint64]*replicaHistory{}, accused: map[uint64]bool{}, verdicts: map[uint64]*verdictCounts{}}
}

// mergeRecord stores a peer's record that was read when the store's clock showed the given time. It reports whether the
// record was accepted.
//
// Danger: a record left by an earlier process or an older state of the store must not be used again. Only a record with
// a higher incarnation, or of the same incarnation with no lower sequence, replaces the stored one.
func (g *gossip) mergeRecord(now, storeTime int64, name string, r Record) bool {
	age := storeTime - r.WrittenAt
	if age < -g.roundInterval || age > recordMaxAgeRounds*g.roundInterval {
		return false
	}
	known := g.peers[name]
	if known != nil && (r.Incarnation < known.Incarnation ||
		r.Incarnation == known.Incarnation && r.Sequence < known.Sequence) {
		return false
	}
	if known == nil && len(g.peers) >= maxPeerRecords {
		return false
	}
	g.peers[name] = &peerRecord{r, now, max(age, 0)}
	return true
}

// recordAge returns the age of a peer's record, ns.
func (g *gossip) recordAge(now int64, peer *peerRecord) int64 {
	return now - peer.receivedAt + peer.initialAge
}

// credible reports whether a peer's findings of failures count. Danger: a peer that is itself cut off or short of
// processor time finds most replicas failing, and would make all others avoid replicas that are healthy.
func (p *peerRecord) credible() bool {
	return p.FailingReplicas < minFailing || float64(p.FailingReplicas) <= maxFailingShare*float64(p.Replicas)
}

// countVerdicts counts the peers' verdicts on each replica.
func (g *gossip) countVerdicts(now int64) {
	clear(g.verdicts)
	clear(g.accused)
	for name, peer := range g.peers {
		if g.recordAge(now, peer) > recordMaxAgeRounds*g.roundInterval {
			delete(g.peers, name)
			continue
		}
		for _, t := range peer.Findings {
			c := g.verdicts[t.Key]
			if c == nil {
				c = &verdictCounts{}
				g.verdicts[t.Key] = c
			}
			age := t.Age + g.recordAge(now, peer)
			switch {
			case t.Verdict == FoundHealthy:
				c.healthyAges = append(c.healthyAges, age)
				continue
			case !peer.credible() || age > findingMaxAgeNs:
				continue
			case t.Verdict == FoundEjected:
				c.ejected++
			case t.Verdict == FoundFailing:
				c.failing++
			case t.Verdict == FoundSlow:
				c.slow++
			}
			// A failure costs a further execution, however fast it came, so it counts as the highest slowdown.
			if t.Verdict != FoundSlow {
				t.Slowdown = maxReportedSlowdown
			}
			c.slowdowns = append(c.slowdowns, t.Slowdown)
			c.accusationAges = append(c.accusationAges, age)
			g.accused[t.Key] = true
		}
	}
	// Danger: in the first seconds of a fault more peers have called the replica before the fault than since. A finding in
	// its favor counts only if it is newer than the median of the findings against it.
	for _, c := range g.verdicts {
		slices.Sort(c.accusationAges)
		for _, age := range c.healthyAges {
			if len(c.accusationAges) == 0 || age < c.accusationAges[len(c.accusationAges)/2] {
				c.healthy++
			}
		}
	}
}

// evaluate derives shared reports from the peers' findings in a fleet of this many aggregators.
func (g *gossip) evaluate(now int64, s Survey, aggregators int) []balance.SharedReport {
	g.reports = g.reports[:0]
	g.countVerdicts(now)
	cells := map[int]*cellCounts{}
	for i, f := range s.Findings {
		if cells[f.Cell] == nil {
			cells[f.Cell] = &cellCounts{}
		}
		cells[f.Cell].listed++
		r := g.histories[s.Keys[i]]
		if r == nil {
			r = &replicaHistory{}
			g.histories[s.Keys[i]] = r
		}
		r.lastListed = now
	}
	impaired := g.selfImpaired(s)
	for _, i := range g.mostAccusedFirst(s) {
		f, counts := s.Findings[i], g.verdicts[s.Keys[i]]
		if counts == nil {
			counts = &verdictCounts{}
		}
		history, cell := g.histories[s.Keys[i]], cells[f.Cell]
		report := balance.SharedReport{Replica: f.Replica, Expires: now + reportValidRounds*g.roundInterval}
		accusers := counts.accusers()
		if accusers < minReporters || accusers <= counts.healthy {
			history.accusedSince = 0
			// Danger: when the last accusation expires, a hundred aggregators would try the replica at once and lose a
			// query each. So their shared reports end one after the other, and the first ones publish what they find.
			recovered := counts.healthy > accusers && now >= history.lastAccused+int64(history.relapses)*relapseExtensionNs
			if history.lastReport.Weight > 0 && !recovered && now < history.lastReportUntil && cell.excluded < cell.maxExcluded() {
				cell.excluded++
				report.Slowdown, report.Weight = history.lastReport.Slowdown, history.lastReport.Weight
			} else {
				history.lastReport.Weight = 0
			}
		} else {
			if history.accusedSince == 0 {
				// Danger: a replica that fails and recovers by turns is found healthy by some peers in each good phase.
				if history.accusedSince = now; history.lastAccused > 0 && now-history.lastAccused < relapseWindowNs {
					history.relapses = min(history.relapses+1, maxRelapses)
				} else {
					history.relapses = 0
				}
			}
			history.lastAccused = now
			report.Suspect = counts.ejected+counts.failing >= minReporters
			// Danger: where every replica fails now and then, some aggregator has just met a failure at any time, and
			// those that find the replica healthy need a round to publish that. So accusations count at once only if
			// two peers have ejected the replica, or if several peers accuse it and none contradicts; otherwise they
			// count after half a round.
			if (counts.ejected >= minReporters || accusers >= immediateReporters && counts.healthy == 0 ||
				now-history.accusedSince >= g.roundInterval/2) &&
				cell.excluded < cell.maxExcluded() {
				cell.excluded++
				slices.Sort(counts.slowdowns)
				report.Slowdown, report.Weight = min(counts.slowdowns[len(counts.slowdowns)/2], maxReportedSlowdown), float64(accusers)
				if history.lastReport.Weight == 0 {
					history.releaseDelay = int64(g.rng.Float64() * releaseSpreadNs)
				}
				history.lastReport, history.lastReportUntil = report, now+history.releaseDelay+int64(history.relapses)*relapseExtensionNs
			}
		}
		switch {
		case !f.Ejected:
		case counts.healthy >= minReporters && counts.healthy > accusers && !impaired:
			// Peers have found it healthy: its ejection ends soon, but not for all aggregators at once.
			if f.TrialAt > now+g.baseEjection/2 {
				report.TrialAt = now + int64(g.rng.Float64()*float64(g.baseEjection)/2)
			}
		case counts.ejected >= minReporters && f.TrialAt > now && history.movedTrialAt != f.TrialAt:
			// Danger: a hundred aggregators that all try a replica when its ejection ends keep it overloaded, and each
			// loses a query. A few trials in each ejection are enough, because all aggregators learn their outcome.
			if delay := min(float64(aggregators)/trialsPerEjection, maxDelayEjections) - 1; delay > 0 {
				report.TrialAt = f.TrialAt + int64(g.rng.Float64()*delay*float64(g.baseEjection))
				history.movedTrialAt = report.TrialAt
			}
		}
		if report.Suspect || report.Weight > 0 || report.TrialAt > 0 {
			g.reports = append(g.reports, report)
		}
	}
	for key, r := range g.histories {
		if now-r.lastListed > unlistedRetentionNs {
			delete(g.histories, key)
		}
	}
	return g.reports
}

// cellCounts counts a cell's replicas: all that are listed, and those that shared reports exclude.
type cellCounts struct{ listed, excluded int }

// maxExcluded returns how many replicas of the cell shared reports may exclude. A cell's only replica is never
// excluded.
func (c *cellCounts) maxExcluded() int {
	if c.listed < 2 {
		return 0
	}
	return max(int(maxExcludedShare*float64(c.listed)), 1)
}

// mostAccusedFirst returns the indexes of the findings on replicas that peers report on or that a shared report
// excludes, in descending order of accusers.
func (g *gossip) mostAccusedFirst(s Survey) (order []int) {
	for i, key := range s.Keys {
		if g.verdicts[key] != nil || g.histories[key].lastReport.Weight > 0 {
			order = append(order, i)
		}
	}
	accusers := func(i int) int {
		if c := g.verdicts[s.Keys[i]]; c != nil {
			return c.accusers()
		}
		return 0
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(accusers(j), accusers(i)) })
	return order
}

// selfImpaired reports whether this aggregator itself finds too many replicas failing. Then peers' findings in favor of
// a replica do not apply to it.
func (g *gossip) selfImpaired(s Survey) bool {
	failing := countFailing(s)
	return failing >= minFailing && float64(failing) > maxFailingShare*float64(len(s.Findings))
}

func countFailing(s Survey) (n int) {
	for _, f := range s.Findings {
		if f.Ejected || f.LastFailure > 0 {
			n++
		}
	}
	return n
}

// buildRecord makes this aggregator's record, with the most severe findings first. It includes replicas that peers
// accuse and this aggregator finds healthy.
func (g *gossip) buildRecord(now int64, s Survey) Record {
	r := Record{Replicas: len(s.Findings), FailingReplicas: countFailing(s)}
	for i, f := range s.Findings {
		t := Finding{Key: s.Keys[i], Slowdown: f.Slowdown}
		healthy := f.LastSuccess > f.LastFailure && f.LastSuccess > now-healthyForNs
		switch {
		case f.Ejected && !(healthy && f.LastFailure == 0):
			t.Verdict, t.Age = FoundEjected, now-max(f.LastFailure, f.LastSuccess)
			if f.LastFailure > 0 {
				t.Age = now - f.LastFailure
			}
		case f.LastFailure > 0 && now-f.LastFailure < findingMaxAgeNs:
			t.Verdict, t.Age = FoundFailing, now-f.LastFailure
		case f.Samples > 0 && f.Slowdown >= minSlowdown+slowdownMargin/f.Samples && now-f.LastSuccess < findingMaxAgeNs:
			t.Verdict, t.Age = FoundSlow, max(now-f.LastSuccess, 0)
		case g.accused[t.Key] && healthy:
			t.Verdict, t.Age = FoundHealthy, now-f.LastSuccess
		default:
			continue
		}
		r.Findings = append(r.Findings, t)
	}
	severity := func(t Finding) float64 {
		return map[Verdict]float64{FoundEjected: 4000, FoundFailing: 3000, FoundHealthy: 2000, FoundSlow: 1000}[t.Verdict] +
			math.Min(t.Slowdown, 999)
	}
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return cmp.Compare(severity(b), severity(a)) })
	r.Findings = r.Findings[:min(len(r.Findings), maxFindings)]
	return r
}
