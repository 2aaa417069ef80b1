package rollout

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Copies and keys, for those who play every order of events.

// Copy is a manager that goes its own way from here. Verdicts are none of what is explored: copies share what was seen of
// answers, so whoever copies reports none.
func (m *Manager) Copy() *Manager {
	c := *m
	c.active = make(map[uint64]*trackedRollout, len(m.active))
	for number, t := range m.active {
		own := *t
		own.edges = make(map[string]*edgeView, len(t.edges))
		for ip, v := range t.edges {
			view := *v
			own.edges[ip] = &view
		}
		c.active[number] = &own
	}
	return &c
}

// Key appends what tells this manager's state from another's at the same time.
func (m *Manager) Key(b []byte) []byte {
	b = binary.AppendUvarint(b, m.version)
	if m.isHolder {
		b = binary.AppendVarint(b, m.holderSince)
	}
	for _, number := range slices.Sorted(maps.Keys(m.active)) {
		t := m.active[number]
		for _, at := range []int64{t.startedAt, t.stepSince, t.stageSince, t.proposedAt} {
			b = binary.AppendVarint(b, at)
		}
		b = append(b, byte(t.maxOthers))
		for _, ip := range slices.Sorted(maps.Keys(t.edges)) {
			v := t.edges[ip]
			b = append(binary.AppendVarint(append(b, ip...), v.at), byte(v.evidence.Version), byte(v.evidence.OldInFlight))
		}
	}
	return b
}
