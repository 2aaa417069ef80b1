package balance

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// A scenario is a text file with a command a line, or several separated by ;. # starts a comment. Times are in ms.
//
//	deploy KEY=VALUE ...        sets the deployment; keys that are left out have the defaults of newScenario
//	workload NAME KEY=VALUE ... adds a workload
//	serve NAME KEY=VALUE ...    gives the row of a workload these terms from now on
//	list|change|remembered REPLICA[=OLD]:CELL[@][*CALLS][:STATUS[:STARTED]] ...
//	                            reports a whole list, changed entries, or a list saved by an earlier process;
//	                            @ behind the cell marks a distant replica, and each > after it a more distant one;
//	                            =OLD gives the replica the index of one that is gone; CALLS is its call limit
//	lost                        reports a failed list call
//	at T                        sets the clock and calls Decide; the actions must follow in lines that start with >
//	clock T                     sets the clock
//	take QUERY WORKLOAD TIMEOUT SHARD[*WEIGHT] ...   hands over a query; weights are equal unless stated
//	over QUERY WORKLOAD ...     like take, for a customer over quota
//	again QUERY WORKLOAD ...    like take, for a query that is marked as a retry
//	flood N QUERY ...           does take N times, with a number appended to the name
//	step QUERY SHARD ...        adds the parts of a second step
//	ok|errored|full|timeout|noconn|reset|cancelled|moot QUERY.PART ... TOOK   reports results of the last executions
//	leave QUERY                 reports that the client has left
//	stood T                     reports that the process itself has just stood still for T
//	hear REPLICA EXPIRES [suspect] [pace=SLOWDOWN*WEIGHT] [try=TRIALAT] [away=DOWNUNTIL]   applies a shared report
//	> send QUERY.PART REPLICA [until T]
//	> cancel QUERY.PART EXECUTION
//	> end QUERY whole|partial|declined|forfeited
//	> release REPLICA           the idle connections to the replica are to be closed
//	> subscribe
//	> ...                       accepts all remaining actions
//	wake T|none                 checks when the last Decide wants the next one at the latest
type scenario struct {
	t       *testing.T
	d       Deployment
	agg     *Aggregator
	now     int64
	rows    map[string]int
	indices map[string]int
	names   []string
	queries map[string]*Query
	got     []string
	line    string
	wake    int64
}

var results = map[string]Result{"ok": Fulfilled, "errored": Errored, "full": Full, "timeout": TimedOut,
	"noconn": ConnectFailed, "reset": Reset, "cancelled": Cancelled, "moot": Unsent}

func newScenario(t *testing.T) *scenario {
	return &scenario{t: t, rows: map[string]int{}, indices: map[string]int{}, queries: map[string]*Query{},
		d: Deployment{Aggregators: 2, Seed: 7, Tick: 5 * ms, Shards: 4, Cells: 2, CellsPerShard: 1, PartsPerCall: 1,
			MaxExecutions: 3, CanCancel: true, MaxRetryAfter: 2000 * ms,
			ColdCapacity: 0.2, WarmUpTime: 10000 * ms,
			OverloadFactor: 3, OverloadSpan: 1000 * ms}}
}

func (p *scenario) fatal(format string, args ...any) {
	p.t.Helper()
	p.t.Fatalf("%q: %s", p.line, fmt.Sprintf(format, args...))
}

func (p *scenario) number(s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		p.fatal("%v", err)
	}
	return x
}

func (p *scenario) time(s string) int64 { return int64(p.number(s) * ms) }

// start returns the aggregator, which it creates on first use, when the deployment is known.
func (p *scenario) start() *Aggregator {
	if p.agg == nil {
		p.agg = New(p.now, p.d)
	}
	return p.agg
}

func (p *scenario) deploy(key, value string) {
	d, n := &p.d, p.number(value)
	set := map[string]func(){
		"aggregators": func() { d.Aggregators = int(n) }, "number": func() { d.Index = int(n) },
		"shards": func() { d.Shards = int(n) }, "cells": func() { d.Cells = int(n) },
		"reach": func() { d.CellsPerShard = int(n) }, "parts_per_call": func() { d.PartsPerCall = int(n) },
		"executions": func() { d.MaxExecutions = int(n) }, "cancels": func() { d.CanCancel = n > 0 },
		"asks":       func() { d.AsksForList = n > 0 },
		"ask_within": func() { d.AskWithin = int64(n * ms) },
		"free":       func() { d.Budgeted, d.RetrySlack = true, n },
		"share":      func() { d.Budgeted, d.RetryRatio = true, n },
		"span":       func() { d.Budgeted, d.RetryWindow = true, int64(n*ms) },
	}[key]
	if set == nil {
		p.fatal("unknown key %s", key)
	}
	set()
}

