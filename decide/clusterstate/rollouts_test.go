package clusterstate

import (
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

// TestRolloutsNeverGoBack: an upstream that is behind does not bring back an older set of rollouts, and a snapshot has the
// newest one.
func TestRolloutsNeverGoBack(t *testing.T) {
	begun, _, _ := rollout.Set{}.Begin(rollout.Order{Service: "s", Target: "v2", OverMs: 9000})
	reverted, _ := begun.Abort("s", "bad")
	state := NewState()
	must.False(t, state.Apply(Update{Rollouts: reverted}).Empty())
	must.True(t, state.Apply(Update{Rollouts: begun}).Empty())
	must.True(t, state.Apply(Update{Rollouts: reverted}).Empty())
	must.Eq(t, reverted, state.Snapshot().Rollouts)
}

// TestVersionStays guards against losing a replica's software version: an upstream of the previous release passes records
// on without it, and the version known before is kept.
func TestVersionStays(t *testing.T) {
	state := NewState()
	state.Apply(Update{Replicas: []registry.Record{{ID: "i", Service: "s", Version: "v2", Seq: 1}}})
	must.SliceEmpty(t, state.Apply(Update{Replicas: []registry.Record{{ID: "i", Service: "s", Seq: 2}}}).Replicas)
	must.Eq(t, "v2", state.Snapshot().Replicas[0].Version)
}
