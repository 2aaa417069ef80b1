// Package sites starts whole sites on loopback addresses for measurements and tests: stand-in replicas, a discovery service, the
// real program as child processes, a simulated link between the sites, and clients that count outcomes. It measures only what
// clients, replicas and the link can observe and does not check the program's decisions.
package sites

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/shirou/gopsutil/v4/process"

	"willowsill/internal/healthcheck"
	"willowsill/standin"
	"willowsill/standin/certificates"
	"willowsill/standin/link"
	"willowsill/standin/ports"
	"willowsill/transport/replica"
)

// Config describes the sites to start.
type Config struct {
	Binary            string // path of the program
	Dir               string // folder for the files of the testbed; not to be shared with another testbed
	SiteNames         []string
	ProcessesPerSite  int    // number of processes of a site, each of which serves clients and is a gateway
	Isolated          bool   // the sites have no gateways to each other
	Policy            string // routing policy of the gateways: plan, all or half
	HTTP2             bool
	PartDuration      time.Duration // processing time of one part
	WorkersPerReplica int           // parts that a replica processes at the same time
	ReplicasPerShard  int
	LinkQueryRate     float64            // queries a second that each process may forward over a link
	LinkByteRate      int64              // bytes a second that each process may send over a link
	LinkConditions    link.Conditions    // conditions of each direction of each link
	Revenue           map[string]float64 // revenue of a query answered within its goal, by workload; 1 for workloads without an entry
	Evacuated         []string           // sites whose operator evacuates them from the start
	Script            string             // additional statements of every process's operator script
	MaxHeld           int                // queries and parts that a process may hold at a time; 0 for 200
	MaxSockets        int                // socket descriptors that a process may use; 0 for 512
	ShardCount        int                // number of shards of each site; 0 for DefaultShards
}

func (s *Config) shards() int { return cmp.Or(s.ShardCount, DefaultShards) }

// The number of shards of a site unless Config says otherwise, and the timing of clients and processes.
const (
	DefaultShards      = 2
	ClientTimeout      = 3 * time.Second
	LatencyGoal        = 1500 * time.Millisecond
	clientSlack        = 50 * time.Millisecond // added to the clients' timeout for the delay of real sockets
	startupTimeout     = 10 * time.Second      // maximum time until a process passes its first health check
	healthPollInterval = 20 * time.Millisecond // time between two health checks during startup
)

// Workloads are the workloads of every site. Repeated executions are harmless for look, are recognised and ignored by replicas for
// book, and must not happen for pay.
var Workloads = []string{"look", "book", "pay"}

// Testbed holds the running sites, their links and the clients.
type Testbed struct {
	Config
	Sites   map[string]*Site
	Links   map[string]*link.Link // links by "FROM>TO", the names of the two sites
	closers []func()
	client  *http.Client

	mu         sync.Mutex
	executions map[string]int // number of executions of each part at all sites together, by part ID
}

// Site is one running site with its replicas, discovery service and processes.
type Site struct {
	testbed          *Testbed
	name             string
	discoveryAddress string
	gatewayAddresses []string
	clientAddresses  []string
	processes        []*siteProcess

	mu           sync.Mutex
	unresponsive bool // the replicas accept parts and never reply
}

// siteProcess is one child process of a site.
type siteProcess struct {
	cmd     *exec.Cmd
	done    chan struct{}
	cpuTime time.Duration // user and system time; valid once done is closed
}

// Start starts the sites. The caller must call Stop on the result, also after an error.
func Start(s Config) (*Testbed, error) {
	w := &Testbed{Config: s, Sites: map[string]*Site{}, Links: map[string]*link.Link{}, executions: map[string]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Second}}}
	authority, err := certificates.New(s.Dir)
	if err != nil {
		return w, err
	}
	for _, name := range s.SiteNames {
		site := &Site{testbed: w, name: name}
		w.Sites[name] = site
		if err := site.startReplicas(); err != nil {
			return w, err
		}
		for range s.ProcessesPerSite {
			for _, at := range []*[]string{&site.gatewayAddresses, &site.clientAddresses} {
				address, err := ports.Free()
				if err != nil {
					return w, err
				}
				*at = append(*at, address)
			}
		}
	}
	for _, name := range s.SiteNames {
		if _, _, err := authority.Issue(name, name+".gateway", time.Now().Add(12*time.Hour)); err != nil {
			return w, err
		}
		if err := w.Sites[name].writeFiles(); err != nil {
			return w, err
		}
		for i := range s.ProcessesPerSite {
			if err := w.Sites[name].Start(i); err != nil {
				return w, err
			}
		}
	}
	for _, name := range s.SiteNames {
		if err := w.Sites[name].waitAllReady(); err != nil {
			return w, err
		}
	}
	return w, nil
}

// Stop kills all processes and closes all stand-ins and links.
func (w *Testbed) Stop() {
	for _, s := range w.Sites {
		for i := range s.processes {
			s.Kill(i)
		}
	}
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
	w.client.CloseIdleConnections()
}

