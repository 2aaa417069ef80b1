package controller

import (
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/registry"
)

// TestOneWayCut: a control server that hears all the others and is heard by none is in contact with nobody: within two
// seconds it says so, acknowledges and refuses no order, and what it tells its followers counts as old.
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
			taken := b.put(other, revision, "to one of the majority")
			beat := b.replicaCall(lone, registry.Record{ID: "i-1", Service: "s", Address: "a:1", Seq: revision})
			b.run(1000 * ms)
			must.Eq(t, 503, b.answers[refused].Status)
			must.Eq(t, 503, b.answers[beat].Status)
			must.Eq(t, 200, b.answers[taken].Status)
		}
		must.Greater(t, 20_000*ms, b.now-b.servers[lone].CurrentSince())
		b.cut = nil
		b.run(2000 * ms)
		must.Less(t, 2000*ms, b.now-b.servers[lone].CurrentSince())
		must.Eq(t, 20, int(b.servers[lone].committed.Revision))
	}
}

// TestHeardButDeaf: one that is heard and hears nobody holds no duty up: the next in order replaces a member that is
// gone.
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

// TestStartsOutOfContact: a control server that has just started counts for nothing until a majority has answered it,
// whatever it finds on its disk.
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
	must.Eq(t, 1, int(b.servers[lone].Snapshot().Revision)) // it is all that followers have after a loss of all power
	must.False(t, b.servers[lone].InContact())
	must.Eq(t, neverCurrent, b.servers[lone].CurrentSince())
	b.cut = nil
	b.run(1500 * ms)
	must.Eq(t, 2, int(b.servers[lone].Snapshot().Revision))
	must.Less(t, 1000*ms, b.now-b.servers[lone].CurrentSince())
}

// TestHalfWrittenIsSettled: a value that a disk has accepted and nobody has seen committed (its writer died) keeps no
// control server from being current for long.
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
