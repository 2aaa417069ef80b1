package proxyserver

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

// TestRolloutOnTheWholePath: requests go to the version that the rollout targets, their outcomes are in the
// proxy's report, and nothing goes to the version after the rollout is aborted.
func TestRolloutOnTheWholePath(t *testing.T) {
	withProxy(t, safeRoute, map[string]replicaBehaviour{"s1": answersAfter(time.Millisecond), "s1-2": answersAfter(time.Millisecond)}, func(b *proxyBubble) {
		b.applyUpdate(clusterstate.Update{Replicas: []registry.Record{
			{ID: "s1", Service: "s1", Address: "s1:80", Version: "v2", Seq: 5, Capacity: 4}, {ID: "s1-2", Service: "s1", Address: "s1-2:80", Version: "v1", Seq: 5, Capacity: 4}}})
		set, _, _ := rollout.Set{}.Begin(rollout.Order{Service: "s1", Target: "v2", OverMs: 9000})
		newest, _ := set.NewestOf("s1")
		whole, _ := set.Apply(rollout.Change{Rollout: newest, Phase: rollout.Active, Shares: rollout.Shares{Target: 1000}})
		b.applyUpdate(clusterstate.Update{Rollouts: whole})
		request := func(attempt string) {
			c, r := b.dial()
			defer c.Close()
			send(c, "/safe/x", attempt, 700)
			b.receive(r)
			b.settle()
		}
		request("t1")
		must.Eq(b.t, "s1", b.served("t1")[0].replica)
		evidence := b.buildReport().Self.Rollouts
		must.SliceLen(b.t, 1, evidence)
		must.Eq(b.t, whole.Version, evidence[0].Version)
		must.Eq(b.t, "s1", evidence[0].Counts[0].Replica)
		must.SliceLen(b.t, 1, evidence[0].Counts[0].Buckets)
		must.True(b.t, evidence[0].Counts[0].NewConnection)

		reverted, _ := whole.Abort("s1", "bad")
		b.applyUpdate(clusterstate.Update{Rollouts: reverted})
		b.settle()
		for _, attempt := range []string{"t2", "t3", "t4", "t5"} {
			request(attempt)
			must.Eq(b.t, "s1-2", b.served(attempt)[0].replica)
		}
		must.SliceEmpty(b.t, b.buildReport().Self.Rollouts)
	})
}
