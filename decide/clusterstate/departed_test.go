package clusterstate

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/registry"
)

// record returns an update with one replica.
func record(id string, seq uint64, phase registry.Phase) Update {
	return Update{Replicas: []registry.Record{{ID: id, Service: "s", Address: "a:1", Seq: seq, Phase: phase}}}
}

// TestDepartedStaysAway: an upstream that does not know of a departure does not bring the replica back, even after its
// record was dropped from the state. The number of departures that a state remembers is bounded.
func TestDepartedStaysAway(t *testing.T) {
	s := NewState()
	s.Apply(record("i-1", 4, registry.Ready))
	s.Apply(record("i-1", 4, registry.Gone))
	s.DropGone()
	stale := record("i-1", 4, registry.Ready)
	stale.Snapshot = true
	must.SliceEmpty(t, s.Apply(stale).Replicas)
	must.Eq(t, []registry.Record{{ID: "i-1", Phase: registry.Gone, Seq: 4}}, s.Snapshot().Replicas)
	for i := range 3 * maxDeparted {
		s.Apply(record(fmt.Sprint("other-", i), 1, registry.Gone))
		s.DropGone()
	}
	must.MapLen(t, maxDeparted, s.departed.lastSeq)
	must.SliceLen(t, maxDeparted, s.departed.order)
}

// TestSilentComesBack: a replica that was dropped after a long silence is accepted again under a higher call number.
func TestSilentComesBack(t *testing.T) {
	s := NewState()
	s.Apply(record("i-1", 4, registry.Ready))
	s.Apply(record("i-1", 4, registry.Silent))
	s.Apply(record("i-1", 4, registry.Gone))
	s.DropGone()
	must.SliceEmpty(t, s.Apply(record("i-1", 4, registry.Ready)).Replicas)
	must.SliceLen(t, 1, s.Apply(record("i-1", 60, registry.Ready)).Replicas)
	must.SliceLen(t, 1, s.Snapshot().Replicas)
}

// TestSnapshotTellsOfDeparted: an edge whose first upstream was cut off holds a departed replica as ready. The snapshot of
// its next upstream, here a relay, removes the replica, and the edge passes the departure on with the whole record.
func TestSnapshotTellsOfDeparted(t *testing.T) {
	upstream, relay, edge := NewState(), NewState(), NewState()
	ready, gone := record("i-1", 4, registry.Ready), record("i-1", 4, registry.Gone)
	upstream.Apply(ready)
	upstream.Apply(gone)
	upstream.DropGone()
	relay.Apply(upstream.Snapshot())
	relay.DropGone()
	edge.Apply(ready)
	fresh := edge.Apply(relay.Snapshot())
	must.Eq(t, gone.Replicas, fresh.Replicas)
	edge.DropGone()
	must.SliceEmpty(t, edge.Apply(relay.Snapshot()).Replicas)
}
