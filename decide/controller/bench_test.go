package controller

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"willowsill/decide/clusterstate"
	"willowsill/decide/registry"
)

// These benchmarks measure the cost of each kind of message in a large controller. docs/CAPACITY.md uses their results.

const (
	manyReplicas = 93_000
	manyEdges    = 4_200
)

func replicaRecord(i int, seq uint64) registry.Record {
	return registry.Record{ID: fmt.Sprintf("replica-%06d-0", i), Service: fmt.Sprint("shard-", i%150),
		Address: fmt.Sprintf("10.%d.%d.%d:9000", i/62500, i/250%250, i%250), Zone: fmt.Sprint("zone-", i%14), Capacity: 4, Seq: seq}
}

// largeController returns a lone controller that knows manyReplicas replicas and manyEdges edges.
func largeController(now int64) *Controller {
	c := New(now, Options{IP: "10.9.0.1", Incarnation: "1", Seeds: []string{"10.9.0.1"}, Bootstrap: true, ReplicaHeartbeatInterval: 1000 * ms,
		Random: func() float64 { return 0 }})
	for i := range manyReplicas {
		c.applyRecord(replicaRecord(i, 1), false)
	}
	for i := range manyEdges {
		c.HandleEdgeReport(now, edgeReport(i))
	}
	c.Tick(now + fleetUpdateInterval)
	return c
}

func edgeReport(i int) EdgeReport {
	return EdgeReport{Edge: clusterstate.Edge{IP: fmt.Sprintf("10.100.%d.%d", i/250, i%250), Zone: fmt.Sprint("zone-", i%14)}}
}

// BenchmarkHeartbeat measures an unchanged heartbeat of a replica.
func BenchmarkHeartbeat(b *testing.B) {
	c := largeController(ms)
	records := make([]registry.Record, manyReplicas)
	for i := range records {
		records[i] = replicaRecord(i, 2)
	}
	n := 0
	for b.Loop() {
		r := records[n%manyReplicas]
		r.Seq += uint64(n / manyReplicas)
		c.HandleReplicaCall(2*ms+int64(n)*10_000, uint64(n), r)
		n++
	}
}

// BenchmarkPassedHeartbeat measures a replica's heartbeat that another controller relays, in batches of a thousand,
// including the decoding.
func BenchmarkPassedHeartbeat(b *testing.B) {
	c := largeController(ms)
	const batch = 1000
	n := 0
	for b.Loop() {
		message := Message{From: "10.9.0.2"}
		for i := range batch {
			message.ReplicaHeartbeats = append(message.ReplicaHeartbeats, ReplicaHeartbeat{fmt.Sprintf("replica-%06d-0", (n*batch+i)%manyReplicas), uint64(2 + n*batch/manyReplicas)})
		}
		frame, _ := cbor.Marshal(message)
		var got Message
		if err := cbor.Unmarshal(frame, &got); err != nil {
			b.Fatal(err)
		}
		c.HandleMessage(2*ms+int64(n)*ms, got)
		n++
		b.ReportMetric(float64(len(frame))/batch, "bytes/heartbeat")
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n*batch), "ns/heartbeat")
}

// BenchmarkEdgeReport measures one report of one edge.
func BenchmarkEdgeReport(b *testing.B) {
	c := largeController(ms)
	n := 0
	for b.Loop() {
		c.HandleEdgeReport(2*ms+int64(n)*1_000_000_000/manyEdges, edgeReport(n%manyEdges))
		n++
	}
}

// BenchmarkTick measures the work that a controller does every 100 ms while all replicas send heartbeats.
func BenchmarkTick(b *testing.B) {
	const heardEvery = 20 // ticks between two heartbeats of a replica, so the oldest one is 2 s old
	c := largeController(ms)
	n := int64(0)
	for b.Loop() {
		if n%heardEvery == 0 {
			b.StopTimer()
			for i := range manyReplicas {
				c.applyRecord(replicaRecord(i, uint64(2+n)), false)
			}
			b.StartTimer()
		}
		n++
		c.Tick(ms + n*recordBatchInterval)
	}
}

// BenchmarkStateSize reports the heap that a controller's state takes, and the bytes of its snapshot on the wire.
func BenchmarkStateSize(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := largeController(ms)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-heap")
		snapshot := c.Snapshot()
		whole, _ := cbor.Marshal(snapshot)
		replicas, _ := cbor.Marshal(snapshot.Replicas)
		fleet, _ := cbor.Marshal(snapshot.Fleet)
		b.ReportMetric(float64(len(whole))/1e6, "MB-snapshot")
		b.ReportMetric(float64(len(replicas))/manyReplicas, "bytes/replica")
		b.ReportMetric(float64(len(fleet))/manyEdges, "bytes/edge")
		runtime.KeepAlive(c)
	}
}

// BenchmarkSnapshot measures the cost of an edge that connects: the controller makes and encodes a snapshot for it.
func BenchmarkSnapshot(b *testing.B) {
	c := largeController(ms)
	for b.Loop() {
		if _, err := cbor.Marshal(c.Snapshot()); err != nil {
			b.Fatal(err)
		}
	}
}
