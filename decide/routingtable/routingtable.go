// Package routingtable turns what the system is told (configuration, replicas, how many edges there are) into the
// decision module's terms: a route is a workload, a service a shard, and each replica holds the one shard of
// its service. It does no I/O.
//
// Decides: what a route's answers are worth late and in part, which row and shard stand for what, and this
// edge's share of the budget of further executions.
package routingtable

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"willowsill/balance"
	"willowsill/decide/clusterstate"
	"willowsill/decide/registry"
	"willowsill/decide/routeconfig"
	"willowsill/deployment/settings"
)

const (
	ms = 1_000_000

	tick         = 1 * ms // least time between two rounds: a small part of the shortest aim
	shards       = 1024   // services that may be known at a time
	wayShare     = 12     // 1 / this of a gathered answer's aim is kept for the client's way here and back
	paceDoubt    = 1.5    // calls: an edge meets a replica seldom, and the best of many seldom met looks quick by chance
	lateShare    = 0.4    // of the worth, for an answer past its aim: the configuration does not state it
	partialShare = 1      // of the worth, times the share that is in: what is gathered in part is worth having
	comeBack     = 1000 * ms
	ratioShare   = 0.7 // of the ratio of further executions that is used: requests are counted a little differently by others
	slackShare   = 0.6 // of the free ones, for the same reason
	fallSpan     = 1000 * ms
	fewerAfter   = 60000 * ms // the number of edges goes down only after that
	fullCold     = 1          // no rule binds what a cold replica is sent
)

// Deployment is what the module is told at the start.
func Deployment(s settings.Settings, seed uint64) balance.Deployment {
	d := balance.Deployment{Number: int(xxhash.Sum64String(s.IP) % shards), Aggregators: 1, Seed: seed, Tick: tick,
		Shards: shards, Cells: shards, Reach: 1, PartsPerCall: 1, MaxExecutions: 1, Cancels: true, MaxComeBack: comeBack,
		ColdShare: fullCold, FallMultiple: fullCold, FallSpan: fallSpan, PaceDoubt: paceDoubt,
		Budgeted: true, FurtherShare: ratioShare * s.Bounds.RetryRatio, FurtherSpan: int64(s.Bounds.RetryWindowS * 1000 * ms),
		Accounts: shards}
	if s.Bounds.RetryWindowS == 0 { // no rule bounds them
		d.Budgeted, d.FurtherSpan = false, fallSpan
	}
	return d
}

// Workload is the module's view of a route.
func Workload(r *routeconfig.Route) balance.Workload {
	w := balance.Workload{LatencyGoal: r.TargetMs * ms, LateShare: lateShare, Need: 1, Floor: 1, PartialShare: partialShare,
		MaxExecutions: r.Tries}
	if r.Unsafe {
		w.Effect, w.MaxExecutions = balance.OnceOnly, 1
	}
	if len(r.Fanout) > 0 {
		w.Floor = min(max(r.MinCoverage, 1/float64(len(r.Fanout))), 1)
		// Danger: the aim counts from when the client begins to connect, and on thin links a request waits behind
		// answers of others. What is answered in part at the last moment of the aim, as seen from here, comes late
		// there and earns neither.
		w.LatencyGoal -= w.LatencyGoal / wayShare
		w.SpareGoal = w.LatencyGoal
	}
	return w
}

// ComeBack is how long one declined client is told to wait, ns: between half of what the module advises and all
// of it, by a draw from 0 up to 1.
//
// Danger: clients that are all told the same come back together, and are declined together.
func ComeBack(advice int64, draw float64) int64 {
	return advice - int64(draw*float64(advice)/2)
}

// State is what requests are taken by. It is never changed in place.
type State struct {
	Config *routeconfig.Configuration
	Rows   map[string]int // of each route, by name
	Slots  map[string]int // of each service: the module's shard
}

// Change is what the module and the front are to be told.
type Change struct {
	Workloads   []balance.Workload // nil where they are as before
	State       *State             // nil likewise
	Replicas    []registry.Record  // changed ones; Slot tells their shards
	FurtherFree float64
	Budget      bool // FurtherFree has changed
	Err         error
}

// Table keeps rows and shards.
type Table struct {
	settings  settings.Settings
	began     int64
	config    *routeconfig.Configuration
	rows      map[string]int
	free      []int
	workloads []balance.Workload
	slots     map[string]int
	used      [shards]bool
	edges     int // at the most of late
	edgesAt   int64
	known     map[string]registry.Record
	shared    map[string]int // channels by service, as they were last told
	budget    float64
}

// New makes one at the start of a life.
func New(now int64, s settings.Settings) *Table {
	return &Table{settings: s, began: now, rows: map[string]int{}, slots: map[string]int{}, known: map[string]registry.Record{}}
}

// Slot is the shard of a service, new where it has none.
func (p *Table) Slot(service string) int {
	if s, ok := p.slots[service]; ok {
		return s
	}
	s := slices.Index(p.used[:], false)
	if s < 0 {
		s = shards - 1
	}
	p.slots[service], p.used[s] = s, true
	return s
}

