package controller

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
)

// joinEdges connects n edges to a lone controller, evenly over the given time. It returns the number of updates with a
// list of edges, their bytes to one edge, and that edge's state at the end.
func joinEdges(t *testing.T, n int, span int64) (updates, size int, edgeState *clusterstate.State, c *Controller) {
	c = New(0, Options{IP: "10.9.0.1", Incarnation: "1", Seeds: []string{"10.9.0.1"}, Bootstrap: true, ReplicaHeartbeatInterval: 1000 * ms,
		Random: func() float64 { return 0 }})
	edgeState = clusterstate.NewState()
	take := func(o Effects) {
		update := o.Update.ForWire(true)
		if update.Fleet.Empty() && update.Change == nil {
			return
		}
		updates++
		frame, err := cbor.Marshal(update)
		must.NoError(t, err)
		size += len(frame)
		edgeState.Apply(update)
	}
	joined := 0
	for now := int64(0); now < span+1000*ms; now += 10 * ms {
		for ; joined < n && int64(joined)*span <= now*int64(n); joined++ {
			take(c.HandleEdgeReport(now, EdgeReport{Edge: clusterstate.Edge{IP: fmt.Sprintf("10.0.%d.%d", joined/250, joined%250), Zone: "z"}}))
		}
		if now >= c.NextTick() {
			take(c.Tick(now))
		}
	}
	return updates, size, edgeState, c
}

// TestFleetGoesTogether guards against updates that grow with the square of the number of edges when a zone starts:
// edges that connect within seconds must be announced in few updates, each edge once, and all of them must arrive.
func TestFleetGoesTogether(t *testing.T) {
	const (
		within     = 4000 * ms
		edgeBytes  = 30 // allowed for each edge that is announced
		otherBytes = 60 // allowed for each update besides
	)
	for _, n := range []int{100, 400} {
		updates, size, edgeState, c := joinEdges(t, n, within)
		must.LessEq(t, int(within/fleetUpdateInterval)+2, updates)
		must.Eq(t, n, len(edgeState.Fleet.Edges))
		must.Eq(t, c.Snapshot().Fleet, edgeState.Fleet)
		must.Eq(t, n, edgeState.Fleet.Most)
		must.LessEq(t, n*edgeBytes+updates*otherBytes, size)
	}
}

// TestFirstEdgeIsToldAtOnce checks that a new edge is announced at once if no list was sent shortly before.
func TestFirstEdgeIsToldAtOnce(t *testing.T) {
	_, _, _, c := joinEdges(t, 3, 0)
	o := c.HandleEdgeReport(5000*ms, EdgeReport{Edge: clusterstate.Edge{IP: "10.0.9.9"}})
	must.SliceLen(t, 1, o.Update.Change.Joined)
}
