package registry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestGroupIsToldInChanges: who joins and who leaves is told once, and the view agrees after each.
func TestGroupIsToldInChanges(t *testing.T) {
	g, v := NewGroup(3*second), &GroupView{}
	must.True(t, v.Apply(g.Changes(0)))
	for i := range 50 {
		g.RecordHeartbeat(0, Heartbeat{ID: fmt.Sprint("i-", i), Seq: 1})
	}
	news := g.Changes(0)
	must.SliceLen(t, 50, news.Joined)
	must.True(t, v.Apply(news))
	for i := range 49 { // the last one is not heard any more
		g.RecordHeartbeat(2*second, Heartbeat{ID: fmt.Sprint("i-", i), Seq: 2})
	}
	news = g.Changes(2 * second)
	must.SliceEmpty(t, news.Joined)
	must.True(t, v.Apply(news))
	news = g.Changes(4 * second)
	must.Eq(t, []LeftMember{{Heartbeat{ID: "i-49", Seq: 1}, 4 * second}}, news.Left)
	must.True(t, v.Apply(news))
	g.Remove(4*second, "i-7")
	must.SliceLen(t, 1, g.Changes(4*second).Left)
}

// TestViewNoticesLosses: whatever news are lost, doubled or late, a view that agrees holds the group, and one that does not
// comes to agree by the whole of it.
func TestViewNoticesLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, v := NewGroup(5), &GroupView{}
		var late []GroupUpdate
		for now := range int64(rapid.IntRange(1, 40).Draw(t, "steps")) {
			id := fmt.Sprint("i-", rapid.IntRange(0, 6).Draw(t, "id"))
			if rapid.IntRange(0, 4).Draw(t, "what") > 0 {
				g.RecordHeartbeat(now, Heartbeat{ID: id, Seq: uint64(now)})
			} else {
				g.Remove(now, id)
			}
			news := g.Changes(now)
			switch rapid.IntRange(0, 4).Draw(t, "way") {
			case 0:
				continue // lost
			case 1:
				late = append(late, news)
				continue
			case 2:
				v.Apply(news)
			case 3:
				for _, n := range late {
					v.Apply(n)
				}
				late = nil
			}
			if v.Apply(news) {
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

// TestHeardWithTheGroup: replicas of a group that is heard do not fall silent; one that leaves it does in its own time, and
// all do once the group is no longer heard.
func TestHeardWithTheGroup(t *testing.T) {
	reg := New(4*second, 60*second)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		reg.Merge(0, Record{ID: id, Service: "s", Address: "a:1", Seq: 1})
	}
	must.True(t, reg.JoinGroup(0, "c1", Heartbeat{ID: "i-1", Seq: 2}))
	must.True(t, reg.JoinGroup(0, "c1", Heartbeat{ID: "i-2", Seq: 2}))
	must.False(t, reg.JoinGroup(0, "c1", Heartbeat{ID: "i-9", Seq: 2})) // not known here
	silent := func(now int64) (ids []string) {
		for _, r := range reg.Tick(now, true) {
			ids = append(ids, r.ID)
		}
		return ids
	}
	for now := int64(0); now < 20*second; now += second / 2 {
		reg.GroupHeard(now, "c1")
		if now == 9*second/2 {
			must.Eq(t, []string{"i-3"}, silent(now)) // in no group
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
	must.False(t, reg.JoinGroup(24*second, "c1", Heartbeat{ID: "i-1", Seq: 3})) // its record is needed
}

// TestNoBlameWhileDeaf: a controller that heard nobody blames no replica for its group's silence.
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

// TestGroupGone: what a controller's group was heard by last counts on once that controller is forgotten.
func TestGroupGone(t *testing.T) {
	reg := New(4*second, 60*second)
	reg.Merge(0, Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 1})
	reg.JoinGroup(0, "c1", Heartbeat{ID: "i-1", Seq: 1})
	reg.GroupHeard(8*second, "c1")
	reg.ForgetGroup("c1")
	must.SliceEmpty(t, reg.Tick(11*second, true))
	must.SliceLen(t, 1, reg.Tick(13*second, true))
}
