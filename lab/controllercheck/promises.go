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
	confirmed = 200
	conflict  = 409
)

// answered checks an answer to a caller.
func (w *world) answered(a controller.Answer) {
	c, asked := w.calls[a.Call]
	if !asked {
		w.breaks("call %d is answered twice, or was never made", a.Call)
		return
	}
	delete(w.calls, a.Call)
	switch c.act.Do {
	case Order:
		w.ordered(c.act, a.Status)
	case Read:
		w.read(c, a)
	case Drain:
		if a.Status == confirmed {
			w.checkDrain()
		}
	}
}

// ordered: one content a number is acknowledged at the most, and it is on a majority's disks.
func (w *world) ordered(a Act, status int) {
	content, known := w.confirmed[a.Revision]
	switch status {
	case confirmed:
		if known && content != a.Content {
			w.breaks("revision %d is acknowledged as %q and as %q", a.Revision, content, a.Content)
		}
		w.confirmed[a.Revision] = a.Content
		w.newest = max(w.newest, a.Revision)
		w.checkStands(a.Revision, "is acknowledged")
	case conflict:
		if known && content == a.Content {
			w.breaks("revision %d as %q was acknowledged, and is refused", a.Revision, content)
		}
	}
}

// read: nothing older is read than what was acknowledged before the question.
func (w *world) read(c call, a controller.Answer) {
	if a.Status != confirmed {
		return
	}
	raw, _ := clusterstate.Unpack(a.Body)
	// Anything newer than what is acknowledged may be read.
	if string(raw) == w.confirmed[1] && w.newest > 1 && w.acknowledgedBefore(c.sent) {
		w.breaks("a read returns the first configuration, after revision %d was acknowledged", w.newest)
	}
}

// acknowledgedBefore is true where the newest revision's order ended before a time. Orders of a scope are seldom: those that
// wait are the ones that did not.
func (w *world) acknowledgedBefore(at int64) bool {
	for _, c := range w.calls {
		if c.act.Do == Order && c.sent <= at {
			return false
		}
	}
	return true
}

// told: followers are taken back by nobody, hear of nothing that does not stand, and of one list of members an epoch.
func (w *world) told(m *machine, u clusterstate.Update) {
	if u.Revision == 0 {
		return
	}
	if u.Revision < m.seen {
		w.breaks("%s takes its followers back from %d to %d", m.name, m.seen, u.Revision)
	}
	m.seen = u.Revision
	m.follower.Apply(u)
	if content, known := w.confirmed[u.Revision]; known && string(m.follower.Raw) != content {
		w.breaks("%s tells another content of %d than was acknowledged", m.name, u.Revision)
	}
	w.checkStands(u.Revision, "is told to followers of "+m.name)
}

// checkEpoch: an epoch has one list of members, and no controller goes back to an earlier one.
func (w *world) checkEpoch(m *machine) {
	value := m.machine.Committed()
	if value.Epoch == 0 {
		return
	}
	if value.Epoch < m.epoch {
		w.breaks("%s goes back from epoch %d to %d", m.name, m.epoch, value.Epoch)
	}
	m.epoch = value.Epoch
	if known, seen := w.epochs[value.Epoch]; !seen {
		w.epochs[value.Epoch] = value.Members
	} else if !slices.Equal(known, value.Members) {
		w.breaks("epoch %d has the members %v and %v", value.Epoch, known, value.Members)
	}
}

// checkStands: a revision, or a higher one, is on the disks of a majority of some value's members, old and new. A disk that
// was emptied counts for nothing until the others have told it, so it takes nothing from a majority.
func (w *world) checkStands(revision uint64, what string) {
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
	w.breaks("revision %d %s and is on no majority's disks", revision, what)
}

// checkDrain: an acknowledged drain is in the saved lists of a majority.
func (w *world) checkDrain() {
	saved := func(name string) bool {
		m := w.machines[name]
		return m != nil && slices.ContainsFunc(m.list, func(r registry.Record) bool { return r.ID == "r" && r.Phase >= registry.Draining })
	}
	n := 0
	for _, name := range w.scope.Members {
		if saved(name) {
			n++
		}
	}
	if 2*n <= len(w.scope.Members) {
		w.breaks("a drain is acknowledged and is on %d disks", n)
	}
}

// checkWhole: in the end there is one list of members, of as many as there have to be, all live; each of them holds what was
// acknowledged.
func (w *world) checkWhole() {
	var agreed register.Value
	for _, name := range w.names {
		m := w.machines[name]
		if m.gone || !m.up {
			continue
		}
		value := m.machine.Committed()
		if agreed.Epoch == 0 {
			agreed = value
		}
		if value.Epoch != agreed.Epoch || members(value) != members(agreed) {
			w.breaks("in the end %s knows epoch %d with %s, another %d with %s", name, value.Epoch, members(value), agreed.Epoch, members(agreed))
			return
		}
		if value.Revision < w.newest {
			w.breaks("in the end %s knows revision %d; %d was acknowledged", name, value.Revision, w.newest)
		}
		if !m.machine.InContact() {
			w.breaks("in the end %s is in contact with no majority of %s", name, members(value))
		}
	}
	if len(agreed.Prior) > 0 || len(agreed.Members) < w.scope.Size {
		w.breaks("in the end the members are %s, %d are wanted", members(agreed), w.scope.Size)
	}
	for _, name := range agreed.Members {
		if m := w.machines[name]; m == nil || m.gone {
			w.breaks("in the end %s is a member, which is gone (%s)", name, strings.Join(agreed.Members, " "))
		}
	}
}
