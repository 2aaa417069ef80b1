// Package routingtable translates the cluster state (configuration, replicas, number of edges) into the terms of package
// balance: a route is a workload, a service is a shard, and each replica holds the one shard of its service. Workloads and
// shards are numbered; the number of a workload is called its row. The package does no I/O.
//
// Decides: the value of a route's late and partial answers, which row or shard stands for which route or service, and this
// edge's share of the retry budget.
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

	minRoundInterval   = 1 * ms     // minimum time between two rounds of the balancer, a small part of the shortest latency goal
	maxShards          = 1024       // maximum number of services at a time
	networkDivisor     = 12         // a gathered answer's latency goal divided by this is reserved for the network to the client and back
	latencyPriorWeight = 1.5        // number of calls that the typical latency counts for beside those measured at a replica; with few calls to each, the fastest of many replicas seems fast by chance
	lateValueShare     = 0.4        // share of an answer's value that is left after its latency goal; the configuration has no setting for it
	partialValueShare  = 1          // value of a partial answer, relative to the full answer's value times the share of the parts that it has
	maxRetryAfter      = 1000 * ms  // maximum time that a declined client is asked to wait
	retryRatioShare    = 0.7        // share of the allowed retry ratio that is used, since other machines count requests slightly differently
	retrySlackShare    = 0.6        // share of the allowed retry slack that is used, for the same reason
	unboundedSpan      = 1000 * ms  // window in ns for those of the balancer's settings that no rule bounds
	edgeCountHold      = 60000 * ms // time for which a lower number of edges is ignored
	coldUnlimited      = 1          // value of the balancer's settings for cold replicas with which it does not limit requests to them, since no rule bounds these
	reuseDelay         = 60000 * ms // time before a released row or shard is given to another route or service
	unusedRowGoal      = 60000 * ms // latency goal of a released row: long, since the balancer uses the shortest goal of all workloads
)

// Deployment returns the settings with which the balancer starts.
func Deployment(s settings.Settings, seed uint64) balance.Deployment {
	d := balance.Deployment{Index: int(xxhash.Sum64String(s.IP) % maxShards), Aggregators: 1, Seed: seed, Tick: minRoundInterval,
		Shards: maxShards, Cells: maxShards, CellsPerShard: 1, PartsPerCall: 1, MaxExecutions: 1, CanCancel: true, MaxRetryAfter: maxRetryAfter,
		ColdCapacity: coldUnlimited, OverloadFactor: coldUnlimited, OverloadSpan: unboundedSpan, PriorWeight: latencyPriorWeight,
		Budgeted: true, RetryRatio: retryRatioShare * float64(s.Bounds.RetryRatio), RetryWindow: s.Bounds.RetryWindow(),
		ShardBudgets: maxShards}
	if s.Bounds.RetryWindow() == 0 { // no rule bounds retries
		d.Budgeted, d.RetryWindow = false, unboundedSpan
	}
	return d
}

// Workload returns the workload of a route.
func Workload(r *routeconfig.Route) balance.Workload {
	w := balance.Workload{LatencyGoal: r.TargetMs * ms, LateShare: lateValueShare, FullCoverage: 1, MinCoverage: 1, PartialShare: partialValueShare,
		MaxExecutions: r.Tries}
	if r.Unsafe {
		w.RetrySafety, w.MaxExecutions = balance.OnceOnly, 1
	}
	if len(r.Fanout) > 0 {
		w.MinCoverage = min(max(r.MinCoverage, 1/float64(len(r.Fanout))), 1)
		// Danger: the latency goal counts from when the client starts to connect, and on slow links a request waits behind
		// answers to others. A partial answer that is sent exactly at the goal, as measured here, would be late at the
		// client, and so neither complete nor in time.
		w.LatencyGoal -= w.LatencyGoal / networkDivisor
		w.OptionalGoal = w.LatencyGoal
	}
	return w
}

// RetryAfter returns how long a declined client is asked to wait, in ns: a random time from half of the advice of the
// balancer to all of it. random is in [0, 1).
//
// Danger: clients that all wait for the same time return together, and are declined together.
func RetryAfter(advice int64, random float64) int64 {
	return advice - int64(random*float64(advice)/2)
}

