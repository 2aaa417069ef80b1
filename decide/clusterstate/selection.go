package clusterstate

import (
	"slices"

	"willowsill/decide/registry"
	"willowsill/decide/routeconfig"
)

// Selection says which replicas a controller's followers are told of: those that the configuration's routes use. All
// edges serve all routes, so one selection fits all followers, and relays pass on what they are told.
//
// That a replica drains, is silent or gone is told of all replicas, whatever uses them.
//
// Danger: a follower may hold a newer configuration than its feeder, which has yet to hear that it stands. A replica that
// this one uses could then drain without a word to the follower.
type Selection struct {
	used map[string]struct{} // services; nil where the configuration cannot be read: then all are
}

// NewSelection is that of a controller that knows of no configuration: no replica is used yet.
func NewSelection() *Selection { return &Selection{used: map[string]struct{}{}} }

// Update returns what followers are told of an update that the state has taken in. With a configuration come all
// replicas of the services that it begins to use, so that it is never in force without them.
func (s *Selection) Update(state *State, update Update) Update {
	before := s.used
	if update.Raw != nil {
		s.setConfiguration(update.Raw)
	}
	told := update
	told.Replicas = s.filter(update.Replicas)
	if update.Raw == nil || before == nil { // nothing begins to be used, or all were told before
		return told
	}
	for _, r := range state.replicas {
		if _, known := before[r.Service]; !known && s.uses(r.Service) {
			told.Replicas = append(told.Replicas, r)
			told.Services = append(told.Services, r.Service)
		}
	}
	slices.Sort(told.Services)
	told.Services = slices.Compact(told.Services)
	return told
}

// Snapshot returns all that followers are told, as a whole.
func (s *Selection) Snapshot(state *State) Update {
	snapshot := state.Snapshot()
	snapshot.Replicas = s.filter(snapshot.Replicas)
	return snapshot
}

// setConfiguration takes in which services a configuration uses.
func (s *Selection) setConfiguration(configuration []byte) {
	used, err := routeconfig.UsedServices(configuration)
	if err != nil {
		used = nil
	}
	s.used = used
}

// uses tells whether a service is used.
func (s *Selection) uses(service string) bool {
	_, used := s.used[service]
	return used || s.used == nil
}

// filter are those of the replicas that followers are told of.
func (s *Selection) filter(all []registry.Record) []registry.Record {
	return slices.DeleteFunc(slices.Clone(all), func(r registry.Record) bool {
		return r.Phase == registry.Ready && !s.uses(r.Service)
	})
}
