package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"willowsill/lab/controlsim"
	"willowsill/lab/controlsim/checker"
)

const (
	gcPercent        = 1500    // runs allocate much and the machine has memory to spare, so garbage is collected rarely
	memoryLimitBytes = 6 << 30 // near this heap size garbage is collected as often as needed
	maxSeedsShown    = 5       // failing seeds printed per check
	progressInterval = 500     // runs between two progress lines
)

// controlCommand runs simulated control clusters in virtual time.
func controlCommand() *cobra.Command {
	o := controlOptions{seeds: 100, firstSeed: 1, raceShare: -1}
	c := &cobra.Command{Use: "control", Short: "Simulate a control cluster in virtual time with random faults from seeds, and check its history",
		Long: "Runs the state machines of controllers and edges with simulated disks, links, clocks, operators and replicas. Each seed is\n" +
			"one run. The first run that violates a check is reduced to the fewest faults and printed as a script.",
		Example: "  willowlab control --seeds 10000 --points all\n  willowlab control --seeds 200 --points 1\n  willowlab control --replay day.json --trace",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return o.run(c.OutOrStdout()) }}
	f := c.Flags()
	f.Uint64Var(&o.seeds, "seeds", o.seeds, "number of seeds")
	f.Uint64Var(&o.firstSeed, "from", o.firstSeed, "the first seed")
	f.IntVar(&o.workers, "workers", 0, "concurrent runs, 0 for one per core")
	f.StringVar(&o.points, "points", "all", "scenarios to run: all, or a comma-separated list of drawn, 1, 2, 3, 3-three, 4")
	f.DurationVar(&o.timeLimit, "for", 0, "start no more runs after this time; 0 for no limit")
	f.StringVar(&o.replay, "replay", "", "run a script instead")
	f.StringVar(&o.shrunkPrefix, "shrunk", "", "write the reduced script of each check's first failing seed to files whose names begin with this prefix")
	f.BoolVar(&o.trace, "trace", false, "with --replay or a single seed: print every event")
	f.Float64Var(&o.raceShare, "races", o.raceShare, "share of random configuration changes that are sent with a second content under the same revision; below 0 for the plan's share")
	return c
}

// controlOptions holds the flags of the command control.
type controlOptions struct {
	seeds, firstSeed             uint64
	workers                      int
	points, replay, shrunkPrefix string
	trace                        bool
	raceShare                    float64
	timeLimit                    time.Duration
}

func (o controlOptions) run(out io.Writer) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	if o.replay != "" {
		script, err := os.ReadFile(o.replay)
		if err != nil {
			return err
		}
		plan, err := controlsim.ReadPlan(script)
		if err != nil {
			return err
		}
		return o.runPlan(out, plan)
	}
	scenarios, err := parsePoints(o.points)
	if err != nil {
		return err
	}
	if o.seeds == 1 && o.trace {
		return o.runPlan(out, o.plan(o.firstSeed, scenarios))
	}
	return o.runSeeds(out, scenarios)
}

// parsePoints returns the scenarios that the flag --points names.
func parsePoints(text string) (scenarios []controlsim.Scenario, err error) {
	if text == "all" {
		return controlsim.Scenarios, nil
	}
	for _, name := range strings.Split(text, ",") {
		p := controlsim.Scenario(strings.TrimSpace(name))
		if !slices.Contains(controlsim.Scenarios, p) {
			return nil, fmt.Errorf("--points: %q is none of %v", name, controlsim.Scenarios)
		}
		scenarios = append(scenarios, p)
	}
	return scenarios, nil
}

// plan returns the plan of a seed, with the share of races that the flag --races sets.
func (o controlOptions) plan(seed uint64, scenarios []controlsim.Scenario) controlsim.Plan {
	p := controlsim.PlanFor(seed, scenarios)
	if o.raceShare >= 0 {
		p.Workload.Races = o.raceShare
	}
	return p
}

// runPlan runs one plan and prints the checks that it violates.
func (o controlOptions) runPlan(out io.Writer, plan controlsim.Plan) error {
	var trace func(int64, string, string)
	if o.trace {
		trace = func(at int64, who, what string) { fmt.Fprintf(out, "%10.6f %s: %s\n", float64(at)/1e9, who, what) }
	}
	r, err := controlsim.Run(plan, trace)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %d orders, %d acknowledged, %d reads, %d drains\n", plan.Name, r.Orders, r.Acknowledged, r.Reads, r.Drains)
	for _, v := range r.Violations {
		fmt.Fprintf(out, "%10.6f %s: %s\n", float64(v.At)/1e9, v.Check, v.Text)
	}
	if len(r.Violations) > 0 {
		return errRuleBroken
	}
	return nil
}

