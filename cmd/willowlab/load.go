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
		Short: "Ask queries of a running aggregator, and tell how it answers",
		Long: "load asks at a steady rate (--rate), by a fixed number of clients (--clients), or at growing rates until the share\n" +
			"within the goal falls under --wanted (--steps). Times count from when a query was due.",
		Example: "  willowlab load http://127.0.0.1:8081 --workload lookup --shards 0,1 --rate 200 --for 10s\n" +
			"  willowlab load http://127.0.0.1:8081 --workload lookup --shards 0,1 --rate 100 --steps 10",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			t.URL = args[0]
			asking, err := load.New(t)
			if err != nil {
				return err
			}
			defer asking.Close()
			var all []*load.Outcome
			best := 0.0
			open := func(rate float64) *load.Outcome { return asking.RunOpenLoop(c.Context(), rate, span, seed) }
			switch {
			case clients > 0:
				all = append(all, asking.RunClosedLoop(c.Context(), clients, span))
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
	c.Flags().StringVar(&t.Workload, "workload", "lookup", "its name")
	c.Flags().IntSliceVar(&t.Shards, "shards", []int{0}, "that each query asks")
	c.Flags().StringVar(&t.Text, "text", "load", "of the queries")
	c.Flags().DurationVar(&t.Timeout, "patience", time.Second, "the clients' time")
	c.Flags().DurationVar(&t.LatencyGoal, "goal", 200*time.Millisecond, "an answer within it counts")
	c.Flags().Float64Var(&rate, "rate", 100, "queries a second; the first rate with --steps")
	c.Flags().IntVar(&clients, "clients", 0, "that ask one query after the other, in place of a rate")
	c.Flags().IntVar(&steps, "steps", 0, "rates to try at most, until the goal breaks")
	c.Flags().Float64Var(&wanted, "wanted", 0.99, "share within the goal that --steps looks for")
	c.Flags().DurationVar(&span, "for", 5*time.Second, "each rate")
	c.Flags().Uint64Var(&seed, "seed", 1, "of the clients' chance")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
