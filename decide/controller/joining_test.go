package controller

import (
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// newInterruptedCluster returns five controllers of which some ended at the first start before they had saved anything, and came back.
func newInterruptedCluster(t *testing.T, ended ...int) *cluster {
	b := newCluster(t, 5)
	for _, n := range ended {
		b.start(b.names[n], false)
	}
	return b
}

// TestInterruptedFirstStart (FAULT): whichever controllers end at the first start before anything is on their disks, and come back with
// Bootstrap false, the system starts.
func TestInterruptedFirstStart(t *testing.T) {
	for name, ended := range map[string][]int{"one seed": {0}, "two seeds": {0, 2}, "three seeds": {0, 1, 2}, "all": {0, 1, 2, 3, 4}, "others": {3, 4}} {
		t.Run(name, func(t *testing.T) {
			b := newInterruptedCluster(t, ended...)
			b.run(8000 * ms)
			b.putAcknowledged(t, b.names[4], 7, []byte("seven"))
			b.run(2000 * ms)
			for _, n := range b.names {
				must.Eq(t, b.names, b.servers[n].committed.Members)
				must.Eq(t, "seven", string(b.read(n).Body))
			}
		})
	}
}

// TestWaitIsSaid (FAULT): a controller without a majority says in its answers and its log what it waits for.
func TestWaitIsSaid(t *testing.T) {
	for name, row := range map[string]struct {
		ended, down []int
		asked       int
		says        []string
	}{
		"an empty disk": {[]int{0, 1}, []int{2}, 0, []string{"the disk of this controller is empty", "no answer from 10.0.0.3", "empty too: 10.0.0.2, 10.0.0.4, 10.0.0.5"}},
		"no majority":   {nil, []int{1, 2}, 0, []string{"no majority of the controllers is heard", "no answer from 10.0.0.2, 10.0.0.3"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newInterruptedCluster(t, row.ended...)
			for _, n := range row.down {
				b.kill(b.names[n], true)
			}
			var logged []string
			asked := b.names[row.asked]
			for range 16 {
				b.run(1000 * ms)
				o := b.servers[asked].Tick(b.now)
				for _, line := range o.Log {
					if line.Text == "waiting for other controllers" {
						logged = append(logged, line.Values[1].(string))
					}
				}
				b.carry(asked, o)
			}
			answer := b.read(asked)
			must.Eq(t, 503, answer.Status)
			for _, text := range row.says {
				must.StrContains(t, answer.Reason, text)
				must.True(t, slices.ContainsFunc(logged, func(line string) bool { return strings.Contains(line, text) }), must.Sprint(logged))
			}
		})
	}
}

// TestMostLost: zones and regions that may be lost count with all their controllers, and one of unknown zone with every other.
func TestMostLost(t *testing.T) {
	for _, row := range []struct {
		budget FaultBudget
		zones  map[string]string // of the peers; the controller itself is in zone z1
		want   int
	}{
		{FaultBudget{Machines: 2}, map[string]string{"b": "", "c": ""}, 2},
		{FaultBudget{Zones: 1}, map[string]string{"b": "z1", "c": "z2"}, 2},
		{FaultBudget{Machines: 1, Zones: 1}, map[string]string{"b": "z3", "c": "z2"}, 2},
		{FaultBudget{Regions: 1}, map[string]string{"b": "z2", "c": "z3"}, 2},
		{FaultBudget{Zones: 1}, map[string]string{"b": "", "c": "z2"}, 3},
	} {
		c := New(0, Options{IP: "a", Incarnation: "1", Zone: "z1", Regions: map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}, Seeds: []string{"a"},
			FaultBudget: &row.budget, ReplicaHeartbeatInterval: 1000 * ms, Random: func() float64 { return 0 }})
		ips := []string{"a"}
		for ip, zone := range row.zones {
			c.addPeer(ip).zone = zone
			ips = append(ips, ip)
		}
		must.Eq(t, row.want, c.mostLost(ips), must.Sprintf("%+v", row))
	}
}
