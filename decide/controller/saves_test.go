package controller

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestChangesSaveNoList checks that a change of the configuration writes the list of replicas to no disk. It also checks
// that each disk soon records the revision as committed, so that edges get it at once after a loss of power everywhere.
func TestChangesSaveNoList(t *testing.T) {
	const (
		changes  = 20
		replicas = 30
	)
	b := newCluster(t, 5)
	b.run(4000 * ms)
	sendHeartbeats := func(seq uint64) {
		for i := range replicas {
			r := readyReplica(fmt.Sprint("i-", i))
			r.Seq = seq
			b.replicaCall(b.names[i%5], r)
		}
	}
	sendHeartbeats(1)
	b.run(2000 * ms)
	for _, name := range b.names {
		must.SliceLen(t, replicas, b.servers[name].savedReplicas)
		b.servers[name].replicasSaves = 0
	}
	for revision := range uint64(changes) {
		must.Eq(t, statusOK, b.untilAnswered(b.put(b.names[revision%5], revision+1, fmt.Sprint("body ", revision))))
		sendHeartbeats(revision + 2)
		b.run(1000 * ms)
	}
	for _, name := range b.names {
		must.Eq(t, 0, b.servers[name].replicasSaves, must.Sprint("lists saved by ", name))
		must.Eq(t, newOrder(changes, packedContent(fmt.Sprint("body ", changes-1))).Order, b.servers[name].saved.CommittedConfiguration)
		must.SliceLen(t, replicas, b.servers[name].savedReplicas)
	}
	b.restartAll()
	for _, name := range b.names {
		must.Eq(t, changes, b.servers[name].edgeState.Revision)
	}
}
