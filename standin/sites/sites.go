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
	"willowsill/standin/link"
	"willowsill/standin/papers"
	"willowsill/standin/ports"
	"willowsill/transport/replica"
)

// Shape is what is started.
type Shape struct {
	Binary   string // the program
	Dir      string // for files; each world wants one of its own
	Names    []string
	Gateways int  // processes of a site, each of which serves clients and is a gateway
	Alone    bool // no site knows of another
	Policy   string
	HTTP2    bool
	Work     time.Duration // of a part
	Workers  int           // parts that a replica works on at a time
	Holders  int           // replicas of each shard
	Queries  float64       // a second over a link, for each process
	Bytes    int64
	Way      link.Way           // each direction of each link
	Revenue  map[string]float64 // by workload
	Left     []string           // sites that are left by hand from the start on
	Script   string             // what else the operator of each process says
	Held     int                // queries and parts that a process may hold; 0 for 200
	Sockets  int                // descriptors of a process; 0 for 512
	Parts    int                // shards of each site; 0 for Shards
}

func (s *Shape) shards() int { return cmp.Or(s.Parts, Shards) }

// Shards of each site, and Patience and Goal of its clients.
const (
	Shards     = 2
	Patience   = 3 * time.Second
	Goal       = 1500 * time.Millisecond
	slack      = 50 * time.Millisecond // that a client waits longer on sockets
	upWithin   = 10 * time.Second
	healthPoll = 20 * time.Millisecond
)

// Workloads are a site's, by what a further execution of them means.
var Workloads = []string{"look", "book", "pay"}

// World is what was started.
type World struct {
	Shape
	Sites  map[string]*Site
	Links  map[string]*link.Link // FROM>TO
	ends   []func()
	client *http.Client

	mu      sync.Mutex
	effects map[string]int // by part, how often it ran, at whichever site
}

// Site is one of them.
type Site struct {
	world *World
	name  string
	lists string // its discovery
	doors []string
	fixed []string // addresses for clients
	procs []*running

	mu   sync.Mutex
	dark bool // its replicas take parts and say nothing
}

type running struct {
	cmd   *exec.Cmd
	ended chan struct{}
	spent time.Duration // CPU, once it has ended
}

// Start starts a world. Stop ends it, also after an error.
func Start(s Shape) (*World, error) {
	w := &World{Shape: s, Sites: map[string]*Site{}, Links: map[string]*link.Link{}, effects: map[string]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Second}}}
	authority, err := papers.New(s.Dir)
	if err != nil {
		return w, err
	}
	for _, name := range s.Names {
		site := &Site{world: w, name: name}
		w.Sites[name] = site
		if err := site.replicas(); err != nil {
			return w, err
		}
		for range s.Gateways {
			for _, at := range []*[]string{&site.doors, &site.fixed} {
				address, err := ports.Free()
				if err != nil {
					return w, err
				}
				*at = append(*at, address)
			}
		}
	}
	for _, name := range s.Names {
		if _, _, err := authority.Issue(name, name+".gateway", time.Now().Add(12*time.Hour)); err != nil {
			return w, err
		}
		if err := w.Sites[name].write(); err != nil {
			return w, err
		}
		for i := range s.Gateways {
			if err := w.Sites[name].Start(i); err != nil {
				return w, err
			}
		}
	}
	for _, name := range s.Names {
		if err := w.Sites[name].ready(); err != nil {
			return w, err
		}
	}
	return w, nil
}

// Stop ends all processes and stand-ins.
func (w *World) Stop() {
	for _, s := range w.Sites {
		for i := range s.procs {
			s.Kill(i)
		}
	}
	for i := len(w.ends) - 1; i >= 0; i-- {
		w.ends[i]()
	}
	w.client.CloseIdleConnections()
}

// listen serves on a loopback port until the world's end.
func (w *World) listen(serve func(net.Listener)) (string, error) {
	address, end, err := ports.Serve(serve)
	if err == nil {
		w.ends = append(w.ends, end)
	}
	return address, err
}

