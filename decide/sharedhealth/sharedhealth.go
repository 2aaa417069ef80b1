// Package sharedhealth decides for one aggregator what it tells the others through a shared store, what it believes of
// what they tell and for how long, and what of a customer's quota it may spend. It does no I/O and reads no clock.
//
// Decides: what is published and when, which witnesses count, when hearsay narrows who is eligible, how many
// aggregators there are, leases of quotas, and whether the store is to be believed.
//
// How to call it: New at the start. Then, again and again: Survey with what the aggregator knows itself, Decide, which
// returns a request to the store when one is due, and Answer or Fail with what became of it; both return an allowance
// for the aggregator. Calls come from one goroutine, in order of time.
package sharedhealth

import (
	"math/rand/v2"
	"slices"

	"willowsill/balance"
)

const ms = 1_000_000 // ns

const (
	presenceTTLRounds     = 20  // an aggregator's own key lasts so many rounds
	maxHeartbeatAgeRounds = 6   // without a heartbeat, and an aggregator is not counted
	sweepEveryRounds      = 16  // rounds between two sweeps of what others left behind, by chance
	goneAfterRounds       = 60  // rounds after which what another left behind is swept
	maxFieldsPerSweep     = 16  // findings of aggregators long gone that one sweep removes
	maxClockBackNs        = 1e9 // ns that the store's clock may fall before that is a contradiction
	maxClockAheadNs       = 5e9 // ns that it may leap
)

// Config are what an aggregator is told of the store. Times in ns.
type Config struct {
	Name          string // of this aggregator, no other's
	Incarnation   uint64 // of this process: higher than that of the one before under the same name
	Seed          uint64
	RoundInterval int64
	RoundTimeout  int64
	SampleSize    int   // most aggregators that are read in one round
	Aggregators   int   // that there are, as the deployment states it
	BaseEjection  int64 // the first rest of a replica that is set aside
	HealthEnabled bool
	Quotas        []Quota
}

// Request is one round with the store, to be carried out in one go: nothing in it depends on what comes back.
type Request struct {
	SentAt         int64
	Deadline       int64 // or it has failed
	Presence       []byte
	PresenceTTL    int64  // of the presence, ns
	Findings       []byte // nil: there is nothing to tell, and what was told before goes
	SampleSize     int    // records to read, by chance; 0 for none
	HeartbeatScore int64  // score of this aggregator among the members, the store's ms; 0 while its clock is not known
	MinLiveScore   int64  // lowest score that counts as living
	SweepMaxScore  int64  // scores up to this are removed; 0 for no sweep
	DropFindings   []string
	CountReads     []CountRead
	TokenRequests  []TokenRequest
}

// Entry is a record of another aggregator as the store holds it.
type Entry struct {
	Name string
	Data []byte
}

// Reply is what the store answered.
type Reply struct {
	StoreTime     int64  // the store's, ns of Unix time
	OwnPresence   []byte // what stood at this aggregator's presence before it was set; nil for nothing
	LiveMembers   int
	Entries       []Entry
	Counts        [][]int64 // of each Read
	Totals        []int64   // of each Take, after it
	UnusableParts int       // parts of the answer that could not be used
}

// RoundResult is what the aggregator is told: words to the decision module, tokens to its purse.
type RoundResult struct {
	Reports    []balance.SharedReport
	Leases     []Lease
	LocalRates []LocalRate
}

// Event is something that staff ought to hear of.
type Event struct {
	Message    string
	State      State
	Aggregator string // of an aggregator, or empty
}

// Stats are counts since the start, but for State, Age and Live.
type Stats struct {
	State                                                                                  State
	LastGoodRoundAge                                                                       int64 // of the last good round, ns
	LiveMembers                                                                            int
	Rounds, FailedRounds, Contradictions, RecordsRefused, RecordsMerged, FindingsPublished int64
	Suspected, TrialsMoved, PassedOver, TokensLeased, LeasesShort                          int64
}

