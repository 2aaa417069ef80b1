// Package experiment reads experiments, runs their variants in the emulator with the same seeds, and tests whether the variants differ.
// An experiment is a Starlark script, read and checked in the same way as the operator's script.
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

// Experiment is the content of a script: a question, a plan, and the variants to compare.
type Experiment struct {
	Name     string
	Question string
	Seeds    int           // number of runs of each variant, with the seeds 1 to Seeds
	Plan     emulator.Plan // plan of all variants, each of which may change parts of it
	Variants []Variant
	Hash     string // hash of the script's text, in hexadecimal
}

// Variant is one of the configurations that an experiment compares.
type Variant struct {
	Name          string
	RunsOnSockets bool // it uses the decision module without extensions, so it can also run with real processes on sockets
	apply         func(*emulator.Plan)

	// Constants are changed constants of the deciders, nil for none. The program that runs the variant must be built with them.
	Constants constoverride.Constants
}

// PlanFor returns the plan of a variant with a seed.
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
	"experiment": {Name: "experiment", Help: "names the experiment, and sets the length of its runs", Parameters: []*script.Parameter{
		{Name: "name", Kind: script.Text, Help: "of the experiment and of the files with its results"},
		{Name: "question", Kind: script.Text, Help: "that the experiment answers"},
		{Name: "span", Kind: script.Duration, Default: 40 * second, Min: 1e9, Max: 3600e9, Help: "how long clients send queries"},
		{Name: "count_from", Kind: script.Duration, Default: 10 * second, Max: 3600e9, Help: "queries asked before are not counted"},
		{Name: "count_until", Kind: script.Duration, Default: 38 * second, Min: 1e9, Max: 3600e9, Help: "queries asked later are not counted"},
		{Name: "seeds", Kind: script.Int, Default: int64(10), Min: 1, Max: 1000, Help: "runs of each variant"},
	}, Apply: func(e *Experiment, c script.Call) error {
		e.Name, e.Question, e.Seeds = c.Text("name"), c.Text("question"), int(c.Int("seeds"))
		e.Plan.Duration, e.Plan.MeasureFrom, e.Plan.MeasureUntil = c.Int("span"), c.Int("count_from"), c.Int("count_until")
		return nil
	}},
	"fleet": {Name: "fleet", Help: "describes the fleet and its network", Parameters: []*script.Parameter{
		{Name: "aggregators", Kind: script.Int, Default: int64(10), Min: 1, Max: 5000, Help: "number of aggregators"},
		{Name: "replicas", Kind: script.Int, Default: int64(40), Min: 1, Max: 20000, Help: "number of replicas"},
		{Name: "holders", Kind: script.Int, Default: int64(4), Min: 1, Max: 1000, Help: "replicas that hold each shard"},
		{Name: "sites", Kind: script.Int, Default: int64(1), Min: 1, Max: 32, Help: "number of sites; replicas are assigned in blocks, aggregators round-robin"},
		{Name: "zones", Kind: script.Int, Default: int64(1), Min: 1, Max: 64, Help: "number of zones, assigned like sites"},
		{Name: "workers", Kind: script.Int, Default: int64(2), Min: 1, Max: 1000, Help: "parts that a replica processes concurrently"},
		{Name: "work", Kind: script.Duration, Default: 20 * milli, Min: 1e3, Max: 60e9, Help: "median time to process a part"},
		{Name: "spread", Kind: script.Float, Default: 0.4, Max: 3, Help: "standard deviation of the logarithm of that time"},
		{Name: "tail", Kind: script.Float, Default: 0.0, Max: 1, Help: "share of parts whose time has a heavy tail (Pareto with shape 1.5)"},
		{Name: "unlike", Kind: script.Float, Default: 0.0, Max: 3, Help: "standard deviation of the logarithm of the replicas' speed"},
		{Name: "uneven", Kind: script.Float, Default: 0.0, Max: 3, Help: "standard deviation of the logarithm of the aggregators' load"},
		{Name: "room", Kind: script.Int, Default: int64(0), Max: 1e6, Help: "parts that may queue at a replica; 0 for no limit"},
		{Name: "crowd", Kind: script.Float, Default: 0.0, Max: 100, Help: "slowdown of a replica per queued or running part per worker, as a share of the service time"},
		{Name: "crowd_at", Kind: script.Float, Default: 4.0, Max: 1e6, Help: "parts per worker up to which there is no such slowdown"},
		{Name: "stop_every", Kind: script.Duration, Default: int64(0), Max: 3600e9, Help: "mean time between spontaneous pauses of a replica; 0s for none"},
		{Name: "stop_for", Kind: script.Duration, Default: 180 * milli, Min: 1e6, Max: 60e9, Help: "mean length of such a pause; each is between 0.5 and 1.5 times this"},
		{Name: "expires", Kind: script.Bool, Default: false, Help: "replicas drop queued parts whose deadline has passed"},
		{Name: "way", Kind: script.Duration, Default: milli / 2, Min: 1e3, Max: 10e9, Help: "least network delay to a replica and back, each"},
		{Name: "list_delay", Kind: script.Duration, Default: second, Min: 1, Max: 600e9, Help: "least time until a change is listed; at most twice this"},
		{Name: "tick", Kind: script.Duration, Default: 5 * milli, Min: 1e3, Max: 1e9, Help: "least time between two decision rounds of an aggregator"},
		{Name: "executions", Kind: script.Int, Default: int64(3), Min: 1, Max: 16, Help: "most executions of one part"},
		{Name: "cancels", Kind: script.Bool, Default: true, Help: "executions can be cancelled"},
		{Name: "goes_on", Kind: script.Bool, Default: false, Help: "replicas finish cancelled executions that are running"},
		{Name: "keeps_place", Kind: script.Bool, Default: false, Help: "replicas also execute parts that were cancelled while queued"},
		{Name: "cold_share", Kind: script.Float, Default: 0.2, Min: 0.001, Max: 1, Help: "share of its capacity that a replica has right after its start"},
		{Name: "cold_ramp", Kind: script.Duration, Default: 9 * second, Min: 1e6, Max: 600e9, Help: "time from the start of a replica to its full capacity"},
		{Name: "fall_multiple", Kind: script.Float, Default: 4.0, Min: 1, Max: 1000, Help: "multiple of its present capacity at which a cold replica crashes"},
		{Name: "fall_span", Kind: script.Duration, Default: second, Min: 1e6, Max: 600e9, Help: "interval in which that load is counted"},
		{Name: "own_query", Kind: script.Duration, Default: int64(0), Max: 1e9, Help: "processor time of an aggregator for a query; 0s for a processor that is never busy"},
		{Name: "own_reply", Kind: script.Duration, Default: int64(0), Max: 1e9, Help: "processor time of an aggregator for a replica's reply"},
		{Name: "own_refusal", Kind: script.Duration, Default: int64(0), Max: 1e9, Help: "processor time of an aggregator for a query rejected by overload"},
		{Name: "budget", Kind: script.Float, Default: 0.0, Max: 10, Help: "retries allowed for each query and part; 0 for no budget"},
		{Name: "budget_free", Kind: script.Float, Default: 5.0, Max: 1e6, Help: "retries allowed in addition"},
		{Name: "budget_span", Kind: script.Duration, Default: 10 * second, Min: 1e6, Max: 600e9, Help: "interval that the retry budget covers"},
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
	"link": {Name: "link", Help: "describes the network between any two sites", Parameters: []*script.Parameter{
		{Name: "way", Kind: script.Duration, Default: 40 * milli, Min: 1e3, Max: 10e9, Help: "least delay in each direction"},
		{Name: "loss", Kind: script.Float, Default: 0.0, Max: 1, Help: "share of messages that are lost once and resent"},
		{Name: "stall", Kind: script.Duration, Default: 200 * milli, Max: 10e9, Help: "extra delay of a message that is resent"},
		{Name: "queries", Kind: script.Float, Default: 50.0, Min: 0.1, Max: 1e6, Help: "queries per second that one aggregator may forward to one site"},
		{Name: "bytes", Kind: script.Size, Default: int64(1 << 20), Min: 1024, Help: "bytes per second that one aggregator may send to one site"},
	}, Apply: func(e *Experiment, c script.Call) error {
		e.Plan.Link = emulator.Link{Delay: c.Int("way"), Loss: c.Float("loss"), ResendDelay: c.Int("stall"), QueryRate: c.Float("queries"),
			ByteRate: float64(c.Int("bytes"))}
		return nil
	}},
	"queries": {Name: "queries", Repeatable: true, Help: "describes one kind of query", Parameters: []*script.Parameter{
		{Name: "name", Kind: script.Text, Default: "query", Help: "of the kind of query"},
		{Name: "rate", Kind: script.Float, Min: 0.001, Max: 1e6, Help: "mean queries per second at each aggregator"},
		{Name: "parts", Kind: script.Int, Default: int64(3), Min: 1, Max: 1000, Help: "parts per query, each of a different shard"},
		{Name: "goal", Kind: script.Duration, Default: 200 * milli, Min: 1e6, Max: 60e9, Help: "a complete answer within this time earns the revenue"},
		{Name: "patience", Kind: script.Duration, Default: second, Min: 1e6, Max: 60e9, Help: "after which the client stops waiting"},
		{Name: "effect", Kind: script.Text, Default: "repeatable", Choices: retrySafeties, Help: "whether a part may run again"},
		{Name: "window", Kind: script.Duration, Default: 10 * second, Max: 600e9, Help: "how long repeats of a tagged part are recognised"},
		{Name: "floor", Kind: script.Float, Default: 1.0, Max: 1, Help: "least share of the weight for a partial answer"},
		{Name: "revenue", Kind: script.Float, Default: 1.0, Max: 1e6, Help: "of a query answered within its goal"},
		{Name: "skew", Kind: script.Float, Default: 0.0, Max: 5, Help: "exponent of the Zipf distribution of shards"},
		{Name: "burst", Kind: script.Float, Default: 1.0, Min: 0, Max: 1000, Help: "factor on the rate during a burst"},
		{Name: "burst_at", Kind: script.Duration, Default: int64(0), Max: 3600e9, Help: "start of the first burst"},
		{Name: "every", Kind: script.Duration, Default: int64(0), Max: 3600e9, Help: "time from the start of a burst to the next; 0s for no bursts"},
		{Name: "burst_for", Kind: script.Duration, Default: int64(0), Max: 3600e9, Help: "length of a burst"},
		{Name: "wave", Kind: script.Float, Default: 0.0, Max: 1, Help: "relative amplitude of a wave on the rate, as of day and night"},
		{Name: "day", Kind: script.Duration, Default: int64(0), Max: 3600e9, Help: "period of that wave"},
		{Name: "quota", Kind: script.Float, Default: 0.0, Max: 1e7, Help: "queries per second of its customer over all aggregators, enforced through the shared store; 0 for none"},
		{Name: "insist", Kind: script.Float, Default: 0.0, Max: 1, Help: "share of queries without an answer, or declined without a retry time, that clients soon repeat"},
		{Name: "retry", Kind: script.Float, Default: 0.0, Max: 1, Help: "share of queries declined with a retry time that clients repeat at that time"},
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
	"fault": {Name: "fault", Repeatable: true, Help: "is a failure of replicas, aggregators, zones or sites for a limited time", Parameters: []*script.Parameter{
		{Name: "kind", Kind: script.Text, Choices: append(slices.Clone(emulator.FaultKinds), emulator.AggregatorFaultKinds...), Help: "of fault"},
		{Name: "replicas", Kind: script.IntList, Default: []int{}, Help: "which"},
		{Name: "aggregators", Kind: script.IntList, Default: []int{}, Help: "that are affected, for crash and freeze"},
		{Name: "sites", Kind: script.IntList, Default: []int{}, Help: "that are affected, for cut"},
		{Name: "zones", Kind: script.IntList, Default: []int{}, Help: "that are affected, for rift"},
		{Name: "at", Kind: script.Duration, Max: 3600e9, Help: "start of the fault"},
		{Name: "until", Kind: script.Duration, Max: 3600e9, Help: "end of the fault"},
		{Name: "only", Kind: script.Int, Default: int64(0), Max: 1000, Help: "for unanswered: the kind of query, by its position in the script from 0"},
		{Name: "times", Kind: script.Float, Default: 5.0, Min: 0.01, Max: 1e4, Help: "for slow: factor on the service time"},
		{Name: "burst_at", Kind: script.Duration, Default: int64(0), Max: 3600e9, Help: "not used by faults"},
		{Name: "every", Kind: script.Duration, Default: 4 * second, Min: 1e6, Max: 3600e9, Help: "for flap, pause and freeze: length of a period"},
		{Name: "bad_for", Kind: script.Duration, Default: 2 * second, Min: 1e5, Max: 3600e9, Help: "for flap, pause and freeze: bad time at the start of each period"},
	}, Apply: func(e *Experiment, c script.Call) error {
		f := emulator.Fault{Kind: c.Text("kind"), Replicas: c.IntList("replicas"), Aggregators: c.IntList("aggregators"),
			Workload: int(c.Int("only")), Sites: c.IntList("sites"), Zones: c.IntList("zones"), From: c.Int("at"), Until: c.Int("until"),
			Slowdown: c.Float("times"), Period: c.Int("every"), ActiveTime: c.Int("bad_for")}
		if f.Until <= f.From {
			return errors.New(`key "until" is not after "at"`)
		}
		if len(f.Replicas)+len(f.Aggregators)+len(f.Sites)+len(f.Zones) == 0 && f.Kind != "list" {
			return errors.New(`keys "replicas", "aggregators", "sites" and "zones" are all empty`)
		}
		e.Plan.Faults = append(e.Plan.Faults, f)
		return nil
	}},
	"variant": {Name: "variant", Repeatable: true, Help: "is one of the configurations compared; the others are compared with the first",
		Parameters: []*script.Parameter{
			{Name: "name", Kind: script.Text, Help: "of the variant"},
			{Name: "policy", Kind: script.Text, Default: "module", Choices: policies, Help: "that makes the decisions"},
			{Name: "executions", Kind: script.Int, Default: int64(0), Max: 16, Help: "most executions of one part; 0 for the fleet's"},
			{Name: "store", Kind: script.Text, Default: "none", Choices: emulator.StoreModes, Help: "behaviour of the shared store"},
			{Name: "route", Kind: script.Text, Default: "none", Choices: append([]string{"none"}, siterouting.PolicyNames...), Help: "policy of forwarding queries to other sites"},
			{Name: "strain", Kind: script.Text, Default: "none", Choices: emulator.OverloadLimits, Help: "limit by which aggregators detect their own overload"},
			{Name: "watch_zones", Kind: script.Bool, Default: false, Help: "aggregators detect unreachable zones"},
			{Name: "calm", Kind: script.Bool, Default: false, Help: "run without faults"},
			{Name: "list_delay", Kind: script.Duration, Default: int64(0), Max: 600e9, Help: "list delay of this variant; 0s for the fleet's"},
			{Name: "constants", Kind: script.FloatMap, Default: map[string]float64(nil), Min: -1e15, Max: 1e15,
				Help: "changed constants of deciders: {\"balance.warmUpSafety\": 0.7}; times in ns"},
		}, Apply: func(e *Experiment, c script.Call) error {
			constants := c.FloatMap("constants")
			v := Variant{Name: c.Text("name"), Constants: constants, RunsOnSockets: c.Text("policy") == "module" && c.Text("store") == "none" &&
				c.Text("route") == "none" && c.Text("strain") == "none" && !c.Bool("watch_zones") && constants == nil, apply: func(p *emulator.Plan) {
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
					p.Budgeted = false // baselines have no retry budget
				}
			}}
			if slices.ContainsFunc(e.Variants, func(existing Variant) bool { return existing.Name == v.Name }) {
				return fmt.Errorf("key %q: there is a variant %q already", "name", v.Name)
			}
			e.Variants = append(e.Variants, v)
			return nil
		}},
}

// Read reads an experiment. The error is script.Faults for a script with mistakes, or says why the file can't be read.
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

// DescribeFunctions returns a description of the functions that a script may call.
func DescribeFunctions() (text string) {
	for _, name := range functions.Names() {
		one, _ := functions.Describe(name)
		text += one + "\n"
	}
	return text
}
