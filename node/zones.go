package node

import (
	"slices"

	"go.uber.org/zap"

	"willowsill/decide/zonehealth"
)

type zonesChange struct{ zoneHealth *zonehealth.Tracker }

// WatchZones makes the loop watch for unreachable zones with the given tracker, which it then owns; nil ends the
// watch.
func (n *Node) WatchZones(tracker *zonehealth.Tracker) {
	select {
	case n.events <- event{n.Now(), zonesChange{tracker}}:
	case <-n.done:
	}
}

func (n *Node) watchZones(now int64, tracker *zonehealth.Tracker) {
	if n.zoneHealth != nil {
		n.reports = n.zoneHealth.ReleaseAll(now, n.reports[:0])
		n.applyZoneReports(now)
	}
	if n.zoneHealth = tracker; tracker == nil {
		n.reports, n.unreachable = nil, nil
		n.count.Zones.Set(nil)
		return
	}
	n.count.Zones.Set(tracker.Stats)
	for i, h := range n.hosts {
		if h.name != "" && h.up {
			tracker.ReplicaListed(i, h.zone, true)
		}
	}
}

// checkZones runs the zone tracker if it is due, applies its reports and logs changes.
func (n *Node) checkZones(now int64) {
	if n.zoneHealth == nil || now < n.zoneHealth.Next() {
		return
	}
	n.reports = n.zoneHealth.Decide(now, n.reports[:0])
	n.applyZoneReports(now)
	if unreachable := n.zoneHealth.UnreachableZones(nil); !slices.Equal(unreachable, n.unreachable) {
		n.log.Warn("unreachable zones changed", zap.Strings("zones", unreachable), zap.Strings("before", n.unreachable))
		n.unreachable = unreachable
	}
}

func (n *Node) applyZoneReports(now int64) {
	for _, report := range n.reports {
		n.agg.ApplyReport(now, report)
	}
}
