package routingtable

import (
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

// versioned returns the record of a replica of the service s1.
func versioned(id, version string, phase registry.Phase, seq uint64) registry.Record {
	return registry.Record{ID: id, Service: "s1", Address: "a:" + id, Version: version, Phase: phase, Seq: seq}
}

// admittedOf says for each replica of a change, by ID, whether the table admits it.
func admittedOf(table *Table, c Change) map[string]bool {
	admitted := map[string]bool{}
	for _, r := range c.Replicas {
		admitted[r.ID] = table.Admits(r)
	}
	return admitted
}

// TestRolloutAtAnEdge: each step of a rollout lists all replicas of the service, and those of a version that gets no requests
// are not admitted. If the admitted version has no ready replica, the other version serves, unless it was reverted.
func TestRolloutAtAnEdge(t *testing.T) {
	table := New(0, testSettings())
	table.Apply(0, clusterstate.Update{Revision: 1, Raw: body(1, "a")})
	table.Apply(0, clusterstate.Update{Replicas: []registry.Record{versioned("old", "v1", registry.Ready, 1), versioned("new", "v2", registry.Ready, 1)}})
	set, _, _ := rollout.Set{}.Begin(rollout.Order{Service: "s1", Target: "v2", OverMs: 9000})
	c := table.Apply(0, clusterstate.Update{Rollouts: set})
	must.True(t, c.Rollouts)
	must.Eq(t, map[string]bool{"old": true, "new": false}, admittedOf(table, c))

	r, _ := set.NewestOf("s1")
	complete, _ := set.Apply(rollout.Change{Rollout: r, Phase: rollout.Complete})
	c = table.Apply(0, clusterstate.Update{Rollouts: complete})
	must.Eq(t, map[string]bool{"old": false, "new": true}, admittedOf(table, c))
	must.False(t, table.Apply(0, clusterstate.Update{Rollouts: set}).Rollouts) // an older set changes nothing
	c = table.Apply(0, clusterstate.Update{Replicas: []registry.Record{versioned("new", "v2", registry.Silent, 2)}})
	must.Eq(t, true, admittedOf(table, c)["old"])

	table = New(0, testSettings())
	table.Apply(0, clusterstate.Update{Revision: 1, Raw: body(1, "a")})
	reverted, _ := set.Abort("s1", "bad")
	c = table.Apply(0, clusterstate.Update{Rollouts: reverted, Replicas: []registry.Record{versioned("new", "v2", registry.Ready, 1)}})
	must.Eq(t, map[string]bool{"new": false}, admittedOf(table, c))
}
