// Package sites starts whole sites on loopback for trials and tests: stand-in replicas and a discovery, the true program as
// processes of its own, a link between the sites, and clients that ask and tally. It judges nothing that the program decides;
// it only sees what clients, replicas and the link see.
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

// Config is what is started.
type Config struct {
	Binary            string // the program
	Dir               string // for files; each world wants one of its own
	SiteNames         []string
	ProcessesPerSite  int  // processes of a site, each of which serves clients and is a gateway
	Isolated          bool // no site knows of another
	Policy            string
	HTTP2             bool
	PartDuration      time.Duration // of a part
	WorkersPerReplica int           // parts that a replica works on at a time
	ReplicasPerShard  int           // replicas of each shard
	LinkQueryRate     float64       // a second over a link, for each process
	LinkByteRate      int64
	LinkConditions    link.Conditions    // each direction of each link
	Revenue           map[string]float64 // by workload
	Evacuated         []string           // sites that are left by hand from the start on
	Script            string             // what else the operator of each process says
	MaxHeld           int                // queries and parts that a process may hold; 0 for 200
	MaxSockets        int                // descriptors of a process; 0 for 512
	ShardCount        int                // shards of each site; 0 for Shards
}

func (s *Config) shards() int { return cmp.Or(s.ShardCount, DefaultShards) }

// DefaultShards of each site, and Patience and Goal of its clients.
const (
	DefaultShards      = 2
	ClientTimeout      = 3 * time.Second
	LatencyGoal        = 1500 * time.Millisecond
	clientSlack        = 50 * time.Millisecond // that a client waits longer on sockets
	startupTimeout     = 10 * time.Second
	healthPollInterval = 20 * time.Millisecond
)

// Workloads are a site's, by what a further execution of them means.
var Workloads = []string{"look", "book", "pay"}

// Testbed is what was started.
type Testbed struct {
	Config
	Sites   map[string]*Site
	Links   map[string]*link.Link // FROM>TO
	closers []func()
	client  *http.Client

	mu         sync.Mutex
	executions map[string]int // by part, how often it ran, at whichever site
}

// Site is one of them.
type Site struct {
	testbed          *Testbed
	name             string
	discoveryAddress string // its discovery
	gatewayAddresses []string
	clientAddresses  []string // addresses for clients
	processes        []*siteProcess

	mu           sync.Mutex
	unresponsive bool // its replicas take parts and say nothing
}

type siteProcess struct {
	cmd     *exec.Cmd
	done    chan struct{}
	cpuTime time.Duration // CPU, once it has ended
}

// Start starts a world. Stop ends it, also after an error.
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

// Stop ends all processes and stand-ins.
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

// listen serves on a loopback port until the world's end.
func (w *Testbed) listen(serve func(net.Listener)) (string, error) {
	address, end, err := ports.Serve(serve)
	if err == nil {
		w.closers = append(w.closers, end)
	}
	return address, err
}

// startReplicas starts a site's replicas and the discovery that names them.
func (s *Site) startReplicas() error {
	list := standin.NewDiscovery()
	for i := range s.testbed.shards() * s.testbed.ReplicasPerShard {
		workers := make(chan struct{}, s.testbed.WorkersPerReplica)
		toy := &standin.Replica{Answer: func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
			return s.answer(ctx, p, workers)
		}}
		address, err := s.testbed.listen(func(l net.Listener) { toy.Serve(l) })
		if err != nil {
			return err
		}
		list.Change(standin.Host{Host: fmt.Sprint("s-", i), Dial: address, Cell: i % s.testbed.shards(), Health: "active"})
	}
	var err error
	s.discoveryAddress, err = s.testbed.listen(func(l net.Listener) { (&http.Server{Handler: list}).Serve(l) })
	return err
}

