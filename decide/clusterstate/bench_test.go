package clusterstate

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"willowsill/decide/registry"
)

// manyReplicas is the number of replicas for which docs/CAPACITY.md gives the cost of an agent's state.
const manyReplicas = 93_000

func largeState() *State {
	s := NewState()
	var replicas []registry.Record
	for i := range manyReplicas {
		replicas = append(replicas, registry.Record{ID: fmt.Sprintf("replica-%06d-0", i), Service: fmt.Sprint("shard-", i%150),
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i/62500, i/250%250, i%250), Zone: fmt.Sprint("zone-", i%14), Capacity: 4, Seq: 1})
	}
	frame, _ := cbor.Marshal(Update{Snapshot: true, Replicas: replicas})
	var u Update
	cbor.Unmarshal(frame, &u)
	s.Apply(u)
	return s
}

// BenchmarkSnapshot measures how long an agent takes to decode and apply a snapshot, and the heap that the state keeps.
func BenchmarkSnapshot(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := largeState()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/manyReplicas, "heap-bytes/replica")
		runtime.KeepAlive(s)
	}
}

func manyRoutes(routes, changed int) []byte {
	var b strings.Builder
	for i := range routes {
		deadline := 1000 + i%900
		if i == changed {
			deadline = 2001
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%d.example","path-prefix":"/p%d/","deadline-ms":%d,"service":"shard-%d","max-tries":2},`, i, i%7,
			i*104729%1000003, deadline, i%150)
	}
	return []byte(b.String())
}

// BenchmarkConfigurationChange changes one route of 100, 1,000 and 10,000: an upstream makes the patch and an edge applies it.
func BenchmarkConfigurationChange(b *testing.B) {
	for _, routes := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(routes, "routes"), func(b *testing.B) {
			bodies := [][]byte{Pack(manyRoutes(routes, 0)), Pack(manyRoutes(routes, 1))}
			upstream, edge := NewState(), NewState()
			upstream.Apply(Update{Revision: 1, Body: bodies[1]})
			edge.Apply(upstream.Snapshot())
			revision := uint64(1)
			for b.Loop() {
				revision++
				fresh := upstream.Apply(Update{Revision: revision, Body: bodies[revision%2]})
				frame, _ := cbor.Marshal(fresh)
				b.ReportMetric(float64(len(frame)), "bytes")
				edge.Apply(fresh)
			}
			b.ReportMetric(float64(len(bodies[0])), "bytes-packed")
		})
	}
}
