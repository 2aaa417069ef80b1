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
	ms        = 1_000_000
	watchers  = 2 // of each edge: one alone may be the one at fault
	beatEvery = 500 * ms
	suspectAt = 2600 * ms // five beats left out: datagrams are lost now and then
	slowShare = 2         // a call so many times later than it should have been tells of one's own slowness
)

// Detector is one edge's.
type Detector struct {
	self   string
	ring   []string
	heard  map[string]int64
	beatAt int64
	last   int64
}

// New makes one for an edge, by its IP.
func New(self string) *Detector { return &Detector{self: self, heard: map[string]int64{}} }

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
	for k := 1; at >= 0 && k <= watchers && k < len(ring); k++ {
		names = append(names, ring[(at+k)%len(ring)])
	}
	return names
}

// Watched are those that an edge is a watcher of: the ones before it on the ring.
func Watched(ring []string, ip string) (names []string) {
	at := slices.Index(ring, ip)
	for k := 1; at >= 0 && k <= watchers && k < len(ring); k++ {
		names = append(names, ring[(at+len(ring)-k)%len(ring)])
	}
	return names
}

// Fleet tells who is there.
func (l *Detector) Fleet(now int64, ips []string) {
	l.ring = Ring(ips)
	watched := Watched(l.ring, l.self)
	for _, ip := range watched {
		if _, ok := l.heard[ip]; !ok { // it may not know yet that it is watched from here
			l.heard[ip] = now
		}
	}
	for ip := range l.heard {
		if !slices.Contains(watched, ip) {
			delete(l.heard, ip)
		}
	}
}

// Heard takes a heartbeat.
func (l *Detector) Heard(now int64, from string) {
	if _, ok := l.heard[from]; ok {
		l.heard[from] = now
	}
}

// Tick returns to whom a heartbeat goes now, if it is time, and who is suspected.
//
// Danger: one that stood still itself has heard nobody. It would call all that it watches lost; so its own
// lateness counts for them first.
func (l *Detector) Tick(now int64) (beats, suspects []string) {
	if gap := now - l.last; l.last > 0 && gap > slowShare*beatEvery {
		for ip := range l.heard {
			l.heard[ip] += gap
		}
	}
	l.last = now
	if now >= l.beatAt {
		l.beatAt = now + beatEvery
		beats = Watchers(l.ring, l.self)
	}
	for ip, at := range l.heard {
		if now-at > suspectAt {
			suspects = append(suspects, ip)
		}
	}
	slices.Sort(suspects)
	return beats, suspects
}
