// Package failuredetector has the edges of a zone keep an eye on each other: each sends heartbeats to the few that follow it
// on a ring, and says whom of those that it is to watch it has not heard. It reads no clock and sends nothing itself.
//
// Decides: who watches whom, and when a watcher suspects an edge.
package failuredetector

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	ms                = 1_000_000
	watchersPerEdge   = 2 // of each edge: one alone may be the one at fault
	heartbeatInterval = 500 * ms
	suspectAfter      = 2600 * ms // five beats left out: datagrams are lost now and then
	stallFactor       = 2         // a call so many times later than it should have been tells of one's own slowness
)

// Detector is one edge's.
type Detector struct {
	self          string
	ring          []string
	lastHeard     map[string]int64
	nextHeartbeat int64
	lastTick      int64
}

// New makes one for an edge, by its IP.
func New(self string) *Detector { return &Detector{self: self, lastHeard: map[string]int64{}} }

// Ring sorts edges by their places: the hash of what they are called.
func Ring(ips []string) []string {
	type place struct {
		hash uint64
		ip   string
	}
	places := make([]place, 0, len(ips))
	for _, ip := range ips {
		places = append(places, place{xxhash.Sum64String(ip), ip})
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ip, b.ip))
	})
	ring := make([]string, 0, len(places))
	for _, p := range places {
		ring = append(ring, p.ip)
	}
	return slices.Compact(ring)
}

// Watchers are those that an edge's place names: the next on the ring.
func Watchers(ring []string, ip string) (names []string) {
	at := slices.Index(ring, ip)
	for k := 1; at >= 0 && k <= watchersPerEdge && k < len(ring); k++ {
		names = append(names, ring[(at+k)%len(ring)])
	}
	return names
}

// Watched are those that an edge is a watcher of: the ones before it on the ring.
func Watched(ring []string, ip string) (names []string) {
	at := slices.Index(ring, ip)
	for k := 1; at >= 0 && k <= watchersPerEdge && k < len(ring); k++ {
		names = append(names, ring[(at+len(ring)-k)%len(ring)])
	}
	return names
}

// SetEdges tells who is there.
func (l *Detector) SetEdges(now int64, ips []string) {
	l.ring = Ring(ips)
	watched := Watched(l.ring, l.self)
	for _, ip := range watched {
		if _, ok := l.lastHeard[ip]; !ok { // it may not know yet that it is watched from here
			l.lastHeard[ip] = now
		}
	}
	for ip := range l.lastHeard {
		if !slices.Contains(watched, ip) {
			delete(l.lastHeard, ip)
		}
	}
}

// HandleHeartbeat takes a heartbeat.
func (l *Detector) HandleHeartbeat(now int64, from string) {
	if _, ok := l.lastHeard[from]; ok {
		l.lastHeard[from] = now
	}
}

// Tick returns to whom a heartbeat goes now, if it is time, and who is suspected.
//
// Danger: one that stood still itself has heard nobody. It would call all that it watches lost; so its own
// lateness counts for them first.
func (l *Detector) Tick(now int64) (beats, suspects []string) {
	if gap := now - l.lastTick; l.lastTick > 0 && gap > stallFactor*heartbeatInterval {
		for ip := range l.lastHeard {
			l.lastHeard[ip] += gap
		}
	}
	l.lastTick = now
	if now >= l.nextHeartbeat {
		l.nextHeartbeat = now + heartbeatInterval
		beats = Watchers(l.ring, l.self)
	}
	for ip, at := range l.lastHeard {
		if now-at > suspectAfter {
			suspects = append(suspects, ip)
		}
	}
	slices.Sort(suspects)
	return beats, suspects
}
