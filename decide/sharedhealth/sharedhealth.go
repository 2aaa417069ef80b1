// Package sharedhealth lets the aggregators of a fleet share, through a common key-value store, what each has found out
// about the replicas and how much of each customer's quota it has used. It decides for one aggregator what to publish,
// which peers' findings to use and for how long, and how much of each quota this aggregator may spend. It does no I/O
// and reads no clock.
//
// Decides: what is published and when; which peers' findings count; when they restrict which replicas are eligible; how
// many aggregators there are; leases of quota tokens; whether the store's data can be trusted.
//
// Usage: create an Exchange with New. Then repeat: RecordSurvey with what the aggregator knows itself; Decide, which
// returns a request to the store when a round is due; HandleReply or HandleFailure with the outcome. Both return a
// RoundResult for the aggregator. All calls come from one goroutine, with times that never decrease.
package sharedhealth

import (
	"math/rand/v2"
	"slices"

	"willowsill/balance"
)

const ms = 1_000_000 // ns

const (
	presenceTTLRounds     = 20  // rounds after which an aggregator's presence key expires at the store
	maxHeartbeatAgeRounds = 6   // rounds without a heartbeat after which an aggregator no longer counts as live
	sweepEveryRounds      = 16  // average number of rounds between two sweeps, which happen at random
	goneAfterRounds       = 60  // rounds without an update after which an aggregator's data is removed from the store
	maxFieldsPerSweep     = 16  // maximum number of departed aggregators whose findings one sweep removes
	maxClockBackNs        = 1e9 // ns that the store's clock may be behind the expected time; more is a contradiction
	maxClockAheadNs       = 5e9 // ns that the store's clock may be ahead of the expected time
)

// Config holds an aggregator's settings. Times are in ns.
type Config struct {
	Name          string // name of this aggregator, unique in the fleet
	Incarnation   uint64 // incarnation of this process; higher than that of any earlier process under the same name
	Seed          uint64
	RoundInterval int64 // time between two rounds with the store
	RoundTimeout  int64 // time after which a round without an answer has failed
	SampleSize    int   // maximum number of peers' records that are read in one round
	Aggregators   int   // number of aggregators that the deployment states
	BaseEjection  int64 // how long a replica is ejected when it starts to fail
	HealthEnabled bool  // whether findings on replicas are shared
	Quotas        []Quota
}

// Request is one round with the store. No command of it depends on the answer to another, so all can be sent in one
// pipeline.
type Request struct {
	SentAt         int64
	Deadline       int64          // the round has failed if it is not answered by then
	Presence       []byte         // encoded record to store under this aggregator's presence key
	PresenceTTL    int64          // ns after which the presence key expires
	Findings       []byte         // encoded record of findings to publish; nil removes the one published before
	SampleSize     int            // number of peers' records to read, drawn at random; 0 for none
	HeartbeatScore int64          // score in the member set: the store's time in ms; 0 while that time is not known
	MinLiveScore   int64          // members with at least this score count as live
	SweepMaxScore  int64          // members with a score up to this are removed; 0 for no sweep
	DropFindings   []string       // names of departed aggregators whose findings are removed
	CountReads     []CountRead    // token counts to read
	TokenRequests  []TokenRequest // tokens to add to the windows' counts
}

// Entry is a peer's record as the store holds it.
type Entry struct {
	Name string
	Data []byte // encoded record
}

// Reply holds the store's answers to a Request.
type Reply struct {
	StoreTime     int64  // the store's clock, ns of Unix time
	OwnPresence   []byte // value of this aggregator's presence key before this round set it; nil if there was none
	LiveMembers   int    // number of members with at least the score MinLiveScore
	Entries       []Entry
	Counts        [][]int64 // for each CountRead, the count of the newest window first
	Totals        []int64   // for each TokenRequest, the window's count after it
	UnusableParts int       // parts of the answer that could not be decoded
}

// RoundResult is what a round changes at the aggregator: Reports go to its balance module, Leases and LocalRates to its
// QuotaBudget.
type RoundResult struct {
	Reports    []balance.SharedReport
	Leases     []Lease
	LocalRates []LocalRate
}

// Event is an inconsistency or a change of state that operators should know of.
type Event struct {
	Message    string
	State      State
	Aggregator string // the aggregator that it concerns; empty where it concerns the store
}

// Stats are counters since the start, except for State, LastGoodRoundAge and LiveMembers, which are current values.
type Stats struct {
	State                                                                                  State
	LastGoodRoundAge                                                                       int64 // ns since the last good round
	LiveMembers                                                                            int
	Rounds, FailedRounds, Contradictions, RecordsRefused, RecordsMerged, FindingsPublished int64
	Suspected, TrialsMoved, PassedOver, TokensLeased, LeasesShort                          int64
}