func (p *scenario) workload(name string, pairs []string) {
	p.rows[name] = len(p.d.Workloads)
	p.d.Workloads = append(p.d.Workloads, p.terms(pairs))
}

// serve gives the row of a workload new terms.
func (p *scenario) serve(name string, pairs []string) {
	p.d.Workloads = slices.Clone(p.d.Workloads)
	p.d.Workloads[p.rows[name]] = p.terms(pairs)
	p.start().SetWorkloads(p.now, p.d.Workloads)
}

func (p *scenario) terms(pairs []string) Workload {
	w := Workload{LatencyGoal: 1000 * ms, LateShare: 0.3, MinCoverage: 1, FullCoverage: 1,
		PartialShare: 0.9, DedupWindow: 1000 * ms}
	for _, pair := range pairs {
		key, value, _ := strings.Cut(pair, "=")
		switch key {
		case "worth":
			w.Value = p.number(value)
		case "goal":
			w.LatencyGoal = p.time(value)
		case "late":
			w.LateShare = p.number(value)
		case "floor":
			w.MinCoverage = p.number(value)
		case "need":
			w.FullCoverage = p.number(value)
		case "spare":
			w.OptionalGoal = p.time(value)
		case "follow":
			w.FollowUpParts = int(p.number(value))
		case "effect":
			w.RetrySafety = RetrySafety(slices.Index([]string{"repeatable", "tagged", "once-only"}, value))
		default:
			p.fatal("unknown key %s", key)
		}
	}
	return w
}

func (p *scenario) listings(entries []string) (list []Listing) {
	for _, entry := range entries {
		f := append(strings.Split(entry, ":"), "up", "0")
		name, other, reused := strings.Cut(f[0], "=")
		_, known := p.indices[name]
		if reused { // it takes over the index of a replica that is gone
			p.indices[name] = p.indices[other]
			p.names[p.indices[name]] = name
		} else if !known {
			p.indices[name] = len(p.names)
			p.names = append(p.names, name)
		}
		location, callLimit, _ := strings.Cut(f[1], "*")
		cell, extra, _ := strings.Cut(location, "@")
		l := Listing{Replica: p.indices[name], New: reused || !known, Cell: int(p.number(cell)), Distance: strings.Count(location, "@") + len(extra),
			Status: Status(slices.Index([]string{"up", "draining", "gone"}, f[2]))}
		if callLimit != "" {
			l.MaxCalls = int(p.number(callLimit))
		}
		if f[2] == "up" && len(f) > 5 {
			l.StartedAt = p.time(f[3])
		}
		list = append(list, l)
	}
	return list
}

func (p *scenario) take(name string, priority Priority, words []string) {
	shards := words[2:]
	q := p.start().AddQuery(p.now, Arrival{Workload: p.rows[words[0]], Timeout: p.time(words[1]),
		Parts: len(shards), Priority: priority})
	p.queries[name] = q
	p.step(q, shards)
}

func (p *scenario) step(q *Query, shards []string) {
	for _, s := range shards {
		shard, weight, stated := strings.Cut(s, "*")
		if !stated {
			weight = strconv.FormatFloat(1/float64(len(shards)), 'g', -1, 64)
		}
		q.AddPart(int(p.number(shard)), p.number(weight))
	}
}

func (p *scenario) hear(words []string) {
	w := SharedReport{Replica: p.indices[words[0]], Expires: p.time(words[1])}
	for _, word := range words[2:] {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "suspect":
			w.Suspect = true
		case "pace":
			pace, calls, _ := strings.Cut(value, "*")
			w.Slowdown, w.Weight = p.number(pace), p.number(calls)
		case "try":
			w.TrialAt = p.time(value)
		case "away":
			w.DownUntil = p.time(value)
		default:
			p.fatal("unknown key %s", key)
		}
	}
	p.start().ApplyReport(p.now, w)
}

