package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"willowsill/standin/link"
	"willowsill/standin/sites"
)

const (
	warmUpTime = 12 * time.Second       // time in which the gateways learn of each other and end their slow start
	retryPause = 100 * time.Millisecond // time that a client waits after a query that was not answered within the goal
)

// hopCase is one setup that is measured: queries are served by the own site, or the own site is evacuated and they are
// forwarded over a link. It also holds the results.
type hopCase struct {
	name       string
	http2      bool
	remote     bool
	conditions link.Conditions
	p50        time.Duration // latency of queries answered within the goal
	p99        time.Duration
	cpu        time.Duration // CPU time of all processes per query answered within the goal
	outcomes   [6]int
}

func hopCommand() *cobra.Command {
	var binary string
	var each time.Duration
	var clients, rounds int
	c := &cobra.Command{
		Use:   "hop",
		Short: "Additional latency and CPU time of a forwarded query, over HTTP/1.1 and HTTP/2",
		Long: "hop runs a fixed number of clients, each of which sends its next query after the last answer, against replicas without\n" +
			"processing time: at a site that serves itself, and at an evacuated site whose queries are forwarded, over a link\n" +
			"without delay and over one of 80 ms that loses 1%.",
		Example: "  bin/sites hop --each 10s --rounds 3",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			lossy := link.Conditions{Delay: 80 * time.Millisecond, Jitter: 10 * time.Millisecond, Loss: 0.01,
				LossDelay: 200 * time.Millisecond}
			all := []*hopCase{{name: "at home"}, {name: "HTTP/1.1", remote: true}, {name: "HTTP/2", remote: true, http2: true},
				{name: "HTTP/1.1, 80 ms, 1% lost", remote: true, conditions: lossy},
				{name: "HTTP/2, 80 ms, 1% lost", remote: true, conditions: lossy, http2: true}}
			results := map[*hopCase][]hopCase{}
			for range rounds { // the cases take turns, so that a change in the machine's load affects all cases alike
				for _, h := range all {
					result := *h
					if err := result.run(binary, clients, each); err != nil {
						return err
					}
					results[h] = append(results[h], result)
				}
			}
			t := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
			fmt.Fprintf(t, "%d clients, %d rounds of %v, medians of rounds, %d cores\n", clients, rounds, each, runtime.NumCPU())
			fmt.Fprintln(t, "| way\t| p50 ms\t| p99 ms\t| CPU us a query\t| answers\t| declined\t| others\t|")
			for _, h := range all {
				median := func(of func(hopCase) float64) float64 {
					var v []float64
					for _, result := range results[h] {
						v = append(v, of(result))
					}
					slices.Sort(v)
					return v[len(v)/2]
				}
				var ends [6]int
				for _, result := range results[h] {
					for i, n := range result.outcomes {
						ends[i] += n
					}
				}
				fmt.Fprintf(t, "| %s\t| %.2f\t| %.2f\t| %.0f\t| %d\t| %d\t| %d\t|\n", h.name,
					median(func(o hopCase) float64 { return o.p50.Seconds() * 1e3 }),
					median(func(o hopCase) float64 { return o.p99.Seconds() * 1e3 }),
					median(func(o hopCase) float64 { return o.cpu.Seconds() * 1e6 }),
					ends[sites.InGoal]+ends[sites.Late], ends[sites.Declined], ends[sites.Failed]+ends[sites.Lost]+ends[sites.Wrong])
			}
			return t.Flush()
		},
	}
	c.Flags().DurationVar(&each, "each", 10*time.Second, "how long each case runs in a round")
	c.Flags().IntVar(&clients, "clients", 8, "number of concurrent clients")
	c.Flags().IntVar(&rounds, "rounds", 3, "how often each case runs")
	c.Flags().StringVar(&binary, "program", "bin/willowsill", "the program")
	return c
}

// run measures the case once and stores the results in it.
func (h *hopCase) run(binary string, clients int, each time.Duration) error {
	dir, err := os.MkdirTemp("", "sites")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	w, err := sites.Start(sites.Config{Binary: binary, Dir: dir, SiteNames: []string{"east", "west"}, ProcessesPerSite: 1, Policy: "all",
		HTTP2: h.http2, LinkConditions: h.conditions, WorkersPerReplica: 64, ReplicasPerShard: 2, LinkQueryRate: 1e5, LinkByteRate: 1 << 30, Evacuated: evacuatedIf(h.remote)})
	defer w.Stop()
	if err != nil {
		return err
	}
	// The gateways need time to learn of each other, and a newly known gateway gets few queries at first.
	for until := time.Now().Add(warmUpTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		w.Ask(sites.Query{Site: "east", ID: fmt.Sprint("w", time.Now().UnixNano())})
	}
	var mu sync.Mutex
	var latencies []time.Duration
	var all sync.WaitGroup
	before := w.CPU()
	until := time.Now().Add(each)
	for n := range clients {
		all.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				end, d := w.Ask(sites.Query{Site: "east", ID: fmt.Sprintf("h%d-%d", n, i)})
				mu.Lock()
				h.outcomes[end]++
				if end == sites.InGoal {
					latencies = append(latencies, d)
				}
				mu.Unlock()
				if end != sites.InGoal {
					time.Sleep(retryPause)
				}
			}
		})
	}
	all.Wait()
	spent := w.CPU() - before
	slices.Sort(latencies)
	if len(latencies) == 0 {
		return fmt.Errorf("%s: no query was answered: %v", h.name, h.outcomes)
	}
	h.p50, h.p99, h.cpu = latencies[len(latencies)/2], latencies[len(latencies)*99/100], spent/time.Duration(len(latencies))
	return nil
}

// evacuatedIf returns the sites to evacuate: the first one if its queries are to be forwarded.
func evacuatedIf(remote bool) []string {
	if remote {
		return []string{"east"}
	}
	return nil
}
