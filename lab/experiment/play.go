package experiment

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"

	"willowsill/lab/emulator"
)

// Table holds the results of an experiment in the form in which they are stored.
type Table struct {
	Format       int         `json:"form"`
	Name         string      `json:"name"`
	Question     string      `json:"question"`
	Hash         string      `json:"script"` // hash of the script's text
	Seeds        int         `json:"seeds"`
	Duration     int64       `json:"span_ns"`
	MeasureFrom  int64       `json:"count_from_ns"`
	MeasureUntil int64       `json:"count_until_ns"`
	Faults       []FaultSpan `json:"faults"`
	Rows         []Row       `json:"variants"`
}

// FaultSpan is the time of a fault, in ns from the start of a run.
type FaultSpan struct {
	Kind        string
	From, Until int64
}

// Row holds the results of one variant over all seeds. Shares are earned shares of the possible revenue.
type Row struct {
	Name             string          `json:"name"`
	Shares           []float64       `json:"shares"`        // earned share of each seed
	Mean             float64         `json:"mean"`          // mean of Shares
	Against          float64         `json:"against_first"` // mean difference from the first variant with the same seed
	Low              float64         `json:"low"`           // lower end of the 95% confidence interval of Against
	High             float64         `json:"high"`          // upper end of the 95% confidence interval of Against
	Verdict          string          `json:"verdict"`
	Late             float64         `json:"late"` // share of the queries asked; Partial, Declined and Forfeited too
	Partial          float64         `json:"partial"`
	Declined         float64         `json:"declined"`
	Forfeited        float64         `json:"forfeited"`
	Executions       float64         `json:"executions_a_query"`
	Further          float64         `json:"further_a_query"` // retries per query
	FaultyExecutions float64         `json:"at_faulty"`       // executions at replicas with a fault, the mean over seeds
	P50              int64           `json:"p50_ns"`          // median over the seeds; P99 and P999 too
	P99              int64           `json:"p99_ns"`
	P999             int64           `json:"p999_ns"`
	Latencies        []int64         `json:"times_ns"` // latency in ns at each of emulator.Percentiles, the mean over seeds
	Workloads        []WorkloadShare `json:"loads"`
	ShareBySecond    []float64       `json:"lines"`  // share of the revenue by second, the mean over seeds
	Broken           []string        `json:"broken"` // the first violation of each run that had one
	Events           int64           `json:"events"`
}

// WorkloadShare is the share of one workload's queries that were answered within the goal, the mean over seeds.
type WorkloadShare struct {
	Name   string  `json:"name"`
	InGoal float64 `json:"in_goal"`
}

const tableFormat = 1 // version of the format of stored tables

// Runner runs plans, either in the emulator or with real processes on sockets.
type Runner struct {
	Run      func(p emulator.Plan, cores int) (*emulator.Result, error)
	Parallel int // number of runs at a time
}

// EmulatorRunner returns a runner that uses the emulator, with as many runs at a time as there are cores.
func EmulatorRunner() Runner { return Runner{emulator.Run, runtime.GOMAXPROCS(0)} }

// Run runs all variants with all seeds. It calls progress, if that is not nil, after each run.
//
// Danger: the order in which runs end depends on the machine, so results are collected by variant and seed and never by that order.
func (e *Experiment) Run(runner Runner, progress func()) (*Table, error) {
	t := &Table{Format: tableFormat, Name: e.Name, Question: e.Question, Hash: e.Hash, Seeds: e.Seeds, Duration: e.Plan.Duration, MeasureFrom: e.Plan.MeasureFrom,
		MeasureUntil: e.Plan.MeasureUntil}
	for _, f := range e.Plan.Faults {
		t.Faults = append(t.Faults, FaultSpan{f.Kind, f.From, f.Until})
	}
	runs := make([][]*emulator.Result, len(e.Variants))
	errs := make([][]error, len(e.Variants))
	slots := make(chan struct{}, runner.Parallel)
	cores := max(1, runtime.GOMAXPROCS(0)/(len(e.Variants)*e.Seeds))
	var wg sync.WaitGroup
	for v := range e.Variants {
		runs[v], errs[v] = make([]*emulator.Result, e.Seeds), make([]error, e.Seeds)
		for seed := range e.Seeds {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				runs[v][seed], errs[v][seed] = runner.Run(e.PlanFor(e.Variants[v], seed+1), cores)
				if progress != nil {
					progress()
				}
			})
		}
	}
	wg.Wait()
	for v, variant := range e.Variants {
		for _, err := range errs[v] {
			if err != nil {
				return nil, err
			}
		}
		t.Rows = append(t.Rows, newRow(variant.Name, runs[v]))
	}
	t.compareToFirst()
	return t, nil
}

