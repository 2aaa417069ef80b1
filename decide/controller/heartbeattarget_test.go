package controller

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/locality"
	"willowsill/decide/registry"
)

// newClusterInZones returns a cluster with one controller for each zone given. The region west has the zones west1 and
// west2, the region east has east1.
func newClusterInZones(t *testing.T, zones ...string) *cluster {
	b := &cluster{t: t, servers: map[string]*server{}, answers: map[uint64]Answer{}, bodies: map[uint64]string{}, zones: map[string]string{},
		regions: locality.Regions{"west1": "west", "west2": "west", "east1": "east"}}
	for i, zone := range zones {
		name := fmt.Sprint("10.0.0.", i+1)
		b.names = append(b.names, name)
		b.servers[name] = &server{}
		b.zones[name] = zone
	}
	for _, name := range b.names {
		b.start(name, true)
	}
	return b
}

// target sends a replica's heartbeat to a controller and returns the heartbeat target in the answer.
func (b *cluster) target(at, replica, zone string) string {
	b.calls++
	b.carry(at, b.servers[at].HandleReplicaCall(b.now, b.calls, registry.Record{ID: replica, Service: "s", Address: "a:1", Zone: zone, Seq: b.calls}))
	return b.answers[b.calls].HeartbeatTarget
}

// TestHeartbeatsStayNear checks that all controllers give a replica the same target: one in its zone, or in its region if
// no controller of the zone accepts calls. The replicas of a zone are spread over its controllers. There is no target if
// the region has no controller or the zone is unknown.
func TestHeartbeatsStayNear(t *testing.T) {
	b := newClusterInZones(t, "west1", "west1", "west2", "east1", "east1")
	b.run(4000 * ms)
	c := b.names
	for _, at := range c {
		must.Eq(t, c[2], b.target(at, "i-1", "west2"))
		must.Eq(t, "", b.target(at, "i-2", ""))
		must.Eq(t, "", b.target(at, "i-3", "elsewhere"))
		must.Eq(t, b.target(c[0], "i-4", "west1"), b.target(at, "i-4", "west1"))
	}
	spread := map[string]int{}
	for i := range 60 {
		spread[b.target(c[3], fmt.Sprint("i-9", i), "west1")]++
	}
	must.MapLen(t, 2, spread)
	must.Between(t, 15, spread[c[0]], 45)

	b.servers[c[2]].up = false
	b.run(contactTimeout + 500*ms)
	must.SliceContains(t, c[:2], b.target(c[3], "i-1", "west2"))
	b.start(c[2], false)
	b.run(3000 * ms)
	must.Eq(t, c[2], b.target(c[3], "i-1", "west2"))

	b.servers[c[3]].up, b.servers[c[4]].up = false, false
	b.run(contactTimeout + 500*ms)
	must.Eq(t, "", b.target(c[0], "i-5", "east1"))
}

// TestNoHeartbeatsToThoseThatLeave checks that a controller that shuts down, or whose disk has not caught up, is not a
// heartbeat target.
func TestNoHeartbeatsToThoseThatLeave(t *testing.T) {
	b := newClusterInZones(t, "west1", "east1", "east1", "east1", "west2")
	b.run(4000 * ms)
	c := b.names
	must.Eq(t, c[4], b.target(c[1], "i-1", "west2"))
	b.carry(c[4], b.servers[c[4]].AnnounceShutdown(b.now))
	b.run(100 * ms)
	must.Eq(t, c[0], b.target(c[1], "i-1", "west2"))

	wiped := b.servers[c[0]]
	wiped.up, wiped.saved, wiped.savedReplicas = false, nil, nil
	b.cut = func(from, to string) bool { return (from == c[2] || from == c[3]) && to == c[0] } // keeps it from catching up
	b.start(c[0], false)
	b.run(3000 * ms)
	must.False(t, wiped.disk.CaughtUp)
	must.Eq(t, "", b.target(c[1], "i-1", "west1"))
}

// TestFleetNamesZonesOfControllers checks that the list for the edges has the zone of each controller.
func TestFleetNamesZonesOfControllers(t *testing.T) {
	b := newClusterInZones(t, "west1", "west2", "east1")
	b.run(4000 * ms)
	fleet := b.servers[b.names[2]].Snapshot().Fleet
	must.Eq(t, b.names, fleet.Controllers)
	must.Eq(t, []string{"west1", "west2", "east1"}, fleet.Zones)
}
