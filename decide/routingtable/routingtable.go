// Package routingtable translates the cluster state (configuration, replicas, number of edges) for the decision module:
// a route is a workload, a service a shard, and each replica holds the one shard of its service. It does no I/O.
//
// Decides: what a route's answers are worth late and in part, which row and shard stand for what, and this
// edge's share of the budget of retries.
package routingtable

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"willowsill/balance"
	"willowsill/decide/clusterstate"
	"willowsill/decide/locality"
	"willowsill/decide/registry"
	"willowsill/decide/routeconfig"
	"willowsill/decide/weightedsplit"
	"willowsill/deployment/settings"
)

const (
	ms = 1_000_000

	minRoundInterval  = 1 * ms // least time between two rounds: a small part of the shortest latency goal
	maxShards         = 1024   // services that may be known at a time
	networkShare      = 12     // 1 / this of a gathered answer's latency goal is kept for the network to the client and back
	paceDoubt         = 1.5    // calls: an edge meets a replica seldom, and the best of many seldom met looks quick by chance
	lateValueShare    = 0.4    // of the worth, for an answer past its latency goal: the configuration does not state it
	partialValueShare = 1      // of the worth, times the share that is in: what is gathered in part is worth having
	maxRetryAfter     = 1000 * ms
	retryRatioShare   = 0.7 // of the ratio of retries that is used: others count requests a little differently
	retrySlackShare   = 0.6 // of the retries beyond the ratio, for the same reason
	unboundedSpan     = 1000 * ms
	edgeCountHold     = 60000 * ms // the number of edges goes down only after that
	coldUnlimited     = 1          // no rule binds what a cold replica is sent
	reuseDelay        = 60000 * ms // a row or a shard that was given back is given to no other route or service before
	unusedRowGoal     = 60000 * ms // latency goal of such a row: what all workloads go by is the shortest goal of any
)

// Deployment returns what the module is told at the start.
func Deployment(s settings.Settings, seed uint64) balance.Deployment {
	d := balance.Deployment{Index: int(xxhash.Sum64String(s.IP) % maxShards), Aggregators: 1, Seed: seed, Tick: minRoundInterval,
		Shards: maxShards, Cells: maxShards, CellsPerShard: 1, PartsPerCall: 1, MaxExecutions: 1, CanCancel: true, MaxRetryAfter: maxRetryAfter,
		ColdCapacity: coldUnlimited, OverloadFactor: coldUnlimited, OverloadSpan: unboundedSpan, PriorWeight: paceDoubt,
		Budgeted: true, RetryRatio: retryRatioShare * s.Bounds.RetryRatio, RetryWindow: s.Bounds.RetryWindow(),
		ShardBudgets: maxShards}
	if s.Bounds.RetryWindow() == 0 { // no rule bounds them
		d.Budgeted, d.RetryWindow = false, unboundedSpan
	}
	return d
}

// Workload is the module's view of a route.
func Workload(r *routeconfig.Route) balance.Workload {
	w := balance.Workload{LatencyGoal: r.TargetMs * ms, LateShare: lateValueShare, FullCoverage: 1, MinCoverage: 1, PartialShare: partialValueShare,
		MaxExecutions: r.Tries}
	if r.Unsafe {
		w.RetrySafety, w.MaxExecutions = balance.OnceOnly, 1
	}
	if len(r.Fanout) > 0 {
		w.MinCoverage = min(max(r.MinCoverage, 1/float64(len(r.Fanout))), 1)
		// Danger: the aim counts from when the client begins to connect, and on thin links a request waits behind
		// answers of others. What is answered in part at the last moment of the aim, as seen from here, comes late
		// there and earns neither.
		w.LatencyGoal -= w.LatencyGoal / networkShare
		w.OptionalGoal = w.LatencyGoal
	}
	return w
}

// RetryAfter is how long one declined client is told to wait, ns: between half of what the module advises and all
// of it, by a draw from 0 up to 1.
//
// Danger: clients that are all told the same come back together, and are declined together.
func RetryAfter(advice int64, random float64) int64 {
	return advice - int64(random*float64(advice)/2)
}

// State is what a front needs to turn a request into a query. It is never changed in place, but for the positions of
// its splits.
type State struct {
	Config *routeconfig.Configuration
	Rows   map[routeconfig.RouteID]int // of each route
	Shards map[string]int              // of each service: the module's shard
	Splits Splits
}

// Splits are the sequences of the routes that have a weighted split.
type Splits map[routeconfig.RouteID]*weightedsplit.Sequence

// Service returns the service that a route's next request goes to; a fanout has none.
func (s *State) Service(route *routeconfig.Route) string {
	position := 0.0
	if split := s.Splits[route.ID()]; split != nil {
		position = split.Next()
	}
	return route.Pick(position)
}

