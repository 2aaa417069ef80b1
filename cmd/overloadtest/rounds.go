package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"willowsill/lab/load"
	"willowsill/standin/sites"
)

// variant is an operator's script to run the program with, and its name in the tables.
type variant struct{ name, script string }

// variants are the program without overload detection, and with it but without shedding: then decision rounds run at once instead
// of at the next tick.
var variants = []variant{{"former", ""}, {"at once", "strain(shed = False)\n"}}

// startSingle starts one process of the program with replicas of the given processing time. The caller must call the returned
// function, also after an error.
func startSingle(binary, script string, parts int, work time.Duration) (*sites.Testbed, func(), error) {
	dir, err := os.MkdirTemp("", "overloadtest")
	if err != nil {
		return nil, nil, err
	}
	w, err := sites.Start(sites.Config{Binary: binary, Dir: dir, SiteNames: []string{"one"}, ProcessesPerSite: 1, Isolated: true, PartDuration: work,
		WorkersPerReplica: 256, ReplicasPerShard: 2, Script: script, MaxHeld: 20000, MaxSockets: 4096,
		ShardCount: parts})
	return w, func() {
		w.Stop()
		os.RemoveAll(dir)
	}, err
}

// newClients creates clients of the testbed's process with at most the given number of connections, 0 for no limit.
func newClients(w *sites.Testbed, workload string, parts, sockets int) (*load.Clients, error) {
	return load.New(load.Target{URL: w.Sites["one"].URL(0), Workload: workload, Shards: firstShards(parts), Text: "t", Timeout: sites.ClientTimeout,
		LatencyGoal: sites.LatencyGoal, MaxConns: sockets})
}

func roundsCommand() *cobra.Command {
	var binary string
	var each time.Duration
	var rates []float64
	var parts int
	c := &cobra.Command{
		Use: "rounds", Short: "Latency and CPU time of a query with and without waiting for the tick, and the highest rate",
		Example: "  bin/overloadtest rounds --each 5s", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 1, ' ', 0)
			fmt.Fprintf(t, "one core of %d for the program, replicas without work, %v each\n", runtime.NumCPU(), each)
			fmt.Fprintln(t, "| way\t| asked\t| served a second\t| p50 ms\t| p99 ms\t| CPU us a query\t| cores\t| not served\t|")
			for _, variant := range variants {
				w, end, err := startSingle(binary, variant.script, parts, 0)
				if err != nil {
					end()
					return err
				}
				err = func() error {
					defer end()
					clients, err := newClients(w, lowValue, parts, 0)
					if err != nil {
						return err
					}
					defer clients.Close()
					clients.RunClosedLoop(c.Context(), 16, 2*time.Second)
					row := func(name string, ask func() *load.Outcome) {
						before, began := w.CPU(), time.Now()
						o := ask()
						cpuUsed, elapsed := w.CPU()-before, time.Since(began)
						fmt.Fprintf(t, "| %s\t| %s\t| %.0f\t| %.2f\t| %.2f\t| %.0f\t| %.2f\t| %d\t|\n", variant.name, name, o.ServedPerSecond, o.P50.Seconds()*1e3,
							o.P99.Seconds()*1e3, cpuUsed.Seconds()*1e6/float64(max(o.InGoal+o.Late, 1)), cpuUsed.Seconds()/elapsed.Seconds(),
							o.Declined+o.Failed)
					}
					row("64 clients", func() *load.Outcome { return clients.RunClosedLoop(c.Context(), 64, each) })
					row("256 clients", func() *load.Outcome { return clients.RunClosedLoop(c.Context(), 256, each) })
					for i, rate := range rates {
						row(fmt.Sprintf("%.0f a second", rate), func() *load.Outcome { return clients.RunOpenLoop(c.Context(), rate, each, uint64(i)) })
					}
					return t.Flush()
				}()
				if err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().DurationVar(&each, "each", 5*time.Second, "duration of each load")
	c.Flags().IntVar(&parts, "parts", 2, "parts of each query")
	c.Flags().Float64SliceVar(&rates, "rates", []float64{200, 1000, 2000, 3000}, "queries a second")
	c.Flags().StringVar(&binary, "program", "bin/willowsill", "the program")
	c.SetContext(context.Background())
	return c
}
