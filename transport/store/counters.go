package store

import (
	"encoding/json"
	"sync"

	"willowsill/decide/sharedhealth"
	"willowsill/internal/counters"
)

// Counters counts a client's rounds with the shared store; the process's counters include it.
type Counters struct {
	SurveysSkipped counters.Count // rounds in which the aggregator had no time for a survey
	UnusableParts  counters.Count // parts of answers that could not be used
	BytesRead      counters.Count // bytes of the records read

	mu    sync.Mutex
	stats sharedhealth.Stats
}

// setStats stores the decider's statistics after a round.
func (c *Counters) setStats(stats sharedhealth.Stats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats = stats
}

// Stats returns the statistics of the last round.
func (c *Counters) Stats() sharedhealth.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// MarshalJSON encodes the current values.
func (c *Counters) MarshalJSON() ([]byte, error) {
	stats := c.Stats()
	return json.Marshal(map[string]any{
		"state": stats.State.String(), "age_ns": stats.LastGoodRoundAge, "aggregators": stats.LiveMembers, "rounds": stats.Rounds, "failed": stats.FailedRounds,
		"contradictions": stats.Contradictions, "refused": stats.RecordsRefused, "records_heard": stats.RecordsMerged, "findings_told": stats.FindingsPublished,
		"suspected": stats.Suspected, "tries_moved": stats.TrialsMoved, "passed_over": stats.PassedOver,
		"tokens_leased": stats.TokensLeased, "leases_short": stats.LeasesShort, "unsurveyed": c.SurveysSkipped.Load(), "odd": c.UnusableParts.Load(),
		"bytes_read": c.BytesRead.Load(),
	})
}