// replicas starts a site's replicas and the discovery that names them.
func (s *Site) replicas() error {
	list := standin.NewDiscovery()
	for i := range s.world.shards() * s.world.Holders {
		workers := make(chan struct{}, s.world.Workers)
		toy := &standin.Replica{Answer: func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
			return s.answer(ctx, p, workers)
		}}
		address, err := s.world.listen(func(l net.Listener) { toy.Serve(l) })
		if err != nil {
			return err
		}
		list.Change(standin.Host{Host: fmt.Sprint("s-", i), Dial: address, Block: i % s.world.shards(), Health: "active"})
	}
	var err error
	s.lists, err = s.world.listen(func(l net.Listener) { (&http.Server{Handler: list}).Serve(l) })
	return err
}

// answer works on one part. What is taken has its effect, whatever becomes of its answer.
func (s *Site) answer(ctx context.Context, p replica.Part, workers chan struct{}) (replica.Reply, bool) {
	s.world.mu.Lock()
	s.world.effects[p.ID]++
	s.world.mu.Unlock()
	s.mu.Lock()
	dark := s.dark
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
	case <-time.After(s.world.Work):
		return replica.Reply{ID: p.ID, Value: p.ID}, true
	case <-ctx.Done():
		return replica.Reply{}, false
	}
}

// Dark has the site's replicas take parts and say nothing, or work again.
func (s *Site) Dark(dark bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dark = dark
}

