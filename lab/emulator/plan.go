// Package emulator simulates whole fleets in virtual time: many aggregators, each running the production decision module
// (package balance), against models of clients, replicas, the network and the replica list of service discovery. A run is
// deterministic: the same seed gives the same result on any number of cores. The package is for measurements and is not part
// of the serving programs. docs/emulator.md lists what the models leave out.
package emulator

import (
	"errors"
	"fmt"
	"slices"

	"willowsill/balance"
)

// Plan describes one run. Times are in ns, counted from the start of the run.
type Plan struct {
	Policy                    string // "module", or one of baselines.Policies
	Seed                      uint64
	Duration                  int64 // time during which clients send queries
	MeasureFrom, MeasureUntil int64 // only queries asked in this interval are counted

	Aggregators, Replicas int
	ReplicasPerShard      int     // replicas that hold each shard
	Workers               int     // parts that a replica processes concurrently
	ServiceTime           int64   // median time to process a part
	ServiceTimeSigma      float64 // standard deviation of the logarithm of the service time
	HeavyTailShare        float64 // share of parts whose service time is multiplied by a Pareto draw
	SpeedSigma            float64 // standard deviation of the logarithm of the replicas' speed
	QueueLimit            int     // parts that may queue at a replica, which rejects more; 0 for no limit
	CrowdingSlowdown      float64 // relative increase of service times for each part per worker, queued or running, above CrowdingThreshold
	CrowdingThreshold     float64 // parts per worker up to which service times don't increase
	PauseInterval         int64   // mean time between spontaneous pauses of a replica; 0 for none
	PauseTime             int64   // mean length of a spontaneous pause; each lasts between 0.5 and 1.5 times the mean
	DropExpired           bool    // a replica drops queued parts whose deadline has passed
	NetworkDelay          int64   // minimum delay of a message in one direction; exponential jitter adds a quarter on average
	ListDelay             int64   // minimum time until a change is listed; the maximum is twice as long
	Tick                  int64   // minimum time between two decision rounds of an aggregator

	MaxExecutions          int     // maximum number of executions of one part, the first included
	CanCancel              bool    // executions can be cancelled
	FinishCancelled        bool    // a replica finishes cancelled executions that are already running
	KeepCancelledQueued    bool    // a replica also executes parts that were cancelled while queued
	ColdCapacity           float64 // share of its capacity that a replica has right after its start
	WarmUpTime             int64   // time from a start to full capacity; the capacity grows linearly
	OverloadFactor         float64 // multiple of its present capacity at which a cold replica crashes
	OverloadSpan           int64   // interval in which the load for OverloadFactor is counted
	Budgeted               bool    // retries are limited to RetrySlack + RetryRatio per query and part
	RetrySlack, RetryRatio float64
	RetryWindow            int64   // interval that the retry budget covers
	LoadSigma              float64 // standard deviation of the logarithm of an aggregator's load

	CPU               CPUModel // cost of the work that an aggregator does itself
	Zones             int      // number of zones; replicas are assigned in blocks, aggregators round-robin; 0 counts as 1
	ZoneHealthEnabled bool     // aggregators detect unreachable zones with package zonehealth
	Sites             int      // number of sites, assigned like zones; 0 counts as 1
	Link              Link     // network between any two sites
	RoutingPolicy     string   // how queries are forwarded to other sites: "none", or one of siterouting.PolicyNames
	StoreMode         string   // behaviour of the shared store, one of StoreModes; empty for no store
	Workloads         []Workload
	Faults            []Fault
	Trace             func(at int64, who, what string) // called for each decision and outcome, in order if the run uses one core; nil for no trace
	Defect            string                           // one of Defects to introduce deliberately; empty for none
}

// Workload is one kind of query and the rate at which clients send it.
type Workload struct {
	Name                string
	Rate                float64 // mean queries per second at each aggregator
	Parts               int     // parts per query, each of a different shard
	LatencyGoal         int64   // a complete answer within it earns Revenue
	Timeout             int64   // time after which the client stops waiting
	RetrySafety         balance.RetrySafety
	DedupWindow         int64   // for tagged parts: time during which replicas recognise a repeated execution
	MinCoverage         float64 // minimum share of the weight for a partial answer
	Revenue             float64
	Skew                float64 // exponent of the Zipf distribution of shards; 0 for a uniform one
	BurstFactor         float64 // factor on the rate during a burst
	BurstStart          int64   // start of the first burst
	BurstInterval       int64   // time from the start of a burst to the next; 0 for no bursts
	BurstTime           int64   // length of a burst
	WaveAmplitude       float64 // relative amplitude of a sine wave on the rate (day and night); 0 for none
	WavePeriod          int64   // period of the sine wave
	Quota               float64 // queries per second of the customer over all aggregators, enforced through the shared store; 0 for none
	ImmediateRetryShare float64 // share of queries that got no answer, or were declined without a retry time, which clients soon repeat
	AdvisedRetryShare   float64 // share of declined queries with a retry time, which clients repeat at that time
}