// listen serves on a loopback port until the testbed is stopped.
func (w *Testbed) listen(serve func(net.Listener)) (string, error) {
	address, end, err := ports.Serve(serve)
	if err == nil {
		w.closers = append(w.closers, end)
	}
	return address, err
}

// startReplicas starts the site's replicas and the discovery service that lists them.
func (s *Site) startReplicas() error {
	registry := standin.NewDiscovery()
	for i := range s.testbed.shards() * s.testbed.ReplicasPerShard {
		workers := make(chan struct{}, s.testbed.WorkersPerReplica)
		standIn := &standin.Replica{Answer: func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
			return s.answer(ctx, p, workers)
		}}
		address, err := s.testbed.listen(func(l net.Listener) { standIn.Serve(l) })
		if err != nil {
			return err
		}
		registry.Change(standin.Host{Host: fmt.Sprint("s-", i), Dial: address, Cell: i % s.testbed.shards(), Health: "active"})
	}
	var err error
	s.discoveryAddress, err = s.testbed.listen(func(l net.Listener) { (&http.Server{Handler: registry}).Serve(l) })
	return err
}

// answer processes one part. The part counts as executed on arrival, even if its reply never comes.
func (s *Site) answer(ctx context.Context, p replica.Part, workers chan struct{}) (replica.Reply, bool) {
	s.testbed.mu.Lock()
	s.testbed.executions[p.ID]++
	s.testbed.mu.Unlock()
	s.mu.Lock()
	unresponsive := s.unresponsive
	s.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return replica.Reply{}, false
	}
	select {
	case workers <- struct{}{}:
		defer func() { <-workers }()
	case <-ctx.Done():
		return replica.Reply{}, false
	}
	select {
	case <-time.After(s.testbed.PartDuration):
		return replica.Reply{ID: p.ID, Value: p.ID}, true
	case <-ctx.Done():
		return replica.Reply{}, false
	}
}

// SetUnresponsive makes the site's replicas accept parts without ever replying, or makes them work again.
func (s *Site) SetUnresponsive(unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = unresponsive
}

// writeFiles writes the configuration and the operator scripts that the site's processes read.
func (s *Site) writeFiles() error {
	var rows []map[string]any
	for i, name := range Workloads {
		rows = append(rows, map[string]any{"name": name, "slo": LatencyGoal.Milliseconds(), "give_up": ClientTimeout.Milliseconds(),
			"late_worth": 0.3, "repeat": [...]string{"free", "guarded", "single_shot"}[i], "window": 10000})
	}
	forEachWorkload := func(x float64) []float64 { return []float64{x, x, x} }
	config := map[string]any{"seed": "00000000000000a7",
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": cmp.Or(s.testbed.MaxSockets, 512)},
		"settings": map[string]any{"index": 0, "balancers": s.testbed.ProcessesPerSite, "tick": 5, "membership_mode": "push",
			"caps": map[string]any{"max_attempts": 3, "most_held": cmp.Or(s.testbed.MaxHeld, 200), "cancel": true, "retry_after": true,
				"max_retry_after": 2000, "streams_per_conn": 32, "connect_timeout": 200, "conn_idle": 20000},
			"domain": map[string]any{"slices": s.testbed.shards(), "cells": s.testbed.shards(), "in_a_row": 1, "parts_a_call": 1, "class_need": forEachWorkload(1),
				"class_floor": forEachWorkload(1), "incomplete_worth": forEachWorkload(0.9), "follow_up": []int{0, 0, 0}},
			"classes":    rows,
			"guarantees": map[string]any{"cold_from": 0.2, "ramp_time": 9000, "fall_multiple": 4, "fall": 1000}}}
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.path("json"), text, 0o600); err != nil {
		return err
	}
	for i := range s.gatewayAddresses {
		script, err := s.script(i)
		if err != nil {
			return err
		}
		if err := os.WriteFile(s.path(strconv.Itoa(i)+".star"), []byte(script), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) path(suffix string) string { return filepath.Join(s.testbed.Dir, s.name+"."+suffix) }

// script returns the operator's script for one process. Its links lead through the testbed's simulated links.
func (s *Site) script(i int) (string, error) {
	w := s.testbed
	if w.Isolated {
		return w.Script, nil
	}
	var b strings.Builder
	b.WriteString(w.Script)
	revenue, _ := json.Marshal(w.Revenue)
	if w.Revenue == nil {
		revenue = []byte("{}")
	}
	fmt.Fprintf(&b, "site(name = %q, listen = %q, cert_file = %q, key_file = %q, ca_file = %q, remember = %q,\n"+
		"     revenue = %s, policy = %q, http2 = %s, dark = %s)\n", s.name, s.gatewayAddresses[i], s.path("pem"), s.path("key"),
		filepath.Join(w.Dir, "authority.pem"), s.path(strconv.Itoa(i)+".ids"), revenue, w.Policy,
		starlarkBool(w.HTTP2), starlarkBool(slices.Contains(w.Evacuated, s.name)))
	for _, other := range w.SiteNames {
		if other == s.name {
			continue
		}
		key := s.name + ">" + other
		if w.Links[key] == nil {
			w.Links[key] = &link.Link{}
			w.Links[key].Set(w.LinkConditions, w.LinkConditions)
		}
		var proxyAddresses []string
		siteLink := w.Links[key] // captured here because the map may grow while the listeners serve
		for _, gatewayAddress := range w.Sites[other].gatewayAddresses {
			address, err := w.listen(func(l net.Listener) { siteLink.Serve(l, gatewayAddress) })
			if err != nil {
				return "", err
			}
			proxyAddresses = append(proxyAddresses, strconv.Quote(address))
		}
		fmt.Fprintf(&b, "link(to = %q, gateways = [%s], queries = %g, bytes = \"%dB\", cost = 0.05)\n", other,
			strings.Join(proxyAddresses, ", "), w.LinkQueryRate, w.LinkByteRate)
	}
	return b.String(), nil
}

func starlarkBool(b bool) string {
	if b {
		return "True"
	}
	return "False"
}

// CPU returns the CPU time that all running processes have used.
func (w *Testbed) CPU() (sum time.Duration) {
	for _, s := range w.Sites {
		for _, p := range s.processes {
			if at, err := process.NewProcess(int32(p.cmd.Process.Pid)); err == nil {
				if t, err := at.Times(); err == nil {
					sum += time.Duration((t.User + t.System) * 1e9)
				}
			}
		}
	}
	return sum
}

// Start starts process i of the site, for the first time or again.
func (s *Site) Start(i int) error {
	log, err := os.OpenFile(s.path(strconv.Itoa(i)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := []string{}
	if !s.testbed.Isolated || s.testbed.Script != "" {
		args = []string{"serve", "--operator", s.path(strconv.Itoa(i) + ".star")}
	}
	p := &siteProcess{cmd: exec.Command(s.testbed.Binary, args...), done: make(chan struct{})}
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), "NODE_NAME="+s.name+strconv.Itoa(i), "NODE_LISTEN="+s.clientAddresses[i],
		"NODE_DISCOVERY="+s.discoveryAddress, "NODE_CONFIG="+s.path("json"))
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return err
	}
	go func() {
		defer close(p.done)
		defer log.Close()
		p.cmd.Wait()
		p.cpuTime = p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	}()
	if i < len(s.processes) {
		s.processes[i] = p
	} else {
		s.processes = append(s.processes, p)
	}
	return nil
}

