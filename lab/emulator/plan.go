// Package emulator plays whole fleets in virtual time: many aggregators, each with the true decision module unchanged, against
// models of clients, replicas, a network and a list. One seed gives one run, always the same, on any number of cores. It
// measures; it is no part of what serves. What its models leave out stands in docs/emulator.md.
package emulator

import (
	"errors"
	"fmt"
	"slices"

	"willowsill/balance"
)

// Plan is one run. Times in ns, from the run's start.
type Plan struct {
	Policy                    string // "module", or one of rivals.Names
	Seed                      uint64
	Duration                  int64 // clients ask for so long
	MeasureFrom, MeasureUntil int64 // what is asked in this stretch counts

	Aggregators, Replicas int
	ReplicasPerShard      int     // replicas of each shard
	Workers               int     // parts that a replica works on at a time
	ServiceTime           int64   // that a part takes, the median
	ServiceTimeSigma      float64 // of that, the standard deviation of its logarithm
	HeavyTailShare        float64 // share of parts with a heavy tail: a Pareto law
	SpeedSigma            float64 // of replicas' speed, the standard deviation of its logarithm
	QueueLimit            int     // parts that may wait at a replica; more are turned away
	CrowdingSlowdown      float64 // of its speed that a replica loses for each part a worker that it holds
	CrowdingThreshold     float64 // beyond so many a worker
	PauseInterval         int64   // between two pauses that a replica makes by itself, in the mean; 0 for none
	PauseTime             int64   // and how long one is, from half to one and a half times this
	DropExpired           bool    // what waits at a replica is dropped there once its time is up
	NetworkDelay          int64   // to a replica, and back: at least, with a quarter more in the mean
	ListDelay             int64   // until the list tells of a change, up to twice
	Tick                  int64

	MaxExecutions          int
	CanCancel              bool
	FinishCancelled        bool // what is given up is worked on to its end all the same,
	KeepCancelledQueued    bool // and so is what was given up while it still waited
	ColdCapacity           float64
	WarmUpTime             int64
	OverloadFactor         float64
	OverloadSpan           int64
	Budgeted               bool
	RetrySlack, RetryRatio float64
	RetryWindow            int64
	LoadSigma              float64 // of the aggregators' shares of the load, as a standard deviation of the logarithm

	CPU               CPUModel // of each aggregator's own processor
	Zones             int      // that replicas are dealt over in blocks, and aggregators by turns; 0 or 1 for one
	ZoneHealthEnabled bool     // aggregators know zones out of reach by few failures
	Sites             int      // that the fleet is dealt over, replicas in blocks, aggregators by turns; 0 or 1 for one
	Link              Link     // between any two of them
	RoutingPolicy     string   // by what queries are carried: none, or one of routes.Policies
	StoreMode         string   // how the shared store behaves, of Stores; empty for none
	Workloads         []Workload
	Faults            []Fault
	Trace             func(at int64, who, what string) // told of each decision and outcome, in its order on one core; nil for nobody
	Defect            string                           // a way that the module is broken on purpose; see Breaks
}

// Workload is one kind of query.
type Workload struct {
	Name                string
	Rate                float64 // queries a second at each aggregator, in the mean
	Parts               int     // each of another shard
	LatencyGoal         int64
	Timeout             int64
	RetrySafety         balance.RetrySafety
	DedupWindow         int64 // tagged: how long repeats are recognised
	MinCoverage         float64
	Revenue             float64
	Skew                float64 // of shards: the exponent of Zipf's law; 0 for all alike
	BurstFactor         float64 // times the rate,
	BurstStart          int64   // from then on,
	BurstInterval       int64   // at the start of each such stretch, 0 for none,
	BurstTime           int64   // for so long
	WaveAmplitude       float64 // of the rate, that it swings up and down by, as by day and night,
	WavePeriod          int64   // once in so long
	Quota               float64 // queries a second that its customer may ask over all aggregators, kept by the shared store; 0 for none
	ImmediateRetryShare float64 // share of queries without an answer, or declined without advice, that their clients ask again soon
	AdvisedRetryShare   float64 // share of declined queries that their clients ask again, when they are told to come back
}

// Fault is what befalls some replicas for a while.
type Fault struct {
	Kind        string // see Kinds
	Replicas    []int
	Aggregators []int // for faults of theirs
	Sites       []int // cut: which
	Zones       []int // rift: which
	Workload    int   // unanswered: the load, by number
	From, Until int64
	Slowdown    float64 // slow: how much
	Period      int64   // flapping and pauses: the period
	ActiveTime  int64   // and how long of it it lasts
}