// Fault is a failure of some replicas, aggregators, zones or sites for a limited time.
type Fault struct {
	Kind        string // one of FaultKinds or AggregatorFaultKinds
	Replicas    []int
	Aggregators []int // affected aggregators, for AggregatorFaultKinds
	Sites       []int // for cut: the sites that are cut off
	Zones       []int // for rift: the zones that are cut off
	Workload    int   // for unanswered: index of the workload
	From, Until int64
	Slowdown    float64 // for slow: factor on the service time
	Period      int64   // for flap, pause and freeze: length of a period
	ActiveTime  int64   // for flap, pause and freeze: bad time at the start of each period
}

// FaultKinds are the faults of replicas, zones, sites and the replica list.
var FaultKinds = []string{
	"hang",       // accepts parts and never answers
	"slow",       // multiplies the service time by Slowdown
	"errors",     // answers every part with an error after 1 ms
	"restart",    // crashes at the start of the fault and starts again, cold, at its end
	"pause",      // stops all work for ActiveTime in each period, then continues
	"flap",       // hangs for ActiveTime in each period
	"unanswered", // never answers parts of one workload; serves all others
	"silence",    // its replies are lost on the network
	"rift",       // drops all messages between a zone and the others without an error
	"cut",        // drops all messages between a site and the others without an error
	"list",       // delays all updates of the replica list until the end of the fault
	"drain",      // drains from the start of the fault and is up again at its end
}

// AggregatorFaultKinds are the faults of aggregators.
var AggregatorFaultKinds = []string{
	"crash",  // crashes at the start and restarts at the end with no state but the replica list
	"freeze", // stops for ActiveTime in each period; events meanwhile are delayed until it continues
}

// Defects are deliberate faults of the decision module. Tests use them to show that the checker detects each.
var Defects = []string{"count not lowered on reset", "drain ignored", "cold guard off", "budget off", "second answer",
	"runs before the outcome", "whole from a part"}

// Validate returns an error for a plan that cannot be run.
func (p *Plan) Validate() error {
	switch {
	case p.Aggregators < 1 || p.Replicas < 1 || p.ReplicasPerShard < 1 || p.Replicas%p.ReplicasPerShard != 0:
		return fmt.Errorf("%d aggregators, %d replicas, %d replicas per shard: all must be positive, and replicas must form whole groups", p.Aggregators,
			p.Replicas, p.ReplicasPerShard)
	case p.Replicas%(p.ReplicasPerShard*p.siteCount()) != 0 || p.Aggregators < p.siteCount():
		return fmt.Errorf("%d aggregators and %d replicas, %d per shard, cannot be divided over %d sites", p.Aggregators, p.Replicas, p.ReplicasPerShard, p.Sites)
	case p.siteCount() > 1 && p.RoutingPolicy != "none" && p.RoutingPolicy != "" && (p.Link.Delay < p.NetworkDelay || p.Link.QueryRate <= 0 || p.Link.ByteRate <= 0):
		return errors.New("the link between sites needs a delay of at least the network delay within a site, and positive query and byte rates")
	case len(p.Workloads) == 0:
		return errors.New("no queries are defined")
	case p.NetworkDelay < 1000:
		return errors.New("the network delay is less than a microsecond")
	case p.PauseInterval > 0 && p.PauseInterval < 3*p.PauseTime:
		return errors.New("the interval between pauses is less than three times their length")
	case p.MeasureUntil > p.Duration || p.MeasureFrom >= p.MeasureUntil:
		return errors.New("the counted interval is not within the span")
	}
	for _, l := range p.Workloads {
		if l.Parts < 1 || l.Parts > p.Shards() {
			return fmt.Errorf("query kind %q has %d parts, and there are %d shards", l.Name, l.Parts, p.Shards())
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
			return fmt.Errorf("fault %q does not apply to these targets: crash and freeze take aggregators, all others take replicas, zones or sites", f.Kind)
		}
	}
	return nil
}

// Shards returns the number of shards. Every site holds all of them.
func (p *Plan) Shards() int { return p.replicasPerSite() / p.ReplicasPerShard }

func (p *Plan) shardOf(replica int) int { return replica % p.replicasPerSite() % p.Shards() }

const origin = int64(1000e9) // virtual time at the start of a run, above 0 so that replicas can have started before it

func (p *Plan) maxTimeout() (timeout int64) {
	for _, l := range p.Workloads {
		timeout = max(timeout, l.Timeout)
	}
	return timeout
}
