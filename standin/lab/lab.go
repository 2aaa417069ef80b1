// Package lab runs an emulator's plan in real time on loopback sockets: the real program as child processes, stand-in replicas that
// behave as the plan's model of replicas, a discovery service, and clients that send exactly the queries of the emulator. It shows
// whether the emulator's results are too optimistic.
package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"willowsill/balance"
	"willowsill/internal/healthcheck"
	"willowsill/lab/emulator"
	"willowsill/standin"
	"willowsill/standin/ports"
	"willowsill/transport/replica"
)

const (
	startupTimeout     = 15 * time.Second      // maximum time until a process passes its first health check
	healthPollInterval = 20 * time.Millisecond // time between two health checks during startup
	clientSlack        = 50 * time.Millisecond // added to the clients' timeout for the delay of real sockets
)

// testbed holds the processes, stand-ins and clients of one plan that is being run.
type testbed struct {
	emulator.Plan
	dir              string
	discovery        *standin.Discovery
	discoveryAddress string
	replicas         []*simReplica
	frontURLs        []string
	processes        []*exec.Cmd
	closers          []func()
	client           *http.Client
	runStart         time.Time // time at which the clients start and from which plan times count

	mu             sync.Mutex
	recorder       *emulator.Recorder
	dueTimes       map[string]int64 // plan time at which a query was due, by its ID, which the IDs of its parts begin with
	attemptsByPart map[string]int   // number of times that a part arrived at a replica, by its ID
	faultyHits     int              // parts that arrived at a replica with an active fault
}

// Run runs a plan with the program and returns what its clients and replicas measured.
func Run(binary string, p emulator.Plan) (*emulator.Result, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	if p.Policy != "module" {
		return nil, errors.New(`only the policy "module" can run on sockets`)
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	w := &testbed{Plan: p, dir: dir, discovery: standin.NewDiscovery(), recorder: emulator.NewRecorder(&p), dueTimes: map[string]int64{},
		attemptsByPart: map[string]int{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Second}}}
	defer w.stop()
	if err := w.start(binary); err != nil {
		return nil, err
	}
	w.runLoad()
	r := w.recorder.Summary()
	r.FaultyExecutions = w.faultyHits
	return r, nil
}

// start starts the replicas, the discovery service and the program's processes, and waits until these are healthy.
func (w *testbed) start(binary string) error {
	for i := range w.Replicas {
		b := &simReplica{testbed: w, index: i, rng: rand.New(rand.NewPCG(w.Seed, 1<<32+uint64(i))), workers: make(chan struct{}, w.Workers)}
		b.speed = math.Exp(w.SpeedSigma * b.rng.NormFloat64())
		if err := b.startListening(); err != nil {
			return err
		}
		w.replicas = append(w.replicas, b)
		w.discovery.Change(b.discoveryEntry("active"))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.discoveryAddress = l.Addr().String()
	discoveryServer := &http.Server{Handler: w.discovery}
	go discoveryServer.Serve(l)
	w.closers = append(w.closers, func() { discoveryServer.Close() })
	for i := range w.Aggregators {
		if err := w.startAggregator(binary, i); err != nil {
			return err
		}
	}
	health := healthcheck.Wait{Client: w.client, Interval: healthPollInterval, Timeout: startupTimeout}
	for _, frontURL := range w.frontURLs {
		if err := health.Until(frontURL); err != nil {
			return err
		}
	}
	return nil
}

func (w *testbed) stop() {
	for _, p := range w.processes {
		p.Process.Kill()
		p.Wait()
	}
	for _, b := range w.replicas {
		b.stopListening()
	}
	for _, end := range w.closers {
		end()
	}
	w.client.CloseIdleConnections()
}

// startAggregator writes the configuration of the aggregator with the given index and starts it as a child process.
func (w *testbed) startAggregator(binary string, index int) error {
	text, err := json.Marshal(w.config(index))
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, fmt.Sprint(index, ".json"))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	frontURL, err := ports.Free()
	if err != nil {
		return err
	}
	p := exec.Command(binary)
	p.Env = append(os.Environ(), "NODE_NAME=n"+strconv.Itoa(index), "NODE_LISTEN="+frontURL, "NODE_DISCOVERY="+w.discoveryAddress, "NODE_CONFIG="+file)
	if err := p.Start(); err != nil {
		return err
	}
	w.processes, w.frontURLs = append(w.processes, p), append(w.frontURLs, "http://"+frontURL)
	return nil
}

