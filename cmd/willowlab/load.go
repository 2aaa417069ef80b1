package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"willowsill/lab/load"
)

func loadCommand() *cobra.Command {
	t := load.Target{}
	var rate, wanted float64
	var clients, steps int
	var span time.Duration
	var seed uint64
	var asJSON bool
	c := &cobra.Command{
		Use:   "load URL",
		Short: "Send queries to a running aggregator, and measure its answers",
		Long: "load sends queries at a steady rate (--rate), from a fixed number of clients (--clients), or at growing rates until the\n" +
			"share within the goal falls below --wanted (--steps). Latencies count from the time at which a query was due.",
		Example: "  willowlab load http://127.0.0.1:8081 --workload lookup --shards 0,1 --rate 200 --for 10s\n" +
			"  willowlab load http://127.0.0.1:8081 --workload lookup --shards 0,1 --rate 100 --steps 10",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			t.URL = args[0]
			loadClients, err := load.New(t)
			if err != nil {
				return err
			}
			defer loadClients.Close()
			var all []*load.Outcome
			best := 0.0
			open := func(rate float64) *load.Outcome { return loadClients.RunOpenLoop(c.Context(), rate, span, seed) }
			switch {
			case clients > 0:
				all = append(all, loadClients.RunClosedLoop(c.Context(), clients, span))
			case steps > 0:
				all, best = load.FindMaxRate(rate, 1.5, steps, wanted, open)
			default:
				all = append(all, open(rate))
			}
			if asJSON {
				return writeJSON(c.OutOrStdout(), all)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 1, ' ', 0)
			fmt.Fprintln(w, "| due a second\t| asked\t| in goal\t| late\t| declined\t| failed\t| served a second\t| p50 ms\t| p99 ms\t| p99.9 ms\t|")
			for _, o := range all {
				fmt.Fprintf(w, "| %.0f\t| %d\t| %d\t| %d\t| %d\t| %d\t| %.0f\t| %.2f\t| %.2f\t| %.2f\t|\n", o.Rate, o.Asked, o.InGoal, o.Late, o.Declined,
					o.Failed, o.ServedPerSecond, o.P50.Seconds()*1e3, o.P99.Seconds()*1e3, o.P999.Seconds()*1e3)
			}
			if best > 0 {
				fmt.Fprintf(w, "at %.0f a second %.2f are still within the goal\n", best, wanted)
			}
			return w.Flush()
		},
	}
	c.Flags().StringVar(&t.Workload, "workload", "lookup", "name of the workload")
	c.Flags().IntSliceVar(&t.Shards, "shards", []int{0}, "shards of each query")
	c.Flags().StringVar(&t.Text, "text", "load", "text of the queries")
	c.Flags().DurationVar(&t.Timeout, "patience", time.Second, "timeout of the clients")
	c.Flags().DurationVar(&t.LatencyGoal, "goal", 200*time.Millisecond, "latency goal")
	c.Flags().Float64Var(&rate, "rate", 100, "queries a second; the first rate with --steps")
	c.Flags().IntVar(&clients, "clients", 0, "number of clients that send one query after the other, instead of a rate")
	c.Flags().IntVar(&steps, "steps", 0, "maximum number of rates to try until the goal is missed")
	c.Flags().Float64Var(&wanted, "wanted", 0.99, "share within the goal that --steps looks for")
	c.Flags().DurationVar(&span, "for", 5*time.Second, "duration of each rate")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the clients' random arrivals")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
