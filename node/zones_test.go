package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"willowsill/decide/zonehealth"
	"willowsill/standin"
)

// A zone whose replicas refuse connections is recognised after two of them and then avoided. It is used again after a
// trial that succeeds.
func TestZones(t *testing.T) {
	for _, watched := range []bool{false, true} {
		t.Run(fmt.Sprint("watched ", watched), func(t *testing.T) {
			runNode(t, asIs, value, func(w *fixture) {
				host := func(i int, zone string) standin.Host {
					h := listed(i, "active")
					h.Site = zone
					return h
				}
				w.discovery.Change(host(0, "a"))
				w.discovery.Change(host(1, "a"))
				for i := range 8 { // nothing listens there
					w.discovery.Change(host(2+i, "b"))
				}
				if watched {
					w.WatchZones(zonehealth.New(zonehealth.Config{BaseEjection: 1e9, MinFailedReplicas: 2, Seed: 1}))
				}
				time.Sleep(10 * time.Millisecond)
				refused := func() int64 { return w.count.Executions.ConnectFailed.Load() }
				ask := func(name string, n int) {
					for i := range n {
						if got := w.serve(w.Context(), fmt.Sprint(name, i), 2*time.Second); got[0] != '0' && watched {
							w.Errorf("%s%d: %s", name, i, got)
						}
					}
				}
				ask("first", 2)
				early := refused()
				ask("more", 8)
				if late := refused() - early; early < 2 || (late == 0) != watched {
					w.Errorf("%d connections were refused to the first queries and %d to the next", early, late)
				}
				if !watched {
					return
				}
				if w.zoneHealth.Stats.FoundUnreachable.Load() != 1 || len(w.unreachable) != 1 {
					w.Errorf("found unreachable %d times, unreachable now: %v", w.zoneHealth.Stats.FoundUnreachable.Load(), w.unreachable)
				}
				for i := range 8 {
					l := w.network.Listen(fmt.Sprint("r:", 2+i))
					w.listeners = append(w.listeners, l)
					go (&standin.Replica{Answer: value}).Serve(l)
				}
				time.Sleep(6 * time.Second) // the longest wait for a trial
				ask("back", 10)
				synctest.Wait()
				if w.zoneHealth.Stats.Recovered.Load() != 1 || len(w.unreachable) != 0 {
					w.Errorf("found reachable again %d times, unreachable now: %v", w.zoneHealth.Stats.Recovered.Load(), w.unreachable)
				}
				w.WatchZones(nil)
				ask("off", 2)
				if w.zoneHealth != nil {
					w.Error("zones are still watched")
				}
			})
		})
	}
}
