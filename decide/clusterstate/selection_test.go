package clusterstate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"willowsill/decide/registry"
)

// configuration is one whose routes use these services: one by itself, two by weights, the others as shards.
func configuration(revision uint64, services ...string) Update {
	route := func(what string) string { return `{"name":"r","host":"h","path-prefix":"/p/",` + what + `}` }
	var routes []string
	for i, s := range services {
		switch i {
		case 0:
			routes = append(routes, route(fmt.Sprintf(`"service":%q`, s)))
		case 1:
			routes = append(routes, route(fmt.Sprintf(`"weighted-split":[{"service":%q,"weight":1},{"weight":2,"service":%q}]`, s, services[0])))
		default:
			routes = append(routes, route(fmt.Sprintf(`"fanout":[%q]`, s)))
		}
	}
	body := fmt.Sprintf(`{"revision":%d,"services":[{"name":"unused"}],"routes":[%s]}`, revision, strings.Join(routes, ","))
	return Update{Revision: revision, Body: Pack([]byte(body))}
}

// feeder is a controller's state with its selection.
type feeder struct {
	*State
	selection *Selection
}

func newFeeder() *feeder { return &feeder{NewState(), NewSelection()} }

// take returns what followers are told.
func (f *feeder) take(n Update) Update { return f.selection.Update(f.State, f.State.Apply(n)) }

// used are the services that its configuration uses, by name.
func (f *feeder) used() []string { return slices.Sorted(maps.Keys(f.selection.used)) }

func (f *feeder) snapshot() Update { return f.selection.Snapshot(f.State) }

func replicaUpdate(id, service string, seq uint64, phase registry.Phase) Update {
	return Update{Replicas: []registry.Record{{ID: id, Service: service, Address: "a:1", Seq: seq, Phase: phase}}}
}