// Distance is how far a replica's zone is from this edge: 0 in its own, 1 in its region, 2 beyond.
func (p *Table) Distance(zone string) int {
	switch here := p.settings.Zones[p.settings.Zone]; {
	case zone == p.settings.Zone || zone == "":
		return 0
	case here != "" && here == p.settings.Zones[zone]:
		return 1
	}
	return 2
}

// Channels is how many parts this edge may have in flight at a replica of a service, 0 for no word: its share of the
// connections that the replica takes from all edges.
//
// Danger: a replica that hangs draws parts from every edge until each has filled its channels, and resets the
// connections beyond what it takes; whether what came with them ran, nobody knows.
func (p *Table) Channels(service string) int {
	if p.config == nil || p.edges == 0 || p.config.Services[service].MaxConns <= 0 {
		return 0
	}
	return max(p.config.Services[service].MaxConns/p.edges, 1)
}

// shares tells whether what Channels says of any service has changed since the last call.
func (p *Table) shares() (changed bool) {
	now := map[string]int{}
	if p.config != nil {
		for name := range p.config.Services {
			now[name] = p.Channels(name)
		}
	}
	changed = !maps.Equal(now, p.shared)
	p.shared = now
	return changed
}

// Take takes a notice.
func (p *Table) Take(now int64, n clusterstate.Update) (c Change) {
	if len(n.Raw) > 0 && (p.config == nil || n.Revision > p.config.Revision) {
		next, err := routeconfig.Read(n.Raw)
		if err != nil {
			c.Err = err
		} else {
			p.serve(next, &c)
		}
	}
	for _, r := range n.Replicas {
		if p.known[r.ID] = r; r.Service != "" {
			p.Slot(r.Service)
			c.Replicas = append(c.Replicas, r)
		}
		if r.Phase == registry.Gone {
			delete(p.known, r.ID)
		}
	}
	// Danger: controllers that have all just started know of few edges, and each of those would take the others'
	// shares.
	if m := n.Fleet.Most; m >= p.edges || m > 0 && now-p.edgesAt > fewerAfter {
		p.edges, p.edgesAt = m, now
	}
	if (c.State != nil || !n.Fleet.Empty()) && p.shares() { // all are listed anew, with their caps
		for _, r := range p.known {
			if r.Service != "" {
				c.Replicas = append(c.Replicas, r)
			}
		}
	}
	c.FurtherFree, c.Budget = p.Free(now)
	return c
}

// serve moves to a configuration.
func (p *Table) serve(next *routeconfig.Configuration, c *Change) {
	p.config = next
	stays := map[string]bool{}
	for i := range next.Routes {
		stays[next.Routes[i].Name] = true
	}
	for name, row := range p.rows {
		if !stays[name] {
			delete(p.rows, name)
			p.free = append(p.free, row)
		}
	}
	p.workloads = slices.Clone(p.workloads)
	for i := range next.Routes {
		r := &next.Routes[i]
		row, ok := p.rows[r.Name]
		if !ok {
			if n := len(p.free); n > 0 {
				row, p.free = p.free[n-1], p.free[:n-1]
			} else {
				row = len(p.workloads)
				p.workloads = append(p.workloads, balance.Workload{})
			}
			p.rows[r.Name] = row
		}
		p.workloads[row] = Workload(r)
	}
	for name := range next.Services {
		p.Slot(name)
	}
	// A service that neither the configuration nor a replica names gives its shard back.
	held := map[string]bool{}
	for _, r := range p.known {
		held[r.Service] = true
	}
	for name, slot := range p.slots {
		if _, ok := next.Services[name]; !ok && !held[name] {
			delete(p.slots, name)
			p.used[slot] = false
		}
	}
	state := &State{Config: next, Rows: map[string]int{}, Slots: map[string]int{}}
	for name, row := range p.rows {
		state.Rows[name] = row
	}
	for name, slot := range p.slots {
		state.Slots[name] = slot
	}
	c.State, c.Workloads = state, p.workloads
}

// Free is this edge's share of the free further executions, and whether it has changed since the last call.
//
// Danger: an edge that starts anew does not know what it spent before, and one that does not know how many
// there are could take all for itself. Neither has any for so long.
func (p *Table) Free(now int64) (share float64, changed bool) {
	if p.edges > 0 && now-p.began > int64(p.settings.Bounds.RetryWindowS*1000*ms) {
		share = slackShare * p.settings.Bounds.RetrySlack / float64(p.edges)
	}
	changed = share != p.budget
	p.budget = share
	return share, changed
}

// Replicas is how many may be sent parts, Edges how many edges there are, Budget this one's free further
// executions.
func (p *Table) Replicas() (n int) {
	for _, r := range p.known {
		if r.Phase == registry.Ready {
			n++
		}
	}
	return n
}

// Edges is how many edges there are.
func (p *Table) Edges() int { return p.edges }

// Budget is this edge's share of the free further executions.
func (p *Table) Budget() float64 { return p.budget }