// Exchange decides on one aggregator's rounds with the shared store.
type Exchange struct {
	Config
	monitor              storeMonitor
	gossip               *gossip
	leaseManager         *leaseManager
	rng                  *rand.Rand
	survey               Survey
	surveyedAt           int64
	pending              *Request // the round under way; nil for none
	sequence             uint64   // of the last round that was sent
	confirmedSequence    uint64   // sequence of the last round that the store has answered
	confirmedIncarnation uint64   // incarnation under which that round was sent
	confirmedAt          int64    // when its answer arrived
	storeTime            int64    // the store's clock in the last answered round; 0 while it is not known
	storeTimeReceivedAt  int64    // local time at which that answer arrived
	storeTimeRequestedAt int64    // local time at which that round was sent
	liveMembers          int
	peakMembers          [2]int // highest number of live members in the current and in the previous half of membersWindowNs
	peakSince            int64  // start of the current half
	lastLeaseUpdate      int64
	requestedTokens      bool           // the pending round asks for tokens
	staleFields          map[string]int // by departed aggregator: how often its old findings were read since the last sweep
	events               []Event
	stats                Stats
	reportedState        State // the state that was last reported as an event
}

// New returns the Exchange of an aggregator that starts now.
func New(now int64, config Config) *Exchange {
	rng := rand.New(rand.NewPCG(config.Seed, uint64(config.Incarnation)))
	c := &Exchange{Config: config, rng: rng, gossip: newGossip(config.RoundInterval, config.BaseEjection, rng),
		leaseManager: newLeaseManager(now, config.Quotas, config.Aggregators, rng),
		staleFields:  map[string]int{}, surveyedAt: now, lastLeaseUpdate: now, peakSince: now,
		monitor: storeMonitor{interval: config.RoundInterval, timeout: config.RoundTimeout, rng: rng,
			lastGood: now - 2*unreachableAfterRounds*config.RoundInterval}}
	// Danger: aggregators that start together would all send their first round to the store at the same time, so it is
	// sent after a random part of an interval.
	c.monitor.nextRound = now + int64(float64(config.RoundInterval)*rng.Float64())
	return c
}

// Next returns the time of the next round, at which Decide is to be called again.
func (c *Exchange) Next() int64 { return c.monitor.nextRound }

// RecordSurvey stores what the aggregator knows itself. The caller may reuse the survey's slices once the next
// HandleReply or HandleFailure has returned.
func (c *Exchange) RecordSurvey(now int64, s Survey) {
	c.leaseManager.recordSurvey(s, now-c.surveyedAt)
	c.survey, c.surveyedAt = s, now
}

// storeTimeBounds returns the earliest and the latest time that the store's clock can show now.
func (c *Exchange) storeTimeBounds(now int64) (low, high int64) {
	return c.storeTime + now - c.storeTimeReceivedAt, c.storeTime + now - c.storeTimeRequestedAt
}

// Decide returns the round that is due, or nil if none is due or one is pending.
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
				c.stats.FindingsPublished += int64(len(record.Findings))
			}
		}
	}
	if c.requestedTokens = c.storeTime > 0 && c.monitor.usable(); c.requestedTokens {
		r.CountReads, r.TokenRequests = c.leaseManager.buildRequests(low, high, c.RoundInterval)
	}
	c.pending = r
	return r
}

// HandleReply processes the store's answer to the pending request.
func (c *Exchange) HandleReply(now int64, reply Reply) RoundResult {
	request := c.pending
	c.pending = nil
	c.stats.Rounds++
	c.stats.RecordsRefused += int64(reply.UnusableParts)
	incarnation := c.Incarnation
	contradiction := c.findContradiction(now, request, reply)
	if contradiction != "" {
		c.stats.Contradictions++
		c.addEvent(contradiction, "")
	}
	first := c.storeTime == 0
	c.storeTime, c.storeTimeReceivedAt, c.storeTimeRequestedAt = reply.StoreTime, now, request.SentAt
	c.confirmedSequence, c.confirmedIncarnation, c.confirmedAt = c.sequence, incarnation, now
	c.monitor.roundSucceeded(now, now-request.SentAt, contradiction != "")
	c.updateMembers(now, reply.LiveMembers, first)
	c.mergeRecords(now, reply)
	var result RoundResult
	if contradiction == "" {
		result.Leases = c.collectLeases(now, request, reply)
	}
	if c.monitor.usable() && c.HealthEnabled {
		// The result goes to another goroutine, so it gets a copy.
		result.Reports = slices.Clone(c.gossip.evaluate(now, c.survey, c.Members(now)))
		for _, report := range result.Reports {
			c.stats.countReport(report)
		}
	}
	// Danger: an aggregator that spends leases and a local rate at the same time spends its quota twice; one that has
	// neither rejects all queries for a round.
	result.LocalRates = c.leaseManager.localRates(now, c.requestedTokens && contradiction == "", c.Members(now))
	c.reportStateChange()
	return result
}

func (f *Stats) countReport(report balance.SharedReport) {
	for _, x := range []struct {
		n  *int64
		is bool
	}{{&f.Suspected, report.Suspect}, {&f.TrialsMoved, report.TrialAt > 0}, {&f.PassedOver, report.Weight > 0}} {
		if x.is {
			*x.n++
		}
	}
}

