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
	Policy      string // "module", or one of rivals.Names
	Seed        uint64
	Span        int64 // clients ask for so long
	From, Until int64 // what is asked in this stretch counts

	Aggregators, Replicas int
	Holders               int     // replicas of each shard
	Workers               int     // parts that a replica works on at a time
	Work                  int64   // that a part takes, the median
	Spread                float64 // of that, the standard deviation of its logarithm
	Tail                  float64 // share of parts with a heavy tail: a Pareto law
	Unlike                float64 // of replicas' speed, the standard deviation of its logarithm
	Room                  int     // parts that may wait at a replica; more are turned away
	Crowd                 float64 // of its speed that a replica loses for each part a worker that it holds
	CrowdAt               float64 // beyond so many a worker
	StopEvery             int64   // between two pauses that a replica makes by itself, in the mean; 0 for none
	StopFor               int64   // and how long one is, from half to one and a half times this
	Expires               bool    // what waits at a replica is dropped there once its time is up
	Way                   int64   // to a replica, and back: at least, with a quarter more in the mean
	ListDelay             int64   // until the list tells of a change, up to twice
	Tick                  int64

	Executions   int
	Cancels      bool
	GoesOn       bool // what is given up is worked on to its end all the same,
	KeepsPlace   bool // and so is what was given up while it still waited
	ColdShare    float64
	ColdRamp     int64
	FallMultiple float64
	FallSpan     int64
	Budgeted     bool
	Free, Share  float64
	BudgetSpan   int64
	Uneven       float64 // of the aggregators' shares of the load, as a standard deviation of the logarithm

	Own    Own    // of each aggregator's own processor
	Zones  int    // that replicas are dealt over in blocks, and aggregators by turns; 0 or 1 for one
	Watch  bool   // aggregators know zones out of reach by few failures
	Sites  int    // that the fleet is dealt over, replicas in blocks, aggregators by turns; 0 or 1 for one
	Link   Link   // between any two of them
	Route  string // by what queries are carried: none, or one of routes.Policies
	Store  string // how the shared store behaves, of Stores; empty for none
	Loads  []Load
	Faults []Fault
	Trace  func(at int64, who, what string) // told of each decision and outcome, in its order on one core; nil for nobody
	Break  string                           // a way that the module is broken on purpose; see Breaks
}

// Load is one kind of query.
type Load struct {
	Name     string
	Rate     float64 // queries a second at each aggregator, in the mean
	Parts    int     // each of another shard
	Goal     int64
	Patience int64
	Effect   balance.RetrySafety
	Window   int64 // tagged: how long repeats are recognised
	Floor    float64
	Revenue  float64
	Skew     float64 // of shards: the exponent of Zipf's law; 0 for all alike
	Burst    float64 // times the rate,
	At       int64   // from then on,
	Every    int64   // at the start of each such stretch, 0 for none,
	For      int64   // for so long
	Wave     float64 // of the rate, that it swings up and down by, as by day and night,
	Day      int64   // once in so long
	Quota    float64 // queries a second that its customer may ask over all aggregators, kept by the shared store; 0 for none
	Insist   float64 // share of queries without an answer, or declined without advice, that their clients ask again soon
	Retry    float64 // share of declined queries that their clients ask again, when they are told to come back
}

// Fault is what befalls some replicas for a while.
type Fault struct {
	Kind        string // see Kinds
	Replicas    []int
	Aggregators []int // for faults of theirs
	Sites       []int // cut: which
	Zones       []int // rift: which
	Load        int   // unanswered: the load, by number
	From, Until int64
	Times       float64 // slow: how much
	Every       int64   // flapping and pauses: the period
	For         int64   // and how long of it it lasts
}

// Kinds are the faults there are.
var Kinds = []string{
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

// OwnKinds are the faults that befall aggregators.
var OwnKinds = []string{
	"crash",  // dies with all it holds at the start, and is back, knowing nothing but the list, at the end
	"freeze", // does nothing for a stretch of each period; what comes meanwhile waits
}

// Breaks are ways to break the module on purpose, each of which the checker must tell.
var Breaks = []string{"count not lowered on reset", "drain ignored", "cold guard off", "budget off", "second answer",
	"runs before the outcome", "whole from a part"}

// Check tells what a plan cannot be.
func (p *Plan) Check() error {
	switch {
	case p.Aggregators < 1 || p.Replicas < 1 || p.Holders < 1 || p.Replicas%p.Holders != 0:
		return fmt.Errorf("%d aggregators, %d replicas in groups of %d: there must be some of each, and whole groups", p.Aggregators,
			p.Replicas, p.Holders)
	case p.Replicas%(p.Holders*p.sites()) != 0 || p.Aggregators < p.sites():
		return fmt.Errorf("%d aggregators and %d replicas in groups of %d cannot be dealt over %d sites", p.Aggregators, p.Replicas, p.Holders, p.Sites)
	case p.sites() > 1 && p.Route != "none" && p.Route != "" && (p.Link.Way < p.Way || p.Link.Queries <= 0 || p.Link.Bytes <= 0):
		return errors.New("a link is no faster than a way within a site, and carries something")
	case len(p.Loads) == 0:
		return errors.New("nobody asks")
	case p.Way < 1000:
		return errors.New("a way of less than a microsecond")
	case p.StopEvery > 0 && p.StopEvery < 3*p.StopFor:
		return errors.New("replicas would stand still most of the time")
	case p.Until > p.Span || p.From >= p.Until:
		return errors.New("the stretch that counts is not within the span")
	}
	for _, l := range p.Loads {
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
			if site < 0 || site >= p.sites() {
				return fmt.Errorf("fault %q: there is no site %d", f.Kind, site)
			}
		}
		if own := slices.Contains(OwnKinds, f.Kind); own && len(f.Replicas) > 0 || !own && len(f.Aggregators) > 0 {
			return fmt.Errorf("fault %q is none of those that it is to befall", f.Kind)
		}
	}
	return nil
}

// Shards is how many there are.
func (p *Plan) Shards() int { return p.perSite() / p.Holders }

func (p *Plan) shardOf(replica int) int { return replica % p.perSite() % p.Shards() }

const origin = int64(1000e9) // virtual time starts here, so that replicas can have started before

func (p *Plan) longest() (patience int64) {
	for _, l := range p.Loads {
		patience = max(patience, l.Patience)
	}
	return patience
}