// Change is what an update changes for the module and the front.
type Change struct {
	Workloads  []balance.Workload // nil where they are as before
	State      *State             // nil likewise
	Replicas   []registry.Record  // changed ones; Slot tells their shards
	Rollouts   bool               // the rollouts, or replicas of services that have one, are others
	RetrySlack float64
	Err        error
}

// shard is one of the module's.
type shard struct {
	used      bool
	freeSince int64 // 0 for ever
}

// Table holds the numbers of workloads and shards, and the replicas that the module knows. It is for one goroutine at a
// time.
type Table struct {
	settings     settings.Settings
	startedAt    int64
	config       *routeconfig.Configuration
	rows         map[routeconfig.RouteID]int
	freeRows     []freeRow // the longest free first
	workloads    []balance.Workload
	shardOf      map[string]int
	shards       [maxShards]shard
	newlySharded map[string]bool // services with a new shard, whose replicas the module may not know
	edges        int             // the highest number of edges of late
	edgesSince   int64
	replicas     map[string]registry.Record
	splits       Splits
	lastMaxCalls map[string]int // channels by service, as they were last told
	rollouts     rolloutTable
}

// New makes the table of a process that starts now.
func New(now int64, s settings.Settings) *Table {
	return &Table{settings: s, startedAt: now, rows: map[routeconfig.RouteID]int{}, shardOf: map[string]int{}, replicas: map[string]registry.Record{},
		newlySharded: map[string]bool{}}
}

// Shard returns the shard of a service, false where it has none.
func (t *Table) Shard(service string) (slot int, found bool) {
	slot, found = t.shardOf[service]
	return slot, found
}

// assignShard gives a service a shard, where it has none and one is free.
//
// Danger: a service without a shard of its own must share none: its requests would go to another's replicas. And a part
// that waits for a replica, or whose request is still being read, was routed by the configuration before: a shard that
// another service got at once would have it sent to that one. So shards rest as rows do.
func (t *Table) assignShard(now int64, service string) {
	if _, placed := t.shardOf[service]; placed {
		return
	}
	for slot := range t.shards {
		if s := &t.shards[slot]; !s.used && (s.freeSince == 0 || now-s.freeSince >= reuseDelay) {
			t.shardOf[service] = slot
			s.used = true
			t.newlySharded[service] = true
			return
		}
	}
}

// releaseShards frees the shards of services that neither the configuration nor a replica names.
func (t *Table) releaseShards(now int64) {
	held := map[string]bool{}
	for _, r := range t.replicas {
		held[r.Service] = true
	}
	for name, slot := range t.shardOf {
		if _, configured := t.config.Services[name]; !configured && !held[name] {
			delete(t.shardOf, name)
			t.shards[slot] = shard{freeSince: max(now, 1)}
		}
	}
}

// newlyShardedReplicas returns the replicas, known before, of services that have just been given a shard.
func (t *Table) newlyShardedReplicas() (records []registry.Record) {
	if len(t.newlySharded) == 0 {
		return nil
	}
	for _, r := range t.replicas {
		if t.newlySharded[r.Service] {
			records = append(records, r)
		}
	}
	clear(t.newlySharded)
	return records
}

// Distance is how far a replica's zone is from this edge: 0 in its own, 1 in its region, 2 beyond.
func (t *Table) Distance(zone string) int {
	if zone == "" { // nothing speaks against it
		return int(locality.SameZone)
	}
	return int(locality.Regions(t.settings.Zones).Distance(t.settings.Zone, zone))
}

// MaxCalls returns how many parts this edge may have in flight at a replica of a service, 0 for no limit: its share of the
// connections that the replica takes from all edges.
//
// Danger: a replica that hangs draws parts from every edge until each has filled its channels, and resets the
// connections beyond what it takes; whether what came with them ran, nobody knows.
func (t *Table) MaxCalls(service string) int {
	if t.config == nil || t.edges == 0 || t.config.Services[service].MaxConns <= 0 {
		return 0
	}
	return max(t.config.Services[service].MaxConns/t.edges, 1)
}

// maxCallsChanged returns whether Channels of any service has changed since the last call.
func (t *Table) maxCallsChanged() (changed bool) {
	now := map[string]int{}
	if t.config != nil {
		for name := range t.config.Services {
			now[name] = t.MaxCalls(name)
		}
	}
	changed = !maps.Equal(now, t.lastMaxCalls)
	t.lastMaxCalls = now
	return changed
}

