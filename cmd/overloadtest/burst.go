package main

import (
	"context"
	"fmt"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"willowsill/lab/load"
	"willowsill/standin/sites"
)

// What the clients ask: a cheap workload, and one in ten queries of a dear one that is worth ten times as much.
const (
	dear      = "book"
	cheap     = "look"
	dearWorth = 10.0
	dearShare = 0.1
)

// shedding are the program without and with the script.
func shedding(limit string) []way {
	return []way{{"former", ""}, {"strain", fmt.Sprintf("strain(revenue = {%q: %g}, limit = %q)\n", dear, dearWorth, limit)}}
}

// Crowd is what came of one load.
type Crowd struct {
	Rate        float64 // asked a second, in all
	Cheap, Dear *load.Outcome
	CPU         time.Duration
	Took        time.Duration
	Refused     float64 // turned away by strain, with heads read,
	Unseen      float64 // and without
}

// Revenue is what was served within the goal, a second.
func (c *Crowd) Revenue() float64 {
	return (float64(c.Cheap.InGoal) + dearWorth*float64(c.Dear.InGoal)) / c.Took.Seconds()
}

// Best is what a perfect shedder would earn a second that can serve so many.
func (c *Crowd) Best(served float64) float64 {
	d := min(dearShare*c.Rate, served)
	return dearWorth*d + min(served-d, c.Rate*(1-dearShare))
}

// crowd asks at a rate for a while.
func crowd(ctx context.Context, w *sites.World, parts int, rate float64, span time.Duration, seed uint64) (*Crowd, error) {
	c := &Crowd{Rate: rate}
	before := w.CPU()
	was := w.Sites["one"].Counters(0)
	var both sync.WaitGroup
	errs := make(chan error, 2)
	for i, kind := range []struct {
		name string
		rate float64
		to   **load.Outcome
	}{{cheap, rate * (1 - dearShare), &c.Cheap}, {dear, rate * dearShare, &c.Dear}} {
		both.Go(func() {
			clients, err := asking(w, kind.name, parts, 700)
			if err != nil {
				errs <- err
				return
			}
			defer clients.Close()
			*kind.to = clients.Open(ctx, kind.rate, span, seed+uint64(i))
		})
	}
	both.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
	}
	c.Took, c.CPU = span, w.CPU()-before
	is := w.Sites["one"].Counters(0)
	c.Refused = sites.Figure(is, "strain", "shed") - sites.Figure(was, "strain", "shed")
	c.Unseen = sites.Figure(is, "strain", "unseen") - sites.Figure(was, "strain", "unseen")
	return c, nil
}

// all are the shards up to n.
func all(n int) (shards []int) {
	for i := range n {
		shards = append(shards, i)
	}
	return shards
}

func bursts() *cobra.Command {
	var binary, limit string
	var span time.Duration
	var times []float64
	var parts int
	c := &cobra.Command{
		Use: "burst", Short: "More than can be served for a while: what is kept, and what a refusal costs",
		Example: "  bin/overloadtest burst --times 1,2,5,10 --for 5s", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx := context.Background()
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 1, ' ', 0)
			most := 0.0
			for _, one := range shedding(limit) {
				w, end, err := lone(binary, one.script, parts, 0)
				if err == nil {
					err = func() error {
						if most == 0 { // what can be served is found once, with the former program
							clients, err := asking(w, cheap, parts, 0)
							if err != nil {
								return err
							}
							defer clients.Close()
							clients.Closed(ctx, 32, 2*time.Second)
							most = clients.Closed(ctx, 256, 3*time.Second).Served
							fmt.Fprintf(t, "%.0f a second can be served of %d parts each, on one core\n", most, parts)
							fmt.Fprintln(t, "| way\t| load\t| revenue a second\t| of the best\t| dear in goal\t| cheap in goal\t| declined\t| failed or late\t| refused\t| unseen\t| cores\t|")
						}
						if _, err := crowd(ctx, w, parts, 0.5*most, 4*time.Second, 99); err != nil {
							return err
						}
						for i, n := range times {
							r, err := crowd(ctx, w, parts, n*most, span, uint64(i))
							if err != nil {
								return err
							}
							fmt.Fprintf(t, "| %s\t| %gx\t| %.0f\t| %.3f\t| %.3f\t| %.3f\t| %d\t| %d\t| %.0f\t| %.0f\t| %.2f\t|\n", one.name, n, r.Revenue(),
								r.Revenue()/r.Best(most), r.Dear.Share(), r.Cheap.Share(), r.Cheap.Declined+r.Dear.Declined,
								r.Cheap.Failed+r.Dear.Failed+r.Cheap.Late+r.Dear.Late, r.Refused, r.Unseen, r.CPU.Seconds()/r.Took.Seconds())
							time.Sleep(2 * time.Second)
						}
						return t.Flush()
					}()
				}
				end()
				if err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().DurationVar(&span, "for", 5*time.Second, "how long each load is asked")
	c.Flags().Float64SliceVar(&times, "times", []float64{1, 2, 5, 10}, "of what can be served")
	c.Flags().IntVar(&parts, "parts", 16, "of each query")
	c.Flags().StringVar(&limit, "limit", "model", "how the limit is found")
	c.Flags().StringVar(&binary, "program", "bin/willowsill", "the program")
	return c
}
