package clusterstate

import (
	"slices"

	"willowsill/decide/registry"
	"willowsill/decide/routeconfig"
)

// Selection decides which replicas a controller sends to edges: those of the services that the configuration's routes
// use. All edges serve all routes, so one selection fits all of them, and relays pass on whatever they receive.
//
// Records of replicas that are draining, silent or gone are sent whatever the routes use.
//
// Danger: an edge may hold a newer configuration than its upstream controller, which has yet to learn that it is
// committed. If that configuration uses a service that the controller's does not, the edge must still learn that a
// replica of it drains.
type Selection struct {
	used map[string]struct{} // services that the routes use; nil where the configuration cannot be read, and then all are selected
}

// NewSelection returns the selection of a controller without a configuration: no service is used yet.
func NewSelection() *Selection { return &Selection{used: map[string]struct{}{}} }

// Update returns the part of an update, which the state has just applied, that is sent to edges. A new configuration comes
// together with all replicas of the services that it begins to use, so that it is never in force without them.
func (s *Selection) Update(state *State, update Update) Update {
	before := s.used
	if update.Raw != nil {
		s.setConfiguration(update.Raw)
	}
	selected := update
	selected.Replicas = s.filter(update.Replicas)
	if update.Raw == nil || before == nil { // no service begins to be used, or all replicas were sent before
		return selected
	}
	for _, r := range state.replicas {
		if _, usedBefore := before[r.Service]; !usedBefore && s.uses(r.Service) {
			selected.Replicas = append(selected.Replicas, r)
			selected.Services = append(selected.Services, r.Service)
		}
	}
	slices.Sort(selected.Services)
	selected.Services = slices.Compact(selected.Services)
	return selected
}

// Snapshot returns the snapshot of the state with the selected replicas only.
func (s *Selection) Snapshot(state *State) Update {
	snapshot := state.Snapshot()
	snapshot.Replicas = s.filter(snapshot.Replicas)
	return snapshot
}

// setConfiguration reads which services the routes of a configuration use.
func (s *Selection) setConfiguration(configuration []byte) {
	used, err := routeconfig.UsedServices(configuration)
	if err != nil {
		used = nil
	}
	s.used = used
}

// uses reports whether a route sends requests to the service, or may do so because the configuration is unreadable.
func (s *Selection) uses(service string) bool {
	_, used := s.used[service]
	return used || s.used == nil
}

// filter returns the records that edges are sent: ready replicas of used services, and all that are not ready.
func (s *Selection) filter(all []registry.Record) []registry.Record {
	return slices.DeleteFunc(slices.Clone(all), func(r registry.Record) bool {
		return r.Phase == registry.Ready && !s.uses(r.Service)
	})
}
