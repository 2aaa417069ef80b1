package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"willowsill/balance"
	"willowsill/lab/emulator/checker"
	"willowsill/lab/emulator/eventqueue"
)

// Result holds the measurements of a run. All but ShareBySecond, FaultyExecutions and Events cover only the queries asked in the
// counted interval of the plan.
type Result struct {
	Asked            int              `json:"asked"`
	InGoal           int              `json:"in_goal"`
	Late             int              `json:"late"`
	Partial          int              `json:"partial"`
	Declined         int              `json:"declined"`
	Forfeited        int              `json:"forfeited"`
	Revenue          float64          `json:"revenue"` // revenue of complete answers within the latency goal
	MaxRevenue       float64          `json:"most"`    // what Revenue would be if all queries were answered in time
	Executions       int              `json:"executions"`
	Retries          int              `json:"further"`
	P50              int64            `json:"p50_ns"` // median latency of whole and partial answers
	P99              int64            `json:"p99_ns"`
	P999             int64            `json:"p999_ns"`
	Latencies        []int64          `json:"times_ns"`  // latency of answers in ns at each of Percentiles
	FaultyExecutions int              `json:"at_faulty"` // executions that reached a replica with an active fault
	ShareBySecond    []float64        `json:"lines"`     // earned share of the revenue by second of asking; 1 for seconds without queries
	Workloads        []WorkloadResult `json:"loads"`     // counts of each workload, in the order of Plan.Workloads
	Events           int64            `json:"events"`
	Violation        string           `json:"broken,omitempty"` // description of the first broken rule, empty for none
	Rule             int              `json:"rule,omitempty"`
}

// Percentiles are the percentages at which Result.Latencies gives the latency.
var Percentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9, 100}

// WorkloadResult counts the queries of one workload.
type WorkloadResult struct {
	Name   string `json:"name"`
	Asked  int    `json:"asked"`
	InGoal int    `json:"in_goal"`
}

// RevenueShare returns the earned part of the possible revenue.
func (r *Result) RevenueShare() float64 { return r.Revenue / max(r.MaxRevenue, 1e-9) }

// Recorder collects a Result while a run goes on. Times are in ns from the start of the run.
type Recorder struct {
	Result
	plan      *Plan
	latencies *hdrhistogram.Histogram
	earned    []float64 // earned revenue by second of asking
	possible  []float64 // revenue by second of asking, if all queries were answered in time
}

// NewRecorder returns an empty recorder for runs of a plan.
func NewRecorder(p *Plan) *Recorder {
	seconds := int(p.Duration/1e9) + 1
	r := &Recorder{plan: p, latencies: hdrhistogram.New(1000, max(2*p.maxTimeout(), 2000), 3), earned: make([]float64, seconds),
		possible: make([]float64, seconds)}
	for _, l := range p.Workloads {
		r.Workloads = append(r.Workloads, WorkloadResult{Name: l.Name})
	}
	return r
}

// measured reports whether a query asked at this time belongs to the interval that is measured.
func (r *Recorder) measured(asked int64) bool {
	return asked >= r.plan.MeasureFrom && asked < r.plan.MeasureUntil
}

func (r *Recorder) secondIndex(asked int64) int { return min(int(asked/1e9), len(r.earned)-1) }

// RecordQuery counts a query that was asked.
func (r *Recorder) RecordQuery(asked int64, workload int) {
	revenue := r.plan.Workloads[workload].Revenue
	r.possible[r.secondIndex(asked)] += revenue
	if r.measured(asked) {
		r.Asked++
		r.Workloads[workload].Asked++
		r.MaxRevenue += revenue
	}
}

// RecordExecution counts an execution of a query's part.
func (r *Recorder) RecordExecution(asked int64, retry bool) {
	if r.measured(asked) {
		if r.Executions++; retry {
			r.Retries++
		}
	}
}

// RecordAnswer counts the end of a query. The answer to a client's retry (retries > 0) earns nothing and is not counted among
// the outcomes, because the first attempt has already been counted; its latency is recorded.
func (r *Recorder) RecordAnswer(asked, ended int64, workload, retries int, outcome balance.Outcome) {
	l := &r.plan.Workloads[workload]
	took := ended - asked
	inGoal := outcome == balance.Whole && took <= l.LatencyGoal && retries == 0
	if inGoal {
		r.earned[r.secondIndex(asked)] += l.Revenue
	}
	if !r.measured(asked) {
		return
	}
	if outcome == balance.Whole || outcome == balance.Partial {
		r.latencies.RecordValue(took)
	}
	if retries > 0 {
		return
	}
	switch {
	case inGoal:
		r.InGoal++
		r.Workloads[workload].InGoal++
		r.Revenue += l.Revenue
	case outcome == balance.Whole:
		r.Late++
	case outcome == balance.Partial:
		r.Partial++
	case outcome == balance.Declined:
		r.Declined++
	default:
		r.Forfeited++
	}
}