// State is what the client-facing server needs to turn a request into a query. It is never changed in place, except for the
// positions of its splits.
type State struct {
	Config *routeconfig.Configuration
	Rows   map[routeconfig.RouteID]int // row of each route
	Shards map[string]int              // shard of each service
	Splits Splits
}

// Splits holds the sequence of each route that has a weighted split.
type Splits map[routeconfig.RouteID]*weightedsplit.Sequence

// Service returns the service to which a route's next request goes, or an empty name for a fanout.
func (s *State) Service(route *routeconfig.Route) string {
	position := 0.0
	if split := s.Splits[route.ID()]; split != nil {
		position = split.Next()
	}
	return route.Pick(position)
}

// Change is what an update changes for the balancer and the client-facing server.
type Change struct {
	Workloads  []balance.Workload // nil where they are unchanged
	State      *State             // nil where it is unchanged
	Replicas   []registry.Record  // replicas to list again; Table.Shard has their shards
	Rollouts   bool               // the rollouts, or replicas of services with a rollout, have changed
	RetrySlack float64            // as Table.RetrySlack
	Err        error              // why a new configuration was not applied
}

// shard says whether a shard number is in use.
type shard struct {
	used      bool
	freeSince int64 // ns; 0 where it was never used
}

// Table holds the rows of routes, the shards of services, and the known replicas. It is not safe for concurrent use.
type Table struct {
	settings     settings.Settings
	startedAt    int64
	config       *routeconfig.Configuration
	rows         map[routeconfig.RouteID]int
	freeRows     []freeRow // earliest released first
	workloads    []balance.Workload
	shardOf      map[string]int
	shards       [maxShards]shard
	newlySharded map[string]bool // services that just got a shard, whose replicas the balancer may not have been given
	edges        int             // number of edges, which falls only after edgeCountHold
	edgesSince   int64           // when edges was last confirmed or raised, ns
	replicas     map[string]registry.Record
	splits       Splits
	lastMaxCalls map[string]int // MaxCalls by service at the previous call of maxCallsChanged
	rollouts     rolloutTable
}

// New returns the table of a process that starts at now.
func New(now int64, s settings.Settings) *Table {
	return &Table{settings: s, startedAt: now, rows: map[routeconfig.RouteID]int{}, shardOf: map[string]int{}, replicas: map[string]registry.Record{},
		newlySharded: map[string]bool{}}
}

// Shard returns the shard of a service, or false where it has none.
func (t *Table) Shard(service string) (shard int, found bool) {
	shard, found = t.shardOf[service]
	return shard, found
}

// assignShard gives a service a shard, unless it has one already or none is free.
//
// Danger: a service without a shard of its own must not share another's, or its requests would go to that service's replicas.
// A part that waits for a replica, or whose request is still being read, was routed by the previous configuration. If its
// shard were given to another service at once, the part would be sent to that service. So a released shard stays unused for
// reuseDelay.
func (t *Table) assignShard(now int64, service string) {
	if _, assigned := t.shardOf[service]; assigned {
		return
	}
	for number := range t.shards {
		if s := &t.shards[number]; !s.used && (s.freeSince == 0 || now-s.freeSince >= reuseDelay) {
			t.shardOf[service] = number
			s.used = true
			t.newlySharded[service] = true
			return
		}
	}
}

// releaseShards releases the shards of services that are neither in the configuration nor have a known replica.
func (t *Table) releaseShards(now int64) {
	hasReplica := map[string]bool{}
	for _, r := range t.replicas {
		hasReplica[r.Service] = true
	}
	for name, number := range t.shardOf {
		if _, configured := t.config.Services[name]; !configured && !hasReplica[name] {
			delete(t.shardOf, name)
			t.shards[number] = shard{freeSince: max(now, 1)}
		}
	}
}

// newlyShardedReplicas returns the replicas that were known already of services that have just got a shard.
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

// Distance returns the distance of a replica's zone from this edge: 0 for its own zone, 1 for its region, 2 for others.
func (t *Table) Distance(zone string) int {
	if zone == "" { // a replica without a zone counts as near
		return int(locality.SameZone)
	}
	return int(locality.Regions(t.settings.Zones).Distance(t.settings.Zone, zone))
}

