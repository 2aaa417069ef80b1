package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"willowsill/lab/load"
	"willowsill/standin/sites"
)

// The clients' workloads: one in ten queries belongs to a workload whose queries earn ten times the revenue of the others.
const (
	highValue        = "book"
	lowValue         = "look"
	highValueRevenue = 10.0
	highValueShare   = 0.1
)

// shedVariants returns the program without overload detection, and with it and load shedding. limit names the method that finds the
// limit of the query rate.
func shedVariants(limit string) []variant {
	return []variant{{"former", ""}, {"strain", fmt.Sprintf("strain(revenue = {%q: %g}, limit = %q)\n", highValue, highValueRevenue, limit)}}
}

// LoadResult holds what both workloads and the program's counters showed under one load.
type LoadResult struct {
	Rate                float64 // queries a second, both workloads together
	LowValue, HighValue *load.Outcome
	CPU                 time.Duration
	Duration            time.Duration
	RejectedRead        float64 // requests shed after their header was read
	RejectedUnread      float64 // requests shed before their header was read
}

// Revenue returns the revenue per second of queries answered within their goal.
func (c *LoadResult) Revenue() float64 {
	return (float64(c.LowValue.InGoal) + highValueRevenue*float64(c.HighValue.InGoal)) / c.Duration.Seconds()
}

// BestRevenue returns the revenue per second of a perfect shedder that can serve the given number of queries a second.
func (c *LoadResult) BestRevenue(served float64) float64 {
	d := min(highValueShare*c.Rate, served)
	return highValueRevenue*d + min(served-d, c.Rate*(1-highValueShare))
}

// runLoad sends both workloads at the given total rate and returns the measurements.
func runLoad(ctx context.Context, w *sites.Testbed, parts int, rate float64, duration time.Duration, seed uint64) (*LoadResult, error) {
	c := &LoadResult{Rate: rate}
	before := w.CPU()
	countersBefore := w.Sites["one"].Counters(0)
	var both sync.WaitGroup
	errs := make(chan error, 2)
	for i, workload := range []struct {
		name string
		rate float64
		to   **load.Outcome
	}{{lowValue, rate * (1 - highValueShare), &c.LowValue}, {highValue, rate * highValueShare, &c.HighValue}} {
		both.Go(func() {
			clients, err := newClients(w, workload.name, parts, 700)
			if err != nil {
				errs <- err
				return
			}
			defer clients.Close()
			*workload.to = clients.RunOpenLoop(ctx, workload.rate, duration, seed+uint64(i))
		})
	}
	both.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
	}
	c.Duration, c.CPU = duration, w.CPU()-before
	countersAfter := w.Sites["one"].Counters(0)
	c.RejectedRead = sites.Counter(countersAfter, "strain", "shed") - sites.Counter(countersBefore, "strain", "shed")
	c.RejectedUnread = sites.Counter(countersAfter, "strain", "unseen") - sites.Counter(countersBefore, "strain", "unseen")
	return c, nil
}

// firstShards returns the shards 0 to n-1.
func firstShards(n int) (shards []int) {
	for i := range n {
		shards = append(shards, i)
	}
	return shards
}

// burstOptions holds the flags of the command burst.
type burstOptions struct {
	binary, limit string
	duration      time.Duration
	loadFactors   []float64
	parts         int
	json          bool
}

// BurstResult holds the measurements of one variant under one load, as burst --json prints them.
type BurstResult struct {
	Variant        string        `json:"way"`
	LoadFactor     float64       `json:"times"`    // rate of the load as a multiple of Capacity
	Duration       time.Duration `json:"span_ns"`  // duration of the load
	Capacity       float64       `json:"capacity"` // queries a second that the program can serve without overload detection
	Revenue        float64       `json:"revenue"`  // per second
	BestRevenue    float64       `json:"best"`     // revenue per second of a perfect shedder
	HighValue      *load.Outcome `json:"dear"`
	LowValue       *load.Outcome `json:"cheap"`
	RejectedRead   float64       `json:"refused"` // requests shed after their header was read
	RejectedUnread float64       `json:"unseen"`  // requests shed before their header was read
	Cores          float64       `json:"cores"`   // cores that the program used
}

// measureCapacity returns how many low-value queries a second the program serves to clients that each wait for their last answer.
func measureCapacity(ctx context.Context, w *sites.Testbed, parts int) (float64, error) {
	clients, err := newClients(w, lowValue, parts, 0)
	if err != nil {
		return 0, err
	}
	defer clients.Close()
	clients.RunClosedLoop(ctx, 32, 2*time.Second)
	return clients.RunClosedLoop(ctx, 256, 3*time.Second).ServedPerSecond, nil
}