// compareToFirst compares all rows with the first, seed by seed.
func (t *Table) compareToFirst() {
	for i := range t.Rows {
		t.Rows[i].compareTo(&t.Rows[0])
	}
	if r := &t.Rows[0]; len(r.Broken) == 0 {
		r.Verdict = "the one held against"
	}
}

// compareTo compares a row with another of the same seeds and sets the fields that depend on it.
func (r *Row) compareTo(first *Row) {
	var differences []float64
	for i := range r.Shares {
		differences = append(differences, r.Shares[i]-first.Shares[i])
	}
	r.Against = stat.Mean(differences, nil)
	r.Low, r.High = ConfidenceInterval(differences)
	if r.Verdict = verdict(r.Low, r.High); len(r.Broken) > 0 {
		r.Verdict = "a rule is broken"
	}
}

// newRow summarizes the runs of a variant.
func newRow(name string, runs []*emulator.Result) Row {
	r := Row{Name: name, Broken: []string{}}
	n := float64(len(runs))
	var p50, p99, p999 []int64
	for seed, run := range runs {
		r.Shares = append(r.Shares, run.RevenueShare())
		asked := max(float64(run.Asked), 1) * n
		r.Late += float64(run.Late) / asked
		r.Partial += float64(run.Partial) / asked
		r.Declined += float64(run.Declined) / asked
		r.Forfeited += float64(run.Forfeited) / asked
		r.Executions += float64(run.Executions) / asked
		r.Further += float64(run.Retries) / asked
		r.FaultyExecutions += float64(run.FaultyExecutions) / n
		p50, p99, p999 = append(p50, run.P50), append(p99, run.P99), append(p999, run.P999)
		r.Events += run.Events
		if r.Latencies == nil {
			r.Latencies = make([]int64, len(run.Latencies))
		}
		for i, ns := range run.Latencies {
			r.Latencies[i] += ns / int64(len(runs))
		}
		for i, l := range run.Workloads {
			if seed == 0 {
				r.Workloads = append(r.Workloads, WorkloadShare{Name: l.Name})
			}
			r.Workloads[i].InGoal += float64(l.InGoal) / max(float64(l.Asked), 1) / n
		}
		if r.ShareBySecond == nil {
			r.ShareBySecond = make([]float64, len(run.ShareBySecond))
		}
		for i, x := range run.ShareBySecond {
			r.ShareBySecond[i] += x / n
		}
		if run.Violation != "" {
			r.Broken = append(r.Broken, run.Violation)
		}
	}
	r.Mean = stat.Mean(r.Shares, nil)
	for _, p := range []struct {
		values []int64
		to     *int64
	}{{p50, &r.P50}, {p99, &r.P99}, {p999, &r.P999}} {
		slices.Sort(p.values)
		*p.to = p.values[len(p.values)/2]
	}
	return r
}

// verdict describes a difference by its confidence interval.
func verdict(low, high float64) string {
	switch {
	case low > 0:
		return "more"
	case high < 0:
		return "less"
	}
	return "not told apart"
}

const resamples = 4000 // number of resamples of the bootstrap

// ConfidenceInterval returns the 95% confidence interval of the mean of the distribution that x was drawn from, by bootstrap resampling.
// Its seed is fixed, so the same numbers give the same interval.
func ConfidenceInterval(x []float64) (low, high float64) {
	rng := rand.New(rand.NewPCG(1, uint64(len(x))))
	means := make([]float64, resamples)
	for i := range means {
		for range x {
			means[i] += x[rng.IntN(len(x))] / float64(len(x))
		}
	}
	slices.Sort(means)
	return stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}
