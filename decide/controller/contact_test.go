package controller

import (
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/registry"
)

// TestOneWayCut guards against a controller that receives all messages, but whose own messages are lost, and goes on as
// if it had a majority. Within two seconds it must be out of contact, answer 503 to every call, and not count as
// current.
func TestOneWayCut(t *testing.T) {
	for cutOff := range 5 {
		b := newCluster(t, 5)
		b.run(4000 * ms)
		lone, other := b.names[cutOff], b.names[(cutOff+1)%5]
		must.True(t, b.servers[lone].InContact())
		b.cut = func(from, to string) bool { return from == lone }
		b.run(2000 * ms)
		must.False(t, b.servers[lone].InContact())
		must.True(t, b.servers[other].InContact())
		for revision := uint64(1); revision <= 20; revision++ {
			refused := b.put(lone, 1000+revision, "to the one that is cut off")
			accepted := b.put(other, revision, "to one of the majority")
			heartbeat := b.replicaCall(lone, registry.Record{ID: "i-1", Service: "s", Address: "a:1", Seq: revision})
			b.run(1000 * ms)
			must.Eq(t, 503, b.answers[refused].Status)
			must.Eq(t, 503, b.answers[heartbeat].Status)
			must.Eq(t, 200, b.answers[accepted].Status)
		}
		must.Greater(t, 20_000*ms, b.now-b.servers[lone].CurrentSince())
		b.cut = nil
		b.run(2000 * ms)
		must.Less(t, 2000*ms, b.now-b.servers[lone].CurrentSince())
		must.Eq(t, 20, int(b.servers[lone].committed.Revision))
	}
}

// TestHeardButDeaf guards against a first member that sends messages but receives none and blocks changes of the
// members: the next live member must replace the one that has gone.
func TestHeardButDeaf(t *testing.T) {
	b := newCluster(t, 6)
	b.servers[b.names[5]].up = false
	b.run(3000 * ms)
	b.put(b.names[1], 1, "one")
	b.run(1000 * ms)
	deaf, gone := b.names[0], b.names[4]
	b.cut = func(from, to string) bool { return to == deaf }
	b.servers[gone].up = false
	b.start(b.names[5], false)
	b.run(8000 * ms)
	must.SliceContains(t, b.servers[b.names[1]].committed.Members, b.names[5])
	must.False(t, b.servers[deaf].InContact())
}

// TestStartsOutOfContact checks that a controller that has just started is neither in contact nor current until a
// majority has answered it, whatever is on its disk.
func TestStartsOutOfContact(t *testing.T) {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	lone := b.names[2]
	b.put(lone, 1, "one")
	b.run(1000 * ms)
	b.servers[lone].up = false
	put := b.put(b.names[0], 2, "two")
	b.run(1000 * ms)
	must.Eq(t, 200, b.answers[put].Status)
	b.cut = func(from, to string) bool { return from == lone || to == lone }
	b.start(lone, false)
	b.run(3000 * ms)
	must.Eq(t, 1, int(b.servers[lone].Snapshot().Revision)) // after a loss of all power the edges have no other source
	must.False(t, b.servers[lone].InContact())
	must.Eq(t, neverCurrent, b.servers[lone].CurrentSince())
	b.cut = nil
	b.run(1500 * ms)
	must.Eq(t, 2, int(b.servers[lone].Snapshot().Revision))
	must.Less(t, 1000*ms, b.now-b.servers[lone].CurrentSince())
}

// TestHalfWrittenIsSettled guards against controllers that stay out of date after the death of a writer: a value that a
// disk has accepted, but that nobody has announced as committed, must be committed soon.
func TestHalfWrittenIsSettled(t *testing.T) {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	writer := b.names[3]
	b.put(writer, 5, "five")
	for range 1000 {
		b.run(ms)
		if accepted := b.servers[b.names[0]].disk.Value.Revision; accepted == 5 {
			break
		}
	}
	must.Eq(t, 5, int(b.servers[b.names[0]].disk.Value.Revision))
	b.servers[writer].up = false
	b.run(4000 * ms)
	for _, name := range b.names {
		if name != writer {
			must.Eq(t, 5, int(b.servers[name].committed.Revision))
			must.Less(t, 1500*ms, b.now-b.servers[name].CurrentSince())
		}
	}
}
