package routingtable

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/balance"
	"willowsill/decide/clusterstate"
	"willowsill/decide/registry"
	"willowsill/decide/routeconfig"
	"willowsill/deployment/settings"
)

// body returns a configuration with fanout routes of these names, each with its name as path prefix.
func body(revision int, routes ...string) []byte {
	var rs []string
	for _, r := range routes {
		rs = append(rs, fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":"/%s/","deadline-ms":1000,"target-ms":100,"fanout":["s1","s2"],"min-coverage":0.5,"max-tries":2}`, r, r))
	}
	return fmt.Appendf(nil, `{"revision":%d,"routes":[%s],"services":[{"name":"s1"},{"name":"s2"}]}`, revision, strings.Join(rs, ","))
}

func testSettings() settings.Settings {
	return settings.Settings{IP: "10.0.0.1", Bounds: settings.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindowS: 10}}
}

// rowOf returns the row of the route with a prefix, and fails the test where there is none.
func rowOf(t *testing.T, c Change, prefix string) int {
	t.Helper()
	row, found := c.State.Rows[routeconfig.RouteID{Host: "h", Prefix: prefix}]
	must.True(t, found, must.Sprint(prefix))
	return row
}

// TestRowsStay: a route keeps its row, and with it what the balancer has measured, as long as configurations have it.
func TestRowsStay(t *testing.T) {
	table := New(0, testSettings())
	c := table.Apply(0, clusterstate.Update{Revision: 1, Raw: body(1, "a", "b")})
	must.NoError(t, c.Err)
	b := rowOf(t, c, "/b/")
	c = table.Apply(0, clusterstate.Update{Revision: 2, Raw: body(2, "b", "c")})
	must.Eq(t, b, rowOf(t, c, "/b/"))
	must.Eq(t, 0.5, c.Workloads[b].MinCoverage)
	must.Eq(t, balance.Repeatable, c.Workloads[b].RetrySafety)
	must.Nil(t, table.Apply(0, clusterstate.Update{Revision: 1, Raw: body(1, "a")}).State)
}

// TestRowsRest: the row of a removed route is reused only after reuseDelay, when no request that was routed to it is still
// under way. Because rows are reused, their number stays bounded.
func TestRowsRest(t *testing.T) {
	table := New(0, testSettings())
	c := table.Apply(0, clusterstate.Update{Revision: 1, Raw: body(1, "a")})
	a := rowOf(t, c, "/a/")
	c = table.Apply(0, clusterstate.Update{Revision: 2, Raw: body(2, "b")})
	must.NotEq(t, a, rowOf(t, c, "/b/"))
	must.Less(t, c.Workloads[a].LatencyGoal, c.Workloads[rowOf(t, c, "/b/")].LatencyGoal) // an unused row does not shorten the shortest goal
	c = table.Apply(reuseDelay-1, clusterstate.Update{Revision: 3, Raw: body(3, "b", "c")})
	must.NotEq(t, a, rowOf(t, c, "/c/"))
	c = table.Apply(reuseDelay, clusterstate.Update{Revision: 4, Raw: body(4, "b", "c", "d")})
	must.Eq(t, a, rowOf(t, c, "/d/"))
	now, revision := int64(reuseDelay), 5
	for range 500 { // each second one route replaces another
		now += 1000 * ms
		c = table.Apply(now, clusterstate.Update{Revision: uint64(revision), Raw: body(revision, fmt.Sprint("r", revision))})
		revision++
	}
	must.LessEq(t, reuseDelay/(1000*ms)+5, len(c.Workloads))
}

// TestRowOfAnotherKind: a route that changes between safe and unsafe gets a new row.
func TestRowOfAnotherKind(t *testing.T) {
	table := New(0, testSettings())
	kind := func(revision int, kind string) int {
		raw := fmt.Appendf(nil, `{"revision":%d,"routes":[{"name":"r","host":"h","path-prefix":"/","route-kind":%q,"deadline-ms":1000,"service":"s1"}],
"services":[{"name":"s1"}]}`, revision, kind)
		return rowOf(t, table.Apply(0, clusterstate.Update{Revision: uint64(revision), Raw: raw}), "/")
	}
	first := kind(1, "unsafe")
	must.Eq(t, first, kind(2, "unsafe"))
	must.NotEq(t, first, kind(3, "safe"))
}