// Exchange is one aggregator's part in what is shared.
type Exchange struct {
	Config
	monitor              storeMonitor
	gossip               *gossip
	leaseManager         *leaseManager
	rng                  *rand.Rand
	survey               Survey
	surveyedAt           int64
	pending              *Request // under way
	sequence             uint64
	confirmedSequence    uint64 // the last sequence that the store has taken,
	confirmedIncarnation uint64 // under this incarnation
	confirmedAt          int64
	storeTime            int64 // the store's, at the last good round; 0 for not known
	storeTimeReceivedAt  int64 // when that came
	storeTimeRequestedAt int64 // when that round left
	liveMembers          int
	peakMembers          [2]int // the highest number of members of this span and the last
	peakSince            int64
	lastLeaseUpdate      int64
	requestedTokens      bool           // the round under way asks for tokens
	staleFields          map[string]int // fields of aggregators long gone, by rounds that they were seen
	events               []Event
	figures              Stats
	reportedState        State
}

// New makes an aggregator's part at its start.
func New(now int64, config Config) *Exchange {
	chance := rand.New(rand.NewPCG(config.Seed, uint64(config.Incarnation)))
	c := &Exchange{Config: config, rng: chance, gossip: newGossip(config.RoundInterval, config.BaseEjection, chance), leaseManager: newLeaseManager(now, config.Quotas, config.Aggregators, chance),
		staleFields: map[string]int{}, surveyedAt: now, lastLeaseUpdate: now, peakSince: now,
		monitor: storeMonitor{interval: config.RoundInterval, timeout: config.RoundTimeout, rng: chance, lastGood: now - 2*unreachableAfterRounds*config.RoundInterval}}
	// Danger: a fleet that starts together would meet the store together.
	c.monitor.nextRound = now + int64(float64(config.RoundInterval)*chance.Float64())
	return c
}

// Next is when Decide wants to be called again.
func (c *Exchange) Next() int64 { return c.monitor.nextRound }

// RecordSurvey takes in what the aggregator knows itself; its slices are the caller's again after the next Answer or Fail.
func (c *Exchange) RecordSurvey(now int64, s Survey) {
	c.leaseManager.recordSurvey(s, now-c.surveyedAt)
	c.survey, c.surveyedAt = s, now
}

// storeTimeBounds are the earliest and the latest that the store's clock can show now.
func (c *Exchange) storeTimeBounds(now int64) (low, high int64) {
	return c.storeTime + now - c.storeTimeReceivedAt, c.storeTime + now - c.storeTimeRequestedAt
}

// Decide returns the round that is due, or nil.
func (c *Exchange) Decide(now int64) *Request {
	if c.monitor.advance(now); c.pending != nil || now < c.monitor.nextRound {
		return nil
	}
	c.sequence++
	r := &Request{SentAt: now, Deadline: now + c.RoundTimeout, PresenceTTL: presenceTTLRounds * c.RoundInterval}
	var low, high int64
	if c.storeTime > 0 {
		low, high = c.storeTimeBounds(now)
		r.HeartbeatScore = low / ms
		r.MinLiveScore = (low - maxHeartbeatAgeRounds*c.RoundInterval) / ms
		if c.rng.IntN(sweepEveryRounds) == 0 {
			r.SweepMaxScore = (low - goneAfterRounds*c.RoundInterval) / ms
			for name, seen := range c.staleFields {
				if seen > 1 && len(r.DropFindings) < maxFieldsPerSweep {
					r.DropFindings = append(r.DropFindings, name)
				}
			}
			clear(c.staleFields)
		}
	}
	own := Record{Incarnation: c.Incarnation, Sequence: c.sequence, WrittenAt: low, Replicas: len(c.survey.Findings)}
	r.Presence = own.Append(nil)
	if c.HealthEnabled {
		r.SampleSize = c.SampleSize
		if c.storeTime > 0 {
			record := c.gossip.buildRecord(now, c.survey)
			record.Incarnation, record.Sequence, record.WrittenAt = own.Incarnation, own.Sequence, own.WrittenAt
			if len(record.Findings) > 0 {
				r.Findings = record.Append(nil)
				c.figures.FindingsPublished += int64(len(record.Findings))
			}
		}
	}
	if c.requestedTokens = c.storeTime > 0 && c.monitor.usable(); c.requestedTokens {
		r.CountReads, r.TokenRequests = c.leaseManager.buildRequests(low, high, c.RoundInterval)
	}
	c.pending = r
	return r
}

