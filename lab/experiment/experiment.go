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
	"willowsill/lab/emulator/rivals"
	"willowsill/lab/experiment/recast"
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
	Name   string
	True   bool // the decision module decides, and so it can be played on sockets
	change func(*emulator.Plan)

	// Constants of the deciders are other than they stand in the text; nil for none. What plays it must be built with them.
	Constants recast.Constants
}

// Of is a variant's plan with a seed.
func (e *Experiment) Of(v Variant, seed int) emulator.Plan {
	p := e.Plan
	v.change(&p)
	p.Seed = uint64(seed)
	return p
}

const (
	milli  = int64(1e6)
	second = int64(1e9)
)

var policies = append([]string{"module"}, rivals.Names...)

var effects = []string{"repeatable", "tagged", "once_only"}

var functions = script.Table[Experiment]{
	"experiment": {Name: "experiment", Help: "says what is asked, and how long", Parameters: []*script.Parameter{
		{Name: "name", Kind: script.Text, Help: "of its results"},
		{Name: "question", Kind: script.Text, Help: "that it answers"},
		{Name: "span", Kind: script.Span, Unset: 40 * second, Least: 1e9, Most: 3600e9, Help: "that clients ask"},
		{Name: "count_from", Kind: script.Span, Unset: 10 * second, Most: 3600e9, Help: "what is asked before does not count"},
		{Name: "count_until", Kind: script.Span, Unset: 38 * second, Least: 1e9, Most: 3600e9, Help: "nor what is asked later"},
		{Name: "seeds", Kind: script.Whole, Unset: int64(10), Least: 1, Most: 1000, Help: "runs of each variant"},
	}, Order: func(e *Experiment, c script.Call) error {
		e.Name, e.Question, e.Seeds = c.Text("name"), c.Text("question"), int(c.Whole("seeds"))
		e.Plan.Span, e.Plan.From, e.Plan.Until = c.Whole("span"), c.Whole("count_from"), c.Whole("count_until")
		return nil
	}},
	"fleet": {Name: "fleet", Help: "is the fleet and its network", Parameters: []*script.Parameter{
		{Name: "aggregators", Kind: script.Whole, Unset: int64(10), Least: 1, Most: 5000, Help: "how many"},
		{Name: "replicas", Kind: script.Whole, Unset: int64(40), Least: 1, Most: 20000, Help: "how many"},
		{Name: "holders", Kind: script.Whole, Unset: int64(4), Least: 1, Most: 1000, Help: "replicas of each shard"},
		{Name: "sites", Kind: script.Whole, Unset: int64(1), Least: 1, Most: 32, Help: "that all of it is dealt over"},
		{Name: "zones", Kind: script.Whole, Unset: int64(1), Least: 1, Most: 64, Help: "that replicas are dealt over in blocks, and aggregators by turns"},
		{Name: "workers", Kind: script.Whole, Unset: int64(2), Least: 1, Most: 1000, Help: "parts that a replica works on at a time"},
		{Name: "work", Kind: script.Span, Unset: 20 * milli, Least: 1e3, Most: 60e9, Help: "that a part takes, the median"},
		{Name: "spread", Kind: script.Number, Unset: 0.4, Most: 3, Help: "of that: the standard deviation of its logarithm"},
		{Name: "tail", Kind: script.Number, Unset: 0.0, Most: 1, Help: "share of parts with a heavy tail (Pareto, 1.5)"},
		{Name: "unlike", Kind: script.Number, Unset: 0.0, Most: 3, Help: "of replicas' speeds, as spread"},
		{Name: "uneven", Kind: script.Number, Unset: 0.0, Most: 3, Help: "of aggregators' shares of the load, as spread"},
		{Name: "room", Kind: script.Whole, Unset: int64(0), Most: 1e6, Help: "parts that may wait at a replica; 0 for any number"},
		{Name: "crowd", Kind: script.Number, Unset: 0.0, Most: 100, Help: "of its speed that a replica loses for each part a worker that it holds"},
		{Name: "crowd_at", Kind: script.Number, Unset: 4.0, Most: 1e6, Help: "beyond so many a worker"},
		{Name: "stop_every", Kind: script.Span, Unset: int64(0), Most: 3600e9, Help: "between two pauses that a replica makes by itself, in the mean; 0s for none"},
		{Name: "stop_for", Kind: script.Span, Unset: 180 * milli, Least: 1e6, Most: 60e9, Help: "and how long one is, from half to one and a half times this"},
		{Name: "expires", Kind: script.Truth, Unset: false, Help: "what waits at a replica is dropped there once its time is up"},
		{Name: "way", Kind: script.Span, Unset: milli / 2, Least: 1e3, Most: 10e9, Help: "to a replica, and back, at least"},
		{Name: "list_delay", Kind: script.Span, Unset: second, Least: 1, Most: 600e9, Help: "until the list tells of a change, up to twice"},
		{Name: "tick", Kind: script.Span, Unset: 5 * milli, Least: 1e3, Most: 1e9, Help: "between two rounds of an aggregator at least"},
		{Name: "executions", Kind: script.Whole, Unset: int64(3), Least: 1, Most: 16, Help: "of one part at most"},
		{Name: "cancels", Kind: script.Truth, Unset: true, Help: "executions may be given up"},
		{Name: "goes_on", Kind: script.Truth, Unset: false, Help: "what is given up is worked on to its end all the same"},
		{Name: "keeps_place", Kind: script.Truth, Unset: false, Help: "and so is what was given up while it still waited"},
		{Name: "cold_share", Kind: script.Number, Unset: 0.2, Least: 0.001, Most: 1, Help: "of its capacity that a fresh replica has"},
		{Name: "cold_ramp", Kind: script.Span, Unset: 9 * second, Least: 1e6, Most: 600e9, Help: "until it is warm"},
		{Name: "fall_multiple", Kind: script.Number, Unset: 4.0, Least: 1, Most: 1000, Help: "of its present capacity pushes a cold one over,"},
		{Name: "fall_span", Kind: script.Span, Unset: second, Least: 1e6, Most: 600e9, Help: "when kept up so long"},
		{Name: "own_query", Kind: script.Span, Unset: int64(0), Most: 1e9, Help: "of an aggregator's own processor for a query; 0s for none,"},
		{Name: "own_reply", Kind: script.Span, Unset: int64(0), Most: 1e9, Help: "for a replica's answer,"},
		{Name: "own_refusal", Kind: script.Span, Unset: int64(0), Most: 1e9, Help: "and for a query that strain turns away"},
		{Name: "budget", Kind: script.Number, Unset: 0.0, Most: 10, Help: "further executions for each query; 0 for no budget"},
		{Name: "budget_free", Kind: script.Number, Unset: 5.0, Most: 1e6, Help: "and so many beside,"},
		{Name: "budget_span", Kind: script.Span, Unset: 10 * second, Least: 1e6, Most: 600e9, Help: "in any such span"},
	}, Order: func(e *Experiment, c script.Call) error {
		p := &e.Plan
		p.Aggregators, p.Replicas, p.Holders = int(c.Whole("aggregators")), int(c.Whole("replicas")), int(c.Whole("holders"))
		p.Sites, p.Zones = int(c.Whole("sites")), int(c.Whole("zones"))
		p.Workers, p.Work, p.Spread = int(c.Whole("workers")), c.Whole("work"), c.Number("spread")
		p.Tail, p.Unlike, p.Uneven, p.Room = c.Number("tail"), c.Number("unlike"), c.Number("uneven"), int(c.Whole("room"))
		p.Crowd, p.CrowdAt, p.Expires = c.Number("crowd"), c.Number("crowd_at"), c.Truth("expires")
		p.StopEvery, p.StopFor = c.Whole("stop_every"), c.Whole("stop_for")
		p.Way, p.ListDelay, p.Tick = c.Whole("way"), c.Whole("list_delay"), c.Whole("tick")
		p.Executions, p.Cancels = int(c.Whole("executions")), c.Truth("cancels")
		p.GoesOn, p.KeepsPlace = c.Truth("goes_on"), c.Truth("keeps_place")
		p.ColdShare, p.ColdRamp = c.Number("cold_share"), c.Whole("cold_ramp")
		p.FallMultiple, p.FallSpan = c.Number("fall_multiple"), c.Whole("fall_span")
		p.Share, p.Free, p.BudgetSpan = c.Number("budget"), c.Number("budget_free"), c.Whole("budget_span")
		p.Budgeted = p.Share > 0
		p.Own = emulator.Own{Query: c.Whole("own_query"), Reply: c.Whole("own_reply"), Refusal: c.Whole("own_refusal")}
		return nil
	}},
	"link": {Name: "link", Help: "is the way between any two sites", Parameters: []*script.Parameter{
		{Name: "way", Kind: script.Span, Unset: 40 * milli, Least: 1e3, Most: 10e9, Help: "each way, at least"},
		{Name: "loss", Kind: script.Number, Unset: 0.0, Most: 1, Help: "share of messages that are sent again,"},
		{Name: "stall", Kind: script.Span, Unset: 200 * milli, Most: 10e9, Help: "so much later"},
		{Name: "queries", Kind: script.Number, Unset: 50.0, Least: 0.1, Most: 1e6, Help: "a second that one aggregator may carry to one site"},
		{Name: "bytes", Kind: script.Size, Unset: int64(1 << 20), Least: 1024, Help: "and bytes"},
	}, Order: func(e *Experiment, c script.Call) error {
		e.Plan.Link = emulator.Link{Way: c.Whole("way"), Loss: c.Number("loss"), Stall: c.Whole("stall"), Queries: c.Number("queries"),
			Bytes: float64(c.Whole("bytes"))}
		return nil
	}},
	"queries": {Name: "queries", Many: true, Help: "is one kind of query", Parameters: []*script.Parameter{
		{Name: "name", Kind: script.Text, Unset: "query", Help: "of the kind"},
		{Name: "rate", Kind: script.Number, Least: 0.001, Most: 1e6, Help: "queries a second at each aggregator, in the mean"},
		{Name: "parts", Kind: script.Whole, Unset: int64(3), Least: 1, Most: 1000, Help: "each of another shard"},
		{Name: "goal", Kind: script.Span, Unset: 200 * milli, Least: 1e6, Most: 60e9, Help: "an answer within it earns the revenue"},
		{Name: "patience", Kind: script.Span, Unset: second, Least: 1e6, Most: 60e9, Help: "the client's time"},
		{Name: "effect", Kind: script.Text, Unset: "repeatable", Words: effects, Help: "of a further execution"},
		{Name: "window", Kind: script.Span, Unset: 10 * second, Most: 600e9, Help: "for which repeats of a tagged one are recognised"},
		{Name: "floor", Kind: script.Number, Unset: 1.0, Most: 1, Help: "least share of the weight for an answer"},
		{Name: "revenue", Kind: script.Number, Unset: 1.0, Most: 1e6, Help: "of one served within its goal"},
		{Name: "skew", Kind: script.Number, Unset: 0.0, Most: 5, Help: "of shards: the exponent of Zipf's law"},
		{Name: "burst", Kind: script.Number, Unset: 1.0, Least: 0, Most: 1000, Help: "times the rate,"},
		{Name: "burst_at", Kind: script.Span, Unset: int64(0), Most: 3600e9, Help: "from then on,"},
		{Name: "every", Kind: script.Span, Unset: int64(0), Most: 3600e9, Help: "at the start of each such stretch; 0s for none,"},
		{Name: "burst_for", Kind: script.Span, Unset: int64(0), Most: 3600e9, Help: "for so long"},
		{Name: "wave", Kind: script.Number, Unset: 0.0, Most: 1, Help: "of the rate, that it swings by as by day and night,"},
		{Name: "day", Kind: script.Span, Unset: int64(0), Most: 3600e9, Help: "once in so long"},
		{Name: "quota", Kind: script.Number, Unset: 0.0, Most: 1e7, Help: "of its customer over all aggregators, kept by the shared store; 0 for none"},
		{Name: "insist", Kind: script.Number, Unset: 0.0, Most: 1, Help: "share of those without an answer, or declined without advice, that are asked again soon"},
		{Name: "retry", Kind: script.Number, Unset: 0.0, Most: 1, Help: "share of declined ones that are asked again when told to"},
	}, Order: func(e *Experiment, c script.Call) error {
		l := emulator.Load{Name: c.Text("name"), Rate: c.Number("rate"), Parts: int(c.Whole("parts")), Goal: c.Whole("goal"),
			Patience: c.Whole("patience"), Effect: balance.RetrySafety(slices.Index(effects, c.Text("effect"))), Window: c.Whole("window"),
			Floor: c.Number("floor"), Revenue: c.Number("revenue"), Skew: c.Number("skew"), Burst: c.Number("burst"),
			At: c.Whole("burst_at"), Quota: c.Number("quota"), Wave: c.Number("wave"), Day: c.Whole("day"),
			Every: c.Whole("every"), For: c.Whole("burst_for"), Retry: c.Number("retry"), Insist: c.Number("insist")}
		if l.Goal > l.Patience {
			return errors.New(`key "goal" is longer than the patience`)
		}
		if l.Every > 0 && l.For > l.Every {
			return errors.New(`key "burst_for" is longer than "every"`)
		}
		e.Plan.Loads = append(e.Plan.Loads, l)
		return nil
	}},
	"fault": {Name: "fault", Many: true, Help: "befalls some replicas for a while", Parameters: []*script.Parameter{
		{Name: "kind", Kind: script.Text, Words: append(slices.Clone(emulator.Kinds), emulator.OwnKinds...), Help: "what befalls them"},
		{Name: "replicas", Kind: script.Wholes, Unset: []int{}, Help: "which"},
		{Name: "aggregators", Kind: script.Wholes, Unset: []int{}, Help: "which, for crash and freeze"},
		{Name: "sites", Kind: script.Wholes, Unset: []int{}, Help: "which, for cut"},
		{Name: "zones", Kind: script.Wholes, Unset: []int{}, Help: "which, for rift"},
		{Name: "at", Kind: script.Span, Most: 3600e9, Help: "when it begins"},
		{Name: "until", Kind: script.Span, Most: 3600e9, Help: "when it ends"},
		{Name: "only", Kind: script.Whole, Unset: int64(0), Most: 1000, Help: "unanswered: which queries, by number"},
		{Name: "times", Kind: script.Number, Unset: 5.0, Least: 0.01, Most: 1e4, Help: "slow: how much"},
		{Name: "burst_at", Kind: script.Span, Unset: int64(0), Most: 3600e9, Help: "from then on,"},
		{Name: "every", Kind: script.Span, Unset: 4 * second, Least: 1e6, Most: 3600e9, Help: "flap, pause, freeze: the period,"},
		{Name: "bad_for", Kind: script.Span, Unset: 2 * second, Least: 1e5, Most: 3600e9, Help: "and how much of it is bad"},
	}, Order: func(e *Experiment, c script.Call) error {
		f := emulator.Fault{Kind: c.Text("kind"), Replicas: c.Wholes("replicas"), Aggregators: c.Wholes("aggregators"),
			Load: int(c.Whole("only")), Sites: c.Wholes("sites"), Zones: c.Wholes("zones"), From: c.Whole("at"), Until: c.Whole("until"),
			Times: c.Number("times"), Every: c.Whole("every"), For: c.Whole("bad_for")}
		if f.Until <= f.From {
			return errors.New(`key "until" is not after "at"`)
		}
		if len(f.Replicas)+len(f.Aggregators)+len(f.Sites)+len(f.Zones) == 0 && f.Kind != "list" {
			return errors.New(`keys "replicas", "aggregators", "sites" and "zones" name nobody`)
		}
		e.Plan.Faults = append(e.Plan.Faults, f)
		return nil
	}},
	"variant": {Name: "variant", Many: true, Help: "is one way to play it; the first is what the others are held against",
		Parameters: []*script.Parameter{
			{Name: "name", Kind: script.Text, Help: "of the variant"},
			{Name: "policy", Kind: script.Text, Unset: "module", Words: policies, Help: "who decides"},
			{Name: "executions", Kind: script.Whole, Unset: int64(0), Most: 16, Help: "of one part at most; 0 for the fleet's"},
			{Name: "store", Kind: script.Text, Unset: "none", Words: emulator.Stores, Help: "how the shared store behaves"},
			{Name: "route", Kind: script.Text, Unset: "none", Words: append([]string{"none"}, siterouting.PolicyNames...), Help: "by what queries are carried to other sites"},
			{Name: "strain", Kind: script.Text, Unset: "none", Words: emulator.Strains, Help: "the limit by which aggregators know their own strain"},
			{Name: "watch_zones", Kind: script.Truth, Unset: false, Help: "aggregators know zones out of reach by few failures"},
			{Name: "calm", Kind: script.Truth, Unset: false, Help: "no fault befalls anybody"},
			{Name: "list_delay", Kind: script.Span, Unset: int64(0), Most: 600e9, Help: "0s for the fleet's"},
			{Name: "constants", Kind: script.Shares, Unset: map[string]float64(nil), Least: -1e15, Most: 1e15,
				Help: "of deciders that are other: {\"balance.warmUpSafety\": 0.7}; times in ns"},
		}, Order: func(e *Experiment, c script.Call) error {
			other := c.Shares("constants")
			v := Variant{Name: c.Text("name"), Constants: other, True: c.Text("policy") == "module" && c.Text("store") == "none" &&
				c.Text("route") == "none" && c.Text("strain") == "none" && !c.Truth("watch_zones") && other == nil, change: func(p *emulator.Plan) {
				p.Policy, p.Store, p.Route = c.Text("policy"), c.Text("store"), c.Text("route")
				p.Own.Strain, p.Watch = c.Text("strain"), c.Truth("watch_zones")
				if n := int(c.Whole("executions")); n > 0 {
					p.Executions = n
				}
				if d := c.Whole("list_delay"); d > 0 {
					p.ListDelay = d
				}
				if c.Truth("calm") {
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
	_, err := script.Read(file, functions, e, func(said script.Said, complain script.Complain) {
		for _, name := range []string{"experiment", "fleet", "queries", "variant"} {
			if _, called := said.First(name); !called {
				complain(said[0].At, "%s is missing", name)
				return
			}
		}
		at, _ := said.First("fleet")
		if err := e.Plan.Check(); err != nil {
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

// Vocabulary tells what a script may call.
func Vocabulary() (text string) {
	for _, name := range functions.Names() {
		one, _ := functions.Explain(name)
		text += one + "\n"
	}
	return text
}