// TestBudgetOfAll: an edge that has just started has no retry slack, and all edges together never have more than the settings
// allow.
func TestBudgetOfAll(t *testing.T) {
	table := New(0, testSettings())
	must.Zero(t, table.Apply(1, clusterstate.Update{Fleet: clusterstate.Fleet{Most: 9}}).RetrySlack)
	free := table.RetrySlack(11_000 * ms)
	must.Positive(t, free)
	must.LessEq(t, 60, 9*free)
}

// TestShardsComeBack: services that come and go do not use up the shards.
func TestShardsComeBack(t *testing.T) {
	table := New(0, testSettings())
	now := int64(0)
	for i := range 3 * maxShards {
		id := fmt.Sprint("i-", i)
		table.Apply(now, clusterstate.Update{Replicas: []registry.Record{{ID: id, Service: fmt.Sprint("t", i), Address: "a:1", Seq: 1}}})
		_, found := table.Shard(fmt.Sprint("t", i))
		must.True(t, found)
		table.Apply(now, clusterstate.Update{Replicas: []registry.Record{{ID: id, Phase: registry.Gone, Seq: 2}}})
		table.Apply(now, clusterstate.Update{Revision: uint64(i + 1), Raw: body(i+1, "a")})
		now += 1000 * ms
	}
	must.MapLen(t, 2, table.shardOf)
}

// TestShardsRest: the shard of a removed service is reused only after reuseDelay, when no part that was routed to it is still
// waiting.
func TestShardsRest(t *testing.T) {
	table := New(0, testSettings())
	configure := func(now int64, revision int, service string) int {
		raw := fmt.Appendf(nil, `{"revision":%d,"routes":[],"services":[{"name":%q}]}`, revision, service)
		table.Apply(now, clusterstate.Update{Revision: uint64(revision), Raw: raw})
		shard, found := table.Shard(service)
		must.True(t, found)
		return shard
	}
	first := configure(0, 1, "one")
	configure(1000*ms, 2, "two") // this removes the service one
	must.NotEq(t, first, configure(2000*ms, 3, "three"))
	must.NotEq(t, first, configure(1000*ms+reuseDelay-1, 4, "four"))
	must.Eq(t, first, configure(1000*ms+reuseDelay, 5, "five"))
}

// TestMoreServicesThanShards: a service for which no shard is left gets none, and does not share another's. Once a shard is
// free, the service's known replicas are listed.
func TestMoreServicesThanShards(t *testing.T) {
	table := New(0, testSettings())
	used := map[int]bool{}
	for i := range maxShards + 1 {
		service := fmt.Sprint("t", i)
		table.Apply(0, clusterstate.Update{Replicas: []registry.Record{{ID: "i-" + service, Service: service, Address: "a:1", Seq: 1}}})
		if shard, found := table.Shard(service); found {
			must.False(t, used[shard], must.Sprint(service))
			used[shard] = true
		}
	}
	must.Eq(t, maxShards, len(used))
	last := fmt.Sprint("t", maxShards)
	_, found := table.Shard(last)
	must.False(t, found)
	table.Apply(0, clusterstate.Update{Replicas: []registry.Record{{ID: "i-t0", Phase: registry.Gone, Seq: 2}}})
	raw := fmt.Appendf(nil, `{"revision":1,"routes":[],"services":[{"name":%q}]}`, last)
	table.Apply(0, clusterstate.Update{Revision: 1, Raw: raw})
	_, found = table.Shard(last)
	must.False(t, found) // the released shard is not reused yet
	raw = fmt.Appendf(nil, `{"revision":2,"routes":[],"services":[{"name":%q}]}`, last)
	c := table.Apply(reuseDelay+ms, clusterstate.Update{Revision: 2, Raw: raw})
	_, found = table.Shard(last)
	must.True(t, found)
	must.SliceLen(t, 1, c.Replicas)
	must.Eq(t, "i-"+last, c.Replicas[0].ID)
}