// run applies every load to each variant and passes each result to emit. The capacity is measured once, with the program
// without overload detection.
func (o *burstOptions) run(ctx context.Context, emit func(*BurstResult) error) error {
	capacity := 0.0
	for _, v := range shedVariants(o.limit) {
		if err := o.runVariant(ctx, v, &capacity, emit); err != nil {
			return err
		}
	}
	return nil
}

// runVariant applies every load to one variant. It measures the capacity first if *capacity is 0.
func (o *burstOptions) runVariant(ctx context.Context, v variant, capacity *float64, emit func(*BurstResult) error) error {
	w, end, err := startSingle(o.binary, v.script, o.parts, 0)
	defer end()
	if err != nil {
		return err
	}
	if *capacity == 0 {
		if *capacity, err = measureCapacity(ctx, w, o.parts); err != nil {
			return err
		}
	}
	const warmUp = 99 // seed of the load that warms the process up before the measured ones
	if _, err := runLoad(ctx, w, o.parts, 0.5**capacity, 4*time.Second, warmUp); err != nil {
		return err
	}
	for i, factor := range o.loadFactors {
		c, err := runLoad(ctx, w, o.parts, factor**capacity, o.duration, uint64(i))
		if err != nil {
			return err
		}
		if err := emit(c.result(v.name, factor, *capacity)); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}

// result converts the measurements of a load to the form in which they are printed.
func (c *LoadResult) result(variant string, factor, capacity float64) *BurstResult {
	return &BurstResult{Variant: variant, LoadFactor: factor, Duration: c.Duration, Capacity: capacity, Revenue: c.Revenue(), BestRevenue: c.BestRevenue(capacity),
		HighValue: c.HighValue, LowValue: c.LowValue, RejectedRead: c.RejectedRead, RejectedUnread: c.RejectedUnread, Cores: c.CPU.Seconds() / c.Duration.Seconds()}
}

// printTable runs all loads and prints the results as a table.
func (o *burstOptions) printTable(ctx context.Context, out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	headed := false
	err := o.run(ctx, func(r *BurstResult) error {
		if !headed {
			headed = true
			fmt.Fprintf(t, "%.0f a second can be served of %d parts each, on one core\n", r.Capacity, o.parts)
			fmt.Fprintln(t, "| way\t| load\t| revenue a second\t| of the best\t| dear in goal\t| cheap in goal\t| declined\t| failed or late\t| refused\t| unseen\t| cores\t|")
		}
		fmt.Fprintf(t, "| %s\t| %gx\t| %.0f\t| %.3f\t| %.3f\t| %.3f\t| %d\t| %d\t| %.0f\t| %.0f\t| %.2f\t|\n", r.Variant, r.LoadFactor, r.Revenue,
			r.Revenue/r.BestRevenue, r.HighValue.GoalShare(), r.LowValue.GoalShare(), r.LowValue.Declined+r.HighValue.Declined,
			r.LowValue.Failed+r.HighValue.Failed+r.LowValue.Late+r.HighValue.Late, r.RejectedRead, r.RejectedUnread, r.Cores)
		return nil
	})
	return errors.Join(err, t.Flush())
}

// printJSON runs all loads and prints each result as a JSON line.
func (o *burstOptions) printJSON(ctx context.Context, out io.Writer) error {
	lines := json.NewEncoder(out)
	return o.run(ctx, func(r *BurstResult) error { return lines.Encode(r) })
}

func burstCommand() *cobra.Command {
	o := &burstOptions{}
	c := &cobra.Command{
		Use: "burst", Short: "Send more than can be served: revenue that is kept, and the cost of a rejection",
		Example: "  bin/overloadtest burst --times 1,2,5,10 --for 5s", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.json {
				return o.printJSON(c.Context(), c.OutOrStdout())
			}
			return o.printTable(c.Context(), c.OutOrStdout())
		},
	}
	c.Flags().DurationVar(&o.duration, "for", 5*time.Second, "duration of each load")
	c.Flags().Float64SliceVar(&o.loadFactors, "times", []float64{1, 2, 5, 10}, "loads, as multiples of what can be served")
	c.Flags().IntVar(&o.parts, "parts", 16, "parts of each query")
	c.Flags().StringVar(&o.limit, "limit", "model", "method that finds the limit of the query rate")
	c.Flags().StringVar(&o.binary, "program", "bin/willowsill", "the program")
	c.Flags().BoolVar(&o.json, "json", false, "print each result as a JSON line")
	c.SetContext(context.Background())
	return c
}
