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

// configuration returns an update with a configuration whose routes use these services: the first directly, the second in
// a weighted split with the first, each further one as a shard of a fanout.
func configuration(revision uint64, services ...string) Update {
	route := func(services string) string { return `{"name":"r","host":"h","path-prefix":"/p/",` + services + `}` }
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

// controller is the state of a controller with its selection.
type controller struct {
	*State
	selection *Selection
}

func newController() *controller { return &controller{NewState(), NewSelection()} }

// apply applies an update and returns what edges are sent of it.
func (c *controller) apply(u Update) Update { return c.selection.Update(c.State, c.State.Apply(u)) }

// used returns the names of the services that the configuration uses, sorted.
func (c *controller) used() []string { return slices.Sorted(maps.Keys(c.selection.used)) }

// snapshot returns the snapshot that edges are sent.
func (c *controller) snapshot() Update { return c.selection.Snapshot(c.State) }

func replicaUpdate(id, service string, seq uint64, phase registry.Phase) Update {
	return Update{Replicas: []registry.Record{{ID: id, Service: service, Address: "a:1", Seq: seq, Phase: phase}}}
}

// ready returns the IDs of the service's replicas that the state holds as ready, sorted.
func ready(s *State, service string) (ids []string) {
	for id, r := range s.replicas {
		if r.Service == service && r.Phase == registry.Ready {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// TestToldOfWhatIsUsed: edges hold the replicas of the services that the configuration uses and no others. A configuration
// that begins to use a service comes with the service's replicas in one update.
func TestToldOfWhatIsUsed(t *testing.T) {
	c, edge := newController(), NewState()
	must.True(t, c.apply(replicaUpdate("a1", "a", 1, registry.Ready)).Empty()) // there is no configuration yet
	c.apply(replicaUpdate("b1", "b", 1, registry.Ready))
	edge.Apply(c.snapshot())
	must.MapEmpty(t, edge.replicas)
	edge.Apply(c.apply(configuration(1, "a", "c")))
	must.Eq(t, []string{"a1"}, slices.Collect(maps.Keys(edge.replicas)))
	must.True(t, c.apply(replicaUpdate("b2", "b", 1, registry.Ready)).Empty())
	edge.Apply(c.apply(replicaUpdate("c1", "c", 1, registry.Ready)))
	must.Eq(t, []string{"c1"}, ready(edge, "c"))

	update := c.apply(configuration(2, "a", "d", "b"))
	must.Eq(t, []string{"b"}, update.Services) // d has no replica
	must.SliceLen(t, 2, update.Replicas)
	edge.Apply(update)
	must.Eq(t, []string{"b1", "b2"}, ready(edge, "b"))
	must.Eq(t, []string{"a", "b", "d"}, c.used())
}

// TestLeaversAreToldWhateverIsUsed: an edge that holds a newer configuration than its upstream controller learns that a
// replica drains, though the controller's configuration does not use the replica's service yet.
func TestLeaversAreToldWhateverIsUsed(t *testing.T) {
	ahead, behind, edge := newController(), newController(), NewState()
	for _, c := range []*controller{ahead, behind} {
		c.apply(configuration(1, "a"))
		c.apply(replicaUpdate("b1", "b", 1, registry.Ready))
	}
	ahead.apply(configuration(2, "a", "b"))
	edge.Apply(ahead.snapshot())
	must.Eq(t, []string{"b1"}, ready(edge, "b"))
	edge.Apply(behind.snapshot())
	edge.Apply(behind.apply(replicaUpdate("b1", "b", 2, registry.Draining)))
	must.SliceEmpty(t, ready(edge, "b"))
}

// TestSilentElsewhere: a replica that an earlier upstream reported silent, under its last call number, is ready again when a
// configuration begins to use its service.
func TestSilentElsewhere(t *testing.T) {
	c, edge := newController(), NewState()
	c.apply(configuration(1, "a"))
	c.apply(replicaUpdate("b1", "b", 5, registry.Ready))
	edge.Apply(replicaUpdate("b1", "b", 5, registry.Silent))
	relay := NewState()
	relay.Apply(replicaUpdate("b1", "b", 5, registry.Silent))
	edge.Apply(relay.Apply(c.apply(configuration(2, "b"))))
	must.Eq(t, []string{"b1"}, ready(edge, "b"))
}

// TestUnreadableConfiguration: where the used services cannot be read from a configuration, edges are sent all replicas.
func TestUnreadableConfiguration(t *testing.T) {
	c := newController()
	c.apply(replicaUpdate("a1", "a", 1, registry.Ready))
	update := c.apply(Update{Revision: 1, Body: Pack([]byte("no configuration"))})
	must.SliceLen(t, 1, update.Replicas)
	must.False(t, c.apply(replicaUpdate("b1", "b", 1, registry.Ready)).Empty())
}

// TestSelectionByLot: two controllers learn of configurations and replicas at different times, a relay switches between
// them, and relay and edge restart. The edge never holds a replica as ready that the current controller knows not to be,
// and once both controllers know everything it holds exactly the ready replicas of the used services.
func TestSelectionByLot(t *testing.T) {
	services := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		controllers := []*controller{newController(), newController()}
		queues := make([][]Update, len(controllers)) // updates that each controller has yet to receive
		truth := map[string]registry.Record{}
		seq, revision := uint64(0), uint64(0)
		relay, edge, current := NewState(), NewState(), 0 // current is the controller that the relay follows
		send := func(u Update) { edge.Apply(relay.Apply(u)) }
		deliver := func(which int) {
			update := controllers[which].apply(queues[which][0])
			queues[which] = queues[which][1:]
			if which == current {
				send(update)
			}
		}
		follow := func(which int) {
			current = which
			send(controllers[which].snapshot())
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
					follow(1 - current)
				case 1:
					edge = NewState()
					edge.Apply(relay.Snapshot())
				case 2:
					relay = NewState()
					follow(current)
					edge.Apply(relay.Snapshot())
				}
			}
			for id, r := range controllers[current].replicas {
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
		for _, service := range controllers[current].used() {
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
