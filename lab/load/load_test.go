package load

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

func clients(t *testing.T, serve http.HandlerFunc) *Clients {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	c, err := New(Target{URL: server.URL, Workload: "look", Shards: []int{0, 1}, Timeout: time.Second, LatencyGoal: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Answers are counted by their status and latency.
func TestOutcomes(t *testing.T) {
	var n atomic.Int64
	c := clients(t, func(w http.ResponseWriter, r *http.Request) {
		switch n.Add(1) % 4 {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.WriteHeader(http.StatusInternalServerError)
		case 2:
			time.Sleep(150 * time.Millisecond)
		}
	})
	o := c.RunOpenLoop(t.Context(), 80, time.Second, 1)
	if sum := o.InGoal + o.Late + o.Declined + o.Failed; sum != o.Asked || o.Asked < 40 || o.InGoal < 8 || o.Late < 8 || o.Declined < 8 || o.Failed < 8 {
		t.Errorf("%+v", o)
	}
	if closed := c.RunClosedLoop(t.Context(), 3, 300*time.Millisecond); closed.Asked < 6 || closed.Rate != 0 {
		t.Errorf("%+v", closed)
	}
}

// Danger: clients that wait for a stalled server send few queries meanwhile, which hides the stall (coordinated omission). Latency counts
// from when a query was due, so a stall of 300 ms shows in all queries that were due in it.
func TestStall(t *testing.T) {
	began := time.Now()
	c := clients(t, func(http.ResponseWriter, *http.Request) {
		if since := time.Since(began); since > 300*time.Millisecond && since < 600*time.Millisecond {
			time.Sleep(600*time.Millisecond - since)
		}
	})
	began = time.Now()
	o := c.RunOpenLoop(t.Context(), 200, time.Second, 1)
	if o.P99 < 200*time.Millisecond || o.Late < 20 {
		t.Errorf("%+v", o)
	}
}

// FindMaxRate converges to the highest rate that keeps the goal, and returns 0 if no rate does.
func TestSteps(t *testing.T) {
	all, best := FindMaxRate(10, 2, 20, 0.9, func(rate float64) *Outcome {
		o := &Outcome{Rate: rate, Asked: 100, InGoal: 100}
		if rate > 137 {
			o.InGoal = 50
		}
		return o
	})
	if best < 125 || best > 137 || len(all) > 12 {
		t.Errorf("got the rate %v after %d steps", best, len(all))
	}
	if _, best := FindMaxRate(10, 2, 5, 0.9, func(float64) *Outcome { return &Outcome{Asked: 1} }); best != 0 {
		t.Errorf("no query was within the goal, and the rate is %v", best)
	}
}