// Merge adds the counts of another recorder of the same plan.
func (r *Recorder) Merge(o *Recorder) {
	r.Asked += o.Asked
	r.InGoal += o.InGoal
	r.Late += o.Late
	r.Partial += o.Partial
	r.Declined += o.Declined
	r.Forfeited += o.Forfeited
	r.Revenue += o.Revenue
	r.MaxRevenue += o.MaxRevenue
	r.Executions += o.Executions
	r.Retries += o.Retries
	r.latencies.Merge(o.latencies)
	for i, l := range o.Workloads {
		r.Workloads[i].Asked += l.Asked
		r.Workloads[i].InGoal += l.InGoal
	}
	for i := range o.earned {
		r.earned[i] += o.earned[i]
		r.possible[i] += o.possible[i]
	}
}

// Summary computes the percentiles and shares and returns the result.
func (r *Recorder) Summary() *Result {
	result := &r.Result
	result.P50, result.P99, result.P999 = r.latencies.ValueAtPercentile(50), r.latencies.ValueAtPercentile(99), r.latencies.ValueAtPercentile(99.9)
	result.ShareBySecond, result.Latencies = nil, nil
	for _, p := range Percentiles {
		result.Latencies = append(result.Latencies, r.latencies.ValueAtPercentile(p))
	}
	for i := range int(r.plan.Duration / 1e9) {
		share := 1.0
		if r.possible[i] > 0 {
			share = r.earned[i] / r.possible[i]
		}
		result.ShareBySecond = append(result.ShareBySecond, share)
	}
	return result
}

// Run simulates a plan on the given number of cores, which does not influence the result.
func Run(p Plan, cores int) (*Result, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	sim := &simulation{Plan: &p}
	for i := range sim.loops {
		sim.loops[i] = &eventLoop{simulation: sim, queue: eventqueue.New(origin)}
	}
	newEmitter := func(n int) emitter { return emitter{loop: sim.loops[n%eventLoopCount], entityID: int32(n)} }
	newRNG := func(n int, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, stream<<32+uint64(n))) }
	var listings []balance.Listing
	for i := range p.Replicas {
		r := &replica{emitter: newEmitter(p.Aggregators + i), Plan: &p, number: i, rng: newRNG(i, 1), activeFaults: map[int]bool{},
			ruleChecker: &checker.Replica{Name: fmt.Sprint("replica ", i), ColdCapacity: p.ColdCapacity, WarmUpTime: p.WarmUpTime, OverloadFactor: p.OverloadFactor,
				OverloadSpan: p.OverloadSpan}}
		r.serviceTimeFactor = math.Exp(p.SpeedSigma * r.rng.NormFloat64())
		r.ruleChecker.WarmRate = float64(p.Workers) * 1e9 / (float64(p.ServiceTime) * r.serviceTimeFactor * math.Exp(p.ServiceTimeSigma*p.ServiceTimeSigma/2))
		sim.replicas = append(sim.replicas, r)
		listings = append(listings, balance.Listing{Replica: i, New: true, Cell: p.shardOf(i), Status: balance.Up})
	}
	if p.Policy == "oracle" {
		sim.oracleViews = make([]oracleView, p.Replicas)
		for i, r := range sim.replicas {
			sim.oracleViews[i] = r.oracleView(origin)
		}
	}
	for i := range p.Aggregators {
		a := &aggregator{emitter: newEmitter(i), Plan: &p, clientRNG: newRNG(i, 2), networkRNG: newRNG(i, 3), queries: map[int32]*pendingQuery{}, retryShards: map[int32][]int{}, quotaUses: map[int][]int64{},
			listingSeq: make([]uint64, p.Replicas), recorder: NewRecorder(&p),
			ruleChecker: checker.NewAggregator(fmt.Sprint("aggregator ", i), p.checkerBounds())}
		for n := range p.Workloads {
			a.arrivals = append(a.arrivals, p.Arrivals(i, n))
		}
		for _, l := range listings {
			if p.siteOfReplica(l.Replica) == p.siteOfAggregator(i) {
				a.listings = append(a.listings, l)
			}
		}
		a.simulation, a.ruleChecker.CheckStarvation = sim, p.Policy == "module"
		a.start(origin)
		a.startProcessor(origin)
		sim.aggregators = append(sim.aggregators, a)
	}
	for _, a := range sim.aggregators {
		sim.entities = append(sim.entities, a)
		for n := range p.Workloads {
			a.scheduleArrival(origin, n)
		}
		a.requestRound(origin)
	}
	for _, r := range sim.replicas {
		sim.entities = append(sim.entities, r)
		r.schedulePause(origin)
	}
	if p.StoreMode != "" && p.StoreMode != "none" {
		s := &sharedStore{emitter: newEmitter(p.Aggregators + p.Replicas), Plan: &p, current: newStoreData(), stale: newStoreData(), rng: newRNG(0, 5)}
		sim.entities = append(sim.entities, s)
		if p.StoreMode == "stale" {
			s.emit(origin, eventqueue.Event{At: origin + staleStart, To: s.entityID, Kind: eventFaultRepeats})
		}
	}
	for n, f := range p.Faults {
		for _, number := range f.Replicas {
			r := sim.replicas[number]
			r.emit(origin, eventqueue.Event{At: origin + f.From, To: r.entityID, Kind: eventFaultBegins, Value: int64(n)})
			r.emit(origin, eventqueue.Event{At: origin + f.Until, To: r.entityID, Kind: eventFaultEnds, Value: int64(n)})
		}
	}
	for n, f := range p.Faults {
		for _, number := range f.Aggregators {
			a := sim.aggregators[number]
			a.emit(origin, eventqueue.Event{At: origin + f.From, To: a.entityID, Kind: eventFaultBegins, Value: int64(n)})
			a.emit(origin, eventqueue.Event{At: origin + f.Until, To: a.entityID, Kind: eventFaultEnds, Value: int64(n)})
		}
	}
	sim.run(origin+p.Duration+3*p.maxTimeout(), cores)
	return sim.result(), nil
}