// runTotals sums up the results of many runs.
type runTotals struct {
	mu                                          sync.Mutex
	runs, broken, orders, acknowledged, drained int
	virtualTime                                 time.Duration
	failingSeeds                                map[string][]uint64 // failing seeds, by the check that they violate
	firstViolation                              map[string]string   // text of the lowest seed's violation, by check
}

// add counts one run. It is called from several goroutines.
func (t *runTotals) add(seed uint64, r controlsim.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs++
	t.virtualTime += r.VirtualTime
	t.orders += r.Orders
	t.acknowledged += r.Acknowledged
	t.drained += r.Drains
	if len(r.Violations) > 0 {
		t.broken++
	}
	if t.runs%progressInterval == 0 {
		fmt.Fprintf(os.Stderr, "%d runs, %d broken\n", t.runs, t.broken)
	}
	seen := map[string]bool{}
	for _, v := range r.Violations {
		if seen[v.Check] {
			continue
		}
		seen[v.Check] = true
		if first := t.failingSeeds[v.Check]; len(first) == 0 || seed < slices.Min(first) {
			t.firstViolation[v.Check] = fmt.Sprintf("%.3f s: %s", float64(v.At)/1e9, v.Text)
		}
		t.failingSeeds[v.Check] = append(t.failingSeeds[v.Check], seed)
	}
}

// runSeeds runs the plans of all seeds and prints a summary. If a check failed, it prints or writes a reduced script.
func (o controlOptions) runSeeds(out io.Writer, scenarios []controlsim.Scenario) error {
	workers := o.workers
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	t := &runTotals{failingSeeds: map[string][]uint64{}, firstViolation: map[string]string{}}
	began := time.Now()
	var next atomic.Uint64
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for {
				n := next.Add(1) - 1
				if n >= o.seeds || o.timeLimit > 0 && time.Since(began) > o.timeLimit {
					return
				}
				r, err := controlsim.Run(o.plan(o.firstSeed+n, scenarios), nil)
				if err == nil {
					t.add(o.firstSeed+n, r)
				}
			}
		})
	}
	all.Wait()
	seconds := time.Since(began).Seconds()
	fmt.Fprintf(out, "%d runs, %d broken; %d orders, %d acknowledged; %d drains; %.1f virtual hours in %.1f s: %.2f an hour a second\n", t.runs, t.broken,
		t.orders, t.acknowledged, t.drained, t.virtualTime.Hours(), seconds, t.virtualTime.Hours()/seconds)
	if t.broken == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, check := range checker.Checks {
		seeds := t.failingSeeds[check]
		if len(seeds) == 0 {
			continue
		}
		sort.Slice(seeds, func(a, b int) bool { return seeds[a] < seeds[b] })
		fmt.Fprintf(w, "%s\t%d seeds\t%v\t%s\n", check, len(seeds), seeds[:min(len(seeds), maxSeedsShown)], t.firstViolation[check])
	}
	w.Flush()
	return o.shrink(out, t, scenarios)
}

// shrink reduces the plan of each check's first failing seed to the fewest faults that violate the check, and writes the scripts to
// files. Without a file prefix it prints only the first.
func (o controlOptions) shrink(out io.Writer, t *runTotals, scenarios []controlsim.Scenario) error {
	for i, check := range checker.Checks {
		seeds := t.failingSeeds[check]
		if len(seeds) == 0 {
			continue
		}
		shrunk := controlsim.Shrink(o.plan(seeds[0], scenarios), check, controlsim.BrokenChecks)
		script, err := shrunk.Script()
		if err != nil {
			return err
		}
		if o.shrunkPrefix == "" {
			fmt.Fprintf(out, "\nseed %d, %s, cut down to %d faults:\n%s\n", seeds[0], check, len(shrunk.Faults), script)
			break
		}
		path := fmt.Sprintf("%s%d.json", o.shrunkPrefix, i)
		if err := os.WriteFile(path, script, 0o644); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: seed %d, %s, cut down to %d faults and %d acts\n", path, seeds[0], check, len(shrunk.Faults), len(shrunk.Actions))
	}
	return errRuleBroken
}