// ready are the replicas of a service that a state holds as ready.
func ready(s *State, service string) (ids []string) {
	for id, r := range s.replicas {
		if r.Service == service && r.Phase == registry.Ready {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// TestToldOfWhatIsUsed: followers hold the replicas of the services that the configuration uses and no others; one that
// begins to use a service comes with its replicas, in one update.
func TestToldOfWhatIsUsed(t *testing.T) {
	f, follower := newFeeder(), NewState()
	must.True(t, f.take(replicaUpdate("a1", "a", 1, registry.Ready)).Empty()) // there is no configuration yet
	f.take(replicaUpdate("b1", "b", 1, registry.Ready))
	follower.Apply(f.snapshot())
	must.MapEmpty(t, follower.replicas)
	follower.Apply(f.take(configuration(1, "a", "c")))
	must.Eq(t, []string{"a1"}, slices.Collect(maps.Keys(follower.replicas)))
	must.True(t, f.take(replicaUpdate("b2", "b", 1, registry.Ready)).Empty())
	follower.Apply(f.take(replicaUpdate("c1", "c", 1, registry.Ready)))
	must.Eq(t, []string{"c1"}, ready(follower, "c"))

	told := f.take(configuration(2, "a", "d", "b"))
	must.Eq(t, []string{"b"}, told.Services) // d has no replica
	must.SliceLen(t, 2, told.Replicas)
	follower.Apply(told)
	must.Eq(t, []string{"b1", "b2"}, ready(follower, "b"))
	must.Eq(t, []string{"a", "b", "d"}, f.used())
}

// TestLeaversAreToldWhateverIsUsed: that a replica drains reaches a follower that holds a newer configuration than its
// feeder, which does not use the replica's service yet.
func TestLeaversAreToldWhateverIsUsed(t *testing.T) {
	ahead, behind, follower := newFeeder(), newFeeder(), NewState()
	for _, f := range []*feeder{ahead, behind} {
		f.take(configuration(1, "a"))
		f.take(replicaUpdate("b1", "b", 1, registry.Ready))
	}
	ahead.take(configuration(2, "a", "b"))
	follower.Apply(ahead.snapshot())
	must.Eq(t, []string{"b1"}, ready(follower, "b"))
	follower.Apply(behind.snapshot())
	follower.Apply(behind.take(replicaUpdate("b1", "b", 2, registry.Draining)))
	must.SliceEmpty(t, ready(follower, "b"))
}

// TestSilentElsewhere: a replica that another feeder called silent by its last call is ready again as a configuration
// begins to use its service.
func TestSilentElsewhere(t *testing.T) {
	f, follower := newFeeder(), NewState()
	f.take(configuration(1, "a"))
	f.take(replicaUpdate("b1", "b", 5, registry.Ready))
	follower.Apply(replicaUpdate("b1", "b", 5, registry.Silent))
	relay := NewState()
	relay.Apply(replicaUpdate("b1", "b", 5, registry.Silent))
	follower.Apply(relay.Apply(f.take(configuration(2, "b"))))
	must.Eq(t, []string{"b1"}, ready(follower, "b"))
}

// TestUnreadableConfiguration: where it cannot be told what a configuration uses, followers are told of all.
func TestUnreadableConfiguration(t *testing.T) {
	f := newFeeder()
	f.take(replicaUpdate("a1", "a", 1, registry.Ready))
	told := f.take(Update{Revision: 1, Body: Pack([]byte("no configuration"))})
	must.SliceLen(t, 1, told.Replicas)
	must.False(t, f.take(replicaUpdate("b1", "b", 1, registry.Ready)).Empty())
}

// TestSelectionByLot: two feeders hear of configurations and replicas at different times; a relay changes between them, and
// an edge follows the relay or comes anew. Once all have heard all, the edge holds as ready just those of the replicas that
// it has use for, and never one that its feeder knows to drain or to be gone.
func TestSelectionByLot(t *testing.T) {
	services := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		feeders := []*feeder{newFeeder(), newFeeder()}
		queues := make([][]Update, len(feeders)) // what each has yet to hear
		truth := map[string]registry.Record{}
		seq, revision := uint64(0), uint64(0)
		relay, edge, followed := NewState(), NewState(), 0
		tell := func(n Update) { edge.Apply(relay.Apply(n)) }
		deliver := func(which int) {
			told := feeders[which].take(queues[which][0])
			queues[which] = queues[which][1:]
			if which == followed {
				tell(told)
			}
		}
		follow := func(which int) {
			followed = which
			tell(feeders[which].snapshot())
		}
		change := func(r registry.Record) {
			truth[r.ID] = r
			for i := range queues {
				queues[i] = append(queues[i], Update{Replicas: []registry.Record{r}})
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				revision++
				used := rapid.SliceOfDistinct(rapid.SampledFrom(services), rapid.ID[string]).Draw(t, "used")
				for i := range queues {
					queues[i] = append(queues[i], configuration(revision, used...))
				}
			case 1, 2:
				service := rapid.SampledFrom(services).Draw(t, "service")
				seq++
				change(registry.Record{ID: fmt.Sprint(service, seq), Service: service, Address: "a:1", Seq: seq})
			case 3:
				if len(truth) == 0 {
					continue
				}
				r := truth[rapid.SampledFrom(slices.Sorted(maps.Keys(truth))).Draw(t, "replica")]
				seq++
				r.Seq = seq
				r.Phase = max(r.Phase, rapid.SampledFrom([]registry.Phase{registry.Ready, registry.Draining, registry.Gone}).Draw(t, "phase"))
				change(r)
			case 4, 5:
				if which := rapid.IntRange(0, 1).Draw(t, "feeder"); len(queues[which]) > 0 {
					deliver(which)
				}
			case 6:
				switch rapid.IntRange(0, 2).Draw(t, "move") {
				case 0:
					follow(1 - followed)
				case 1:
					edge = NewState()
					edge.Apply(relay.Snapshot())
				case 2:
					relay = NewState()
					follow(followed)
					edge.Apply(relay.Snapshot())
				}
			}
			for id, r := range feeders[followed].replicas {
				if r.Phase != registry.Ready && edge.replicas[id].Service != "" {
					must.NotEq(t, registry.Ready, edge.replicas[id].Phase, must.Sprint(id))
				}
			}
		}
		for which := range queues {
			for len(queues[which]) > 0 {
				deliver(which)
			}
		}
		for _, service := range feeders[followed].used() {
			var want []string
			for id, r := range truth {
				if r.Service == service && r.Phase == registry.Ready {
					want = append(want, id)
				}
			}
			slices.Sort(want)
			must.Eq(t, want, ready(edge, service), must.Sprint(service))
		}
	})
}