// HandleReply takes in what the store answered to the request under way.
func (c *Exchange) HandleReply(now int64, reply Reply) RoundResult {
	asked := c.pending
	c.pending = nil
	c.figures.Rounds++
	c.figures.RecordsRefused += int64(reply.UnusableParts)
	as := c.Incarnation
	contradiction := c.findContradiction(now, asked, reply)
	if contradiction != "" {
		c.figures.Contradictions++
		c.addEvent(contradiction, "")
	}
	first := c.storeTime == 0
	c.storeTime, c.storeTimeReceivedAt, c.storeTimeRequestedAt = reply.StoreTime, now, asked.SentAt
	c.confirmedSequence, c.confirmedIncarnation, c.confirmedAt = c.sequence, as, now
	c.monitor.roundSucceeded(now, now-asked.SentAt, contradiction != "")
	c.updateMembers(now, reply.LiveMembers, first)
	c.mergeRecords(now, reply)
	var a RoundResult
	if contradiction == "" {
		a.Leases = c.collectLeases(now, asked, reply)
	}
	if c.monitor.usable() && c.HealthEnabled {
		a.Reports = slices.Clone(c.gossip.evaluate(now, c.survey, c.Members(now))) // it goes to another goroutine
		for _, w := range a.Reports {
			c.figures.countReport(w)
		}
	}
	// Danger: who leases and lets in its share as well spends twice; who does neither has nothing for a round.
	a.LocalRates = c.leaseManager.localRates(now, c.requestedTokens && contradiction == "", c.Members(now))
	c.reportStateChange()
	return a
}

func (f *Stats) countReport(w balance.SharedReport) {
	for _, x := range []struct {
		n  *int64
		is bool
	}{{&f.Suspected, w.Suspect}, {&f.TrialsMoved, w.TrialAt > 0}, {&f.PassedOver, w.Weight > 0}} {
		if x.is {
			*x.n++
		}
	}
}

// HandleFailure takes in that the request under way came to nothing.
func (c *Exchange) HandleFailure(now int64, _ error) RoundResult {
	c.pending = nil
	c.figures.Rounds++
	c.figures.FailedRounds++
	c.monitor.roundFailed(now)
	c.reportStateChange()
	return RoundResult{LocalRates: c.leaseManager.localRates(now, false, c.Members(now))}
}

// findContradiction tells what in an answer cannot be, or nothing.
//
// Danger: a store that was emptied, failed over to an older state or shared with another fleet answers in time and
// says what no longer holds. This aggregator's own key shows it: only this process writes there.
func (c *Exchange) findContradiction(now int64, asked *Request, reply Reply) string {
	if c.storeTime > 0 {
		if low, high := c.storeTimeBounds(now); reply.StoreTime < low-maxClockBackNs || reply.StoreTime > high+maxClockAheadNs {
			return "the store's clock leapt"
		}
	}
	if reply.OwnPresence == nil {
		if c.confirmedSequence > 0 && now-c.confirmedAt < asked.PresenceTTL/2 {
			return "the store has lost what it held"
		}
		return ""
	}
	own, err := Decode(reply.OwnPresence)
	switch {
	case err != nil:
		return "this aggregator's own key holds what it did not write"
	case own.Incarnation > c.Incarnation && c.confirmedSequence == 0: // a clock that went back, or a process before this one
		c.Incarnation = own.Incarnation + 1
		return ""
	case own.Incarnation > c.Incarnation:
		return "another process goes by this aggregator's name"
	case c.confirmedSequence > 0 && (own.Incarnation < c.confirmedIncarnation || own.Incarnation == c.confirmedIncarnation && own.Sequence < c.confirmedSequence):
		return "the store went back to an older state"
	}
	return ""
}