// config returns the configuration file of one process, with the values of the plan.
func (w *testbed) config(index int) map[string]any {
	var rows []map[string]any
	var ones, floors, partial []float64
	var none []int
	for _, l := range w.Workloads {
		rows = append(rows, map[string]any{"name": l.Name, "slo": l.LatencyGoal / 1e6, "give_up": l.Timeout / 1e6, "late_worth": 0.3,
			"repeat": [...]string{"free", "guarded", "single_shot"}[l.RetrySafety], "window": max(l.DedupWindow/1e6, 1)})
		ones, floors, partial, none = append(ones, 1), append(floors, l.MinCoverage), append(partial, 0.9), append(none, 0)
	}
	rules := map[string]any{"cold_from": w.ColdCapacity, "ramp_time": w.WarmUpTime / 1e6, "fall_multiple": w.OverloadFactor, "fall": w.OverloadSpan / 1e6}
	if w.Budgeted {
		rules["ratio_span"], rules["budget_free"], rules["extra_per_request"] = w.RetryWindow/1e6, w.RetrySlack, w.RetryRatio
	}
	return map[string]any{"seed": fmt.Sprintf("%016x", w.Seed*1_000_003+uint64(index)),
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 1024},
		"settings": map[string]any{"index": index, "balancers": w.Aggregators, "tick": w.Tick / 1e6, "membership_mode": "push",
			"caps": map[string]any{"max_attempts": w.MaxExecutions, "most_held": 2000, "cancel": w.CanCancel, "retry_after": true,
				"max_retry_after": 2000, "streams_per_conn": 32, "connect_timeout": 200, "conn_idle": 20000},
			"domain": map[string]any{"slices": w.Shards(), "cells": w.Shards(), "in_a_row": 1, "parts_a_call": 1, "class_need": ones,
				"class_floor": floors, "incomplete_worth": partial, "follow_up": none},
			"classes": rows, "guarantees": rules}}
}

// runTime returns the time since the start of the run in ns, the time scale of the plan.
func (w *testbed) runTime() int64 { return int64(time.Since(w.runStart)) }

// runLoad runs all faults and clients of the plan and waits for their end.
func (w *testbed) runLoad() {
	w.runStart = time.Now()
	var all sync.WaitGroup
	for n, f := range w.Faults {
		for _, r := range f.Replicas {
			all.Go(func() { w.replicas[r].runFault(n) })
		}
	}
	for i, frontURL := range w.frontURLs {
		for n := range w.Workloads {
			arrivals := w.Arrivals(i, n)
			all.Go(func() {
				var inFlight sync.WaitGroup
				defer inFlight.Wait()
				index := 0
				for at, comes := arrivals.Next(0); comes; at, comes = arrivals.Next(at) {
					shards := arrivals.DrawShards()
					time.Sleep(time.Until(w.runStart.Add(time.Duration(at))))
					index++
					id := fmt.Sprintf("%d-%d-%d", i, n, index)
					inFlight.Go(func() { w.ask(frontURL, id, n, at, shards) })
				}
			})
		}
	}
	all.Wait()
}

// ask sends one query and records its outcome. Latencies count from the time at which the query was due.
func (w *testbed) ask(frontURL, id string, workload int, due int64, shards []int) {
	l := &w.Workloads[workload]
	w.mu.Lock()
	w.recorder.RecordQuery(due, workload)
	w.dueTimes[id] = due
	w.mu.Unlock()
	final := w.post(frontURL, id, l, shards)
	ended := w.runTime()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recorder.RecordAnswer(due, ended, workload, 0, final)
}

// post sends one query over HTTP and classifies the answer.
func (w *testbed) post(frontURL, id string, l *emulator.Workload, shards []int) balance.Outcome {
	type segment struct {
		Segment int     `json:"segment"`
		Boost   float64 `json:"boost"`
	}
	var body struct {
		Segments []segment `json:"segments"`
		Text     string    `json:"text"`
	}
	for _, s := range shards {
		body.Segments = append(body.Segments, segment{s, 1 / float64(len(shards))})
	}
	text, err := json.Marshal(body)
	if err != nil {
		return balance.Forfeited
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(l.Timeout)+clientSlack)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, frontURL+"/"+l.Name, bytes.NewReader(text))
	if err != nil {
		return balance.Forfeited
	}
	r.Header.Set("X-Qos", l.Name)
	r.Header.Set("X-Trace-Id", id)
	r.Header.Set("X-Expires-In-Ms", strconv.FormatInt(l.Timeout/1e6, 10))
	a, err := w.client.Do(r)
	if err != nil {
		return balance.Forfeited
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	var answer struct {
		AllIn bool `json:"all_in"`
	}
	switch {
	case a.StatusCode == http.StatusServiceUnavailable:
		return balance.Declined
	case err != nil || a.StatusCode != http.StatusOK || json.Unmarshal(got, &answer) != nil:
		return balance.Forfeited
	case answer.AllIn:
		return balance.Whole
	}
	return balance.Partial
}

// recordPart counts a part that arrived at a replica.
func (w *testbed) recordPart(p replica.Part, faulty bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := bytes.Cut([]byte(p.ID), []byte("."))
	if faulty {
		w.faultyHits++
	}
	if asked, known := w.dueTimes[string(id)]; known {
		w.recorder.RecordExecution(asked, w.attemptsByPart[p.ID] > 0)
		w.attemptsByPart[p.ID]++
	}
}