func (p *scenario) decide() {
	name := func(q *Query) string {
		for n, other := range p.queries {
			if other == q {
				return n
			}
		}
		return "?"
	}
	r := p.start().Decide(p.now)
	p.wake = r.WakeAt
	for _, s := range r.Sends {
		p.got = append(p.got, fmt.Sprintf("send %s.%d %s until %d", name(s.Query), s.Part, p.names[s.Replica],
			s.Deadline/ms))
	}
	for _, c := range r.Cancels {
		p.got = append(p.got, fmt.Sprintf("cancel %s.%d %d", name(c.Query), c.Part, c.Execution))
	}
	for _, e := range r.Endings {
		final := []string{"whole", "partial", "declined", "forfeited"}[e.Outcome]
		p.got = append(p.got, fmt.Sprintf("end %s %s", name(e.Query), final))
	}
	for _, replica := range r.CloseIdle {
		p.got = append(p.got, "release "+p.names[replica])
	}
	if r.List == Subscribe {
		p.got = append(p.got, "subscribe")
	}
}

// expect removes one action from those of the last Decide, in any order.
func (p *scenario) expect(want string) {
	if want == "..." {
		p.got = nil
		return
	}
	for i, got := range p.got {
		if got == want || strings.HasPrefix(got, want+" until ") {
			p.got = slices.Delete(p.got, i, i+1)
			return
		}
	}
	p.fatal("not among the remaining actions %q", p.got)
}

func (p *scenario) command(line string) {
	words := strings.Fields(line)
	if words[0] != ">" && len(p.got) > 0 {
		p.fatal("unexpected actions before this command: %q", p.got)
	}
	p.line = line
	switch words[0] {
	case ">":
		p.expect(strings.Join(words[1:], " "))
	case "deploy":
		for _, pair := range words[1:] {
			key, value, _ := strings.Cut(pair, "=")
			p.deploy(key, value)
		}
	case "workload":
		p.workload(words[1], words[2:])
	case "serve":
		p.serve(words[1], words[2:])
	case "list":
		p.start().ReplaceList(p.now, p.listings(words[1:]), true)
	case "remembered":
		p.start().ReplaceList(p.now, p.listings(words[1:]), false)
	case "change":
		p.start().UpdateList(p.now, p.listings(words[1:]))
	case "lost":
		p.start().ListFailed(p.now)
	case "at":
		p.now = p.time(words[1])
		p.decide()
	case "wake":
		if want := words[1]; want == "none" && p.wake != 0 || want != "none" && p.wake != p.time(want) {
			p.fatal("the next Decide is wanted at %d ms", p.wake/ms)
		}
	case "clock":
		p.now = p.time(words[1])
	case "take":
		p.take(words[1], FirstTry, words[2:])
	case "over":
		p.take(words[1], OverQuota, words[2:])
	case "again":
		p.take(words[1], Retry, words[2:])
	case "hear":
		p.hear(words[1:])
	case "flood":
		for i := range int(p.number(words[1])) {
			p.take(fmt.Sprint(words[2], i), FirstTry, words[3:])
		}
	case "step":
		p.step(p.queries[words[1]], words[2:])
	case "stood":
		p.start().RecordStall(p.time(words[1]))
	case "leave":
		p.queries[words[1]].ClientLeft(p.now)
	default:
		result, ok := results[words[0]]
		if !ok {
			p.fatal("unknown command")
		}
		for _, word := range words[1 : len(words)-1] {
			name, number, _ := strings.Cut(word, ".")
			q, part := p.queries[name], int(p.number(number))
			if !q.RecordResult(p.now, part, len(q.parts[part].executions)-1, result, p.time(words[len(words)-1])) {
				p.fatal("RecordResult refused the result")
			}
		}
	}
	for i := 0; p.agg != nil && i < len(p.agg.replicas); i++ {
		if p.agg.replicas[i].calls < 0 {
			p.fatal("the calls in flight at %s fell below zero", p.names[i])
		}
	}
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := newScenario(t)
			for _, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				for _, command := range strings.Split(line, ";") {
					if command = strings.TrimSpace(command); command != "" {
						p.command(command)
					}
				}
			}
			if len(p.got) > 0 {
				t.Fatalf("unexpected actions at the end: %q", p.got)
			}
		})
	}
}
