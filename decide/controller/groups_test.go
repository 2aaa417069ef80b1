package controller

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"willowsill/decide/registry"
)

// heartbeatsFrom lets this many replicas send a heartbeat every second for d ns, each to the controller that at names.
// It returns the bytes of all messages about replicas that the controllers sent each other meanwhile.
func (b *cluster) heartbeatsFrom(replicas int, d int64, at func(replica int) string) (size int) {
	b.tamper = func(_ int, message *Message) (int, int64) {
		if len(message.ReplicaHeartbeats)+len(message.Records) > 0 || message.FullGroup.Whole || message.Heartbeat != nil && message.Heartbeat.Group != nil {
			frame, err := cbor.Marshal(message)
			must.NoError(b.t, err)
			size += len(frame)
		}
		return 1, 0
	}
	for end := b.now + d; b.now < end; {
		for i := range replicas {
			b.replicaCall(at(i), registry.Record{ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprint("a:", i), Zone: "z", Seq: uint64(b.now / ms)})
		}
		b.run(1000 * ms)
	}
	b.tamper = nil
	return size
}

// allReady checks that each running controller knows this many ready replicas.
func (b *cluster) allReady(replicas int) {
	b.t.Helper()
	for _, name := range b.names {
		if b.servers[name].up {
			must.Eq(b.t, replicas, b.servers[name].Controller.replicas.Phases()[registry.Ready], must.Sprint(name))
		}
	}
}

// TestHeartbeatsCostTheSameForMany checks that the bytes between controllers about unchanged replicas do not grow with
// the number of replicas, and that no replica becomes silent at any controller.
func TestHeartbeatsCostTheSameForMany(t *testing.T) {
	sizes := map[int]int{}
	for _, n := range []int{20, 200} {
		b := newCluster(t, 3)
		b.run(4000 * ms)
		home := func(replica int) string { return b.names[replica%3] }
		b.heartbeatsFrom(n, 4000*ms, home)
		sizes[n] = b.heartbeatsFrom(n, 20000*ms, home)
		b.allReady(n)
	}
	t.Log("bytes in 20 s, by replicas: ", sizes)
	must.Less(t, sizes[20]*11/10, sizes[200])
}

// TestReplicaThatMovesIsHeard checks that a replica that calls the controllers in turn is ready at all of them, and that
// one that has stopped calling becomes silent at all of them.
func TestReplicaThatMovesIsHeard(t *testing.T) {
	b := newCluster(t, 3)
	b.run(4000 * ms)
	turn := func(replica int) string { return b.names[(int(b.now/(3000*ms))+replica)%3] }
	b.heartbeatsFrom(9, 24000*ms, turn)
	b.allReady(9)
	b.heartbeatsFrom(8, 10000*ms, turn)
	b.allReady(8)
}

// TestGroupAfterLosses guards against views of a group that stay wrong after lost messages, a one-way cut between two
// controllers and a start with an empty disk. Soon after each, live replicas must be ready at all controllers.
func TestGroupAfterLosses(t *testing.T) {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	home := func(replica int) string { return b.names[replica%4] }
	b.heartbeatsFrom(12, 4000*ms, home)
	number := 0
	b.tamper = func(int, *Message) (int, int64) {
		number++
		return number % 3, 0 // of three messages one is lost and one duplicated
	}
	b.run(1000 * ms)
	b.cut = func(from, to string) bool { return from == b.names[1] && to == b.names[2] }
	b.heartbeatsFrom(12, 12000*ms, home)
	b.cut = nil
	wiped := b.servers[b.names[4]]
	wiped.up, wiped.saved, wiped.savedReplicas = false, nil, nil
	b.start(b.names[4], false)
	b.heartbeatsFrom(12, 4000*ms, home)
	b.allReady(12)
}

// TestGroupsBesideAnOlderVersion checks that a controller of the previous version, which knows no groups, still gets the
// heartbeats of the replicas.
func TestGroupsBesideAnOlderVersion(t *testing.T) {
	b := newCluster(t, 3)
	older := b.names[2]
	b.run(4000 * ms)
	send := func(number int, message *Message) (int, int64) {
		if message.From == older && message.Heartbeat != nil {
			h := *message.Heartbeat
			h.Group = nil
			message.Heartbeat = &h
		}
		return 1, 0
	}
	b.tamper = send
	b.run(1000 * ms)
	olderController := b.servers[older].Controller
	for range 20 {
		for i := range 6 {
			b.replicaCall(b.names[0], registry.Record{ID: fmt.Sprint("i-", i), Service: "s", Address: "a:1", Seq: uint64(b.now / ms)})
		}
		olderController.replicas.ForgetGroup(b.names[0]) // the previous version would not have recorded the group
		b.run(1000 * ms)
	}
	must.Eq(t, 6, olderController.replicas.Phases()[registry.Ready])
}

// TestLostReplicaFallsSilentAfterACut guards against a lost replica that stays ready for good: it is lost while a
// controller is cut off from the one that it called, or while that one restarts. It must become silent at the cut-off
// controller as soon as without the cut.
func TestLostReplicaFallsSilentAfterACut(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		b := newCluster(t, 5)
		b.run(4000 * ms)
		called, far := b.names[0], b.names[4]
		home := func(replica int) string { return b.names[replica%2] }
		b.heartbeatsFrom(6, 4000*ms, home)
		b.cutOff(far)
		b.heartbeatsFrom(2, 4000*ms, home) // the other four replicas are lost during the cut
		if restarted {
			b.servers[called].up = false
			b.run(300 * ms)
			b.start(called, false)
		}
		b.cut = nil
		b.heartbeatsFrom(2, (silentAfterHeartbeats+2)*1000*ms, home)
		b.allReady(2)
	}
}

// TestChangedRecordIsLearnedAfterACut guards against a change that is sent only once: a replica changes its address and
// capacity while a controller is cut off, and that controller's edges send requests to the old address for good.
func TestChangedRecordIsLearnedAfterACut(t *testing.T) {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	far := b.names[4]
	sendHeartbeats := func(address string, times int) {
		for range times {
			b.replicaCall(b.names[0], registry.Record{ID: "i-0", Service: "s", Address: address, Capacity: len(address), Seq: uint64(b.now / ms)})
			b.run(1000 * ms)
		}
	}
	sendHeartbeats("a:1", 4)
	b.cutOff(far)
	sendHeartbeats("b:12", 3)
	b.cut = nil
	sendHeartbeats("b:12", 2)
	for _, name := range b.names {
		r, _ := b.servers[name].Controller.replicas.Get("i-0")
		must.Eq(t, "b:12", r.Address, must.Sprint(name))
		must.Eq(t, 4, r.Capacity, must.Sprint(name))
	}
}
