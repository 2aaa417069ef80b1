// Package counters holds the counters of a process: queries, executions, connections and delays.
package counters

import (
	"encoding/json"
	"math"
	"math/bits"
	"sync/atomic"
)

// Count is one counter. It is safe for concurrent use and encodes as a JSON number.
type Count struct{ atomic.Int64 }

// MarshalJSON encodes the current value.
func (c *Count) MarshalJSON() ([]byte, error) { return json.Marshal(c.Load()) }

// Maximum keeps the highest recorded value.
type Maximum struct{ Count }

// Record keeps v if it is the highest value so far.
func (h *Maximum) Record(v int64) {
	for was := h.Load(); v > was && !h.CompareAndSwap(was, v); was = h.Load() {
	}
}

// Histogram counts values in buckets, 32 for each power of two, so that quantiles are exact to 1/32. One goroutine records values,
// any number may read.
type Histogram [64 * histogramSteps]Count

const (
	histogramSteps = 32 // buckets for each power of two
	histogramBits  = 6  // leading bits of a value that determine its bucket
)

// Record counts a value. Values below 0 count as 0.
func (s *Histogram) Record(v int64) { s[bucketIndex(uint64(max(v, 0)))].Add(1) }

// bucketIndex returns the index of a value's bucket: the value itself below 2*histogramSteps, otherwise from its leading bits.
func bucketIndex(v uint64) int {
	if v < 2*histogramSteps {
		return int(v)
	}
	doublings := bits.Len64(v) - histogramBits
	return doublings*histogramSteps + int(v>>doublings)
}

// Quantile returns an upper bound of the given share of the recorded values, exact to a bucket, or 0 if there are none.
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

// MarshalJSON encodes the median and two high quantiles.
func (s *Histogram) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]int64{"p50": s.Quantile(0.5), "p99": s.Quantile(0.99), "p999": s.Quantile(0.999)})
}

// Optional holds the statistics of a component that may be switched on and off.
type Optional struct{ atomic.Pointer[json.Marshaler] }

// Set sets the statistics to encode; nil removes them.
func (s *Optional) Set(stats json.Marshaler) {
	if stats == nil {
		s.Store(nil)
		return
	}
	s.Store(&stats)
}

// IsZero reports whether there are no statistics, for the JSON option omitzero.
func (s *Optional) IsZero() bool { return s.Load() == nil }

// MarshalJSON encodes the current statistics, or null if there are none.
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
	ClientGone Count `json:"left"` // queries whose client disconnected before the answer
	OverQuota  Count `json:"over"` // queries declined because their customer was over its quota
}

// Executions counts executions by their result.
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

// Counters holds all counters of a process.
type Counters struct {
	Workloads  map[string]*Workload `json:"workloads"`
	Executions Executions           `json:"executions"`

	LateReplies       Count `json:"late_replies"`   // answers to executions that had been abandoned
	InvalidReplies    Count `json:"spoilt_replies"` // answers that could not be read; each closes its connection
	ConnectionsOpened Count `json:"connections_opened"`
	ConnectionsFailed Count `json:"connections_failed"` // connections that could not be opened
	ConnectionsClosed Count `json:"connections_closed"` // includes the failed ones

	ClientsAccepted Count `json:"clients_accepted"`
	ClientsClosed   Count `json:"clients_closed"` // idle connections of clients that were closed to free descriptors for others
	BadRequests     Count `json:"bad_requests"`
	Rejected        Count `json:"crowded"`     // queries rejected for lack of capacity before a decision on admission
	Undelivered     Count `json:"undelivered"` // answers that could not be written to their clients
	Panics          Count `json:"panics"`

	ListUpdates  Count `json:"list_news"`     // updates of the discovery list
	ListFailures Count `json:"list_failures"` // failed calls for the discovery list
	ListSkipped  Count `json:"list_oddities"` // invalid entries of the discovery list that were left out

	Reloads       Count `json:"reloads"`       // reloads of the configuration, at SIGHUP
	ReloadsFailed Count `json:"reloads_wrong"` // reloads with an invalid configuration

	SharedStore Optional `json:"shared_store,omitzero"` // present only if a shared store is used
	Gateway     Optional `json:"gateway,omitzero"`
	Overload    Optional `json:"strain,omitzero"`
	Zones       Optional `json:"zones,omitzero"`

	Rounds       Count     `json:"rounds"`         // rounds of decisions
	DelayTotal   Count     `json:"delay_total_ns"` // sum of the delays of all events, ns; a delay lasts from an event's creation until the loop handles it
	Facts        Count     `json:"facts"`          // events that the loop has handled
	DelayMaximum Maximum   `json:"delay_highest_ns"`
	Delay        Histogram `json:"delay_ns"`     // distribution of the delays of events that can affect a query, ns
	HeldMaximum  Maximum   `json:"held_highest"` // highest number of queries and parts held at a time
}

// New returns counters for the named workloads.
func New(workloads map[string]int) *Counters {
	c := &Counters{Workloads: map[string]*Workload{}}
	for name := range workloads {
		c.Workloads[name] = &Workload{}
	}
	return c
}
