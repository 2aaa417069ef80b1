package failuredetector

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// fleet returns the IPs of n edges.
func fleet(n int) (ips []string) {
	for i := range n {
		ips = append(ips, fmt.Sprint("10.0.0.", i+1))
	}
	return ips
}

// TestWhoWatchesWhom: each edge has watchersPerEdge watchers, or all other edges where there are fewer, and never itself.
func TestWhoWatchesWhom(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 60} {
		ring := Ring(fleet(n))
		for _, ip := range ring {
			w := Watchers(ring, ip)
			must.SliceLen(t, min(watchersPerEdge, n-1), w)
			must.SliceNotContains(t, w, ip)
		}
	}
}

// TestWatchedIsTheOtherSide: Watched and Watchers agree for every pair of edges.
func TestWatchedIsTheOtherSide(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 60} {
		ring := Ring(fleet(n))
		for _, a := range ring {
			for _, b := range ring {
				must.Eq(t, slices.Contains(Watchers(ring, a), b), slices.Contains(Watched(ring, b), a))
			}
		}
	}
}

// BenchmarkFleet measures the time for a change of the list of edges, with 4,200 edges.
func BenchmarkFleet(b *testing.B) {
	ips := fleet(4200)
	detector := New(ips[0])
	for b.Loop() {
		detector.SetEdges(0, ips)
	}
}

// TestSuspicion: a silent edge is suspected by its watchers and by no other edge, and a watcher that was suspended itself
// suspects nobody for that.
func TestSuspicion(t *testing.T) {
	ips := fleet(9)
	ring := Ring(ips)
	lost := ring[4]
	detectors := map[string]*Detector{}
	for _, ip := range ips {
		detectors[ip] = New(ip)
		detectors[ip].SetEdges(0, ips)
	}
	suspended := Watchers(ring, lost)[0]
	step := func(now int64) (suspectedBy map[string][]string) {
		suspectedBy = map[string][]string{}
		for _, ip := range ips {
			if ip == lost || ip == suspended && now > 1000*ms && now < 8000*ms {
				continue
			}
			recipients, suspects := detectors[ip].Tick(now)
			for _, to := range recipients {
				detectors[to].HandleHeartbeat(now, ip)
			}
			for _, s := range suspects {
				suspectedBy[s] = append(suspectedBy[s], ip)
			}
		}
		return suspectedBy
	}
	var suspectedBy map[string][]string
	for now := int64(250 * ms); now <= 7000*ms; now += 250 * ms {
		suspectedBy = step(now)
	}
	must.Eq(t, []string{Watchers(ring, lost)[1]}, suspectedBy[lost])
	// The suspended edge resumes, and does not suspect the edges from which it could not receive heartbeats.
	suspectedBy = step(8250 * ms)
	for s, by := range suspectedBy {
		if s != lost {
			must.SliceNotContains(t, by, suspended)
		}
	}
	for now := int64(8500 * ms); now <= 12000*ms; now += 250 * ms {
		suspectedBy = step(now)
	}
	must.MapLen(t, 1, suspectedBy)
	must.SliceLen(t, 2, suspectedBy[lost])
}
