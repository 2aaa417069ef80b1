package sites

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Outcome classifies how a query ended, as its client saw it.
type Outcome uint8

// The outcomes of a query. A query has exactly one of them.
const (
	InGoal   Outcome = iota // a correct answer within LatencyGoal
	Late                    // a correct answer after LatencyGoal
	Declined                // an answer with status 503
	Failed                  // any other status than 200 and 503
	Lost                    // no answer within the client's timeout
	Wrong                   // an answer that does not match the query
)

// OutcomeNames are the printed names of the outcomes, indexed by Outcome.
var OutcomeNames = []string{"in goal", "late", "declined", "failed", "lost", "wrong"}

// Query is one query of a client; Process and Workload are indexes.
type Query struct {
	Site     string
	Process  int
	ID       string
	Workload int
	Customer string
}

// Ask sends one query and returns its outcome and latency.
//
// Danger: an answer is correct only if it contains every part once, each with its own value.
func (w *Testbed) Ask(q Query) (Outcome, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), ClientTimeout+clientSlack)
	defer cancel()
	const body = `{"segments":[{"segment":0,"boost":0.5},{"segment":1,"boost":0.5}],"text":"t"}`
	name := Workloads[q.Workload]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.Sites[q.Site].clientAddresses[q.Process]+"/"+name,
		bytes.NewReader([]byte(body)))
	if err != nil {
		return Lost, 0
	}
	for key, v := range map[string]string{"X-Qos": name, "X-Trace-Id": q.ID, "X-Customer": q.Customer,
		"X-Expires-In-Ms": strconv.FormatInt(ClientTimeout.Milliseconds(), 10)} {
		if v != "" {
			r.Header.Set(key, v)
		}
	}
	began := time.Now()
	a, err := w.client.Do(r)
	if err != nil {
		return Lost, time.Since(began)
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	took := time.Since(began)
	switch {
	case err != nil:
		return Lost, took
	case a.StatusCode == http.StatusServiceUnavailable:
		return Declined, took
	case a.StatusCode != http.StatusOK:
		return Failed, took
	case !correct(q.ID, text):
		return Wrong, took
	case took > LatencyGoal:
		return Late, took
	}
	return InGoal, took
}

// correct reports whether an answer's body contains every part of the query once, each with its own value.
func correct(id string, text []byte) bool {
	var a struct {
		Matches []struct {
			Segment int    `json:"segment"`
			Payload string `json:"payload"`
		} `json:"matches"`
	}
	if json.Unmarshal(text, &a) != nil || len(a.Matches) != DefaultShards {
		return false
	}
	seen := map[int]bool{}
	for _, m := range a.Matches {
		if seen[m.Segment] || m.Payload != fmt.Sprintf("%s.%d", id, m.Segment) {
			return false
		}
		seen[m.Segment] = true
	}
	return true
}

// Tally sums up the outcomes of the queries of an interval.
type Tally struct {
	Asked      int
	Outcomes   [6]int
	Revenue    float64 // revenue of the queries answered within the goal
	MaxRevenue float64 // revenue if all queries had been answered within the goal
	Latencies  []time.Duration
}

// RevenueShare returns Revenue as a fraction of MaxRevenue, or 1 without queries.
func (t *Tally) RevenueShare() float64 {
	if t.MaxRevenue == 0 {
		return 1
	}
	return t.Revenue / t.MaxRevenue
}

// Add adds another tally to this one.
func (t *Tally) Add(o *Tally) {
	t.Asked += o.Asked
	for i, n := range o.Outcomes {
		t.Outcomes[i] += n
	}
	t.Revenue += o.Revenue
	t.MaxRevenue += o.MaxRevenue
	t.Latencies = append(t.Latencies, o.Latencies...)
}

// Load describes a stream of queries to the sites.
type Load struct {
	Rate        float64 // mean queries a second at each site; arrivals are a Poisson process
	Seed        uint64
	Duration    time.Duration
	RowDuration time.Duration // interval that one row of the timeline covers
	OnlySite    string        // the only site that gets queries; empty for all
}

// Timeline holds the results of a load, in one row per interval. A query counts in the row in which it was due.
type Timeline struct {
	Rows                []Tally
	DuplicateExecutions int // once-only parts that ran more than once
}

// RunLoad sends the load, and calls onRow with the index of each row when the row's interval begins. It returns when the last query
// has ended.
func (w *Testbed) RunLoad(l Load, onRow func(row int)) *Timeline {
	timeline := &Timeline{Rows: make([]Tally, int(l.Duration/l.RowDuration))}
	var mu sync.Mutex
	var all sync.WaitGroup
	var onceOnlyIDs []string
	began := time.Now()
	for n, name := range w.SiteNames {
		if l.OnlySite != "" && l.OnlySite != name {
			continue
		}
		rng := rand.New(rand.NewPCG(l.Seed, uint64(n)))
		all.Go(func() {
			next := began
			for i := 0; ; i++ {
				next = next.Add(time.Duration(rng.ExpFloat64() * 1e9 / l.Rate))
				rowIndex := int(next.Sub(began) / l.RowDuration)
				if rowIndex >= len(timeline.Rows) {
					return
				}
				q := Query{Site: name, Process: i % w.ProcessesPerSite, ID: fmt.Sprintf("%s-%d", name, i),
					Workload: rng.IntN(len(Workloads))}
				time.Sleep(time.Until(next))
				all.Go(func() {
					end, took := w.Ask(q)
					revenue := 1.0
					if x, stated := w.Revenue[Workloads[q.Workload]]; stated {
						revenue = x
					}
					mu.Lock()
					defer mu.Unlock()
					row := &timeline.Rows[rowIndex]
					row.Asked++
					row.Outcomes[end]++
					row.MaxRevenue += revenue
					if row.Latencies = append(row.Latencies, took); end == InGoal {
						row.Revenue += revenue
					}
					if Workloads[q.Workload] == "pay" {
						onceOnlyIDs = append(onceOnlyIDs, q.ID)
					}
				})
			}
		})
	}
	for rowIndex := range timeline.Rows {
		time.Sleep(time.Until(began.Add(time.Duration(rowIndex) * l.RowDuration)))
		if onRow != nil {
			onRow(rowIndex)
		}
	}
	all.Wait()
	for _, id := range onceOnlyIDs {
		for shard := range DefaultShards {
			if w.ExecutionCount(fmt.Sprintf("%s.%d", id, shard)) > 1 {
				timeline.DuplicateExecutions++
			}
		}
	}
	return timeline
}
