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

// Outcome is what became of a query, as its client saw it.
type Outcome uint8

// InGoal is an answer within the goal.
const (
	InGoal Outcome = iota
	Late
	Declined
	Failed
	Lost  // no answer in the client's time
	Wrong // an answer that is none to this query
)

// OutcomeNames are their names.
var OutcomeNames = []string{"in goal", "late", "declined", "failed", "lost", "wrong"}

// Query is one that a client asks.
type Query struct {
	Site     string
	Process  int
	ID       string
	Workload int
	Customer string
}

// Ask asks one query and tells its end.
//
// Danger: an answer is only right if each part stands in it once, with the value of that very part.
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

// Tally is what came of the queries of a span.
type Tally struct {
	Asked      int
	Outcomes   [6]int
	Revenue    float64 // within goal,
	MaxRevenue float64 // and if all had been
	Latencies  []time.Duration
}

// RevenueShare is the share of revenue within the goal; 1 where nothing was asked.
func (t *Tally) RevenueShare() float64 {
	if t.MaxRevenue == 0 {
		return 1
	}
	return t.Revenue / t.MaxRevenue
}

// Add takes another's in.
func (t *Tally) Add(o *Tally) {
	t.Asked += o.Asked
	for i, n := range o.Outcomes {
		t.Outcomes[i] += n
	}
	t.Revenue += o.Revenue
	t.MaxRevenue += o.MaxRevenue
	t.Latencies = append(t.Latencies, o.Latencies...)
}

// Load is a stream of queries to all sites.
type Load struct {
	Rate        float64 // a second at each site, by chance
	Seed        uint64
	Duration    time.Duration
	RowDuration time.Duration // of a row of the timeline
	OnlySite    string        // the one site that is asked; empty for all
}

// Timeline is what came of a load: a tally for each span by when queries were asked, and what broke the rules.
type Timeline struct {
	Rows                []Tally
	DuplicateExecutions int // once-only parts that ran more than once
}

// RunLoad asks queries of all sites for a time, while at is called with the number of each span as it begins. It returns when the
// last has ended.
func (w *Testbed) RunLoad(l Load, at func(span int)) *Timeline {
	line := &Timeline{Rows: make([]Tally, int(l.Duration/l.RowDuration))}
	var mu sync.Mutex
	var all sync.WaitGroup
	var pay []string
	began := time.Now()
	for n, name := range w.SiteNames {
		if l.OnlySite != "" && l.OnlySite != name {
			continue
		}
		chance := rand.New(rand.NewPCG(l.Seed, uint64(n)))
		all.Go(func() {
			next := began
			for i := 0; ; i++ {
				next = next.Add(time.Duration(chance.ExpFloat64() * 1e9 / l.Rate))
				span := int(next.Sub(began) / l.RowDuration)
				if span >= len(line.Rows) {
					return
				}
				q := Query{Site: name, Process: i % w.ProcessesPerSite, ID: fmt.Sprintf("%s-%d", name, i),
					Workload: chance.IntN(len(Workloads))}
				time.Sleep(time.Until(next))
				all.Go(func() {
					end, took := w.Ask(q)
					worth := 1.0
					if x, stated := w.Revenue[Workloads[q.Workload]]; stated {
						worth = x
					}
					mu.Lock()
					defer mu.Unlock()
					row := &line.Rows[span]
					row.Asked++
					row.Outcomes[end]++
					row.MaxRevenue += worth
					if row.Latencies = append(row.Latencies, took); end == InGoal {
						row.Revenue += worth
					}
					if Workloads[q.Workload] == "pay" {
						pay = append(pay, q.ID)
					}
				})
			}
		})
	}
	for span := range line.Rows {
		time.Sleep(time.Until(began.Add(time.Duration(span) * l.RowDuration)))
		if at != nil {
			at(span)
		}
	}
	all.Wait()
	for _, id := range pay {
		for shard := range DefaultShards {
			if w.ExecutionCount(fmt.Sprintf("%s.%d", id, shard)) > 1 {
				line.DuplicateExecutions++
			}
		}
	}
	return line
}