// HandleFailure processes the failure of the pending request.
func (c *Exchange) HandleFailure(now int64, _ error) RoundResult {
	c.pending = nil
	c.stats.Rounds++
	c.stats.FailedRounds++
	c.monitor.roundFailed(now)
	c.reportStateChange()
	return RoundResult{LocalRates: c.leaseManager.localRates(now, false, c.Members(now))}
}

// findContradiction describes what in a reply contradicts earlier ones. It returns an empty string if nothing does.
//
// Danger: a store that was emptied, failed over to an older state or is shared with another fleet still answers in
// time, but with data that no longer holds. This aggregator's presence key reveals it, because only this process writes
// that key.
func (c *Exchange) findContradiction(now int64, request *Request, reply Reply) string {
	if c.storeTime > 0 {
		if low, high := c.storeTimeBounds(now); reply.StoreTime < low-maxClockBackNs || reply.StoreTime > high+maxClockAheadNs {
			return "the store's clock jumped"
		}
	}
	if reply.OwnPresence == nil {
		if c.confirmedSequence > 0 && now-c.confirmedAt < request.PresenceTTL/2 {
			return "the store has lost its data"
		}
		return ""
	}
	own, err := Decode(reply.OwnPresence)
	switch {
	case err != nil:
		return "this aggregator's presence key holds data that it did not write"
	case own.Incarnation > c.Incarnation && c.confirmedSequence == 0:
		// An earlier process wrote it, under an incarnation from a clock that was ahead.
		c.Incarnation = own.Incarnation + 1
		return ""
	case own.Incarnation > c.Incarnation:
		return "another process uses this aggregator's name"
	case c.confirmedSequence > 0 && (own.Incarnation < c.confirmedIncarnation ||
		own.Incarnation == c.confirmedIncarnation && own.Sequence < c.confirmedSequence):
		return "the store went back to an older state"
	}
	return ""
}

// updateMembers records the number of live members and its peak. The first reply has no such number: its request could
// not ask for one, because the store's time was not known.
func (c *Exchange) updateMembers(now int64, live int, first bool) {
	if now-c.peakSince > membersWindowNs/2 {
		c.peakMembers, c.peakSince = [2]int{0, c.peakMembers[0]}, now
	}
	if c.liveMembers = live; !first {
		c.peakMembers[0] = max(c.peakMembers[0], live)
	}
}

// Members returns the number of aggregators to plan with. In doubt it is the higher number, for which each one's share
// of a quota is smaller.
func (c *Exchange) Members(now int64) int {
	return max(c.peakMembers[0], c.peakMembers[1], c.Aggregators, 1)
}

// mergeRecords merges the peers' records that a reply holds.
func (c *Exchange) mergeRecords(now int64, reply Reply) {
	for _, e := range reply.Entries {
		if e.Name == c.Name {
			continue
		}
		r, err := Decode(e.Data)
		if err != nil || len(e.Name) > maxNameBytes {
			c.stats.RecordsRefused++
			c.addEvent("a peer's record was rejected", e.Name)
			continue
		}
		if c.gossip.mergeRecord(now, reply.StoreTime, e.Name, r) {
			c.stats.RecordsMerged++
		} else if reply.StoreTime-r.WrittenAt > goneAfterRounds*c.RoundInterval && len(c.staleFields) < maxPeerRecords {
			c.staleFields[e.Name]++
		}
	}
}

// collectLeases converts the store's counts into leases.
func (c *Exchange) collectLeases(now int64, request *Request, reply Reply) (leases []Lease) {
	for i, r := range request.CountReads {
		if i < len(reply.Counts) && len(reply.Counts[i]) == r.Windows() {
			c.leaseManager.applyCounts(r, reply.Counts[i])
		}
	}
	if len(c.Quotas) == 0 {
		return nil
	}
	tokensByQuota := make([]float64, len(c.Quotas))
	for i, t := range request.TokenRequests {
		if i >= len(reply.Totals) || t.Units < 0 || reply.Totals[i] < t.Units {
			continue
		}
		tokens := c.leaseManager.applyGrant(t, reply.Totals[i], reply.StoreTime)
		if tokens < float64(t.Units)/unitsPerToken {
			c.stats.LeasesShort++
		}
		if l, valid := c.leaseManager.makeLease(now, request.SentAt, reply.StoreTime, t, tokens); valid {
			leases = append(leases, l)
			tokensByQuota[t.Quota] += tokens
			c.stats.TokensLeased += int64(tokens)
		}
	}
	c.leaseManager.recordLeaseRate(now-c.lastLeaseUpdate, tokensByQuota)
	c.lastLeaseUpdate = now
	return leases
}

func (c *Exchange) addEvent(message, aggregator string) {
	if len(c.events) < 64 {
		c.events = append(c.events, Event{message, c.monitor.state, aggregator})
	}
}

// reportStateChange adds an event if the store's state has changed.
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

// Stats returns the counters and current values.
func (c *Exchange) Stats(now int64) Stats {
	c.monitor.advance(now)
	f := c.stats
	f.State, f.LastGoodRoundAge, f.LiveMembers = c.monitor.state, now-c.monitor.lastGood, c.liveMembers
	return f
}
