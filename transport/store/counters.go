package store

import (
	"encoding/json"
	"sync"

	"willowsill/decide/sharedhealth"
	"willowsill/internal/counters"
)

// Counters are the counters of the shared store among the process's counters.
type Counters struct {
	SurveysSkipped counters.Count // rounds in which the aggregator had no time for a survey
	UnusableParts  counters.Count // parts of answers that could not be used
	BytesRead      counters.Count // of records

	mu    sync.Mutex
	stats sharedhealth.Stats
}

// setStats keeps the statistics of the decider.
func (c *Counters) setStats(f sharedhealth.Stats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats = f
}

// Stats returns the statistics of the last round.
func (c *Counters) Stats() sharedhealth.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// MarshalJSON encodes the current values.
func (c *Counters) MarshalJSON() ([]byte, error) {
	f := c.Stats()
	return json.Marshal(map[string]any{
		"state": f.State.String(), "age_ns": f.LastGoodRoundAge, "aggregators": f.LiveMembers, "rounds": f.Rounds, "failed": f.FailedRounds,
		"contradictions": f.Contradictions, "refused": f.RecordsRefused, "records_heard": f.RecordsMerged, "findings_told": f.FindingsPublished,
		"suspected": f.Suspected, "tries_moved": f.TrialsMoved, "passed_over": f.PassedOver,
		"tokens_leased": f.TokensLeased, "leases_short": f.LeasesShort, "unsurveyed": c.SurveysSkipped.Load(), "odd": c.UnusableParts.Load(),
		"bytes_read": c.BytesRead.Load(),
	})
}
