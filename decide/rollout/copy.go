package rollout

import (
	"encoding/binary"
	"maps"
	"slices"
)

// This file holds the copies and state keys that tools need to explore every order of events.

// Copy returns a manager with the same state that can continue independently. The request counts in the detectors are shared
// between copies, so a caller that copies managers must not report request outcomes; such an exploration leaves verdicts
// out.
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

// Key appends to b an encoding of the manager's state, by which managers are compared at the same time. It leaves out the
// request counts, the numbers of the reports and the time of the next evaluation.
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
			b = append(binary.AppendVarint(append(b, ip...), v.receivedAt), byte(v.evidence.Version), byte(v.evidence.OldInFlight))
		}
	}
	return b
}
