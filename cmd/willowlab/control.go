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
	gcPercent        = 1500    // memory is plenty, and runs make much garbage
	memoryLimitBytes = 6 << 30 // bytes
	maxSeedsShown    = 5       // of each check that failed
	progressInterval = 500     // runs
)

// controlCommand plays control clusters in virtual time.
func controlCommand() *cobra.Command {
	o := controlOptions{seeds: 100, firstSeed: 1, raceShare: -1}
	c := &cobra.Command{Use: "control", Short: "Play a control cluster in virtual time, with faults drawn from seeds, and check what was seen",
		Long: "Plays the state machines of controllers and edges with simulated disks, links, clocks, operators and replicas. Each seed is\n" +
			"one run. The first run that breaks a check is cut down to the fewest faults and printed as a script.",
		Example: "  willowlab control --seeds 10000 --points all\n  willowlab control --seeds 200 --points 1\n  willowlab control --replay day.json --trace",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return o.run(c.OutOrStdout()) }}
	f := c.Flags()
	f.Uint64Var(&o.seeds, "seeds", o.seeds, "how many seeds")
	f.Uint64Var(&o.firstSeed, "from", o.firstSeed, "the first seed")
	f.IntVar(&o.workers, "workers", 0, "runs at once, 0 for one a core")
	f.StringVar(&o.points, "points", "all", "which plans: all, or some of drawn, 1, 2, 3, 3-three, 4, with commas between")
	f.DurationVar(&o.timeLimit, "for", 0, "begin no more runs after so long; 0 for no bound")
	f.StringVar(&o.replay, "replay", "", "play a script instead")
	f.StringVar(&o.shrunkPrefix, "shrunk", "", "write the script of each check's first failing seed, cut down, to files that begin so")
	f.BoolVar(&o.trace, "trace", false, "with --replay or one seed: print what happens")
	f.Float64Var(&o.raceShare, "races", o.raceShare, "share of drawn orders beside which another content goes out under the same number; below 0 as the plan has it")
	return c
}

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
	debug.SetMemoryLimit(memoryLimitBytes) // from here on garbage is collected as often as needed
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
	points, err := parsePoints(o.points)
	if err != nil {
		return err
	}
	if o.seeds == 1 && o.trace {
		return o.runPlan(out, o.plan(o.firstSeed, points))
	}
	return o.runSeeds(out, points)
}

func parsePoints(text string) (points []controlsim.Scenario, err error) {
	if text == "all" {
		return controlsim.Scenarios, nil
	}
	for _, name := range strings.Split(text, ",") {
		p := controlsim.Scenario(strings.TrimSpace(name))
		if !slices.Contains(controlsim.Scenarios, p) {
			return nil, fmt.Errorf("--points: %q is none of %v", name, controlsim.Scenarios)
		}
		points = append(points, p)
	}
	return points, nil
}

func (o controlOptions) plan(seed uint64, points []controlsim.Scenario) controlsim.Plan {
	p := controlsim.PlanFor(seed, points)
	if o.raceShare >= 0 {
		p.Workload.Races = o.raceShare
	}
	return p
}

// runPlan plays one plan and prints what it broke.
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

// runTotals is what many runs came to.
type runTotals struct {
	mu                                          sync.Mutex
	runs, broken, orders, acknowledged, drained int
	virtualTime                                 time.Duration
	failingSeeds                                map[string][]uint64 // seeds, by the check that they broke
	firstViolation                              map[string]string   // what the least of them broke
}

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

// runSeeds plays the plans of many seeds.
func (o controlOptions) runSeeds(out io.Writer, points []controlsim.Scenario) error {
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
				r, err := controlsim.Run(o.plan(o.firstSeed+n, points), nil)
				if err == nil {
					t.add(o.firstSeed+n, r)
				}
			}
		})
	}
	all.Wait()
	took := time.Since(began).Seconds()
	fmt.Fprintf(out, "%d runs, %d broken; %d orders, %d acknowledged; %d drains; %.1f virtual hours in %.1f s: %.2f an hour a second\n", t.runs, t.broken,
		t.orders, t.acknowledged, t.drained, t.virtualTime.Hours(), took, t.virtualTime.Hours()/took)
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
	return o.shrink(out, t, points)
}

// shrink cuts the first failing seed of each check down, and prints or writes its script.
func (o controlOptions) shrink(out io.Writer, t *runTotals, points []controlsim.Scenario) error {
	for i, check := range checker.Checks {
		seeds := t.failingSeeds[check]
		if len(seeds) == 0 {
			continue
		}
		least := controlsim.Shrink(o.plan(seeds[0], points), check, controlsim.BrokenChecks)
		script, err := least.Script()
		if err != nil {
			return err
		}
		if o.shrunkPrefix == "" {
			fmt.Fprintf(out, "\nseed %d, %s, cut down to %d faults:\n%s\n", seeds[0], check, len(least.Faults), script)
			break
		}
		path := fmt.Sprintf("%s%d.json", o.shrunkPrefix, i)
		if err := os.WriteFile(path, script, 0o644); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: seed %d, %s, cut down to %d faults and %d acts\n", path, seeds[0], check, len(least.Faults), len(least.Actions))
	}
	return errRuleBroken
}
