package clusterstate

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawFleet draws a fleet of up to twelve edges in two zones.
func drawFleet(t *rapid.T, name string) Fleet {
	f := Fleet{Most: rapid.IntRange(1, 9).Draw(t, name+" most"), Controllers: []string{"10.9.0.1"}}
	for i := range 12 {
		if zone := rapid.IntRange(0, 2).Draw(t, fmt.Sprint(name, i)); zone > 0 {
			f.Edges = append(f.Edges, Edge{IP: fmt.Sprintf("10.0.0.%02d", i), Zone: fmt.Sprint("z", zone)})
		}
	}
	return f
}

// TestFleetChanges: a relay, an edge downstream of it, and an edge of the previous version, which understands only whole
// fleets, all hold the same fleet as their upstream after each change.
func TestFleetChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstream, relay, edge, oldEdge := NewState(), NewState(), NewState(), NewState()
		for i := range rapid.IntRange(1, 6).Draw(t, "changes") {
			fresh := upstream.Apply(Update{Fleet: drawFleet(t, fmt.Sprint(i, " "))})
			relayed := relay.Apply(fresh.ForWire(true))
			edge.Apply(relayed.ForWire(true))
			oldEdge.Apply(fresh.ForWire(false))
			for _, s := range []*State{relay, edge, oldEdge} {
				must.Eq(t, upstream.Fleet, s.Fleet)
				must.False(t, s.NeedsSnapshot)
			}
		}
	})
}

// TestFleetChangeIsShort: when one edge joins many, the update lists that edge alone.
func TestFleetChangeIsShort(t *testing.T) {
	upstream := NewState()
	f := Fleet{Most: 301}
	for i := range 300 {
		f.Edges = append(f.Edges, Edge{IP: fmt.Sprintf("10.0.1.%03d", i)})
	}
	upstream.Apply(Update{Fleet: f})
	f.Edges = append(f.Edges[:300:300], Edge{IP: "10.0.2.000"})
	sent := upstream.Apply(Update{Fleet: f}).ForWire(true)
	must.SliceEmpty(t, sent.Fleet.Edges)
	must.Eq(t, []Edge{{IP: "10.0.2.000"}}, sent.Change.Joined)
	must.False(t, sent.Empty())
}

// TestFleetChangeThatDoesNotFit: an edge that gets a difference from a fleet that it does not hold reports that it needs a
// snapshot, until it has one.
func TestFleetChangeThatDoesNotFit(t *testing.T) {
	held := Fleet{Most: 3, Edges: []Edge{{IP: "10.0.0.1"}, {IP: "10.0.0.2"}, {IP: "10.0.0.3"}}}
	upstream, edge := NewState(), NewState()
	upstream.Apply(Update{Fleet: held})
	edge.Apply(Update{Fleet: Fleet{Most: 1, Edges: []Edge{{IP: "10.0.0.9"}}}})
	held.Edges = held.Edges[:2]
	fresh := upstream.Apply(Update{Fleet: held})
	must.True(t, edge.Apply(fresh.ForWire(true)).Empty())
	must.True(t, edge.NeedsSnapshot)
	edge.Apply(upstream.Snapshot())
	must.False(t, edge.NeedsSnapshot)
	must.Eq(t, upstream.Fleet, edge.Fleet)
}