// FaultKinds are the faults there are.
var FaultKinds = []string{
	"hang",       // takes parts and says nothing
	"slow",       // works so many times longer
	"errors",     // answers with an error at once
	"restart",    // dies at the start of the fault and is back, cold, at its end
	"pause",      // works on nothing for a stretch of each period, then goes on
	"flap",       // hangs for a stretch of each period
	"unanswered", // parts of one load are taken and nothing is said, all others are well
	"silence",    // what it answers is lost on the way
	"rift",       // parts and answers between a zone and the others are lost, and nobody is told
	"cut",        // the links of a site carry nothing, and nobody is told
	"list",       // the list tells nobody of any change until the end; it befalls all
	"drain",      // is told to drain at the start, and is up again at the end
}

// AggregatorFaultKinds are the faults that befall aggregators.
var AggregatorFaultKinds = []string{
	"crash",  // dies with all it holds at the start, and is back, knowing nothing but the list, at the end
	"freeze", // does nothing for a stretch of each period; what comes meanwhile waits
}

// Defects are ways to break the module on purpose, each of which the checker must tell.
var Defects = []string{"count not lowered on reset", "drain ignored", "cold guard off", "budget off", "second answer",
	"runs before the outcome", "whole from a part"}

// Validate tells what a plan cannot be.
func (p *Plan) Validate() error {
	switch {
	case p.Aggregators < 1 || p.Replicas < 1 || p.ReplicasPerShard < 1 || p.Replicas%p.ReplicasPerShard != 0:
		return fmt.Errorf("%d aggregators, %d replicas in groups of %d: there must be some of each, and whole groups", p.Aggregators,
			p.Replicas, p.ReplicasPerShard)
	case p.Replicas%(p.ReplicasPerShard*p.siteCount()) != 0 || p.Aggregators < p.siteCount():
		return fmt.Errorf("%d aggregators and %d replicas in groups of %d cannot be dealt over %d sites", p.Aggregators, p.Replicas, p.ReplicasPerShard, p.Sites)
	case p.siteCount() > 1 && p.RoutingPolicy != "none" && p.RoutingPolicy != "" && (p.Link.Delay < p.NetworkDelay || p.Link.QueryRate <= 0 || p.Link.ByteRate <= 0):
		return errors.New("a link is no faster than a way within a site, and carries something")
	case len(p.Workloads) == 0:
		return errors.New("nobody asks")
	case p.NetworkDelay < 1000:
		return errors.New("a way of less than a microsecond")
	case p.PauseInterval > 0 && p.PauseInterval < 3*p.PauseTime:
		return errors.New("replicas would stand still most of the time")
	case p.MeasureUntil > p.Duration || p.MeasureFrom >= p.MeasureUntil:
		return errors.New("the stretch that counts is not within the span")
	}
	for _, l := range p.Workloads {
		if l.Parts < 1 || l.Parts > p.Shards() {
			return fmt.Errorf("load %q has %d parts, and there are %d shards", l.Name, l.Parts, p.Shards())
		}
	}
	for _, f := range p.Faults {
		for _, r := range f.Replicas {
			if r < 0 || r >= p.Replicas {
				return fmt.Errorf("fault %q: there is no replica %d", f.Kind, r)
			}
		}
		for _, a := range f.Aggregators {
			if a < 0 || a >= p.Aggregators {
				return fmt.Errorf("fault %q: there is no aggregator %d", f.Kind, a)
			}
		}
		for _, zone := range f.Zones {
			if zone < 0 || zone >= max(p.Zones, 1) {
				return fmt.Errorf("fault %q: there is no zone %d", f.Kind, zone)
			}
		}
		for _, site := range f.Sites {
			if site < 0 || site >= p.siteCount() {
				return fmt.Errorf("fault %q: there is no site %d", f.Kind, site)
			}
		}
		if own := slices.Contains(AggregatorFaultKinds, f.Kind); own && len(f.Replicas) > 0 || !own && len(f.Aggregators) > 0 {
			return fmt.Errorf("fault %q is none of those that it is to befall", f.Kind)
		}
	}
	return nil
}

// Shards is how many there are.
func (p *Plan) Shards() int { return p.replicasPerSite() / p.ReplicasPerShard }

func (p *Plan) shardOf(replica int) int { return replica % p.replicasPerSite() % p.Shards() }

const origin = int64(1000e9) // virtual time starts here, so that replicas can have started before

func (p *Plan) maxTimeout() (patience int64) {
	for _, l := range p.Workloads {
		patience = max(patience, l.Timeout)
	}
	return patience
}
