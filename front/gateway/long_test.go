package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"willowsill/balance"
	"willowsill/decide/siterouting"
	"willowsill/front"
	"willowsill/node"
	"willowsill/standin/link"
)

var long = flag.Bool("long", false, "simulate half an hour of two sites under four policies instead of a few minutes under two")

// noGateway stands for a run without a gateway.
const noGateway siterouting.Policy = 255

func policyName(p siterouting.Policy) string {
	if p == noGateway {
		return "no gateway"
	}
	return [...]string{"gateway", "all that is declined", "half and half"}[p]
}

// outcomes counts the queries of one phase by how they ended; lost ones got no answer within their timeout.
type outcomes struct{ asked, inGoal, late, declined, failed, lost int }

func (t outcomes) share() float64 { return float64(t.inGoal) / float64(max(t.asked, 1)) }

// runOutage runs two sites, of which site a's replicas stop answering in the middle phase, and returns the outcomes
// of each phase: before, dark, after.
func runOutage(t *testing.T, p siterouting.Policy, whole time.Duration) (phases [3]outcomes, maxInFlight int, carried int64) {
	withSitesAndPolicy(t, p, []string{"a", "b"}, func(w *siteGroup) {
		far := link.Conditions{Delay: 80 * time.Millisecond, Jitter: 10 * time.Millisecond, Loss: 0.01, LossDelay: 200 * time.Millisecond}
		w.links["a>b"].Set(far, far)
		w.links["b>a"].Set(far, far)
		began := time.Now()
		phase := func() int {
			switch since := time.Since(began); {
			case since < whole*3/10:
				return 0
			case since < whole*6/10:
				return 1
			}
			return 2
		}
		var mu sync.Mutex
		var running sync.WaitGroup
		var pay []string // ids of queries whose parts must run once, at whichever site
		for n, name := range []string{"a", "b"} {
			s := w.sites[name]
			s.mu.Lock()
			s.workers = make(chan struct{}, 6)
			s.mu.Unlock()
			rng := rand.New(rand.NewPCG(7, uint64(n)))
			running.Go(func() {
				for i := 0; time.Since(began) < whole; i++ {
					time.Sleep(time.Duration(rng.ExpFloat64() * 1e9 / 20))
					workload, number := rng.IntN(3), phase()
					if name == "a" {
						s.mu.Lock()
						s.silent = number == 1
						s.mu.Unlock()
					}
					running.Go(func() {
						asked := time.Now()
						timeout := 3 * time.Second
						var core front.Core = s.core
						if p == noGateway {
							core = s.node
						}
						a, ok := core.Serve(w.Context(), node.Query{ID: fmt.Sprint(name, i), Workload: workload,
							Deadline: s.node.Clock.Now() + int64(timeout), Text: []byte("t"),
							Parts: []node.Part{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}})
						took := time.Since(asked)
						mu.Lock()
						defer mu.Unlock()
						if workload == workloads["pay"] {
							pay = append(pay, fmt.Sprint(name, i))
						}
						row := &phases[number]
						row.asked++
						switch {
						case !ok || took > timeout:
							row.lost++
						case a.Outcome == balance.Whole && took <= 1500*time.Millisecond:
							row.inGoal++
						case a.Outcome == balance.Whole:
							row.late++
						case a.Outcome == balance.Declined:
							row.declined++
						default:
							row.failed++
						}
						if name == "a" {
							s.core.mu.Lock()
							maxInFlight = max(maxInFlight, s.core.gateway.Links()[0].InFlight)
							s.core.mu.Unlock()
						}
					})
				}
			})
		}
		running.Wait()
		carried = w.sites["a"].count.Carried.Load()
		a, b := w.sites["a"], w.sites["b"]
		for _, id := range pay {
			for _, part := range []string{".0", ".1"} {
				a.mu.Lock()
				times := a.runs[id+part]
				a.mu.Unlock()
				b.mu.Lock()
				times += b.runs[id+part]
				b.mu.Unlock()
				if times > 1 {
					w.Errorf("part %s%s, which must run once, ran %d times", id, part, times)
				}
			}
		}
	})
	return phases, maxInFlight, carried
}

// TestHalfHour runs two sites with 80 ms between them and a loss of 1%; the replicas of one stop answering in the
// middle phase. No query may be lost, and the gateway must serve more than a run without it. With -long it runs
// half an hour, and two other policies in addition.
func TestHalfHour(t *testing.T) {
	whole, policies := 3*time.Minute, []siterouting.Policy{siterouting.Planned, noGateway}
	if *long {
		whole, policies = 30*time.Minute, []siterouting.Policy{siterouting.Planned, noGateway, siterouting.AllDeclined, siterouting.HalfOfOwn}
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(table, "| policy\t| phase\t| asked\t| within goal\t| late\t| declined\t| failed\t| lost\t|")
	shares := map[siterouting.Policy][3]outcomes{}
	for _, p := range policies {
		phases, maxInFlight, carried := runOutage(t, p, whole)
		shares[p] = phases
		for i, row := range phases {
			fmt.Fprintf(table, "| %s\t| %s\t| %d\t| %.4f\t| %d\t| %d\t| %d\t| %d\t|\n", policyName(p), []string{"before", "dark", "after"}[i],
				row.asked, row.share(), row.late, row.declined, row.failed, row.lost)
			if row.lost > 0 {
				t.Errorf("%s: %d queries lost", policyName(p), row.lost)
			}
		}
		t.Logf("%s: %d forwarded, at most %d in flight", policyName(p), carried, maxInFlight)
	}
	if testing.Verbose() {
		table.Flush()
	}
	if with, without := shares[siterouting.Planned][1].share(), shares[noGateway][1].share(); with < without+0.1 {
		t.Errorf("in the dark phase %.3f of the queries are served within the goal, %.3f without a gateway", with, without)
	}
	if before, after := shares[siterouting.Planned][0].share(), shares[siterouting.Planned][2].share(); after < before-0.05 {
		t.Errorf("share within the goal: %.3f before and %.3f after the dark phase", before, after)
	}
}
