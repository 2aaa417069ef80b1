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

// What the clients ask: a cheap workload, and one in ten queries of a dear one that is worth ten times as much.
const (
	highValue        = "book"
	lowValue         = "look"
	highValueRevenue = 10.0
	highValueShare   = 0.1
)

// shedVariants are the program without and with the script.
func shedVariants(limit string) []variant {
	return []variant{{"former", ""}, {"strain", fmt.Sprintf("strain(revenue = {%q: %g}, limit = %q)\n", highValue, highValueRevenue, limit)}}
}

// LoadResult is what came of one load.
type LoadResult struct {
	Rate                float64 // asked a second, in all
	LowValue, HighValue *load.Outcome
	CPU                 time.Duration
	Duration            time.Duration
	RejectedRead        float64 // turned away by strain, with heads read,
	RejectedUnread      float64 // and without
}

// Revenue is what was served within the goal, a second.
func (c *LoadResult) Revenue() float64 {
	return (float64(c.LowValue.InGoal) + highValueRevenue*float64(c.HighValue.InGoal)) / c.Duration.Seconds()
}

// BestRevenue is what a perfect shedder would earn a second that can serve so many.
func (c *LoadResult) BestRevenue(served float64) float64 {
	d := min(highValueShare*c.Rate, served)
	return highValueRevenue*d + min(served-d, c.Rate*(1-highValueShare))
}

// runLoad asks at a rate for a while.
func runLoad(ctx context.Context, w *sites.Testbed, parts int, rate float64, span time.Duration, seed uint64) (*LoadResult, error) {
	c := &LoadResult{Rate: rate}
	before := w.CPU()
	was := w.Sites["one"].Counters(0)
	var both sync.WaitGroup
	errs := make(chan error, 2)
	for i, kind := range []struct {
		name string
		rate float64
		to   **load.Outcome
	}{{lowValue, rate * (1 - highValueShare), &c.LowValue}, {highValue, rate * highValueShare, &c.HighValue}} {
		both.Go(func() {
			clients, err := newClients(w, kind.name, parts, 700)
			if err != nil {
				errs <- err
				return
			}
			defer clients.Close()
			*kind.to = clients.RunOpenLoop(ctx, kind.rate, span, seed+uint64(i))
		})
	}
	both.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
	}
	c.Duration, c.CPU = span, w.CPU()-before
	is := w.Sites["one"].Counters(0)
	c.RejectedRead = sites.Counter(is, "strain", "shed") - sites.Counter(was, "strain", "shed")
	c.RejectedUnread = sites.Counter(is, "strain", "unseen") - sites.Counter(was, "strain", "unseen")
	return c, nil
}

// firstShards are the shards up to n.
func firstShards(n int) (shards []int) {
	for i := range n {
		shards = append(shards, i)
	}
	return shards
}

// burstOptions are the flags of the command burst.
type burstOptions struct {
	binary, limit string
	duration      time.Duration
	loadFactors   []float64
	parts         int
	json          bool
}

// BurstResult is what one way of running the program kept of one load, as the command prints it.
type BurstResult struct {
	Variant        string        `json:"way"`
	LoadFactor     float64       `json:"times"`    // the load, as a multiple of Capacity
	Duration       time.Duration `json:"span_ns"`  // how long the load was asked
	Capacity       float64       `json:"capacity"` // queries a second that the program without strain can serve
	Revenue        float64       `json:"revenue"`  // a second
	BestRevenue    float64       `json:"best"`     // revenue a second of a perfect shedder
	HighValue      *load.Outcome `json:"dear"`
	LowValue       *load.Outcome `json:"cheap"`
	RejectedRead   float64       `json:"refused"` // turned away by strain with their heads read
	RejectedUnread float64       `json:"unseen"`  // and without
	Cores          float64       `json:"cores"`   // cores that the program used
}

// measureCapacity finds how many cheap queries a second the program serves to clients that each wait for their last answer.
func measureCapacity(ctx context.Context, w *sites.Testbed, parts int) (float64, error) {
	clients, err := newClients(w, lowValue, parts, 0)
	if err != nil {
		return 0, err
	}
	defer clients.Close()
	clients.RunClosedLoop(ctx, 32, 2*time.Second)
	return clients.RunClosedLoop(ctx, 256, 3*time.Second).ServedPerSecond, nil
}

// run plays every load against each way to run the program and hands each result to emit. The capacity is found once, with
// the program without strain.
func (o *burstOptions) run(ctx context.Context, emit func(*BurstResult) error) error {
	highest := 0.0
	for _, one := range shedVariants(o.limit) {
		if err := o.runVariant(ctx, one, &highest, emit); err != nil {
			return err
		}
	}
	return nil
}

// runVariant plays every load against one way to run the program.
func (o *burstOptions) runVariant(ctx context.Context, one variant, highest *float64, emit func(*BurstResult) error) error {
	w, end, err := startSingle(o.binary, one.script, o.parts, 0)
	defer end()
	if err != nil {
		return err
	}
	if *highest == 0 {
		if *highest, err = measureCapacity(ctx, w, o.parts); err != nil {
			return err
		}
	}
	const warmUp = 99 // the seed of the load before the first that counts
	if _, err := runLoad(ctx, w, o.parts, 0.5**highest, 4*time.Second, warmUp); err != nil {
		return err
	}
	for i, times := range o.loadFactors {
		c, err := runLoad(ctx, w, o.parts, times**highest, o.duration, uint64(i))
		if err != nil {
			return err
		}
		if err := emit(c.result(one.name, times, *highest)); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}

// result names what came of a load.
func (c *LoadResult) result(way string, times, capacity float64) *BurstResult {
	return &BurstResult{Variant: way, LoadFactor: times, Duration: c.Duration, Capacity: capacity, Revenue: c.Revenue(), BestRevenue: c.BestRevenue(capacity),
		HighValue: c.HighValue, LowValue: c.LowValue, RejectedRead: c.RejectedRead, RejectedUnread: c.RejectedUnread, Cores: c.CPU.Seconds() / c.Duration.Seconds()}
}

// printTable prints results as the rows of a table.
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

// printJSON prints results as JSON lines.
func (o *burstOptions) printJSON(ctx context.Context, out io.Writer) error {
	lines := json.NewEncoder(out)
	return o.run(ctx, func(r *BurstResult) error { return lines.Encode(r) })
}

func burstCommand() *cobra.Command {
	o := &burstOptions{}
	c := &cobra.Command{
		Use: "burst", Short: "More than can be served for a while: what is kept, and what a refusal costs",
		Example: "  bin/overloadtest burst --times 1,2,5,10 --for 5s", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.json {
				return o.printJSON(c.Context(), c.OutOrStdout())
			}
			return o.printTable(c.Context(), c.OutOrStdout())
		},
	}
	c.Flags().DurationVar(&o.duration, "for", 5*time.Second, "how long each load is asked")
	c.Flags().Float64SliceVar(&o.loadFactors, "times", []float64{1, 2, 5, 10}, "of what can be served")
	c.Flags().IntVar(&o.parts, "parts", 16, "of each query")
	c.Flags().StringVar(&o.limit, "limit", "model", "how the limit is found")
	c.Flags().StringVar(&o.binary, "program", "bin/willowsill", "the program")
	c.Flags().BoolVar(&o.json, "json", false, "print each result as a JSON line")
	c.SetContext(context.Background())
	return c
}