// Apply takes an update in and returns what it changes. A configuration that cannot be read leaves the former in force.
func (t *Table) Apply(now int64, n clusterstate.Update) (c Change) {
	if len(n.Raw) > 0 && (t.config == nil || n.Revision > t.config.Revision) {
		next, err := routeconfig.Read(n.Raw)
		if err != nil {
			c.Err = err
		} else {
			t.applyConfiguration(now, next, &c)
		}
	}
	for _, r := range n.Replicas {
		if r.Service != "" {
			t.assignShard(now, r.Service)
		}
	}
	c.Replicas = t.newlyShardedReplicas()
	for _, r := range n.Replicas {
		if t.replicas[r.ID] = r; r.Service != "" {
			c.Replicas = append(c.Replicas, r)
		}
		if r.Phase == registry.Gone {
			delete(t.replicas, r.ID)
		}
	}
	t.applyRollouts(n, &c)
	// Danger: controllers that have all just started know of few edges, and each of those would take the others'
	// shares.
	if m := n.Fleet.Most; m >= t.edges || m > 0 && now-t.edgesSince > edgeCountHold {
		t.edges, t.edgesSince = m, now
	}
	if (c.State != nil || !n.Fleet.Empty()) && t.maxCallsChanged() { // all are listed anew, with their caps
		for _, r := range t.replicas {
			if r.Service != "" {
				c.Replicas = append(c.Replicas, r)
			}
		}
	}
	c.RetrySlack = t.RetrySlack(now)
	return c
}

// freeRow is a row that no route has any more, and since when.
type freeRow struct {
	row   int
	since int64
}

// newRow returns a row for a route that has none.
//
// Danger: a request whose body is still being read was routed by the configuration before. Were its row given to another
// route meanwhile, an unsafe request would be taken on that one's terms and could run twice.
func (t *Table) newRow(now int64) int {
	if len(t.freeRows) > 0 && now-t.freeRows[0].since >= reuseDelay {
		row := t.freeRows[0].row
		t.freeRows = t.freeRows[1:]
		return row
	}
	t.workloads = append(t.workloads, balance.Workload{})
	return len(t.workloads) - 1
}

// releaseRows gives the rows back of routes that are gone, or that may no longer be repeated as before.
func (t *Table) releaseRows(now int64, next *routeconfig.Configuration) {
	stays := map[routeconfig.RouteID]*routeconfig.Route{}
	for i := range next.Routes {
		stays[next.Routes[i].ID()] = &next.Routes[i]
	}
	for id, row := range t.rows {
		if r := stays[id]; r == nil || Workload(r).RetrySafety != t.workloads[row].RetrySafety {
			delete(t.rows, id)
			t.freeRows = append(t.freeRows, freeRow{row, now})
			t.workloads[row].LatencyGoal = unusedRowGoal
		}
	}
}

// applyConfiguration puts a configuration in force: rows of routes and shards of services that stay keep their numbers.
//
// Danger: two routes in one row have one's terms for both. Where these say that the requests of an unsafe route may be
// repeated, they run twice. So rows are kept by what no two routes share.
func (t *Table) applyConfiguration(now int64, next *routeconfig.Configuration, c *Change) {
	t.config = next
	t.workloads = slices.Clone(t.workloads)
	t.releaseRows(now, next)
	for i := range next.Routes {
		r := &next.Routes[i]
		row, ok := t.rows[r.ID()]
		if !ok {
			row = t.newRow(now)
			t.rows[r.ID()] = row
		}
		t.workloads[row] = Workload(r)
	}
	for name := range next.Services {
		t.assignShard(now, name)
	}
	t.releaseShards(now)
	state := &State{Config: next, Rows: maps.Clone(t.rows), Shards: maps.Clone(t.shardOf), Splits: t.splitsOf(next)}
	c.State, c.Workloads = state, t.workloads
}

// splitsOf returns the sequences of a configuration's weighted splits. One that was there before goes on: each change
// of the configuration would otherwise begin it anew, and changes may come more often than requests.
func (t *Table) splitsOf(next *routeconfig.Configuration) Splits {
	splits := Splits{}
	for i := range next.Routes {
		r := &next.Routes[i]
		if len(r.Targets) < 2 {
			continue
		}
		id := r.ID()
		if splits[id] = t.splits[id]; splits[id] == nil {
			splits[id] = weightedsplit.New(t.settings.IP, id.Host+id.Prefix)
		}
	}
	t.splits = splits
	return splits
}

// RetrySlack returns this edge's share of the retries beyond the ratio.
//
// Danger: an edge that starts anew does not know what it spent before, and one that does not know how many
// there are could take all for itself. Neither has any for so long.
func (t *Table) RetrySlack(now int64) float64 {
	if t.edges == 0 || now-t.startedAt <= t.settings.Bounds.RetryWindow() {
		return 0
	}
	return retrySlackShare * t.settings.Bounds.RetrySlack / float64(t.edges)
}

// ReadyReplicas returns how many replicas are ready.
func (t *Table) ReadyReplicas() (n int) {
	for _, r := range t.replicas {
		if r.Phase == registry.Ready {
			n++
		}
	}
	return n
}

// EdgeCount returns how many edges share the budget of retries.
func (t *Table) EdgeCount() int { return t.edges }
