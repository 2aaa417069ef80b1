package failuredetector

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

func fleet(n int) (ips []string) {
	for i := range n {
		ips = append(ips, fmt.Sprint("10.0.0.", i+1))
	}
	return ips
}

// TestWhoWatchesWhom: each edge has two watchers, or all others where there are fewer, and all agree on them.
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

// TestWatchedIsTheOtherSide: an edge watches just those whose watcher it is.
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

// BenchmarkFleet is what an edge spends on each change of the list of 4,200 edges.
func BenchmarkFleet(b *testing.B) {
	ips := fleet(4200)
	detector := New(ips[0])
	for b.Loop() {
		detector.SetEdges(0, ips)
	}
}

// TestSuspicion: a silent edge is suspected by its watchers and by nobody else; one's own standstill is taken
// into account.
func TestSuspicion(t *testing.T) {
	ips := fleet(9)
	ring := Ring(ips)
	lost := ring[4]
	looks := map[string]*Detector{}
	for _, ip := range ips {
		looks[ip] = New(ip)
		looks[ip].SetEdges(0, ips)
	}
	frozen := Watchers(ring, lost)[0]
	step := func(now int64) (who map[string][]string) {
		who = map[string][]string{}
		for _, ip := range ips {
			if ip == lost || ip == frozen && now > 1000*ms && now < 8000*ms {
				continue
			}
			beats, suspects := looks[ip].Tick(now)
			for _, to := range beats {
				looks[to].HandleHeartbeat(now, ip)
			}
			for _, s := range suspects {
				who[s] = append(who[s], ip)
			}
		}
		return who
	}
	var who map[string][]string
	for now := int64(250 * ms); now <= 7000*ms; now += 250 * ms {
		who = step(now)
	}
	must.Eq(t, []string{Watchers(ring, lost)[1]}, who[lost])
	// The frozen one wakes, and does not blame those whom it could not hear.
	who = step(8250 * ms)
	for s, by := range who {
		if s != lost {
			must.SliceNotContains(t, by, frozen)
		}
	}
	for now := int64(8500 * ms); now <= 12000*ms; now += 250 * ms {
		who = step(now)
	}
	must.MapLen(t, 1, who)
	must.SliceLen(t, 2, who[lost])
}