// answer works on one part. What is taken has its effect, whatever becomes of its answer.
func (s *Site) answer(ctx context.Context, p replica.Part, workers chan struct{}) (replica.Reply, bool) {
	s.testbed.mu.Lock()
	s.testbed.executions[p.ID]++
	s.testbed.mu.Unlock()
	s.mu.Lock()
	dark := s.unresponsive
	s.mu.Unlock()
	if dark {
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

// SetUnresponsive has the site's replicas take parts and say nothing, or work again.
func (s *Site) SetUnresponsive(dark bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = dark
}

// writeFiles makes the files that the site's processes read.
func (s *Site) writeFiles() error {
	var rows []map[string]any
	for i, name := range Workloads {
		rows = append(rows, map[string]any{"name": name, "slo": LatencyGoal.Milliseconds(), "give_up": ClientTimeout.Milliseconds(),
			"late_worth": 0.3, "repeat": [...]string{"free", "guarded", "single_shot"}[i], "window": 10000})
	}
	three := func(x float64) []float64 { return []float64{x, x, x} }
	config := map[string]any{"seed": "00000000000000a7",
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": cmp.Or(s.testbed.MaxSockets, 512)},
		"settings": map[string]any{"index": 0, "balancers": s.testbed.ProcessesPerSite, "tick": 5, "membership_mode": "push",
			"caps": map[string]any{"max_attempts": 3, "most_held": cmp.Or(s.testbed.MaxHeld, 200), "cancel": true, "retry_after": true,
				"max_retry_after": 2000, "streams_per_conn": 32, "connect_timeout": 200, "conn_idle": 20000},
			"domain": map[string]any{"slices": s.testbed.shards(), "cells": s.testbed.shards(), "in_a_row": 1, "parts_a_call": 1, "class_need": three(1),
				"class_floor": three(1), "incomplete_worth": three(0.9), "follow_up": []int{0, 0, 0}},
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

func (s *Site) path(end string) string { return filepath.Join(s.testbed.Dir, s.name+"."+end) }

// script is what the operator of a site would write for one process, links crossing the world's.
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
		var doors []string
		between := w.Links[key] // the map grows while they serve
		for _, door := range w.Sites[other].gatewayAddresses {
			address, err := w.listen(func(l net.Listener) { between.Serve(l, door) })
			if err != nil {
				return "", err
			}
			doors = append(doors, strconv.Quote(address))
		}
		fmt.Fprintf(&b, "link(to = %q, gateways = [%s], queries = %g, bytes = \"%dB\", cost = 0.05)\n", other,
			strings.Join(doors, ", "), w.LinkQueryRate, w.LinkByteRate)
	}
	return b.String(), nil
}

func starlarkBool(b bool) string {
	if b {
		return "True"
	}
	return "False"
}

// CPU is what all running processes have used.
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

// Start starts one of the site's processes, for the first time or again.
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

// Kill ends a process as a machine that dies; CPU that it has used is returned.
func (s *Site) Kill(i int) time.Duration {
	s.processes[i].cmd.Process.Kill()
	<-s.processes[i].done
	return s.processes[i].cpuTime
}

// URL is where a process serves clients.
func (s *Site) URL(i int) string { return "http://" + s.clientAddresses[i] }

// Signal sends a process a signal.
func (s *Site) Signal(i int, what syscall.Signal) error {
	return s.processes[i].cmd.Process.Signal(what)
}

// PID is a process's number.
func (s *Site) PID(i int) int { return s.processes[i].cmd.Process.Pid }

// Terminate has a process stop as for a planned restart, and waits until it has.
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

// waitAllReady waits until all of the site's processes serve.
func (s *Site) waitAllReady() error {
	for i := range s.clientAddresses {
		if err := s.WaitReady(i); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until a process serves.
func (s *Site) WaitReady(i int) error {
	health := healthcheck.Wait{Client: s.testbed.client, Interval: healthPollInterval, Timeout: startupTimeout}
	if err := health.Until("http://" + s.clientAddresses[i]); err != nil {
		return fmt.Errorf("process %d of site %s, whose log is %s: %w", i, s.name, s.path(strconv.Itoa(i)+".log"), err)
	}
	return nil
}

// Counters are a process's own, or nil where it does not answer.
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

// Counter is a number among the counters of a process; path is its keys.
func Counter(all map[string]any, path ...string) float64 {
	var v any = all
	for _, key := range path {
		m, _ := v.(map[string]any)
		v = m[key]
	}
	x, _ := v.(float64)
	return x
}

// ExecutionCount is how often a part ran, at whichever site.
func (w *Testbed) ExecutionCount(part string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executions[part]
}
