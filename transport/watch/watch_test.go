package watch

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
	"willowsill/decide/registry"
	"willowsill/transport/peer"
)

// TestSnapshotThenChanges: an edge receives the snapshot first, then each later change in order, and no change
// from before it joined.
func TestSnapshotThenChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		upstream, downstream := peer.NewLink(near, nil), peer.NewLink(far, nil)
		defer upstream.Close()
		defer downstream.Close()
		var f Feed
		state := clusterstate.NewState()
		state.Apply(clusterstate.Update{Replicas: []registry.Record{{ID: "i-1", Seq: 1}}})
		fresh, stale := clusterstate.Freshness{Known: true, Age: 5}, clusterstate.Freshness{Known: true, Age: int64(time.Minute)}
		f.Publish(&clusterstate.Update{Revision: 9}, fresh) // no link has joined yet
		f.Join(upstream, Report{}, state.Snapshot(), fresh)
		change := state.Apply(clusterstate.Update{Replicas: []registry.Record{{ID: "i-2", Seq: 1}}})
		f.Publish(&change, fresh)
		f.Publish(nil, stale)
		var m Message
		must.NoError(t, downstream.Receive(&m, time.Second))
		must.True(t, m.Update.Snapshot)
		must.Eq(t, "i-1", m.Update.Replicas[0].ID)
		m = Message{}
		must.NoError(t, downstream.Receive(&m, time.Second))
		must.Eq(t, "i-2", m.Update.Replicas[0].ID)
		m = Message{}
		must.NoError(t, downstream.Receive(&m, time.Second))
		must.Nil(t, m.Update)
		must.False(t, m.InContact)
		must.Eq(t, stale, m.freshness())
		must.Error(t, downstream.Receive(&m, time.Second)) // an upstream that sends nothing runs into the timeout
		f.Leave(upstream)
		must.Zero(t, f.Count())
	})
}

// TestLeavesWhoIsSilent: an edge whose upstream is silent, or has no contact with the controllers, changes to
// the next one.
func TestLeavesWhoIsSilent(t *testing.T) {
	serve := func(known bool, heartbeats bool) (address string, joined chan struct{}) {
		fresh := clusterstate.Freshness{Known: known}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		joined = make(chan struct{}, 8)
		go peer.Serve(ln, nil, func(l *peer.Link) {
			var f Feed
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ReceiveReports(l, func(Report) {
				joined <- struct{}{}
				f.Join(l, Report{}, clusterstate.Update{Snapshot: true}, fresh)
				if heartbeats {
					go f.SendHeartbeats(ctx, func() clusterstate.Freshness { return fresh })
				}
			}, func(Report) {})
		})
		return ln.Addr().String(), joined
	}
	silent, first := serve(true, false)
	noContact, second := serve(false, true)
	good, third := serve(true, true)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f := Upstream{Report: func() Report { return Report{} }, Addresses: func() []string { return []string{silent, noContact, good} },
		Apply: func(clusterstate.Update) bool { return true }}
	go f.Run(ctx)
	for _, joined := range []chan struct{}{first, second, third} {
		select {
		case <-joined:
		case <-time.After(20 * time.Second):
			t.Fatal("the edge did not change its upstream")
		}
	}
}

// TestHeldBodyStaysAway: an edge that already holds the snapshot's revision is not sent the configuration's
// body again.
func TestHeldBodyStaysAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, held := range []uint64{0, 6, 7, 8} {
			near, far := net.Pipe()
			upstream, downstream := peer.NewLink(near, nil), peer.NewLink(far, nil)
			var f Feed
			f.Join(upstream, Report{Revision: held}, clusterstate.Update{Snapshot: true, Revision: 7, Body: []byte("seven")}, clusterstate.Freshness{})
			var m Message
			must.NoError(t, downstream.Receive(&m, time.Second))
			must.Eq(t, 7, int(m.Update.Revision))
			must.Eq(t, held >= 7, len(m.Update.Body) == 0)
			upstream.Close()
			downstream.Close()
		}
	})
}

// TestFormerVersion: a sender of the former version states only whether it is in contact, and a receiver of the
// former version reads only that field.
func TestFormerVersion(t *testing.T) {
	must.True(t, Message{InContact: true}.freshness().Known)
	must.False(t, Message{}.freshness().Known)
	must.True(t, newMessage(nil, clusterstate.Freshness{Known: true, Age: int64(time.Second)}).InContact)
	must.False(t, newMessage(nil, clusterstate.Freshness{Known: true, Age: int64(time.Minute)}).InContact)
	must.False(t, newMessage(nil, clusterstate.Freshness{}).InContact)
}

// TestFleetToFormerFollowers: an edge whose report does not set AcceptsChanges receives the whole fleet in each
// update. One that sets it receives changes and ends with the same fleet.
func TestFleetToFormerFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f Feed
		upstream := clusterstate.NewState()
		upstream.Apply(clusterstate.Update{Fleet: clusterstate.Fleet{Most: 2, Edges: []clusterstate.Edge{{IP: "10.0.0.1"}, {IP: "10.0.0.2"}}}})
		join := func(changes bool) *peer.Link {
			near, far := net.Pipe()
			link, downstream := peer.NewLink(near, nil), peer.NewLink(far, nil)
			f.Join(link, Report{AcceptsChanges: changes}, upstream.Snapshot(), clusterstate.Freshness{})
			t.Cleanup(func() { link.Close(); downstream.Close() })
			return downstream
		}
		former, newer := join(false), join(true)
		update := upstream.Apply(clusterstate.Update{Fleet: clusterstate.Fleet{Most: 3,
			Edges: []clusterstate.Edge{{IP: "10.0.0.1"}, {IP: "10.0.0.2"}, {IP: "10.0.0.3"}}}})
		f.Publish(&update, clusterstate.Freshness{})
		for link, wantFull := range map[*peer.Link]bool{former: true, newer: false} {
			state := clusterstate.NewState()
			var last Message
			for range 2 {
				last = Message{}
				must.NoError(t, link.Receive(&last, time.Second))
				must.False(t, state.Apply(*last.Update).Empty())
			}
			must.Eq(t, wantFull, last.Update.Change == nil)
			must.Eq(t, !wantFull, last.Update.Fleet.Empty())
			must.Eq(t, upstream.Fleet, state.Fleet)
		}
	})
}
