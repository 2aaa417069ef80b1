// Package hollow runs real control processes on loopback addresses beside many hollow co-ordinators and replicas that
// share a few processes, and measures what each role spends. So the slopes of the control side can be had on one machine
// at sizes for which there is no room with real processes.
//
// Controllers are real processes; so are one relay (the co-ordinator that most others follow), one agent that nobody
// follows, and its proxy. A hollow co-ordinator is the agent's own code, heartbeats of the failure detector included,
// with a reader in the place of its proxy that only notes which revision it was told. A hollow replica is one connection
// to a controller over which its heartbeats go; nothing listens at its address, and no queries are sent.
package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"willowsill/decide/clusterstate"
	"willowsill/decide/relaytree"
	"willowsill/lab/localsettings"
)

const (
	ports             = localsettings.Ports(17080)
	firstNet, nets    = 16, 200 // the second number of loopback addresses
	edgesPerProcess   = 400     // each has some ten files open
	replicasPerServer = 8000    // of a hollow process: one file each
	mostEdges         = 4500
	mostReplicas      = 40000
	startWait         = 90 * time.Second
	logShown          = 400 // bytes of the log of a process that failed
	endWait           = 4 * time.Second
)

// Options say what is run.
type Options struct {
	Controllers      int           `json:"controllers"`
	Edges            int           `json:"edges"` // co-ordinators, three at the least
	Replicas         int           `json:"replicas"`
	Zones            int           `json:"zones"`
	Routes           int           `json:"routes"`             // of the configuration
	ChangesPerMinute float64       `json:"changes_per_minute"` // of the configuration
	ChurnPerMinute   float64       `json:"churn_per_minute"`   // replicas that leave, each replaced by a new one
	Beat             time.Duration `json:"beat_ns"`            // between two heartbeats of a replica
	Span             time.Duration `json:"span_ns"`            // that is measured, after all have started
	StartOver        time.Duration `json:"start_over_ns"`      // co-ordinators start evenly over so long
	Settle           time.Duration `json:"settle_ns"`          // before that: until followers are where the tree has them
	Programs         string        `json:"-"`                  // the folder of the built programs; empty, and copies of this one play them
}

// program is what plays a role.
func (s *stage) program(role string) string {
	if s.Programs == "" {
		return s.exe
	}
	switch role {
	case "controller", "agent", "proxy":
		return filepath.Join(s.Programs, role)
	case "relay":
		return filepath.Join(s.Programs, "agent")
	}
	return s.exe
}

// check tells what cannot be run here.
func (o Options) check() error {
	switch {
	case o.Controllers < 1 || o.Controllers > 32:
		return errors.New("controllers: 1 to 32")
	case o.Edges < 3 || o.Edges > mostEdges:
		return fmt.Errorf("edges: 3 to %d", mostEdges)
	case o.Replicas < 0 || o.Replicas > mostReplicas:
		return fmt.Errorf("replicas: 0 to %d", mostReplicas)
	case o.Edges*o.Replicas > 6_000_000: // a state of each in every hollow agent: half of the machine's memory
		return errors.New("edges times replicas: 6 million at the most")
	case o.Zones < 1 || o.Routes < 1 || o.Span <= 0 || o.Beat <= 0:
		return errors.New("zones, routes, seconds and heartbeat are to be above 0")
	}
	return nil
}

// Role is what the processes of one role spent, each, in the span that was measured.
type Role struct {
	Name      string  `json:"name"`
	Processes int     `json:"processes"`
	Units     int     `json:"units"`        // that share the processes
	Core      float64 `json:"core_percent"` // of one core, a unit
	CoreMost  float64 `json:"core_percent_most"`
	MB        float64 `json:"resident_mb"` // at the end, a unit
	MBMost    float64 `json:"resident_mb_most"`
	Sent      float64 `json:"sent_bytes_a_second"` // written to sockets and disk but not to the log, a unit
	SentMost  float64 `json:"sent_bytes_a_second_most"`
	Received  float64 `json:"received_bytes_a_second"`
	StartSent float64 `json:"start_sent_bytes"` // from its start until the span began, a unit
}

// Result is what a run has measured.
type Result struct {
	Options       Options   `json:"options"`
	StartSeconds  float64   `json:"start_seconds"` // until the last co-ordinator held the first configuration
	Roles         []Role    `json:"roles"`
	Changes       int       `json:"changes"`         // acknowledged in the span
	AckMS         []float64 `json:"ack_ms"`          // of each
	InForceMS     []float64 `json:"in_force_ms"`     // of each, from its acknowledgement until the last co-ordinator was told; 0 for before it
	MiddleMS      []float64 `json:"middle_force_ms"` // and until half were
	NotEverywhere int       `json:"not_everywhere"`  // changes that some co-ordinator was not told within the run
	Beats         Beats     `json:"heartbeats"`
	PackedBytes   int       `json:"configuration_packed_bytes"`
	RawBytes      int       `json:"configuration_bytes"`
}

// stage is a run under way.
type stage struct {
	Options
	dir         string
	exe         string // this program
	groups      []*group
	control     []string // addresses for replicas and operators
	controllers []string // IPs
	edges       []clusterstate.Edge
}

// Run runs it and ends all its processes before it returns.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &stage{Options: o, dir: dir, exe: exe}
	defer s.strike()
	return s.run(ctx)
}