// updateMembers keeps the highest number of members of the last while.
func (c *Exchange) updateMembers(now int64, live int, first bool) {
	if now-c.peakSince > membersWindowNs/2 {
		c.peakMembers, c.peakSince = [2]int{0, c.peakMembers[0]}, now
	}
	if c.liveMembers = live; !first {
		c.peakMembers[0] = max(c.peakMembers[0], live)
	}
}

// Members is how many aggregators are reckoned with: when unsure the more, for shares are the smaller then.
func (c *Exchange) Members(now int64) int {
	return max(c.peakMembers[0], c.peakMembers[1], c.Aggregators, 1)
}

// mergeRecords takes in the records of others.
func (c *Exchange) mergeRecords(now int64, reply Reply) {
	for _, e := range reply.Entries {
		if e.Name == c.Name {
			continue
		}
		r, err := Decode(e.Data)
		if err != nil || len(e.Name) > maxNameBytes {
			c.figures.RecordsRefused++
			c.addEvent("a record was refused", e.Name)
			continue
		}
		if c.gossip.mergeRecord(now, reply.StoreTime, e.Name, r) {
			c.figures.RecordsMerged++
		} else if reply.StoreTime-r.WrittenAt > goneAfterRounds*c.RoundInterval && len(c.staleFields) < maxPeerRecords {
			c.staleFields[e.Name]++
		}
	}
}

// collectLeases turns what the store counted into tokens.
func (c *Exchange) collectLeases(now int64, asked *Request, reply Reply) (leases []Lease) {
	for i, r := range asked.CountReads {
		if i < len(reply.Counts) && len(reply.Counts[i]) == r.Windows() {
			c.leaseManager.applyCounts(r, reply.Counts[i])
		}
	}
	if len(c.Quotas) == 0 {
		return nil
	}
	brought := make([]float64, len(c.Quotas))
	for i, t := range asked.TokenRequests {
		if i >= len(reply.Totals) || t.Units < 0 || reply.Totals[i] < t.Units {
			continue
		}
		tokens := c.leaseManager.applyGrant(t, reply.Totals[i], reply.StoreTime)
		if tokens < float64(t.Units)/unitsPerToken {
			c.figures.LeasesShort++
		}
		if l, good := c.leaseManager.makeLease(now, asked.SentAt, reply.StoreTime, t, tokens); good {
			leases = append(leases, l)
			brought[t.Quota] += tokens
			c.figures.TokensLeased += int64(tokens)
		}
	}
	c.leaseManager.recordLeaseRate(now-c.lastLeaseUpdate, brought)
	c.lastLeaseUpdate = now
	return leases
}

func (c *Exchange) addEvent(text, name string) {
	if len(c.events) < 64 {
		c.events = append(c.events, Event{text, c.monitor.state, name})
	}
}

// reportStateChange tells of a change of state.
func (c *Exchange) reportStateChange() {
	if c.monitor.state != c.reportedState {
		c.reportedState = c.monitor.state
		c.addEvent("the shared store is "+c.reportedState.String(), "")
	}
}

// Events returns what happened since the last call.
func (c *Exchange) Events() []Event {
	e := c.events
	c.events = nil
	return e
}

// Stats tells how things stand.
func (c *Exchange) Stats(now int64) Stats {
	c.monitor.advance(now)
	f := c.figures
	f.State, f.LastGoodRoundAge, f.LiveMembers = c.monitor.state, now-c.monitor.lastGood, c.liveMembers
	return f
}