// write makes the files that the site's processes read.
func (s *Site) write() error {
	var rows []map[string]any
	for i, name := range Workloads {
		rows = append(rows, map[string]any{"name": name, "slo": Goal.Milliseconds(), "give_up": Patience.Milliseconds(),
			"late_worth": 0.3, "repeat": [...]string{"free", "guarded", "single_shot"}[i], "window": 10000})
	}
	three := func(x float64) []float64 { return []float64{x, x, x} }
	config := map[string]any{"seed": "00000000000000a7",
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": cmp.Or(s.world.Sockets, 512)},
		"settings": map[string]any{"index": 0, "balancers": s.world.Gateways, "tick": 5, "membership_mode": "push",
			"caps": map[string]any{"max_attempts": 3, "most_held": cmp.Or(s.world.Held, 200), "cancel": true, "retry_after": true,
				"max_retry_after": 2000, "streams_per_conn": 32, "connect_timeout": 200, "conn_idle": 20000},
			"domain": map[string]any{"slices": s.world.shards(), "cells": s.world.shards(), "in_a_row": 1, "parts_a_call": 1, "class_need": three(1),
				"class_floor": three(1), "incomplete_worth": three(0.9), "follow_up": []int{0, 0, 0}},
			"classes":    rows,
			"guarantees": map[string]any{"cold_from": 0.2, "ramp_time": 9000, "fall_multiple": 4, "fall": 1000}}}
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.file("json"), text, 0o600); err != nil {
		return err
	}
	for i := range s.doors {
		script, err := s.script(i)
		if err != nil {
			return err
		}
		if err := os.WriteFile(s.file(strconv.Itoa(i)+".star"), []byte(script), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) file(end string) string { return filepath.Join(s.world.Dir, s.name+"."+end) }

// script is what the operator of a site would write for one process, links crossing the world's.
func (s *Site) script(i int) (string, error) {
	w := s.world
	if w.Alone {
		return w.Script, nil
	}
	var b strings.Builder
	b.WriteString(w.Script)
	revenue, _ := json.Marshal(w.Revenue)
	if w.Revenue == nil {
		revenue = []byte("{}")
	}
	fmt.Fprintf(&b, "site(name = %q, listen = %q, cert_file = %q, key_file = %q, ca_file = %q, remember = %q,\n"+
		"     revenue = %s, policy = %q, http2 = %s, dark = %s)\n", s.name, s.doors[i], s.file("pem"), s.file("key"),
		filepath.Join(w.Dir, "authority.pem"), s.file(strconv.Itoa(i)+".ids"), revenue, w.Policy,
		truth(w.HTTP2), truth(slices.Contains(w.Left, s.name)))
	for _, other := range w.Names {
		if other == s.name {
			continue
		}
		key := s.name + ">" + other
		if w.Links[key] == nil {
			w.Links[key] = &link.Link{}
			w.Links[key].Set(w.Way, w.Way)
		}
		var doors []string
		between := w.Links[key] // the map grows while they serve
		for _, door := range w.Sites[other].doors {
			address, err := w.listen(func(l net.Listener) { between.Serve(l, door) })
			if err != nil {
				return "", err
			}
			doors = append(doors, strconv.Quote(address))
		}
		fmt.Fprintf(&b, "link(to = %q, gateways = [%s], queries = %g, bytes = \"%dB\", cost = 0.05)\n", other,
			strings.Join(doors, ", "), w.Queries, w.Bytes)
	}
	return b.String(), nil
}

func truth(b bool) string {
	if b {
		return "True"
	}
	return "False"
}

// CPU is what all running processes have used.
func (w *World) CPU() (sum time.Duration) {
	for _, s := range w.Sites {
		for _, p := range s.procs {
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
	log, err := os.OpenFile(s.file(strconv.Itoa(i)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := []string{}
	if !s.world.Alone || s.world.Script != "" {
		args = []string{"serve", "--operator", s.file(strconv.Itoa(i) + ".star")}
	}
	p := &running{cmd: exec.Command(s.world.Binary, args...), ended: make(chan struct{})}
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), "NODE_NAME="+s.name+strconv.Itoa(i), "NODE_LISTEN="+s.fixed[i],
		"NODE_DISCOVERY="+s.lists, "NODE_CONFIG="+s.file("json"))
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return err
	}
	go func() {
		defer close(p.ended)
		defer log.Close()
		p.cmd.Wait()
		p.spent = p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	}()
	if i < len(s.procs) {
		s.procs[i] = p
	} else {
		s.procs = append(s.procs, p)
	}
	return nil
}

// Kill ends a process as a machine that dies; CPU that it has used is returned.
func (s *Site) Kill(i int) time.Duration {
	s.procs[i].cmd.Process.Kill()
	<-s.procs[i].ended
	return s.procs[i].spent
}

// URL is where a process serves clients.
func (s *Site) URL(i int) string { return "http://" + s.fixed[i] }

// Signal sends a process a signal.
func (s *Site) Signal(i int, what syscall.Signal) error { return s.procs[i].cmd.Process.Signal(what) }

// PID is a process's number.
func (s *Site) PID(i int) int { return s.procs[i].cmd.Process.Pid }

// Leave has a process stop as for a planned restart, and waits until it has.
func (s *Site) Leave(i int) error {
	p := s.procs[i]
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return nil
	case <-time.After(3 * Patience):
		return errors.New("a process did not end after SIGTERM")
	}
}

// ready waits until all of the site's processes serve.
func (s *Site) ready() error {
	for i := range s.fixed {
		if err := s.Ready(i); err != nil {
			return err
		}
	}
	return nil
}

// Ready waits until a process serves.
func (s *Site) Ready(i int) error {
	health := healthcheck.Wait{Client: s.world.client, Every: healthPoll, Within: upWithin}
	if err := health.Until("http://" + s.fixed[i]); err != nil {
		return fmt.Errorf("process %d of site %s, whose log is %s: %w", i, s.name, s.file(strconv.Itoa(i)+".log"), err)
	}
	return nil
}

// Counters are a process's own, or nil where it does not answer.
func (s *Site) Counters(i int) (all map[string]any) {
	r, err := s.world.client.Get("http://" + s.fixed[i] + "/counters")
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

// Figure is a number among the counters of a process; path is its keys.
func Figure(all map[string]any, path ...string) float64 {
	var v any = all
	for _, key := range path {
		m, _ := v.(map[string]any)
		v = m[key]
	}
	x, _ := v.(float64)
	return x
}

// Ran is how often a part ran, at whichever site.
func (w *World) Ran(part string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.effects[part]
}
