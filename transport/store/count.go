package store

import (
	"encoding/json"
	"sync"

	"willowsill/decide/sharedhealth"
	"willowsill/internal/counters"
)

// Count is what is told of the shared store among the process's counters.
type Count struct {
	Unsurveyed counters.Count // rounds for which the aggregator had no time to say what it knows
	Odd        counters.Count // parts of answers that could not be used
	BytesRead  counters.Count // of records

	mu      sync.Mutex
	figures sharedhealth.Stats
}

// show keeps the decider's figures.
func (c *Count) show(f sharedhealth.Stats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.figures = f
}

// Stats are those of the last round.
func (c *Count) Stats() sharedhealth.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.figures
}

// MarshalJSON encodes the present values.
func (c *Count) MarshalJSON() ([]byte, error) {
	f := c.Stats()
	return json.Marshal(map[string]any{
		"state": f.State.String(), "age_ns": f.LastGoodRoundAge, "aggregators": f.LiveMembers, "rounds": f.Rounds, "failed": f.FailedRounds,
		"contradictions": f.Contradictions, "refused": f.RecordsRefused, "records_heard": f.RecordsMerged, "findings_told": f.FindingsPublished,
		"suspected": f.Suspected, "tries_moved": f.TrialsMoved, "passed_over": f.PassedOver,
		"tokens_leased": f.TokensLeased, "leases_short": f.LeasesShort, "unsurveyed": c.Unsurveyed.Load(), "odd": c.Odd.Load(),
		"bytes_read": c.BytesRead.Load(),
	})
}