// MaxCalls returns how many calls this edge may have in flight at a replica of the service, or 0 for no limit: its share of
// the connections that the replica accepts from all edges.
//
// Danger: a replica that hangs collects calls from every edge. It resets connections beyond its limit, and then nobody knows
// whether the requests on them were executed. So the edges divide that limit among themselves.
func (t *Table) MaxCalls(service string) int {
	if t.config == nil || t.edges == 0 || t.config.Services[service].MaxConns <= 0 {
		return 0
	}
	return max(t.config.Services[service].MaxConns/t.edges, 1)
}

// maxCallsChanged reports whether MaxCalls of any service has changed since the previous call.
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

// Apply applies an update and returns what it changes. If a new configuration cannot be read, the previous one stays in
// force.
func (t *Table) Apply(now int64, update clusterstate.Update) (c Change) {
	if len(update.Raw) > 0 && (t.config == nil || update.Revision > t.config.Revision) {
		next, err := routeconfig.Read(update.Raw)
		if err != nil {
			c.Err = err
		} else {
			t.applyConfiguration(now, next, &c)
		}
	}
	for _, r := range update.Replicas {
		if r.Service != "" {
			t.assignShard(now, r.Service)
		}
	}
	c.Replicas = t.newlyShardedReplicas()
	for _, r := range update.Replicas {
		if t.replicas[r.ID] = r; r.Service != "" {
			c.Replicas = append(c.Replicas, r)
		}
		if r.Phase == registry.Gone {
			delete(t.replicas, r.ID)
		}
	}
	t.applyRollouts(update, &c)
	// Danger: controllers that have all just started know few of the edges. If the lower number counted at once, each edge
	// would use the shares of others.
	if edges := update.Fleet.Most; edges >= t.edges || edges > 0 && now-t.edgesSince > edgeCountHold {
		t.edges, t.edgesSince = edges, now
	}
	if (c.State != nil || !update.Fleet.Empty()) && t.maxCallsChanged() { // all replicas are listed again with their new limits
		for _, r := range t.replicas {
			if r.Service != "" {
				c.Replicas = append(c.Replicas, r)
			}
		}
	}
	c.RetrySlack = t.RetrySlack(now)
	return c
}

// freeRow is a row that no route has any more.
type freeRow struct {
	row   int
	since int64 // when it was released, ns
}

// newRow returns a row for a route that has none.
//
// Danger: a request whose body is still being read was routed by the previous configuration. If its row were given to another
// route meanwhile, an unsafe request could be handled as that route's requests are, and be executed twice.
func (t *Table) newRow(now int64) int {
	if len(t.freeRows) > 0 && now-t.freeRows[0].since >= reuseDelay {
		row := t.freeRows[0].row
		t.freeRows = t.freeRows[1:]
		return row
	}
	t.workloads = append(t.workloads, balance.Workload{})
	return len(t.workloads) - 1
}

// releaseRows releases the rows of routes that are gone, or whose requests differ from before in whether they may be retried.
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

// applyConfiguration puts a configuration in force. Routes and services that remain keep their rows and shards.
//
// Danger: if two routes had the same row, the workload of one would apply to both, and requests of an unsafe route might be
// retried. So rows are kept by RouteID, which no two routes share.
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

// splitsOf returns the sequences of a configuration's weighted splits. The sequence of a route that remains continues. If each
// new configuration restarted it and configurations came more often than requests, the shares would be wrong.
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

// RetrySlack returns this edge's share of the retry slack: the retries that all edges together may send beyond the retry ratio.
//
// Danger: an edge that has restarted does not know what it has spent, and one that does not know the number of edges could
// spend everything. So an edge has no slack for its first retry window, nor while the number of edges is unknown.
func (t *Table) RetrySlack(now int64) float64 {
	if t.edges == 0 || now-t.startedAt <= t.settings.Bounds.RetryWindow() {
		return 0
	}
	return retrySlackShare * float64(t.settings.Bounds.RetrySlack) / float64(t.edges)
}

// ReadyReplicas returns the number of ready replicas.
func (t *Table) ReadyReplicas() (n int) {
	for _, r := range t.replicas {
		if r.Phase == registry.Ready {
			n++
		}
	}
	return n
}

// EdgeCount returns the number of edges that share the retry budget.
func (t *Table) EdgeCount() int { return t.edges }
