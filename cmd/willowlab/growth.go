package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"willowsill/lab/emulator"
	"willowsill/lab/experiment"
)

// growthPlan returns the plan of a fleet with 100 queries a second at each aggregator, or 10 from a thousand aggregators on, so that
// a thousand aggregators get as many queries in all as a hundred.
func growthPlan(aggregators int, span time.Duration) emulator.Plan {
	p := emulator.Plan{Policy: "module", Seed: 1, Duration: int64(span), MeasureUntil: int64(span), Aggregators: aggregators,
		Replicas: 10 * aggregators, ReplicasPerShard: 5, Workers: 2, ServiceTime: 20e6, ServiceTimeSigma: 0.4, NetworkDelay: 500e3, ListDelay: 1e9, Tick: 5e6, MaxExecutions: 3,
		CanCancel: true, ColdCapacity: 0.2, WarmUpTime: 9e9, OverloadFactor: 4, OverloadSpan: 1e9,
		Workloads: []emulator.Workload{{Name: "look", Rate: 100, Parts: min(3, 2*aggregators), LatencyGoal: 200e6, Timeout: 1e9, MinCoverage: 1, Revenue: 1}}}
	if aggregators >= 1000 {
		p.Workloads[0].Rate, p.Replicas = 10, 1000
	}
	return p
}

func growthCommand() *cobra.Command {
	var span time.Duration
	var cores int
	var chart string
	c := &cobra.Command{
		Use:     "growth",
		Short:   "Speed and memory use of the emulator for fleets of growing size",
		Example: "  willowlab growth --span 10s --cores 4 --chart growth.svg",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 1, ' ', 0)
			fmt.Fprintf(w, "%v of virtual time, 3 parts a query, %d cores\n", span, cores)
			fmt.Fprintln(w, "| aggregators\t| replicas\t| queries a second\t| events\t| events a second\t| times real time\t| heap MB\t|")
			fmt.Fprintln(w, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
			var sizes []experiment.FleetSize
			for _, n := range []int{1, 10, 100, 1000} {
				p := growthPlan(n, span)
				began := time.Now()
				peak, stop := watchHeap()
				r, err := emulator.Run(p, cores)
				stop()
				if err == nil && r.Violation != "" {
					err = errors.New(r.Violation)
				}
				if err != nil {
					return err
				}
				took := time.Since(began).Seconds()
				size := experiment.FleetSize{Aggregators: n, EventsPerSecond: float64(r.Events) / took, HeapBytes: float64(*peak)}
				sizes = append(sizes, size)
				fmt.Fprintf(w, "| %d\t| %d\t| %.0f\t| %d\t| %.0f\t| %.1f\t| %.0f\t|\n", n, p.Replicas, p.Workloads[0].Rate*float64(n), r.Events,
					size.EventsPerSecond, span.Seconds()/took, size.HeapBytes/1e6)
			}
			if chart != "" {
				svg, err := experiment.GrowthChart(sizes)
				if err != nil {
					return err
				}
				if err := os.WriteFile(chart, svg, 0o644); err != nil {
					return err
				}
			}
			return w.Flush()
		},
	}
	c.Flags().DurationVar(&span, "span", 10*time.Second, "virtual time of each run")
	c.Flags().IntVar(&cores, "cores", emulator.MaxCores(), "cores to use")
	c.Flags().StringVar(&chart, "chart", "", "file for an SVG chart")
	return c
}

// watchHeap samples the heap size every 50 ms until stop is called; afterwards *peak holds the largest sample in bytes.
func watchHeap() (peak *uint64, stop func()) {
	peak = new(uint64)
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			*peak = max(*peak, m.HeapInuse)
			select {
			case <-end:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return peak, func() {
		close(end)
		<-ended
	}
}
