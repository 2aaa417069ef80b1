package node

import (
	"slices"

	"go.uber.org/zap"

	"willowsill/decide/zonehealth"
)

type zones struct{ zoneHealth *zonehealth.Tracker }

// WatchZones has the loop know zones that are out of reach from now on, by a decider that it owns once it was handed over, or no
// longer with nil.
func (n *Node) WatchZones(r *zonehealth.Tracker) {
	select {
	case n.facts <- fact{n.Now(), zones{r}}:
	case <-n.ended:
	}
}

func (n *Node) watchZones(now int64, r *zonehealth.Tracker) {
	if n.zoneHealth != nil {
		n.words = n.zoneHealth.End(now, n.words[:0])
		n.hearZones(now)
	}
	if n.zoneHealth = r; r == nil {
		n.words, n.away = nil, nil
		n.count.Zones.Put(nil)
		return
	}
	n.count.Zones.Put(r.Figures)
	for i, h := range n.hosts {
		if h.name != "" && h.up {
			r.Listed(i, h.zone, true)
		}
	}
}

// checkZones has the zone health tracker decide, and the module hear of it.
func (n *Node) checkZones(now int64) {
	if n.zoneHealth == nil || now < n.zoneHealth.Next() {
		return
	}
	n.words = n.zoneHealth.Decide(now, n.words[:0])
	n.hearZones(now)
	if out := n.zoneHealth.Out(nil); !slices.Equal(out, n.away) {
		n.log.Warn("zones out of reach", zap.Strings("zones", out), zap.Strings("before", n.away))
		n.away = out
	}
}

func (n *Node) hearZones(now int64) {
	for _, w := range n.words {
		n.agg.Hear(now, w)
	}
}