// Kill ends process i with SIGKILL, as if its machine had crashed, and returns the CPU time that it used.
func (s *Site) Kill(i int) time.Duration {
	s.processes[i].cmd.Process.Kill()
	<-s.processes[i].done
	return s.processes[i].cpuTime
}

// URL returns the address where process i serves clients.
func (s *Site) URL(i int) string { return "http://" + s.clientAddresses[i] }

// Signal sends a signal to process i.
func (s *Site) Signal(i int, what syscall.Signal) error {
	return s.processes[i].cmd.Process.Signal(what)
}

// PID returns the process ID of process i.
func (s *Site) PID(i int) int { return s.processes[i].cmd.Process.Pid }

// Terminate ends process i with SIGTERM, as for a planned restart, and waits until it has drained and exited.
func (s *Site) Terminate(i int) error {
	p := s.processes[i]
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-time.After(3 * ClientTimeout):
		return errors.New("a process did not end after SIGTERM")
	}
}

// waitAllReady waits until all of the site's processes pass their health check.
func (s *Site) waitAllReady() error {
	for i := range s.clientAddresses {
		if err := s.WaitReady(i); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until process i passes its health check.
func (s *Site) WaitReady(i int) error {
	health := healthcheck.Wait{Client: s.testbed.client, Interval: healthPollInterval, Timeout: startupTimeout}
	if err := health.Until("http://" + s.clientAddresses[i]); err != nil {
		return fmt.Errorf("process %d of site %s, whose log is %s: %w", i, s.name, s.path(strconv.Itoa(i)+".log"), err)
	}
	return nil
}

// Counters returns the counters that process i serves, or nil if it does not answer.
func (s *Site) Counters(i int) (all map[string]any) {
	r, err := s.testbed.client.Get("http://" + s.clientAddresses[i] + "/counters")
	if err != nil {
		return nil
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(text, &all) != nil {
		return nil
	}
	return all
}

// Counter returns one number of a process's counters, or 0 if it is missing; path holds the nested JSON keys.
func Counter(all map[string]any, path ...string) float64 {
	var v any = all
	for _, key := range path {
		m, _ := v.(map[string]any)
		v = m[key]
	}
	x, _ := v.(float64)
	return x
}

// ExecutionCount returns how often a part was executed, at all sites together.
func (w *Testbed) ExecutionCount(part string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executions[part]
}
