// Package load sends queries to a running aggregator over HTTP, at a given mean rate or from a fixed number of clients, and finds the
// highest rate at which the wanted share of the queries is answered within the goal. Latency counts from the time when a query was due,
// so that a slow aggregator doesn't look fast because its clients wait for it.
package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Target is an aggregator and the query to send to it.
type Target struct {
	URL         string // base URL of the aggregator
	Workload    string // name of the workload, the last part of the path
	Shards      []int  // each query asks all of them, with equal weights
	Text        string
	Timeout     time.Duration // time after which the client stops waiting
	LatencyGoal time.Duration
	MaxConns    int // maximum number of connections; 0 for no limit
}

// Outcome holds the results of one measurement.
type Outcome struct {
	Rate            float64       `json:"rate"` // queries per second that were due; 0 for a fixed number of clients
	Asked           int64         `json:"asked"`
	InGoal          int64         `json:"in_goal"`
	Late            int64         `json:"late"`
	Declined        int64         `json:"declined"`
	Failed          int64         `json:"failed"` // queries with an error or without an answer in time
	ServedPerSecond float64       `json:"served_a_second"`
	P50             time.Duration `json:"p50_ns"` // median latency of answers with values
	P99             time.Duration `json:"p99_ns"`
	P999            time.Duration `json:"p999_ns"`
}

// GoalShare returns the share of the queries that were answered within the goal.
func (o *Outcome) GoalShare() float64 { return float64(o.InGoal) / float64(max(o.Asked, 1)) }

// Clients sends queries to one target.
type Clients struct {
	Target
	client   *http.Client
	body     []byte
	lastID   uint64
	idPrefix string // random, so that query ids of different runs differ
	mu       sync.Mutex
	current  *measurement
}

// measurement is an outcome while queries are being sent.
type measurement struct {
	Outcome
	times *hdrhistogram.Histogram
}

// New returns clients for a target. Close closes their connections.
func New(t Target) (*Clients, error) {
	if len(t.Shards) == 0 || t.Timeout <= 0 {
		return nil, errors.New("a query needs at least one shard and a positive timeout")
	}
	var b bytes.Buffer
	b.WriteString(`{"segments":[`)
	for i, s := range t.Shards {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"segment":%d,"boost":%g}`, s, 1/float64(len(t.Shards)))
	}
	fmt.Fprintf(&b, `],"text":%q}`, t.Text)
	return &Clients{Target: t, body: b.Bytes(), idPrefix: strconv.FormatUint(rand.Uint64(), 36),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxConnsPerHost: t.MaxConns, IdleConnTimeout: 1500 * time.Millisecond}}}, nil
}

// Close closes the idle connections.
func (c *Clients) Close() { c.client.CloseIdleConnections() }

func (c *Clients) startMeasurement(rate float64) *measurement {
	s := &measurement{Outcome: Outcome{Rate: rate}, times: hdrhistogram.New(1000, max(int64(3*c.Timeout), 1_000_000), 3)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = s
	return s
}

// RunOpenLoop sends queries with random (Poisson) arrivals at a mean rate per second, independently of the answers, for a time span.
func (c *Clients) RunOpenLoop(ctx context.Context, rate float64, span time.Duration, seed uint64) *Outcome {
	m := c.startMeasurement(rate)
	rng := rand.New(rand.NewPCG(seed, 1))
	var wg sync.WaitGroup
	start := time.Now()
	for due := start; ctx.Err() == nil; {
		due = due.Add(time.Duration(rng.ExpFloat64() * 1e9 / rate))
		if due.Sub(start) >= span {
			break
		}
		time.Sleep(time.Until(due))
		wg.Go(func() { c.query(ctx, m, due) })
	}
	wg.Wait()
	return m.finish(time.Since(start))
}

// RunClosedLoop runs a number of clients for a time span. Each sends its next query when the last is answered.
func (c *Clients) RunClosedLoop(ctx context.Context, clients int, span time.Duration) *Outcome {
	m := c.startMeasurement(0)
	var wg sync.WaitGroup
	start := time.Now()
	for range clients {
		wg.Go(func() {
			for ctx.Err() == nil && time.Since(start) < span {
				if !c.query(ctx, m, time.Now()) {
					time.Sleep(10 * time.Millisecond) // don't busy-loop if the aggregator declines at once
				}
			}
		})
	}
	wg.Wait()
	return m.finish(time.Since(start))
}

func (m *measurement) finish(took time.Duration) *Outcome {
	m.ServedPerSecond = float64(m.InGoal+m.Late) / took.Seconds()
	m.P50 = time.Duration(m.times.ValueAtPercentile(50))
	m.P99 = time.Duration(m.times.ValueAtPercentile(99))
	m.P999 = time.Duration(m.times.ValueAtPercentile(99.9))
	return &m.Outcome
}

// query sends a query that was due at a time and records the outcome. It returns false if there was no answer with values.
func (c *Clients) query(ctx context.Context, m *measurement, due time.Time) bool {
	c.mu.Lock()
	c.lastID++
	id := fmt.Sprint(c.idPrefix, "-", c.lastID)
	m.Asked++
	c.mu.Unlock()
	status := c.post(ctx, id, due)
	took := time.Since(due)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == http.StatusOK:
		m.times.RecordValue(int64(took))
		if took <= c.LatencyGoal {
			m.InGoal++
		} else {
			m.Late++
		}
		return true
	case status == http.StatusServiceUnavailable:
		m.Declined++
	default:
		m.Failed++
	}
	return false
}

// post sends a query and returns the HTTP status, or 0 without an answer in time.
func (c *Clients) post(ctx context.Context, id string, due time.Time) int {
	left := c.Timeout - time.Since(due)
	if left < time.Millisecond {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, left+50*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+"/"+c.Workload, bytes.NewReader(c.body))
	if err != nil {
		return 0
	}
	r.Header.Set("X-Qos", c.Workload)
	r.Header.Set("X-Trace-Id", id)
	r.Header.Set("X-Expires-In-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	a, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	return a.StatusCode
}

// FindMaxRate finds the highest rate at which the share of queries within the goal is at least wantedShare. It multiplies the rate by
// factor until the share is lower, then bisects to within 5%. measure measures one rate, and is called at most maxSteps times.
func FindMaxRate(first, factor float64, maxSteps int, wantedShare float64, measure func(rate float64) *Outcome) (outcomes []*Outcome, best float64) {
	low, high := 0.0, 0.0
	for rate, n := first, 0; n < maxSteps; n++ {
		o := measure(rate)
		outcomes = append(outcomes, o)
		if o.GoalShare() >= wantedShare {
			low = rate
		} else {
			high = rate
		}
		switch {
		case high == 0:
			rate *= factor
		case high-low < high/20:
			return outcomes, low
		default:
			rate = (low + high) / 2
		}
	}
	return outcomes, low
}
