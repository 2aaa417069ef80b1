package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"willowsill/lab/hollow"
)

// hollowing measures the control side at sizes for which there is no room with real processes.
func hollowing() *cobra.Command {
	var o hollow.Options
	var seconds float64
	var asJSON bool
	c := &cobra.Command{Use: "hollow", Short: "Run real controllers beside hollow co-ordinators and replicas, and measure what each role spends",
		Long: "Runs real controllers on loopback addresses beside co-ordinators and replicas that share a few processes, and prints what each\n" +
			"role spent: processor time, memory, bytes; how long changes of the configuration took to the last co-ordinator; and what\n" +
			"became of heartbeats. Takes the given seconds, and the start.",
		Example: "  willowlab hollow --controllers 5 --edges 300 --replicas 1000 --changes-per-minute 15 --seconds 30", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			o.Span = time.Duration(seconds * float64(time.Second))
			r, err := hollow.Run(ctx, o)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(c.OutOrStdout(), r)
			}
			r.Print(c.OutOrStdout())
			return nil
		}}
	c.AddCommand(fitting())
	c.Flags().IntVar(&o.Controllers, "controllers", 5, "real control processes")
	c.Flags().IntVar(&o.Edges, "edges", 30, "co-ordinators")
	c.Flags().IntVar(&o.Replicas, "replicas", 300, "replicas")
	c.Flags().IntVar(&o.Zones, "zones", 6, "zones")
	c.Flags().IntVar(&o.Routes, "routes", 100, "routes of the configuration")
	c.Flags().Float64Var(&o.ChangesPerMinute, "changes-per-minute", 4, "changes of the configuration")
	c.Flags().Float64Var(&o.ChurnPerMinute, "churn-per-minute", 0, "replicas that leave and are replaced")
	c.Flags().DurationVar(&o.Beat, "heartbeat", time.Second, "between two heartbeats of a replica")
	c.Flags().DurationVar(&o.StartOver, "start-over", 0, "the time over which co-ordinators start; 0 for all at once")
	c.Flags().DurationVar(&o.Settle, "settle", 8*time.Second, "between the start and what is measured")
	c.Flags().Float64Var(&seconds, "seconds", 30, "to measure for")
	c.Flags().StringVar(&o.Programs, "programs", "", "the folder of the built programs (controller, agent, proxy); without it copies of this one play them, whose memory is larger")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// fitting reads what runs printed as JSON and prints the slopes over them.
func fitting() *cobra.Command {
	return &cobra.Command{Use: "slopes FILE...", Short: "Fit lines to the figures of runs that differ in one option alone",
		Example: "  willowlab hollow slopes results/hollow/*.json", Args: cobra.MinimumNArgs(3),
		RunE: func(c *cobra.Command, files []string) error {
			var runs []*hollow.Result
			for _, file := range files {
				text, err := os.ReadFile(file)
				if err != nil {
					return err
				}
				var r hollow.Result
				if err := json.Unmarshal(text, &r); err != nil {
					return fmt.Errorf("%s: %w", file, err)
				}
				runs = append(runs, &r)
			}
			hollow.PrintSlopes(c.OutOrStdout(), hollow.Slopes(runs))
			return nil
		}}
}
