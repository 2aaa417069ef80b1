package main

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"willowsill/lab/emulator"
	"willowsill/lab/emulator/hunt"
	"willowsill/lab/experiment"
)

func huntCommand() *cobra.Command {
	var t hunt.Config
	var seeds int
	var source string
	c := &cobra.Command{
		Use:   "hunt FILE",
		Short: "Search for the faults that harm an experiment's first variant most, or break a rule",
		Long: "hunt runs the first variant with random schedules of faults, mutates the worst one, and finally reduces it to the faults\n" +
			"that are needed. It prints statements that can be copied into an experiment.",
		Example: "  willowlab hunt experiments/calm.star --tries 200 --faults 3",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			if built, _ := c.Flags().GetBool(asBuiltFlag); e.Variants[0].Constants != nil && !built {
				return runRebuilt(e.Variants[0], source, c.OutOrStdout(), os.Args[1:]...)
			}
			t.Replicas, t.From, t.Until = e.Plan.Replicas, e.Plan.MeasureFrom, e.Plan.MeasureUntil
			best := hunt.Score{Share: math.Inf(1)}
			text := ""
			tried := 0
			found := hunt.Search(t, func(faults []emulator.Fault) hunt.Score {
				sum := hunt.Score{}
				for seed := 1; seed <= seeds; seed++ {
					p := e.PlanFor(e.Variants[0], seed)
					p.Faults = faults
					r, err := emulator.Run(p, runtime.GOMAXPROCS(0))
					if err != nil {
						panic(err) // the search has generated an invalid schedule
					}
					if sum.Share += r.RevenueShare() / float64(seeds); r.Rule > 0 {
						sum.Rule, text = r.Rule, r.Violation
						break
					}
				}
				if tried++; sum.Rule > 0 || sum.Share < best.Share {
					best = sum
					fmt.Fprintf(os.Stderr, "after %d schedules: lowest share %.4f\n", tried, best.Share)
				}
				return sum
			})
			out := c.OutOrStdout()
			fmt.Fprintf(out, "# %s, %d schedules tried, hunt seed %d: share %.4f\n", e.Name, found.Tried, t.Seed, found.Score.Share)
			for _, f := range found.Faults {
				fmt.Fprintf(out, "fault(kind = %q, replicas = %s, at = %q, until = %q, times = %.3g, every = %q, bad_for = %q)\n", f.Kind,
					strings.ReplaceAll(fmt.Sprint(f.Replicas), " ", ", "), time.Duration(f.From), time.Duration(f.Until), f.Slowdown,
					time.Duration(f.Period), time.Duration(f.ActiveTime))
			}
			if found.Score.Rule > 0 {
				fmt.Fprintln(out, "#", text)
				return errRuleBroken
			}
			return nil
		},
	}
	addSourceFlag(c, &source)
	c.Flags().Uint64Var(&t.Seed, "seed", 1, "seed of the search")
	c.Flags().IntVar(&t.MaxSchedules, "tries", 100, "number of schedules to try")
	c.Flags().IntVar(&t.MaxFaults, "faults", 3, "maximum number of faults in a schedule")
	c.Flags().IntVar(&t.MaxReplicasPerFault, "most", 4, "maximum number of replicas that one fault affects")
	c.Flags().IntVar(&seeds, "runs", 2, "runs of each schedule, with different seeds")
	c.Flags().StringSliceVar(&t.Kinds, "kinds", nil, "kinds of faults to use; all by default")
	c.PreRunE = func(*cobra.Command, []string) error {
		for _, k := range t.Kinds {
			if !slices.Contains(emulator.FaultKinds, k) {
				return fmt.Errorf("--kinds: %q is none of %s", k, strings.Join(emulator.FaultKinds, ", "))
			}
		}
		if t.MaxSchedules < 1 || t.MaxFaults < 1 || t.MaxReplicasPerFault < 1 || seeds < 1 {
			return fmt.Errorf("--tries, --faults, --most and --runs must be at least 1")
		}
		return nil
	}
	return c
}

func replayCommand() *cobra.Command {
	var from, until time.Duration
	var seed int
	var variant, who, source string
	c := &cobra.Command{
		Use:   "replay FILE",
		Short: "Print the decisions of one run in an interval, each with the values that it is based on",
		Example: "  willowlab replay experiments/hang.star --seed 3 --from 12s --to 12.1s\n" +
			"  willowlab replay experiments/hang.star --from 12s --to 13s --who 'aggregator 4'",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			v := e.Variants[0]
			if variant != "" {
				i := slices.IndexFunc(e.Variants, func(v experiment.Variant) bool { return v.Name == variant })
				if i < 0 {
					return fmt.Errorf("there is no variant %q", variant)
				}
				v = e.Variants[i]
			}
			if built, _ := c.Flags().GetBool(asBuiltFlag); v.Constants != nil && !built {
				return runRebuilt(v, source, c.OutOrStdout(), os.Args[1:]...)
			}
			p := e.PlanFor(v, seed)
			p.Trace = func(at int64, source, what string) {
				if at >= int64(from) && at < int64(until) && (who == "" || who == source) {
					fmt.Fprintf(c.OutOrStdout(), "%10.6f %s: %s\n", float64(at)/1e9, source, what)
				}
			}
			r, err := emulator.Run(p, 1)
			if err == nil && r.Rule > 0 {
				fmt.Fprintln(c.OutOrStdout(), r.Violation)
				return errRuleBroken
			}
			return err
		},
	}
	addSourceFlag(c, &source)
	c.Flags().DurationVar(&from, "from", 0, "start of the interval, in the run's time")
	c.Flags().DurationVar(&until, "to", time.Hour, "end of the interval, in the run's time")
	c.Flags().IntVar(&seed, "seed", 1, "seed of the run")
	c.Flags().StringVar(&variant, "variant", "", "name of the variant; the first by default")
	c.Flags().StringVar(&who, "who", "", "print only this aggregator's decisions")
	return c
}
