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
	figures sharedhealth.Figures
}

// show keeps the decider's figures.
func (c *Count) show(f sharedhealth.Figures) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.figures = f
}

// Figures are those of the last round.
func (c *Count) Figures() sharedhealth.Figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.figures
}

// MarshalJSON encodes the present values.
func (c *Count) MarshalJSON() ([]byte, error) {
	f := c.Figures()
	return json.Marshal(map[string]any{
		"state": f.State.String(), "age_ns": f.Age, "aggregators": f.Live, "rounds": f.Rounds, "failed": f.Failed,
		"contradictions": f.Contradictions, "refused": f.Refused, "records_heard": f.Heard, "findings_told": f.Told,
		"suspected": f.Suspected, "tries_moved": f.Put, "passed_over": f.Passed,
		"tokens_leased": f.Leased, "leases_short": f.Short, "unsurveyed": c.Unsurveyed.Load(), "odd": c.Odd.Load(),
		"bytes_read": c.BytesRead.Load(),
	})
}