func (s *stage) run(ctx context.Context) (*Result, error) {
	net := firstNet + os.Getpid()%nets // two runs at a time do not meet
	for i := range s.Controllers {
		ip := fmt.Sprintf("127.%d.0.%d", net, i+1)
		s.controllers = append(s.controllers, ip)
		s.control = append(s.control, ports.Control(ip))
	}
	for i := range s.Edges {
		s.edges = append(s.edges, clusterstate.Edge{IP: fmt.Sprintf("127.%d.%d.%d", net, 1+i/250, i%250+1), Zone: s.zone(i)})
	}
	for i := range s.Controllers {
		if err := s.start("controller", part{Settings: []string{s.controllers[i]}}, 1); err != nil {
			return nil, err
		}
	}
	began := time.Now()
	if err := s.startReplicas(); err != nil {
		return nil, err
	}
	if err := s.startEdges(); err != nil {
		return nil, err
	}
	operator := &operator{stage: s}
	if err := operator.send(ctx); err != nil {
		return nil, err
	}
	if err := s.waitForFirst(ctx); err != nil {
		return nil, err
	}
	result := &Result{Options: s.Options, StartSeconds: time.Since(began).Seconds()}
	if err := pause(ctx, s.Settle); err != nil {
		return nil, err
	}
	before := s.usage()
	if err := operator.work(ctx, s.Span); err != nil {
		return nil, err
	}
	after := s.usage()
	if err := pause(ctx, time.Second); err != nil { // the last change is on its way
		return nil, err
	}
	s.conclude(result, before, after, operator)
	return result, nil
}

func (s *stage) zone(i int) string { return fmt.Sprint("zone-", i%s.Zones) }

// startEdges starts one relay and one agent in processes of their own, the agent's proxy, and the rest.
func (s *stage) startEdges() error {
	relay, leaf := s.relayAndLeaf()
	if err := s.start("relay", part{Agents: []int{relay}}, 1); err != nil {
		return err
	}
	if err := s.start("agent", part{Agents: []int{leaf}}, 1); err != nil {
		return err
	}
	if err := s.start("proxy", part{Settings: []string{s.edges[leaf].IP}}, 1); err != nil {
		return err
	}
	rest := part{Readers: []int{relay, leaf}}
	for i := range s.edges {
		if i == relay || i == leaf {
			continue
		}
		rest.Agents, rest.Readers = append(rest.Agents, i), append(rest.Readers, i)
		if len(rest.Agents) == edgesPerProcess {
			if err := s.start("hollow edges", rest, len(rest.Agents)); err != nil {
				return err
			}
			rest = part{}
		}
	}
	if len(rest.Readers) == 0 {
		return nil
	}
	return s.start("hollow edges", rest, len(rest.Agents))
}

// relayAndLeaf are the co-ordinator that most others are to follow, and one that nobody is.
func (s *stage) relayAndLeaf() (relay, leaf int) {
	fleet := clusterstate.Fleet{Edges: s.edges}
	followers := map[string]int{}
	for _, e := range s.edges {
		followers[relaytree.Feeders(e.IP, e.Zone, fleet, s.controllers, nil)[0].IP]++
	}
	for i, e := range s.edges {
		if followers[e.IP] > followers[s.edges[relay].IP] {
			relay = i
		}
	}
	for i, e := range s.edges {
		if followers[e.IP] == 0 && i != relay {
			leaf = i
		}
	}
	return relay, leaf
}

func (s *stage) startReplicas() error {
	for first := 0; first < s.Replicas; first += replicasPerServer {
		count := min(replicasPerServer, s.Replicas-first)
		if err := s.start("hollow replicas", part{FirstReplica: first, Replicas: count}, count); err != nil {
			return err
		}
	}
	return nil
}

// waitForFirst waits until all co-ordinators hold a configuration.
func (s *stage) waitForFirst(ctx context.Context) error {
	for until := time.Now().Add(startWait); time.Now().Before(until); {
		files, _ := filepath.Glob(filepath.Join(s.dir, "*"+readySuffix))
		if len(files) == s.hollowEdgeProcesses() {
			return nil
		}
		if err := s.failed(); err != nil {
			return err
		}
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("co-ordinators did not all get a configuration within %v", startWait)
}

// failed tells of a process that has ended by itself, with the end of its log.
func (s *stage) failed() error {
	for _, g := range s.groups {
		select {
		case <-g.ended:
			log, _ := os.ReadFile(g.log)
			return fmt.Errorf("the %s has ended: %s", g.role, log[max(0, len(log)-logShown):])
		default:
		}
	}
	return nil
}

func (s *stage) hollowEdgeProcesses() (n int) {
	for _, g := range s.groups {
		if len(g.part.Readers) > 0 {
			n++
		}
	}
	return n
}

// conclude ends the hollow processes in order, and takes what they and the operator have seen.
func (s *stage) conclude(result *Result, before, after map[*group]usage, o *operator) {
	result.Roles = s.roles(before, after)
	result.RawBytes, result.PackedBytes = len(o.body), len(clusterstate.Pack(o.body))
	arrivals := map[uint64][]int64{}
	for _, g := range s.groups {
		if g.part.Readers == nil && g.part.Replicas == 0 {
			continue
		}
		var seen report
		if text, err := g.end(); err != nil || json.Unmarshal(text, &seen) != nil {
			result.NotEverywhere = -1 // one of the processes that note it has failed
			continue
		}
		for revision, at := range seen.Arrivals {
			arrivals[revision] = append(arrivals[revision], at...)
		}
		result.Beats.add(seen.Beats)
	}
	o.conclude(result, arrivals, s.Edges)
}

// pause waits, or ends with ctx.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
