// Package failuredetector lets the edges of a zone detect each other's failures. The edges form a ring; each sends heartbeats
// to the next ones on the ring, which are its watchers, and reports which of the edges that it watches send none. The package
// reads no clock and sends nothing itself.
//
// Decides: which edge watches which, and when a watcher suspects an edge.
package failuredetector

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	ms                = 1_000_000
	watchersPerEdge   = 2         // watchers of each edge: a single watcher may itself be the faulty one
	heartbeatInterval = 500 * ms  // ns between two heartbeats to a watcher
	suspectAfter      = 2600 * ms // silence in ns until an edge is suspected: five missed heartbeats, since single datagrams are lost now and then
	stallFactor       = 2         // a gap between ticks of over this many heartbeat intervals means that this process was suspended
)

// Detector is the failure detector of one edge.
type Detector struct {
	self          string
	ring          []string         // the zone's edges in the order of the ring
	lastHeard     map[string]int64 // when each watched edge was last heard, by IP, ns
	nextHeartbeat int64            // when the next heartbeat is due, ns
	lastTick      int64
}

// New returns the detector of the edge with the IP self.
func New(self string) *Detector { return &Detector{self: self, lastHeard: map[string]int64{}} }

// Ring returns the edges in the order of the ring, which is by the hash of their IPs, without duplicates.
func Ring(ips []string) []string {
	type position struct {
		hash uint64
		ip   string
	}
	positions := make([]position, 0, len(ips))
	for _, ip := range ips {
		positions = append(positions, position{xxhash.Sum64String(ip), ip})
	}
	slices.SortFunc(positions, func(a, b position) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ip, b.ip))
	})
	ring := make([]string, 0, len(positions))
	for _, p := range positions {
		ring = append(ring, p.ip)
	}
	return slices.Compact(ring)
}

// Watchers returns the edges that watch an edge: the next ones on the ring.
func Watchers(ring []string, ip string) (names []string) {
	at := slices.Index(ring, ip)
	for k := 1; at >= 0 && k <= watchersPerEdge && k < len(ring); k++ {
		names = append(names, ring[(at+k)%len(ring)])
	}
	return names
}

// Watched returns the edges that an edge watches: the ones before it on the ring.
func Watched(ring []string, ip string) (names []string) {
	at := slices.Index(ring, ip)
	for k := 1; at >= 0 && k <= watchersPerEdge && k < len(ring); k++ {
		names = append(names, ring[(at+len(ring)-k)%len(ring)])
	}
	return names
}

// SetEdges sets the edges of the zone.
func (d *Detector) SetEdges(now int64, ips []string) {
	d.ring = Ring(ips)
	watched := Watched(d.ring, d.self)
	for _, ip := range watched {
		if _, ok := d.lastHeard[ip]; !ok { // it may not know yet that this edge watches it
			d.lastHeard[ip] = now
		}
	}
	for ip := range d.lastHeard {
		if !slices.Contains(watched, ip) {
			delete(d.lastHeard, ip)
		}
	}
}

// HandleHeartbeat records a heartbeat, which counts only from edges that this one watches.
func (d *Detector) HandleHeartbeat(now int64, from string) {
	if _, ok := d.lastHeard[from]; ok {
		d.lastHeard[from] = now
	}
}

// Tick returns the edges to send a heartbeat to now, which are none between two heartbeat intervals, and those suspected.
//
// Danger: a process that was suspended has received no heartbeats and would suspect all edges that it watches. So the time
// for which it was suspended is added to when each of them was last heard.
func (d *Detector) Tick(now int64) (recipients, suspects []string) {
	if gap := now - d.lastTick; d.lastTick > 0 && gap > stallFactor*heartbeatInterval {
		for ip := range d.lastHeard {
			d.lastHeard[ip] += gap
		}
	}
	d.lastTick = now
	if now >= d.nextHeartbeat {
		d.nextHeartbeat = now + heartbeatInterval
		recipients = Watchers(d.ring, d.self)
	}
	for ip, at := range d.lastHeard {
		if now-at > suspectAfter {
			suspects = append(suspects, ip)
		}
	}
	slices.Sort(suspects)
	return recipients, suspects
}
