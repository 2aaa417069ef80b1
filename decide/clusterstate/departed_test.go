package clusterstate

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/registry"
)

func record(id string, seq uint64, phase registry.Phase) Update {
	return Update{Replicas: []registry.Record{{ID: id, Service: "s", Address: "a:1", Seq: seq, Phase: phase}}}
}

// TestDepartedStaysAway: a replica that has departed is not taken back from a feeder that has not heard of it, also after
// it was dropped from the state; and the memory of such replicas is bounded.
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

// TestSilentComesBack: a replica that was struck off because it had been silent for long may come back.
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

// TestSnapshotTellsOfDeparted: a follower that began with a feeder that was cut off lists a replica that has departed;
// the snapshot of the next feeder takes it away, with all that is known of it, also by way of a relay.
func TestSnapshotTellsOfDeparted(t *testing.T) {
	feeder, relay, follower := NewState(), NewState(), NewState()
	ready, gone := record("i-1", 4, registry.Ready), record("i-1", 4, registry.Gone)
	feeder.Apply(ready)
	feeder.Apply(gone)
	feeder.DropGone()
	relay.Apply(feeder.Snapshot())
	relay.DropGone()
	follower.Apply(ready)
	fresh := follower.Apply(relay.Snapshot())
	must.Eq(t, gone.Replicas, fresh.Replicas)
	follower.DropGone()
	must.SliceEmpty(t, follower.Apply(relay.Snapshot()).Replicas)
}
