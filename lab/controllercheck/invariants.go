package controllercheck

import (
	"slices"
	"strings"

	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// This file has the invariants, which are checked at each answer, update to edges and committed value, and at the end of a run.

const (
	statusOK       = 200
	statusConflict = 409
)

// checkAnswer checks an answer to a client.
func (w *world) checkAnswer(a controller.Answer) {
	c, pending := w.calls[a.Call]
	if !pending {
		w.violate("call %d is answered twice, or was never made", a.Call)
		return
	}
	delete(w.calls, a.Call)
	switch c.action.Do {
	case Order:
		w.checkOrder(c.action, a.Status)
	case Read:
		w.checkRead(c, a)
	case Drain:
		if a.Status == statusOK {
			w.checkDrain()
		}
	}
}

// checkOrder checks that at most one content is acknowledged under a revision, that a majority's disks hold it, and that it is not
// refused later.
func (w *world) checkOrder(a Action, status int) {
	content, known := w.acknowledged[a.Revision]
	switch status {
	case statusOK:
		if known && content != a.Content {
			w.violate("revision %d is acknowledged as %q and as %q", a.Revision, content, a.Content)
		}
		w.acknowledged[a.Revision] = a.Content
		w.newestAcknowledged = max(w.newestAcknowledged, a.Revision)
		w.checkCommitted(a.Revision, "is acknowledged")
	case statusConflict:
		if known && content == a.Content {
			w.violate("revision %d as %q was acknowledged, and is refused", a.Revision, content)
		}
	}
}

// checkRead checks that a read does not return the first configuration if a later one was acknowledged before the read.
func (w *world) checkRead(c call, a controller.Answer) {
	if a.Status != statusOK {
		return
	}
	raw, _ := clusterstate.Unpack(a.Body)
	// Other configurations are not checked, since a read may return one that is newer than the acknowledged one.
	if string(raw) == w.acknowledged[1] && w.newestAcknowledged > 1 && w.acknowledgedBefore(c.sent) {
		w.violate("a read returns the first configuration, after revision %d was acknowledged", w.newestAcknowledged)
	}
}

// acknowledgedBefore reports whether no order from before a time still waits for its answer. The few orders of a scope make this a
// good enough test that the newest acknowledgement came before that time.
func (w *world) acknowledgedBefore(at int64) bool {
	for _, c := range w.calls {
		if c.action.Do == Order && c.sent <= at {
			return false
		}
	}
	return true
}

// checkUpdate checks an update that a controller sends to edges: its revision never goes back, it has the acknowledged content, and a
// majority's disks hold it.
func (w *world) checkUpdate(m *machine, u clusterstate.Update) {
	if u.Revision == 0 {
		return
	}
	if u.Revision < m.highestSent {
		w.violate("%s sends its edges back from revision %d to %d", m.name, m.highestSent, u.Revision)
	}
	m.highestSent = u.Revision
	m.edgeState.Apply(u)
	if content, known := w.acknowledged[u.Revision]; known && string(m.edgeState.Raw) != content {
		w.violate("%s sends other content of revision %d than was acknowledged", m.name, u.Revision)
	}
	w.checkCommitted(u.Revision, "is sent to edges of "+m.name)
}

// checkEpoch checks that all committed values of an epoch have the same members, and that no controller goes back to an earlier epoch.
func (w *world) checkEpoch(m *machine) {
	value := m.controller.Committed()
	if value.Epoch == 0 {
		return
	}
	if value.Epoch < m.epoch {
		w.violate("%s goes back from epoch %d to %d", m.name, m.epoch, value.Epoch)
	}
	m.epoch = value.Epoch
	if known, seen := w.epochs[value.Epoch]; !seen {
		w.epochs[value.Epoch] = value.Members
	} else if !slices.Equal(known, value.Members) {
		w.violate("epoch %d has the members %v and %v", value.Epoch, known, value.Members)
	}
}

// checkCommitted checks that a revision, or a higher one, is on the disks of a majority of some value's members, and of its former
// members during a change. A machine with an empty disk counts as holding it, since it takes no part in a majority until it has caught
// up with the others.
func (w *world) checkCommitted(revision uint64, what string) {
	for _, name := range w.names {
		disk := w.machines[name].disk
		if disk == nil {
			continue
		}
		value := disk.RegisterState.Value
		holds := func(member string) bool {
			m := w.machines[member]
			return m != nil && (m.disk == nil || m.disk.RegisterState.Value.Revision >= revision)
		}
		if value.Revision >= revision && value.Quorum(holds) {
			return
		}
	}
	w.violate("revision %d %s and is on the disks of no majority", revision, what)
}

// checkDrain checks that an acknowledged drain is in the saved replica lists of a majority.
func (w *world) checkDrain() {
	saved := func(name string) bool {
		m := w.machines[name]
		return m != nil && slices.ContainsFunc(m.replicas, func(r registry.Record) bool { return r.ID == "r" && r.Phase >= registry.Draining })
	}
	n := 0
	for _, name := range w.scope.Members {
		if saved(name) {
			n++
		}
	}
	if 2*n <= len(w.scope.Members) {
		w.violate("a drain is acknowledged and is on %d disks", n)
	}
}

// checkRecovered checks the end of a run: all controllers that run agree on one list of enough members, none of which was removed, hold
// what was acknowledged, and are in contact with a majority.
func (w *world) checkRecovered() {
	var agreed register.Value
	for _, name := range w.names {
		m := w.machines[name]
		if m.removed || !m.up {
			continue
		}
		value := m.controller.Committed()
		if agreed.Epoch == 0 {
			agreed = value
		}
		if value.Epoch != agreed.Epoch || describeMembers(value) != describeMembers(agreed) {
			w.violate("at the end %s has epoch %d with %s, another controller has epoch %d with %s", name, value.Epoch, describeMembers(value), agreed.Epoch, describeMembers(agreed))
			return
		}
		if value.Revision < w.newestAcknowledged {
			w.violate("at the end %s has revision %d; %d was acknowledged", name, value.Revision, w.newestAcknowledged)
		}
		if !m.controller.InContact() {
			w.violate("at the end %s is in contact with no majority of %s", name, describeMembers(value))
		}
	}
	if len(agreed.Prior) > 0 || len(agreed.Members) < w.scope.Size {
		w.violate("at the end the members are %s, want %d of them", describeMembers(agreed), w.scope.Size)
	}
	for _, name := range agreed.Members {
		if m := w.machines[name]; m == nil || m.removed {
			w.violate("at the end %s is a member though it was removed (%s)", name, strings.Join(agreed.Members, " "))
		}
	}
}
