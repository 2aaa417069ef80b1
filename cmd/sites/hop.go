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
	warmUpTime = 12 * time.Second
	retryPause = 100 * time.Millisecond // of a client that has got no answer
)

// hopCase is one way of asking: at home, or over the link at a site that is left.
type hopCase struct {
	name       string
	http2      bool
	remote     bool
	conditions link.Conditions
	p50        time.Duration
	p99        time.Duration
	cpu        time.Duration // a query, of all processes
	outcomes   [6]int
}

func hopCommand() *cobra.Command {
	var binary string
	var each time.Duration
	var clients, rounds int
	c := &cobra.Command{
		Use:   "hop",
		Short: "What a query costs more when it is carried, over HTTP/1.1 and HTTP/2",
		Long: "hop asks with a fixed number of clients, each its next query when it has the last answer, at replicas that\n" +
			"take no time: at home, and at a site that is left, over a link without delay and over one of 80 ms that loses 1%.",
		Example: "  bin/sites hop --each 10s --rounds 3",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			lossy := link.Conditions{Delay: 80 * time.Millisecond, Jitter: 10 * time.Millisecond, Loss: 0.01,
				LossDelay: 200 * time.Millisecond}
			all := []*hopCase{{name: "at home"}, {name: "HTTP/1.1", remote: true}, {name: "HTTP/2", remote: true, http2: true},
				{name: "HTTP/1.1, 80 ms, 1% lost", remote: true, conditions: lossy},
				{name: "HTTP/2, 80 ms, 1% lost", remote: true, conditions: lossy, http2: true}}
			got := map[*hopCase][]hopCase{}
			for range rounds { // by turns, so that all meet the same machine
				for _, h := range all {
					one := *h
					if err := one.run(binary, clients, each); err != nil {
						return err
					}
					got[h] = append(got[h], one)
				}
			}
			t := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
			fmt.Fprintf(t, "%d clients, %d rounds of %v, medians of rounds, %d cores\n", clients, rounds, each, runtime.NumCPU())
			fmt.Fprintln(t, "| way\t| p50 ms\t| p99 ms\t| CPU us a query\t| answers\t| declined\t| others\t|")
			for _, h := range all {
				middle := func(of func(hopCase) float64) float64 {
					var v []float64
					for _, one := range got[h] {
						v = append(v, of(one))
					}
					slices.Sort(v)
					return v[len(v)/2]
				}
				var ends [6]int
				for _, one := range got[h] {
					for i, n := range one.outcomes {
						ends[i] += n
					}
				}
				fmt.Fprintf(t, "| %s\t| %.2f\t| %.2f\t| %.0f\t| %d\t| %d\t| %d\t|\n", h.name,
					middle(func(o hopCase) float64 { return o.p50.Seconds() * 1e3 }),
					middle(func(o hopCase) float64 { return o.p99.Seconds() * 1e3 }),
					middle(func(o hopCase) float64 { return o.cpu.Seconds() * 1e6 }),
					ends[sites.InGoal]+ends[sites.Late], ends[sites.Declined], ends[sites.Failed]+ends[sites.Lost]+ends[sites.Wrong])
			}
			return t.Flush()
		},
	}
	c.Flags().DurationVar(&each, "each", 10*time.Second, "how long each way is asked in a round")
	c.Flags().IntVar(&clients, "clients", 8, "how many ask at a time")
	c.Flags().IntVar(&rounds, "rounds", 3, "how often each way is asked")
	c.Flags().StringVar(&binary, "program", "bin/willowsill", "the program")
	return c
}

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
	// The ways become known, and gateways that were not known before are asked little at first.
	for until := time.Now().Add(warmUpTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		w.Ask(sites.Query{Site: "east", ID: fmt.Sprint("w", time.Now().UnixNano())})
	}
	var mu sync.Mutex
	var took []time.Duration
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
					took = append(took, d)
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
	slices.Sort(took)
	if len(took) == 0 {
		return fmt.Errorf("%s: no query was answered: %v", h.name, h.outcomes)
	}
	h.p50, h.p99, h.cpu = took[len(took)/2], took[len(took)*99/100], spent/time.Duration(len(took))
	return nil
}

func evacuatedIf(far bool) []string {
	if far {
		return []string{"east"}
	}
	return nil
}
