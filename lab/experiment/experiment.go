// Package experiment reads experiments, plays their variants in the emulator with the same seeds, and tells what may be said
// of the difference. An experiment is a Starlark script, read and checked as the operator's is.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/cespare/xxhash/v2"

	"willowsill/balance"
	"willowsill/decide/siterouting"
	"willowsill/deployment/script"
	"willowsill/lab/emulator"
	"willowsill/lab/emulator/baselines"
	"willowsill/lab/experiment/constoverride"
)

// Experiment is what a script asks for.
type Experiment struct {
	Name     string
	Question string
	Seeds    int
	Plan     emulator.Plan // of all variants, but for what they change
	Variants []Variant
	Hash     string // of the script's text
}

// Variant is one way to play it.
type Variant struct {
	Name          string
	RunsOnSockets bool // the decision module decides, and so it can be played on sockets
	apply         func(*emulator.Plan)

	// Constants of the deciders are other than they stand in the text; nil for none. What plays it must be built with them.
	Constants constoverride.Constants
}

// PlanFor is a variant's plan with a seed.
func (e *Experiment) PlanFor(v Variant, seed int) emulator.Plan {
	p := e.Plan
	v.apply(&p)
	p.Seed = uint64(seed)
	return p
}

const (
	milli  = int64(1e6)
	second = int64(1e9)
)

var policies = append([]string{"module"}, baselines.Policies...)

var retrySafeties = []string{"repeatable", "tagged", "once_only"}