// result merges the results of all aggregators and the first rule violation.
func (sim *simulation) result() *Result {
	all := NewRecorder(sim.Plan)
	for _, a := range sim.aggregators {
		all.Merge(a.recorder)
	}
	r := all.Summary()
	for _, replica := range sim.replicas {
		r.FaultyExecutions += replica.faultyExecutions
	}
	r.Events = sim.events
	violation := sim.firstViolation()
	if over := sim.quotaViolations(); violation == nil && len(over) > 0 {
		violation = &over[0]
	}
	if violation != nil {
		r.Violation, r.Rule = violation.String(), violation.Rule
	}
	return r
}

// checkerBounds returns the limits for the checker. MinCoverage and DedupWindow are those of the first workload.
func (p *Plan) checkerBounds() checker.Bounds {
	b := checker.Bounds{FullCoverage: 1, MaxExecutions: p.MaxExecutions, Budgeted: p.Budgeted, RetrySlack: p.RetrySlack, RetryRatio: p.RetryRatio, RetryWindow: p.RetryWindow}
	b.MinCoverage, b.DedupWindow = p.Workloads[0].MinCoverage, p.Workloads[0].DedupWindow
	return b
}

// deployment returns the configuration of an aggregator's decision module.
func (p *Plan) deployment(number int) balance.Deployment {
	d := balance.Deployment{Index: number, Aggregators: p.Aggregators, Seed: p.Seed*1_000_003 + uint64(number), Tick: p.Tick,
		Shards: p.Shards(), Cells: p.Shards(), CellsPerShard: 1, PartsPerCall: 1, MaxExecutions: p.MaxExecutions, CanCancel: p.CanCancel,
		MaxRetryAfter: 2e9, ColdCapacity: p.ColdCapacity, WarmUpTime: p.WarmUpTime, OverloadFactor: p.OverloadFactor, OverloadSpan: p.OverloadSpan,
		Budgeted: p.Budgeted, RetrySlack: p.RetrySlack, RetryRatio: p.RetryRatio, RetryWindow: p.RetryWindow}
	switch p.Defect {
	case "budget off":
		d.Budgeted = false
	case "cold guard off":
		d.ColdCapacity, d.WarmUpTime, d.OverloadFactor = 1, 1, 1e9
	}
	for _, l := range p.Workloads {
		d.Workloads = append(d.Workloads, balance.Workload{LatencyGoal: l.LatencyGoal, LateShare: 0.3, MinCoverage: l.MinCoverage, FullCoverage: 1,
			PartialShare: 0.9, RetrySafety: l.RetrySafety, DedupWindow: l.DedupWindow})
	}
	return d
}
