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

// End is what became of a query, as its client saw it.
type End uint8

// In is an answer within the goal.
const (
	In End = iota
	Late
	Declined
	Failed
	Lost  // no answer in the client's time
	Wrong // an answer that is none to this query
)

// Ends are their names.
var Ends = []string{"in goal", "late", "declined", "failed", "lost", "wrong"}

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
func (w *World) Ask(q Query) (End, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), Patience+slack)
	defer cancel()
	const body = `{"segments":[{"segment":0,"boost":0.5},{"segment":1,"boost":0.5}],"text":"t"}`
	name := Workloads[q.Workload]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.Sites[q.Site].fixed[q.Process]+"/"+name,
		bytes.NewReader([]byte(body)))
	if err != nil {
		return Lost, 0
	}
	for key, v := range map[string]string{"X-Qos": name, "X-Trace-Id": q.ID, "X-Customer": q.Customer,
		"X-Expires-In-Ms": strconv.FormatInt(Patience.Milliseconds(), 10)} {
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
	case !right(q.ID, text):
		return Wrong, took
	case took > Goal:
		return Late, took
	}
	return In, took
}

func right(id string, text []byte) bool {
	var a struct {
		Matches []struct {
			Segment int    `json:"segment"`
			Payload string `json:"payload"`
		} `json:"matches"`
	}
	if json.Unmarshal(text, &a) != nil || len(a.Matches) != Shards {
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
	Asked   int
	Ends    [6]int
	Revenue float64 // within goal,
	Most    float64 // and if all had been
	Took    []time.Duration
}

// Share is the share of revenue within the goal; 1 where nothing was asked.
func (t *Tally) Share() float64 {
	if t.Most == 0 {
		return 1
	}
	return t.Revenue / t.Most
}

// Add takes another's in.
func (t *Tally) Add(o *Tally) {
	t.Asked += o.Asked
	for i, n := range o.Ends {
		t.Ends[i] += n
	}
	t.Revenue += o.Revenue
	t.Most += o.Most
	t.Took = append(t.Took, o.Took...)
}

// Load is a stream of queries to all sites.
type Load struct {
	Rate float64 // a second at each site, by chance
	Seed uint64
	For  time.Duration
	Each time.Duration // of a row of the timeline
	Only string        // the one site that is asked; empty for all
}

// Line is what came of a load: a tally for each span by when queries were asked, and what broke the rules.
type Line struct {
	Rows    []Tally
	Doubled int // once-only parts that ran more than once
}

// Play asks queries of all sites for a time, while at is called with the number of each span as it begins. It returns when the
// last has ended.
func (w *World) Play(l Load, at func(span int)) *Line {
	line := &Line{Rows: make([]Tally, int(l.For/l.Each))}
	var mu sync.Mutex
	var all sync.WaitGroup
	var pay []string
	began := time.Now()
	for n, name := range w.Names {
		if l.Only != "" && l.Only != name {
			continue
		}
		chance := rand.New(rand.NewPCG(l.Seed, uint64(n)))
		all.Go(func() {
			next := began
			for i := 0; ; i++ {
				next = next.Add(time.Duration(chance.ExpFloat64() * 1e9 / l.Rate))
				span := int(next.Sub(began) / l.Each)
				if span >= len(line.Rows) {
					return
				}
				q := Query{Site: name, Process: i % w.Gateways, ID: fmt.Sprintf("%s-%d", name, i),
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
					row.Ends[end]++
					row.Most += worth
					if row.Took = append(row.Took, took); end == In {
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
		time.Sleep(time.Until(began.Add(time.Duration(span) * l.Each)))
		if at != nil {
			at(span)
		}
	}
	all.Wait()
	for _, id := range pay {
		for shard := range Shards {
			if w.Ran(fmt.Sprintf("%s.%d", id, shard)) > 1 {
				line.Doubled++
			}
		}
	}
	return line
}
