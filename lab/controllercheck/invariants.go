package controllercheck

import (
	"slices"
	"strings"

	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// What is promised: checked at each answer, at each word to followers, and in the end.

const (
	statusOK       = 200
	statusConflict = 409
)

// checkAnswer checks an answer to a caller.
func (w *world) checkAnswer(a controller.Answer) {
	c, asked := w.calls[a.Call]
	if !asked {
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

// checkOrder: one content a number is acknowledged at the most, and it is on a majority's disks.
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

// checkRead: nothing older is read than what was acknowledged before the question.
func (w *world) checkRead(c call, a controller.Answer) {
	if a.Status != statusOK {
		return
	}
	raw, _ := clusterstate.Unpack(a.Body)
	// Anything newer than what is acknowledged may be read.
	if string(raw) == w.acknowledged[1] && w.newestAcknowledged > 1 && w.acknowledgedBefore(c.sent) {
		w.violate("a read returns the first configuration, after revision %d was acknowledged", w.newestAcknowledged)
	}
}

// acknowledgedBefore is true where the newest revision's order ended before a time. Orders of a scope are seldom: those that
// wait are the ones that did not.
func (w *world) acknowledgedBefore(at int64) bool {
	for _, c := range w.calls {
		if c.action.Do == Order && c.sent <= at {
			return false
		}
	}
	return true
}

// checkUpdate: followers are taken back by nobody, hear of nothing that does not stand, and of one list of members an epoch.
func (w *world) checkUpdate(m *machine, u clusterstate.Update) {
	if u.Revision == 0 {
		return
	}
	if u.Revision < m.highestSent {
		w.violate("%s takes its followers back from %d to %d", m.name, m.highestSent, u.Revision)
	}
	m.highestSent = u.Revision
	m.follower.Apply(u)
	if content, known := w.acknowledged[u.Revision]; known && string(m.follower.Raw) != content {
		w.violate("%s tells another content of %d than was acknowledged", m.name, u.Revision)
	}
	w.checkCommitted(u.Revision, "is told to followers of "+m.name)
}

// checkEpoch: an epoch has one list of members, and no controller goes back to an earlier one.
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

// checkCommitted: a revision, or a higher one, is on the disks of a majority of some value's members, old and new. A disk that
// was emptied counts for nothing until the others have told it, so it takes nothing from a majority.
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
	w.violate("revision %d %s and is on no majority's disks", revision, what)
}

// checkDrain: an acknowledged drain is in the saved lists of a majority.
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

// checkRecovered: in the end there is one list of members, of as many as there have to be, all live; each of them holds what was
// acknowledged.
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
			w.violate("in the end %s knows epoch %d with %s, another %d with %s", name, value.Epoch, describeMembers(value), agreed.Epoch, describeMembers(agreed))
			return
		}
		if value.Revision < w.newestAcknowledged {
			w.violate("in the end %s knows revision %d; %d was acknowledged", name, value.Revision, w.newestAcknowledged)
		}
		if !m.controller.InContact() {
			w.violate("in the end %s is in contact with no majority of %s", name, describeMembers(value))
		}
	}
	if len(agreed.Prior) > 0 || len(agreed.Members) < w.scope.Size {
		w.violate("in the end the members are %s, %d are wanted", describeMembers(agreed), w.scope.Size)
	}
	for _, name := range agreed.Members {
		if m := w.machines[name]; m == nil || m.removed {
			w.violate("in the end %s is a member, which is gone (%s)", name, strings.Join(agreed.Members, " "))
		}
	}
}
