package registry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestGroupIsToldInChanges: an update has each replica that joins or leaves once, and the view agrees after each update.
func TestGroupIsToldInChanges(t *testing.T) {
	g, v := NewGroup(3*second), &GroupView{}
	must.True(t, v.Apply(g.Changes(0)))
	for i := range 50 {
		g.RecordHeartbeat(0, Heartbeat{ID: fmt.Sprint("i-", i), Seq: 1})
	}
	update := g.Changes(0)
	must.SliceLen(t, 50, update.Joined)
	must.True(t, v.Apply(update))
	for i := range 49 { // the last one sends no more heartbeats
		g.RecordHeartbeat(2*second, Heartbeat{ID: fmt.Sprint("i-", i), Seq: 2})
	}
	update = g.Changes(2 * second)
	must.SliceEmpty(t, update.Joined)
	must.True(t, v.Apply(update))
	update = g.Changes(4 * second)
	must.Eq(t, []LeftMember{{Heartbeat{ID: "i-49", Seq: 1}, 4 * second}}, update.Left)
	must.True(t, v.Apply(update))
	g.Remove(4*second, "i-7")
	must.SliceLen(t, 1, g.Changes(4*second).Left)
}

// TestViewNoticesLosses: updates are lost, duplicated or delayed. A view for which Apply returns true has exactly the members
// of the group, and the whole group brings any view to agree.
func TestViewNoticesLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, v := NewGroup(5), &GroupView{}
		var delayed []GroupUpdate
		for now := range int64(rapid.IntRange(1, 40).Draw(t, "steps")) {
			id := fmt.Sprint("i-", rapid.IntRange(0, 6).Draw(t, "id"))
			if rapid.IntRange(0, 4).Draw(t, "what") > 0 {
				g.RecordHeartbeat(now, Heartbeat{ID: id, Seq: uint64(now)})
			} else {
				g.Remove(now, id)
			}
			update := g.Changes(now)
			switch rapid.IntRange(0, 4).Draw(t, "way") {
			case 0:
				continue // lost
			case 1:
				delayed = append(delayed, update)
				continue
			case 2:
				v.Apply(update)
			case 3:
				for _, u := range delayed {
					v.Apply(u)
				}
				delayed = nil
			}
			if v.Apply(update) {
				must.MapLen(t, len(g.members), v.contentHashes)
				for id := range g.members {
					must.MapContainsKey(t, v.contentHashes, id)
				}
			}
			if rapid.Bool().Draw(t, "whole") {
				must.True(t, v.Apply(g.Whole()))
			}
		}
	})
}

// TestHeardWithTheGroup: replicas do not fall silent while their group is confirmed. One that leaves the group falls silent
// SilentAfter its last heartbeat, and all do once the group is no longer confirmed.
func TestHeardWithTheGroup(t *testing.T) {
	reg := New(4*second, 60*second)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		reg.Merge(0, Record{ID: id, Service: "s", Address: "a:1", Seq: 1})
	}
	must.True(t, reg.JoinGroup(0, "c1", Heartbeat{ID: "i-1", Seq: 2}))
	must.True(t, reg.JoinGroup(0, "c1", Heartbeat{ID: "i-2", Seq: 2}))
	must.False(t, reg.JoinGroup(0, "c1", Heartbeat{ID: "i-9", Seq: 2})) // i-9 has no record here
	silent := func(now int64) (ids []string) {
		for _, r := range reg.Tick(now, true) {
			ids = append(ids, r.ID)
		}
		return ids
	}
	for now := int64(0); now < 20*second; now += second / 2 {
		reg.GroupHeard(now, "c1")
		if now == 9*second/2 {
			must.Eq(t, []string{"i-3"}, silent(now)) // i-3 is in no group
		} else if now < 5*second {
			must.SliceEmpty(t, silent(now))
		}
		if now == 6*second {
			reg.LeaveGroup(now, "c1", LeftMember{Heartbeat{ID: "i-2", Seq: 7}, 3 * second})
		}
		if now == 7*second {
			must.SliceEmpty(t, silent(now))
		}
		if now == 8*second {
			must.Eq(t, []string{"i-2"}, silent(now))
		}
	}
	must.SliceEmpty(t, silent(23*second))
	must.Eq(t, []string{"i-1"}, silent(24*second))
	must.False(t, reg.JoinGroup(24*second, "c1", Heartbeat{ID: "i-1", Seq: 3})) // i-1 is silent here, so its record is needed
}

// TestNoBlameWhileDeaf: while a controller cannot receive heartbeats, no replica of a group falls silent.
func TestNoBlameWhileDeaf(t *testing.T) {
	reg := New(4*second, 60*second)
	reg.Tick(0, true)
	reg.Merge(0, Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 1})
	reg.JoinGroup(0, "c1", Heartbeat{ID: "i-1", Seq: 1})
	reg.GroupHeard(second, "c1")
	must.SliceEmpty(t, reg.Tick(20*second, false))
	must.SliceEmpty(t, reg.Tick(21*second, true))
	must.SliceLen(t, 1, reg.Tick(26*second, true))
}

// TestGroupGone: once a controller is forgotten, the replicas of its group count as heard when the group was last confirmed.
func TestGroupGone(t *testing.T) {
	reg := New(4*second, 60*second)
	reg.Merge(0, Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 1})
	reg.JoinGroup(0, "c1", Heartbeat{ID: "i-1", Seq: 1})
	reg.GroupHeard(8*second, "c1")
	reg.ForgetGroup("c1")
	must.SliceEmpty(t, reg.Tick(11*second, true))
	must.SliceLen(t, 1, reg.Tick(13*second, true))
}
