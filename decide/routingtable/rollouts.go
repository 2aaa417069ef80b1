package routingtable

import (
	"willowsill/decide/clusterstate"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

// Rollouts at an edge: which replicas of a service it may send to, by their versions.

// rolloutTable is what a table holds of them.
type rolloutTable struct {
	set      rollout.Set
	newest   map[string]*rollout.Rollout // of each service
	admitted map[string]bool             // services with a rollout of which a ready replica is admitted
}

// applyRollouts takes in rollouts, and has all replicas listed anew of services whose rollout or replicas have changed.
func (t *Table) applyRollouts(n clusterstate.Update, c *Change) {
	touched := map[string]bool{}
	if n.Rollouts.Version > t.rollouts.set.Version {
		for _, r := range n.Rollouts.Rollouts {
			if r.Changed > t.rollouts.set.Version {
				touched[r.Order.Service] = true
			}
		}
		t.rollouts.set, t.rollouts.newest = n.Rollouts, n.Rollouts.Newest()
	}
	for _, r := range n.Replicas {
		if t.rollouts.newest[r.Service] != nil {
			touched[r.Service] = true
		}
	}
	if len(touched) == 0 {
		return
	}
	c.Rollouts = true
	t.rollouts.admitted = map[string]bool{}
	for _, r := range t.replicas {
		if newest := t.rollouts.newest[r.Service]; newest != nil && r.Phase == registry.Ready && newest.Admits(t.settings.IP, r.ID, r.Version) {
			t.rollouts.admitted[r.Service] = true
		}
		if touched[r.Service] {
			c.Replicas = append(c.Replicas, r)
		}
	}
}

// Admits tells whether the rollout of a replica's service, where there is one, lets this edge begin to send to the replica.
func (t *Table) Admits(r registry.Record) bool {
	newest := t.rollouts.newest[r.Service]
	if newest == nil || newest.Admits(t.settings.IP, r.ID, r.Version) {
		return true
	}
	return !t.rollouts.admitted[r.Service] && newest.AllowsFallback(r.Version)
}

// Rollouts returns those that this edge goes by, and the replicas of the services that have an active one.
func (t *Table) Rollouts() (set rollout.Set, replicas []rollout.Replica) {
	active := map[string]bool{}
	for _, r := range t.rollouts.set.Active() {
		active[r.Order.Service] = true
	}
	for _, r := range t.replicas {
		if active[r.Service] {
			replicas = append(replicas, rollout.Replica{ID: r.ID, Service: r.Service, Version: r.Version, Distance: uint8(t.Distance(r.Zone))})
		}
	}
	return t.rollouts.set, replicas
}
