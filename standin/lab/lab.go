// Package lab plays an emulator's plan on loopback sockets: the true program as processes, stand-in replicas that do what the
// plan's models do, in real time, a discovery, and clients that ask the very queries that the emulator would have come. It
// shows whether the emulator flatters.
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
	upWithin   = 15 * time.Second
	healthPoll = 20 * time.Millisecond
	slack      = 50 * time.Millisecond // that clients wait longer on sockets
)

// world is one plan being played.
type world struct {
	emulator.Plan
	dir    string
	list   *standin.Discovery
	lists  string
	backs  []*back
	fronts []string
	procs  []*exec.Cmd
	ends   []func()
	client *http.Client
	began  time.Time // the clients' start

	mu    sync.Mutex
	tally *emulator.Tally
	asked map[string]int64 // when a query was asked, by id; its parts name it
	parts map[string]int   // how often a part came to a replica
	met   int
}

// Run plays a plan with the program.
func Run(binary string, p emulator.Plan) (*emulator.Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if p.Policy != "module" {
		return nil, errors.New("on sockets there is only the true program")
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	w := &world{Plan: p, dir: dir, list: standin.NewDiscovery(), tally: emulator.NewTally(&p), asked: map[string]int64{},
		parts: map[string]int{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Second}}}
	defer w.stop()
	if err := w.start(binary); err != nil {
		return nil, err
	}
	w.play()
	r := w.tally.Sum()
	r.AtFaulty = w.met
	return r, nil
}

func (w *world) start(binary string) error {
	for i := range w.Replicas {
		b := &back{world: w, number: i, chance: rand.New(rand.NewPCG(w.Seed, 1<<32+uint64(i))), workers: make(chan struct{}, w.Workers)}
		b.speed = math.Exp(w.Unlike * b.chance.NormFloat64())
		if err := b.up(); err != nil {
			return err
		}
		w.backs = append(w.backs, b)
		w.list.Change(b.host("active"))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.lists = l.Addr().String()
	lists := &http.Server{Handler: w.list}
	go lists.Serve(l)
	w.ends = append(w.ends, func() { lists.Close() })
	for i := range w.Aggregators {
		if err := w.aggregator(binary, i); err != nil {
			return err
		}
	}
	health := healthcheck.Wait{Client: w.client, Every: healthPoll, Within: upWithin}
	for _, front := range w.fronts {
		if err := health.Until(front); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) stop() {
	for _, p := range w.procs {
		p.Process.Kill()
		p.Wait()
	}
	for _, b := range w.backs {
		b.down()
	}
	for _, end := range w.ends {
		end()
	}
	w.client.CloseIdleConnections()
}

// aggregator starts one process.
func (w *world) aggregator(binary string, number int) error {
	text, err := json.Marshal(w.config(number))
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, fmt.Sprint(number, ".json"))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	front, err := ports.Free()
	if err != nil {
		return err
	}
	p := exec.Command(binary)
	p.Env = append(os.Environ(), "NODE_NAME=n"+strconv.Itoa(number), "NODE_LISTEN="+front, "NODE_DISCOVERY="+w.lists, "NODE_CONFIG="+file)
	if err := p.Start(); err != nil {
		return err
	}
	w.procs, w.fronts = append(w.procs, p), append(w.fronts, "http://"+front)
	return nil
}

// config is what a process is told of the plan.
func (w *world) config(number int) map[string]any {
	var rows []map[string]any
	var ones, floors, partial []float64
	var none []int
	for _, l := range w.Loads {
		rows = append(rows, map[string]any{"name": l.Name, "slo": l.Goal / 1e6, "give_up": l.Patience / 1e6, "late_worth": 0.3,
			"repeat": [...]string{"free", "guarded", "single_shot"}[l.Effect], "window": max(l.Window/1e6, 1)})
		ones, floors, partial, none = append(ones, 1), append(floors, l.Floor), append(partial, 0.9), append(none, 0)
	}
	rules := map[string]any{"cold_from": w.ColdShare, "ramp_time": w.ColdRamp / 1e6, "fall_multiple": w.FallMultiple, "fall": w.FallSpan / 1e6}
	if w.Budgeted {
		rules["ratio_span"], rules["budget_free"], rules["extra_per_request"] = w.BudgetSpan/1e6, w.Free, w.Share
	}
	return map[string]any{"seed": fmt.Sprintf("%016x", w.Seed*1_000_003+uint64(number)),
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 1024},
		"settings": map[string]any{"index": number, "balancers": w.Aggregators, "tick": w.Tick / 1e6, "membership_mode": "push",
			"caps": map[string]any{"max_attempts": w.Executions, "most_held": 2000, "cancel": w.Cancels, "retry_after": true,
				"max_retry_after": 2000, "streams_per_conn": 32, "connect_timeout": 200, "conn_idle": 20000},
			"domain": map[string]any{"slices": w.Shards(), "cells": w.Shards(), "in_a_row": 1, "parts_a_call": 1, "class_need": ones,
				"class_floor": floors, "incomplete_worth": partial, "follow_up": none},
			"classes": rows, "guarantees": rules}}
}

// now is the run's time, ns.
func (w *world) now() int64 { return int64(time.Since(w.began)) }

// play has the faults and the clients come.
func (w *world) play() {
	w.began = time.Now()
	var all sync.WaitGroup
	for n, f := range w.Faults {
		for _, r := range f.Replicas {
			all.Go(func() { w.backs[r].befall(n) })
		}
	}
	for i, front := range w.fronts {
		for n := range w.Loads {
			arrivals := w.Arrivals(i, n)
			all.Go(func() {
				var under sync.WaitGroup
				defer under.Wait()
				number := 0
				for at, comes := arrivals.Next(0); comes; at, comes = arrivals.Next(at) {
					shards := arrivals.Shards()
					time.Sleep(time.Until(w.began.Add(time.Duration(at))))
					number++
					id := fmt.Sprintf("%d-%d-%d", i, n, number)
					under.Go(func() { w.ask(front, id, n, at, shards) })
				}
			})
		}
	}
	all.Wait()
}

// ask asks one query and books its end. Times count from when it was due.
func (w *world) ask(front, id string, load int, due int64, shards []int) {
	l := &w.Loads[load]
	w.mu.Lock()
	w.tally.Ask(due, load)
	w.asked[id] = due
	w.mu.Unlock()
	final := w.post(front, id, l, shards)
	ended := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tally.End(due, ended, load, 0, final)
}

func (w *world) post(front, id string, l *emulator.Load, shards []int) balance.Outcome {
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
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(l.Patience)+slack)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, front+"/"+l.Name, bytes.NewReader(text))
	if err != nil {
		return balance.Forfeited
	}
	r.Header.Set("X-Qos", l.Name)
	r.Header.Set("X-Trace-Id", id)
	r.Header.Set("X-Expires-In-Ms", strconv.FormatInt(l.Patience/1e6, 10))
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

// came books a part at a replica.
func (w *world) came(p replica.Part, faulty bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := bytes.Cut([]byte(p.ID), []byte("."))
	if faulty {
		w.met++
	}
	if asked, known := w.asked[string(id)]; known {
		w.tally.Send(asked, w.parts[p.ID] > 0)
		w.parts[p.ID]++
	}
}
