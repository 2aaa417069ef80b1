package routingtable

import (
	"willowsill/decide/clusterstate"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

// rolloutTable is the part of a Table that decides which versions of a service the edge may send requests to.
type rolloutTable struct {
	set      rollout.Set
	newest   map[string]*rollout.Rollout // newest rollout of each service
	admitted map[string]bool             // services with a rollout that admits at least one ready replica
}

// applyRollouts applies new rollouts, and adds to the change all replicas of services whose rollout or replicas have changed.
func (t *Table) applyRollouts(update clusterstate.Update, c *Change) {
	affected := map[string]bool{}
	if update.Rollouts.Version > t.rollouts.set.Version {
		for _, r := range update.Rollouts.Rollouts {
			if r.Changed > t.rollouts.set.Version {
				affected[r.Order.Service] = true
			}
		}
		t.rollouts.set, t.rollouts.newest = update.Rollouts, update.Rollouts.Newest()
	}
	for _, r := range update.Replicas {
		if t.rollouts.newest[r.Service] != nil {
			affected[r.Service] = true
		}
	}
	if len(affected) == 0 {
		return
	}
	c.Rollouts = true
	t.rollouts.admitted = map[string]bool{}
	for _, r := range t.replicas {
		if newest := t.rollouts.newest[r.Service]; newest != nil && r.Phase == registry.Ready && newest.Admits(t.settings.IP, r.ID, r.Version) {
			t.rollouts.admitted[r.Service] = true
		}
		if affected[r.Service] {
			c.Replicas = append(c.Replicas, r)
		}
	}
}

// Admits reports whether the rollout of the replica's service, if any, lets this edge send requests to the replica. If it
// admits no ready replica at all, replicas are used whose version Rollout.AllowsFallback allows.
func (t *Table) Admits(r registry.Record) bool {
	newest := t.rollouts.newest[r.Service]
	if newest == nil || newest.Admits(t.settings.IP, r.ID, r.Version) {
		return true
	}
	return !t.rollouts.admitted[r.Service] && newest.AllowsFallback(r.Version)
}

// Rollouts returns the set of rollouts in effect at this edge, and the replicas of services with an active rollout.
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
