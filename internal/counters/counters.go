// Package counters counts what the process takes in, sends and answers.
package counters

import (
	"encoding/json"
	"math"
	"math/bits"
	"sync/atomic"
)

// Count is one counter; it is safe for use by several goroutines and encodes as a number.
type Count struct{ atomic.Int64 }

// MarshalJSON encodes the present value.
func (c *Count) MarshalJSON() ([]byte, error) { return json.Marshal(c.Load()) }

// Maximum keeps the highest value it was shown.
type Maximum struct{ Count }

// Record keeps v if it is the highest so far.
func (h *Maximum) Record(v int64) {
	for was := h.Load(); v > was && !h.CompareAndSwap(was, v); was = h.Load() {
	}
}

// Histogram counts values by size: steps to each doubling, so that a share of them is known to a thirty-second. One
// goroutine shows values, others may read.
type Histogram [64 * histogramSteps]Count

const (
	histogramSteps = 32
	histogramBits  = 6 // that tell the step, with the leading one
)

// Record counts a value; those below 0 count as 0.
func (s *Histogram) Record(v int64) { s[bucketIndex(uint64(max(v, 0)))].Add(1) }

// bucketIndex is where a value is counted: exact below twice the steps, then by its leading bits.
func bucketIndex(v uint64) int {
	if v < 2*histogramSteps {
		return int(v)
	}
	doublings := bits.Len64(v) - histogramBits
	return doublings*histogramSteps + int(v>>doublings)
}

// Quantile is a value that so large a share of those shown stay below, to a step; 0 where there are none.
func (s *Histogram) Quantile(share float64) int64 {
	all := int64(0)
	for i := range s {
		all += s[i].Load()
	}
	left := int64(math.Ceil(share * float64(all)))
	for i := range s {
		if left -= s[i].Load(); left <= 0 && all > 0 {
			if i < 2*histogramSteps {
				return int64(i)
			}
			doublings := i/histogramSteps - 1
			return int64(i-doublings*histogramSteps+1) << doublings
		}
	}
	return 0
}

// MarshalJSON encodes a few shares.
func (s *Histogram) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]int64{"p50": s.Quantile(0.5), "p99": s.Quantile(0.99), "p999": s.Quantile(0.999)})
}

// Optional is the place for the figures of a part that may be switched on and off.
type Optional struct{ atomic.Pointer[json.Marshaler] }

// Set shows figures from now on; nil shows none.
func (s *Optional) Set(figures json.Marshaler) {
	if figures == nil {
		s.Store(nil)
		return
	}
	s.Store(&figures)
}

// IsZero tells whether there is nothing to show.
func (s *Optional) IsZero() bool { return s.Load() == nil }

// MarshalJSON encodes the present figures.
func (s *Optional) MarshalJSON() ([]byte, error) {
	if f := s.Load(); f != nil {
		return (*f).MarshalJSON()
	}
	return []byte("null"), nil
}

// Workload counts the queries of one workload.
type Workload struct {
	Accepted   Count `json:"taken"`
	Complete   Count `json:"whole"`
	Partial    Count `json:"partial"`
	Declined   Count `json:"declined"`
	Forfeited  Count `json:"forfeited"`
	ClientGone Count `json:"left"` // by their clients
	OverQuota  Count `json:"over"` // of customers over their quotas
}

// Executions counts executions by how they ended.
type Executions struct {
	Sent          Count `json:"sent"`
	Fulfilled     Count `json:"fulfilled"`
	Errored       Count `json:"errored"`
	Full          Count `json:"full"`
	TimedOut      Count `json:"timed_out"`
	ConnectFailed Count `json:"connect_failed"`
	Reset         Count `json:"reset"`
	Cancelled     Count `json:"cancelled"`
	Unsent        Count `json:"moot"`
}

// Counters are all counters of a process.
type Counters struct {
	Workloads  map[string]*Workload `json:"workloads"`
	Executions Executions           `json:"executions"`

	LateReplies       Count `json:"late_replies"`   // to executions that were given up
	InvalidReplies    Count `json:"spoilt_replies"` // each ends its connection
	ConnectionsOpened Count `json:"connections_opened"`
	ConnectionsFailed Count `json:"connections_failed"` // never came up
	ConnectionsClosed Count `json:"connections_closed"` // failed ones too

	ClientsAccepted Count `json:"clients_accepted"`
	ClientsClosed   Count `json:"clients_closed"` // idle ones, to make room
	BadRequests     Count `json:"bad_requests"`
	Rejected        Count `json:"crowded"`     // declined before the decisions, for want of room
	Undelivered     Count `json:"undelivered"` // answers that did not reach their clients
	Panics          Count `json:"panics"`

	ListUpdates  Count `json:"list_news"`
	ListFailures Count `json:"list_failures"`
	ListSkipped  Count `json:"list_oddities"` // entries left out

	Reloads       Count `json:"reloads"` // of the configuration, at SIGHUP
	ReloadsFailed Count `json:"reloads_wrong"`

	SharedStore Optional `json:"shared_store,omitzero"` // where one is used
	Gateway     Optional `json:"gateway,omitzero"`
	Overload    Optional `json:"strain,omitzero"`
	Zones       Optional `json:"zones,omitzero"`

	Rounds       Count     `json:"rounds"`
	DelayTotal   Count     `json:"delay_total_ns"` // from a fact's birth to the loop, over all facts
	Facts        Count     `json:"facts"`
	DelayMaximum Maximum   `json:"delay_highest_ns"`
	Delay        Histogram `json:"delay_ns"` // the same delays by size
	HeldMaximum  Maximum   `json:"held_highest"`
}

// New makes counters for the workloads named.
func New(workloads map[string]int) *Counters {
	c := &Counters{Workloads: map[string]*Workload{}}
	for name := range workloads {
		c.Workloads[name] = &Workload{}
	}
	return c
}
