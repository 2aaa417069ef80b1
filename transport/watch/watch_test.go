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

// TestBookThenChanges: a follower gets the whole book first and each change after it, in order, and none that
// came before.
func TestBookThenChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		feeder, follower := peer.Over(near), peer.Over(far)
		defer feeder.Close()
		defer follower.Close()
		var f Feed
		book := clusterstate.NewState()
		book.Take(clusterstate.Update{Replicas: []registry.Record{{ID: "i-1", Seq: 1}}})
		f.Publish(&clusterstate.Update{Revision: 9}, true) // nobody follows yet
		f.Join(feeder, book.Snapshot(), true)
		n := book.Take(clusterstate.Update{Replicas: []registry.Record{{ID: "i-2", Seq: 1}}})
		f.Publish(&n, true)
		f.Publish(nil, false)
		var p Message
		must.NoError(t, follower.Receive(&p, time.Second))
		must.True(t, p.Notice.Snapshot)
		must.Eq(t, "i-1", p.Notice.Replicas[0].ID)
		p = Message{}
		must.NoError(t, follower.Receive(&p, time.Second))
		must.Eq(t, "i-2", p.Notice.Replicas[0].ID)
		p = Message{}
		must.NoError(t, follower.Receive(&p, time.Second))
		must.Nil(t, p.Notice)
		must.False(t, p.Settled)
		must.Error(t, follower.Receive(&p, time.Second)) // silence shows
		f.Part(feeder)
		must.Zero(t, f.Count())
	})
}

// TestLeavesWhoIsSilent: a follower whose feeder says nothing, or is itself cut off, goes to the next.
func TestLeavesWhoIsSilent(t *testing.T) {
	serve := func(settled bool, beats bool) (address string, joined chan struct{}) {
		ln, err := peer.Listen("127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		joined = make(chan struct{}, 8)
		go peer.Serve(ln, func(l *peer.Link) {
			var f Feed
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			Attend(l, func(Report) {
				joined <- struct{}{}
				f.Join(l, clusterstate.Update{Snapshot: true}, settled)
				if beats {
					go f.Beats(ctx, func() bool { return settled })
				}
			}, func(Report) {})
		})
		return ln.Addr().String(), joined
	}
	mute, first := serve(true, false)
	cut, second := serve(false, true)
	good, third := serve(true, true)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f := Follower{Report: func() Report { return Report{} }, Addresses: func() []string { return []string{mute, cut, good} },
		Take: func(clusterstate.Update) bool { return true }}
	go f.Run(ctx)
	for _, joined := range []chan struct{}{first, second, third} {
		select {
		case <-joined:
		case <-time.After(20 * time.Second):
			t.Fatal("the follower stayed where it was")
		}
	}
}
