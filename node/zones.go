package node

import (
	"slices"

	"go.uber.org/zap"

	"willowsill/decide/zonehealth"
)

type zonesChange struct{ zoneHealth *zonehealth.Tracker }

// WatchZones has the loop know zones that are out of reach from now on, by a decider that it owns once it was handed over, or no
// longer with nil.
func (n *Node) WatchZones(r *zonehealth.Tracker) {
	select {
	case n.events <- event{n.Now(), zonesChange{r}}:
	case <-n.done:
	}
}

func (n *Node) watchZones(now int64, r *zonehealth.Tracker) {
	if n.zoneHealth != nil {
		n.reports = n.zoneHealth.ReleaseAll(now, n.reports[:0])
		n.applyZoneReports(now)
	}
	if n.zoneHealth = r; r == nil {
		n.reports, n.unreachable = nil, nil
		n.count.Zones.Put(nil)
		return
	}
	n.count.Zones.Put(r.Figures)
	for i, h := range n.hosts {
		if h.name != "" && h.up {
			r.ReplicaListed(i, h.zone, true)
		}
	}
}

// checkZones has the zone health tracker decide, and the module hear of it.
func (n *Node) checkZones(now int64) {
	if n.zoneHealth == nil || now < n.zoneHealth.Next() {
		return
	}
	n.reports = n.zoneHealth.Decide(now, n.reports[:0])
	n.applyZoneReports(now)
	if out := n.zoneHealth.UnreachableZones(nil); !slices.Equal(out, n.unreachable) {
		n.log.Warn("zones out of reach", zap.Strings("zones", out), zap.Strings("before", n.unreachable))
		n.unreachable = out
	}
}

func (n *Node) applyZoneReports(now int64) {
	for _, w := range n.reports {
		n.agg.ApplyReport(now, w)
	}
}
