package clusterstate

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawFleet draws edges by IP, each in one of two zones.
func drawFleet(t *rapid.T, name string) Fleet {
	f := Fleet{Most: rapid.IntRange(1, 9).Draw(t, name+" most"), Controllers: []string{"10.9.0.1"}}
	for i := range 12 {
		if zone := rapid.IntRange(0, 2).Draw(t, fmt.Sprint(name, i)); zone > 0 {
			f.Edges = append(f.Edges, Edge{IP: fmt.Sprintf("10.0.0.%02d", i), Zone: fmt.Sprint("z", zone)})
		}
	}
	return f
}

// TestFleetChanges: a follower that takes what its feeder takes in as new, whole or as differences, holds the same
// fleet; so does the follower's follower; and one that understands only whole lists does too.
func TestFleetChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		feeder, relay, edge, former := NewState(), NewState(), NewState(), NewState()
		for i := range rapid.IntRange(1, 6).Draw(t, "changes") {
			fresh := feeder.Apply(Update{Fleet: drawFleet(t, fmt.Sprint(i, " "))})
			passed := relay.Apply(fresh.ForWire(true))
			edge.Apply(passed.ForWire(true))
			former.Apply(fresh.ForWire(false))
			for _, s := range []*State{relay, edge, former} {
				must.Eq(t, feeder.Fleet, s.Fleet)
				must.False(t, s.NeedsSnapshot)
			}
		}
	})
}

// TestFleetChangeIsShort: one edge among many that joins is told without the others.
func TestFleetChangeIsShort(t *testing.T) {
	feeder := NewState()
	f := Fleet{Most: 301}
	for i := range 300 {
		f.Edges = append(f.Edges, Edge{IP: fmt.Sprintf("10.0.1.%03d", i)})
	}
	feeder.Apply(Update{Fleet: f})
	f.Edges = append(f.Edges[:300:300], Edge{IP: "10.0.2.000"})
	told := feeder.Apply(Update{Fleet: f}).ForWire(true)
	must.SliceEmpty(t, told.Fleet.Edges)
	must.Eq(t, []Edge{{IP: "10.0.2.000"}}, told.Change.Joined)
	must.False(t, told.Empty())
}

// TestFleetChangeThatDoesNotFit: a follower that holds another list says that it needs a snapshot, and one mends it.
func TestFleetChangeThatDoesNotFit(t *testing.T) {
	held := Fleet{Most: 3, Edges: []Edge{{IP: "10.0.0.1"}, {IP: "10.0.0.2"}, {IP: "10.0.0.3"}}}
	feeder, follower := NewState(), NewState()
	feeder.Apply(Update{Fleet: held})
	follower.Apply(Update{Fleet: Fleet{Most: 1, Edges: []Edge{{IP: "10.0.0.9"}}}})
	held.Edges = held.Edges[:2]
	fresh := feeder.Apply(Update{Fleet: held})
	must.True(t, follower.Apply(fresh.ForWire(true)).Empty())
	must.True(t, follower.NeedsSnapshot)
	follower.Apply(feeder.Snapshot())
	must.False(t, follower.NeedsSnapshot)
	must.Eq(t, feeder.Fleet, follower.Fleet)
}