var functions = script.FunctionTable[Experiment]{
	"experiment": {Name: "experiment", Help: "says what is asked, and how long", Parameters: []*script.Parameter{
		{Name: "name", Kind: script.Text, Help: "of its results"},
		{Name: "question", Kind: script.Text, Help: "that it answers"},
		{Name: "span", Kind: script.Duration, Default: 40 * second, Min: 1e9, Max: 3600e9, Help: "that clients ask"},
		{Name: "count_from", Kind: script.Duration, Default: 10 * second, Max: 3600e9, Help: "what is asked before does not count"},
		{Name: "count_until", Kind: script.Duration, Default: 38 * second, Min: 1e9, Max: 3600e9, Help: "nor what is asked later"},
		{Name: "seeds", Kind: script.Int, Default: int64(10), Min: 1, Max: 1000, Help: "runs of each variant"},
	}, Apply: func(e *Experiment, c script.Call) error {
		e.Name, e.Question, e.Seeds = c.Text("name"), c.Text("question"), int(c.Int("seeds"))
		e.Plan.Duration, e.Plan.MeasureFrom, e.Plan.MeasureUntil = c.Int("span"), c.Int("count_from"), c.Int("count_until")
		return nil
	}},
	"fleet": {Name: "fleet", Help: "is the fleet and its network", Parameters: []*script.Parameter{
		{Name: "aggregators", Kind: script.Int, Default: int64(10), Min: 1, Max: 5000, Help: "how many"},
		{Name: "replicas", Kind: script.Int, Default: int64(40), Min: 1, Max: 20000, Help: "how many"},
		{Name: "holders", Kind: script.Int, Default: int64(4), Min: 1, Max: 1000, Help: "replicas of each shard"},
		{Name: "sites", Kind: script.Int, Default: int64(1), Min: 1, Max: 32, Help: "that all of it is dealt over"},
		{Name: "zones", Kind: script.Int, Default: int64(1), Min: 1, Max: 64, Help: "that replicas are dealt over in blocks, and aggregators by turns"},
		{Name: "workers", Kind: script.Int, Default: int64(2), Min: 1, Max: 1000, Help: "parts that a replica works on at a time"},
		{Name: "work", Kind: script.Duration, Default: 20 * milli, Min: 1e3, Max: 60e9, Help: "that a part takes, the median"},
		{Name: "spread", Kind: script.Float, Default: 0.4, Max: 3, Help: "of that: the standard deviation of its logarithm"},
		{Name: "tail", Kind: script.Float, Default: 0.0, Max: 1, Help: "share of parts with a heavy tail (Pareto, 1.5)"},
		{Name: "unlike", Kind: script.Float, Default: 0.0, Max: 3, Help: "of replicas' speeds, as spread"},
		{Name: "uneven", Kind: script.Float, Default: 0.0, Max: 3, Help: "of aggregators' shares of the load, as spread"},
		{Name: "room", Kind: script.Int, Default: int64(0), Max: 1e6, Help: "parts that may wait at a replica; 0 for any number"},
		{Name: "crowd", Kind: script.Float, Default: 0.0, Max: 100, Help: "of its speed that a replica loses for each part a worker that it holds"},
		{Name: "crowd_at", Kind: script.Float, Default: 4.0, Max: 1e6, Help: "beyond so many a worker"},
		{Name: "stop_every", Kind: script.Duration, Default: int64(0), Max: 3600e9, Help: "between two pauses that a replica makes by itself, in the mean; 0s for none"},
		{Name: "stop_for", Kind: script.Duration, Default: 180 * milli, Min: 1e6, Max: 60e9, Help: "and how long one is, from half to one and a half times this"},
		{Name: "expires", Kind: script.Bool, Default: false, Help: "what waits at a replica is dropped there once its time is up"},
		{Name: "way", Kind: script.Duration, Default: milli / 2, Min: 1e3, Max: 10e9, Help: "to a replica, and back, at least"},
		{Name: "list_delay", Kind: script.Duration, Default: second, Min: 1, Max: 600e9, Help: "until the list tells of a change, up to twice"},
		{Name: "tick", Kind: script.Duration, Default: 5 * milli, Min: 1e3, Max: 1e9, Help: "between two rounds of an aggregator at least"},
		{Name: "executions", Kind: script.Int, Default: int64(3), Min: 1, Max: 16, Help: "of one part at most"},
		{Name: "cancels", Kind: script.Bool, Default: true, Help: "executions may be given up"},
		{Name: "goes_on", Kind: script.Bool, Default: false, Help: "what is given up is worked on to its end all the same"},
		{Name: "keeps_place", Kind: script.Bool, Default: false, Help: "and so is what was given up while it still waited"},
		{Name: "cold_share", Kind: script.Float, Default: 0.2, Min: 0.001, Max: 1, Help: "of its capacity that a fresh replica has"},
		{Name: "cold_ramp", Kind: script.Duration, Default: 9 * second, Min: 1e6, Max: 600e9, Help: "until it is warm"},
		{Name: "fall_multiple", Kind: script.Float, Default: 4.0, Min: 1, Max: 1000, Help: "of its present capacity pushes a cold one over,"},
		{Name: "fall_span", Kind: script.Duration, Default: second, Min: 1e6, Max: 600e9, Help: "when kept up so long"},
		{Name: "own_query", Kind: script.Duration, Default: int64(0), Max: 1e9, Help: "of an aggregator's own processor for a query; 0s for none,"},
		{Name: "own_reply", Kind: script.Duration, Default: int64(0), Max: 1e9, Help: "for a replica's answer,"},
		{Name: "own_refusal", Kind: script.Duration, Default: int64(0), Max: 1e9, Help: "and for a query that strain turns away"},
		{Name: "budget", Kind: script.Float, Default: 0.0, Max: 10, Help: "further executions for each query; 0 for no budget"},
		{Name: "budget_free", Kind: script.Float, Default: 5.0, Max: 1e6, Help: "and so many beside,"},
		{Name: "budget_span", Kind: script.Duration, Default: 10 * second, Min: 1e6, Max: 600e9, Help: "in any such span"},
	}, Apply: func(e *Experiment, c script.Call) error {
		p := &e.Plan
		p.Aggregators, p.Replicas, p.ReplicasPerShard = int(c.Int("aggregators")), int(c.Int("replicas")), int(c.Int("holders"))
		p.Sites, p.Zones = int(c.Int("sites")), int(c.Int("zones"))
		p.Workers, p.ServiceTime, p.ServiceTimeSigma = int(c.Int("workers")), c.Int("work"), c.Float("spread")
		p.HeavyTailShare, p.SpeedSigma, p.LoadSigma, p.QueueLimit = c.Float("tail"), c.Float("unlike"), c.Float("uneven"), int(c.Int("room"))
		p.CrowdingSlowdown, p.CrowdingThreshold, p.DropExpired = c.Float("crowd"), c.Float("crowd_at"), c.Bool("expires")
		p.PauseInterval, p.PauseTime = c.Int("stop_every"), c.Int("stop_for")
		p.NetworkDelay, p.ListDelay, p.Tick = c.Int("way"), c.Int("list_delay"), c.Int("tick")
		p.MaxExecutions, p.CanCancel = int(c.Int("executions")), c.Bool("cancels")
		p.FinishCancelled, p.KeepCancelledQueued = c.Bool("goes_on"), c.Bool("keeps_place")
		p.ColdCapacity, p.WarmUpTime = c.Float("cold_share"), c.Int("cold_ramp")
		p.OverloadFactor, p.OverloadSpan = c.Float("fall_multiple"), c.Int("fall_span")
		p.RetryRatio, p.RetrySlack, p.RetryWindow = c.Float("budget"), c.Float("budget_free"), c.Int("budget_span")
		p.Budgeted = p.RetryRatio > 0
		p.CPU = emulator.CPUModel{QueryCost: c.Int("own_query"), ReplyCost: c.Int("own_reply"), RejectCost: c.Int("own_refusal")}
		return nil
	}},
	"link": {Name: "link", Help: "is the way between any two sites", Parameters: []*script.Parameter{
		{Name: "way", Kind: script.Duration, Default: 40 * milli, Min: 1e3, Max: 10e9, Help: "each way, at least"},
		{Name: "loss", Kind: script.Float, Default: 0.0, Max: 1, Help: "share of messages that are sent again,"},
		{Name: "stall", Kind: script.Duration, Default: 200 * milli, Max: 10e9, Help: "so much later"},
		{Name: "queries", Kind: script.Float, Default: 50.0, Min: 0.1, Max: 1e6, Help: "a second that one aggregator may carry to one site"},
		{Name: "bytes", Kind: script.Size, Default: int64(1 << 20), Min: 1024, Help: "and bytes"},
	}, Apply: func(e *Experiment, c script.Call) error {
		e.Plan.Link = emulator.Link{Delay: c.Int("way"), Loss: c.Float("loss"), ResendDelay: c.Int("stall"), QueryRate: c.Float("queries"),
			ByteRate: float64(c.Int("bytes"))}
		return nil
	}},
	"queries": {Name: "queries", Repeatable: true, Help: "is one kind of query", Parameters: []*script.Parameter{
		{Name: "name", Kind: script.Text, Default: "query", Help: "of the kind"},
		{Name: "rate", Kind: script.Float, Min: 0.001, Max: 1e6, Help: "queries a second at each aggregator, in the mean"},
		{Name: "parts", Kind: script.Int, Default: int64(3), Min: 1, Max: 1000, Help: "each of another shard"},
		{Name: "goal", Kind: script.Duration, Default: 200 * milli, Min: 1e6, Max: 60e9, Help: "an answer within it earns the revenue"},
		{Name: "patience", Kind: script.Duration, Default: second, Min: 1e6, Max: 60e9, Help: "the client's time"},
		{Name: "effect", Kind: script.Text, Default: "repeatable", Choices: retrySafeties, Help: "of a further execution"},
		{Name: "window", Kind: script.Duration, Default: 10 * second, Max: 600e9, Help: "for which repeats of a tagged one are recognised"},
		{Name: "floor", Kind: script.Float, Default: 1.0, Max: 1, Help: "least share of the weight for an answer"},
		{Name: "revenue", Kind: script.Float, Default: 1.0, Max: 1e6, Help: "of one served within its goal"},
		{Name: "skew", Kind: script.Float, Default: 0.0, Max: 5, Help: "of shards: the exponent of Zipf's law"},
		{Name: "burst", Kind: script.Float, Default: 1.0, Min: 0, Max: 1000, Help: "times the rate,"},
		{Name: "burst_at", Kind: script.Duration, Default: int64(0), Max: 3600e9, Help: "from then on,"},
		{Name: "every", Kind: script.Duration, Default: int64(0), Max: 3600e9, Help: "at the start of each such stretch; 0s for none,"},
		{Name: "burst_for", Kind: script.Duration, Default: int64(0), Max: 3600e9, Help: "for so long"},
		{Name: "wave", Kind: script.Float, Default: 0.0, Max: 1, Help: "of the rate, that it swings by as by day and night,"},
		{Name: "day", Kind: script.Duration, Default: int64(0), Max: 3600e9, Help: "once in so long"},
		{Name: "quota", Kind: script.Float, Default: 0.0, Max: 1e7, Help: "of its customer over all aggregators, kept by the shared store; 0 for none"},
		{Name: "insist", Kind: script.Float, Default: 0.0, Max: 1, Help: "share of those without an answer, or declined without advice, that are asked again soon"},
		{Name: "retry", Kind: script.Float, Default: 0.0, Max: 1, Help: "share of declined ones that are asked again when told to"},
	}, Apply: func(e *Experiment, c script.Call) error {
		l := emulator.Workload{Name: c.Text("name"), Rate: c.Float("rate"), Parts: int(c.Int("parts")), LatencyGoal: c.Int("goal"),
			Timeout: c.Int("patience"), RetrySafety: balance.RetrySafety(slices.Index(retrySafeties, c.Text("effect"))), DedupWindow: c.Int("window"),
			MinCoverage: c.Float("floor"), Revenue: c.Float("revenue"), Skew: c.Float("skew"), BurstFactor: c.Float("burst"),
			BurstStart: c.Int("burst_at"), Quota: c.Float("quota"), WaveAmplitude: c.Float("wave"), WavePeriod: c.Int("day"),
			BurstInterval: c.Int("every"), BurstTime: c.Int("burst_for"), AdvisedRetryShare: c.Float("retry"), ImmediateRetryShare: c.Float("insist")}
		if l.LatencyGoal > l.Timeout {
			return errors.New(`key "goal" is longer than the patience`)
		}
		if l.BurstInterval > 0 && l.BurstTime > l.BurstInterval {
			return errors.New(`key "burst_for" is longer than "every"`)
		}
		e.Plan.Workloads = append(e.Plan.Workloads, l)
		return nil
	}},
	"fault": {Name: "fault", Repeatable: true, Help: "befalls some replicas for a while", Parameters: []*script.Parameter{
		{Name: "kind", Kind: script.Text, Choices: append(slices.Clone(emulator.FaultKinds), emulator.AggregatorFaultKinds...), Help: "what befalls them"},
		{Name: "replicas", Kind: script.IntList, Default: []int{}, Help: "which"},
		{Name: "aggregators", Kind: script.IntList, Default: []int{}, Help: "which, for crash and freeze"},
		{Name: "sites", Kind: script.IntList, Default: []int{}, Help: "which, for cut"},
		{Name: "zones", Kind: script.IntList, Default: []int{}, Help: "which, for rift"},
		{Name: "at", Kind: script.Duration, Max: 3600e9, Help: "when it begins"},
		{Name: "until", Kind: script.Duration, Max: 3600e9, Help: "when it ends"},
		{Name: "only", Kind: script.Int, Default: int64(0), Max: 1000, Help: "unanswered: which queries, by number"},
		{Name: "times", Kind: script.Float, Default: 5.0, Min: 0.01, Max: 1e4, Help: "slow: how much"},
		{Name: "burst_at", Kind: script.Duration, Default: int64(0), Max: 3600e9, Help: "from then on,"},
		{Name: "every", Kind: script.Duration, Default: 4 * second, Min: 1e6, Max: 3600e9, Help: "flap, pause, freeze: the period,"},
		{Name: "bad_for", Kind: script.Duration, Default: 2 * second, Min: 1e5, Max: 3600e9, Help: "and how much of it is bad"},
	}, Apply: func(e *Experiment, c script.Call) error {
		f := emulator.Fault{Kind: c.Text("kind"), Replicas: c.IntList("replicas"), Aggregators: c.IntList("aggregators"),
			Workload: int(c.Int("only")), Sites: c.IntList("sites"), Zones: c.IntList("zones"), From: c.Int("at"), Until: c.Int("until"),
			Slowdown: c.Float("times"), Period: c.Int("every"), ActiveTime: c.Int("bad_for")}
		if f.Until <= f.From {
			return errors.New(`key "until" is not after "at"`)
		}
		if len(f.Replicas)+len(f.Aggregators)+len(f.Sites)+len(f.Zones) == 0 && f.Kind != "list" {
			return errors.New(`keys "replicas", "aggregators", "sites" and "zones" name nobody`)
		}
		e.Plan.Faults = append(e.Plan.Faults, f)
		return nil
	}},
	"variant": {Name: "variant", Repeatable: true, Help: "is one way to play it; the first is what the others are held against",
		Parameters: []*script.Parameter{
			{Name: "name", Kind: script.Text, Help: "of the variant"},
			{Name: "policy", Kind: script.Text, Default: "module", Choices: policies, Help: "who decides"},
			{Name: "executions", Kind: script.Int, Default: int64(0), Max: 16, Help: "of one part at most; 0 for the fleet's"},
			{Name: "store", Kind: script.Text, Default: "none", Choices: emulator.StoreModes, Help: "how the shared store behaves"},
			{Name: "route", Kind: script.Text, Default: "none", Choices: append([]string{"none"}, siterouting.PolicyNames...), Help: "by what queries are carried to other sites"},
			{Name: "strain", Kind: script.Text, Default: "none", Choices: emulator.OverloadLimits, Help: "the limit by which aggregators know their own strain"},
			{Name: "watch_zones", Kind: script.Bool, Default: false, Help: "aggregators know zones out of reach by few failures"},
			{Name: "calm", Kind: script.Bool, Default: false, Help: "no fault befalls anybody"},
			{Name: "list_delay", Kind: script.Duration, Default: int64(0), Max: 600e9, Help: "0s for the fleet's"},
			{Name: "constants", Kind: script.FloatMap, Default: map[string]float64(nil), Min: -1e15, Max: 1e15,
				Help: "of deciders that are other: {\"balance.warmUpSafety\": 0.7}; times in ns"},
		}, Apply: func(e *Experiment, c script.Call) error {
			other := c.FloatMap("constants")
			v := Variant{Name: c.Text("name"), Constants: other, RunsOnSockets: c.Text("policy") == "module" && c.Text("store") == "none" &&
				c.Text("route") == "none" && c.Text("strain") == "none" && !c.Bool("watch_zones") && other == nil, apply: func(p *emulator.Plan) {
				p.Policy, p.StoreMode, p.RoutingPolicy = c.Text("policy"), c.Text("store"), c.Text("route")
				p.CPU.OverloadLimit, p.ZoneHealthEnabled = c.Text("strain"), c.Bool("watch_zones")
				if n := int(c.Int("executions")); n > 0 {
					p.MaxExecutions = n
				}
				if d := c.Int("list_delay"); d > 0 {
					p.ListDelay = d
				}
				if c.Bool("calm") {
					p.Faults = nil
				}
				if p.Policy != "module" {
					p.Budgeted = false // rivals know none
				}
			}}
			if slices.ContainsFunc(e.Variants, func(was Variant) bool { return was.Name == v.Name }) {
				return fmt.Errorf("key %q: there is a variant %q already", "name", v.Name)
			}
			e.Variants = append(e.Variants, v)
			return nil
		}},
}

// Read reads an experiment. The error is script.Faults, or says why there is no script to read.
func Read(file string) (*Experiment, error) {
	e := &Experiment{}
	_, err := script.Read(file, functions, e, func(said script.Calls, complain script.ReportFault) {
		for _, name := range []string{"experiment", "fleet", "queries", "variant"} {
			if _, called := said.First(name); !called {
				complain(said[0].Position, "%s is missing", name)
				return
			}
		}
		at, _ := said.First("fleet")
		if err := e.Plan.Validate(); err != nil {
			complain(at, "%v", err)
		}
	})
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	e.Hash = fmt.Sprintf("%016x", xxhash.Sum64(text))
	return e, nil
}

// DescribeFunctions tells what a script may call.
func DescribeFunctions() (text string) {
	for _, name := range functions.Names() {
		one, _ := functions.Describe(name)
		text += one + "\n"
	}
	return text
}