// TestDistance: own zone, own region, other regions; a replica without a zone counts as near.
func TestDistance(t *testing.T) {
	s := testSettings()
	s.Zone, s.Zones = "east", map[string]string{"east": "coast", "west": "coast", "up": "hills"}
	table := New(0, s)
	for zone, want := range map[string]int{"east": 0, "": 0, "west": 1, "up": 2, "unknown": 2} {
		must.Eq(t, want, table.Distance(zone), must.Sprint(zone))
	}
}

// TestClientsWay: the latency goal of a fanout is shortened by the time of the network to the client; that of a plain route is
// not.
func TestClientsWay(t *testing.T) {
	gathered := Workload(&routeconfig.Route{TargetMs: 120, DeadlineMs: 600, Fanout: []string{"a", "b"}, MinCoverage: 0.5})
	must.Eq(t, 110*ms, gathered.LatencyGoal)
	must.Eq(t, gathered.LatencyGoal, gathered.OptionalGoal)
	plain := Workload(&routeconfig.Route{TargetMs: 800, DeadlineMs: 4000})
	must.Eq(t, 800*ms, plain.LatencyGoal)
	must.Eq(t, 0, plain.OptionalGoal)
}

// TestComeBackSpreads: clients that are declined together are asked to wait for different times.
func TestComeBackSpreads(t *testing.T) {
	must.Eq(t, 1000*ms, RetryAfter(1000*ms, 0))
	must.Eq(t, 750*ms, RetryAfter(1000*ms, 0.5))
	must.Eq(t, 0, RetryAfter(0, 0.7))
}

// TestShareOfConnections: the edges share the connections that a replica accepts. When the number of edges or the
// configuration changes, all replicas are listed again, and so is one that has departed in the same update.
func TestShareOfConnections(t *testing.T) {
	table := New(0, testSettings())
	raw := []byte(`{"revision":1,"routes":[],"services":[{"name":"s1","max-conns":76},{"name":"s2"}]}`)
	table.Apply(0, clusterstate.Update{Revision: 1, Raw: raw, Replicas: []registry.Record{{ID: "i-1", Service: "s1", Seq: 1}, {ID: "i-2", Service: "s2", Seq: 1}}})
	must.Eq(t, 0, table.MaxCalls("s1")) // the number of edges is not known yet
	c := table.Apply(0, clusterstate.Update{Fleet: clusterstate.Fleet{Most: 9}, Replicas: []registry.Record{{ID: "i-2", Service: "s2", Seq: 2, Phase: registry.Gone}}})
	must.Eq(t, 8, table.MaxCalls("s1"))
	must.Eq(t, 0, table.MaxCalls("s2"))
	must.SliceLen(t, 2, c.Replicas)
	must.Eq(t, registry.Gone, c.Replicas[0].Phase)
	must.Eq(t, "i-1", c.Replicas[1].ID)
	must.SliceEmpty(t, table.Apply(0, clusterstate.Update{Fleet: clusterstate.Fleet{Most: 9}}).Replicas)
	table.Apply(0, clusterstate.Update{Fleet: clusterstate.Fleet{Most: 200}})
	must.Eq(t, 1, table.MaxCalls("s1"))
}

// TestSplitGoesOn: a weighted split keeps its shares even where the configuration changes after each request.
func TestSplitGoesOn(t *testing.T) {
	const requests = 300
	table := New(0, testSettings())
	counts := map[string]int{}
	for i := range requests {
		raw := fmt.Appendf(nil, `{"revision":%d,"routes":[{"name":"split","host":"h","path-prefix":"/","deadline-ms":%d,
"weighted-split":[{"service":"s1","weight":1},{"service":"s2","weight":3}]}],"services":[{"name":"s1"},{"name":"s2"}]}`, i+1, 1000+i)
		c := table.Apply(0, clusterstate.Update{Revision: uint64(i + 1), Raw: raw})
		must.NoError(t, c.Err)
		counts[c.State.Service(c.State.Config.Find("h", "/x"))]++
	}
	must.Between(t, requests/4-3, counts["s1"], requests/4+3)
	must.MapLen(t, 1, table.splits)
	table.Apply(0, clusterstate.Update{Revision: requests + 1, Raw: body(requests+1, "a")})
	must.MapEmpty(t, table.splits)
}
