// Package lease determines how long ago a controller was last in contact with a majority. Each controller numbers its
// heartbeats, and the others return in their own heartbeats the last number that they received. A returned number proves
// that the connection worked in both directions after the heartbeat with that number was sent. So contact is counted from
// the time of sending, on the controller's own monotonic clock. No clocks of different machines are compared.
//
// Decides: since when a majority is known to be in contact, and since when it is known to hold nothing newer.
package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"willowsill/decide/register"
)

// maxRemembered is the number of heartbeats sent last to which an answer still counts. It also bounds the lists of ballots
// that are not known to be committed.
const maxRemembered = 16

// Never is the time of a contact that has not happened yet.
const Never int64 = -1 << 62

// heartbeat is the number and the time of a heartbeat that this controller sent.
type heartbeat struct {
	number uint64
	sent   int64 // ns
}

// observation is the content of an answer: at some time after the heartbeat was sent, the other controller's disk had
// accepted this ballot and no higher one.
type observation struct {
	sent     int64
	accepted register.Ballot
}

// acceptance is a ballot that the own disk accepted.
type acceptance struct {
	ballot register.Ballot
	at     int64 // ns
}

// contact is what the answers of one controller have proved so far. Times are those at which the answered heartbeats were
// sent, in ns.
type contact struct {
	reached int64         // the controller received a heartbeat sent at this time, and its answer arrived here
	current int64         // the controller's disk held nothing at this time that is not known here to be committed
	pending []observation // answers with ballots that are not known to be committed yet, oldest first
}

// applyCommit resolves the pending observations that a committed ballot covers.
func (c *contact) applyCommit(committed register.Ballot) {
	for len(c.pending) > 0 && c.pending[0].accepted.Compare(committed) <= 0 {
		c.current = max(c.current, c.pending[0].sent)
		c.pending = c.pending[1:]
	}
}

// Lease records contacts with the other controllers. It is not safe for concurrent use.
type Lease struct {
	lastNumber uint64              // number of the last heartbeat sent
	heartbeats []heartbeat         // the last maxRemembered that were sent, oldest first
	contacts   map[string]*contact // by controller
	committed  register.Ballot     // highest ballot known to be committed

	ownUncommitted []acceptance // ballots accepted by the own disk and not known to be committed, oldest first
}

// New returns the lease of one incarnation of a process. The heartbeat numbers of different incarnations differ, so an answer
// to an earlier incarnation proves nothing to this one.
func New(incarnation string) *Lease {
	return &Lease{lastNumber: xxhash.Sum64String(incarnation), contacts: map[string]*contact{}}
}

// NextHeartbeat returns the number for a heartbeat that is sent at now, in ns.
func (l *Lease) NextHeartbeat(now int64) uint64 {
	l.lastNumber++
	l.heartbeats = append(l.heartbeats, heartbeat{l.lastNumber, now})
	if len(l.heartbeats) > maxRemembered {
		l.heartbeats = slices.Delete(l.heartbeats, 0, 1)
	}
	return l.lastNumber
}

// HandleAnswer handles the number that a controller returned, and the ballot that its disk had accepted then. Numbers that
// were never sent, or are no longer remembered, prove nothing.
func (l *Lease) HandleAnswer(from string, number uint64, accepted register.Ballot) {
	i := slices.IndexFunc(l.heartbeats, func(h heartbeat) bool { return h.number == number })
	if i < 0 {
		return
	}
	sent := l.heartbeats[i].sent
	c, ok := l.contacts[from]
	if !ok {
		c = &contact{reached: Never, current: Never}
		l.contacts[from] = c
	}
	c.reached = max(c.reached, sent)
	c.pending = append(c.pending, observation{sent, accepted})
	c.applyCommit(l.committed)
	if len(c.pending) > maxRemembered {
		c.pending = c.pending[1:]
	}
}

// RecordAccepted records the ballot that the own disk has accepted.
func (l *Lease) RecordAccepted(now int64, ballot register.Ballot) {
	newest := l.committed
	if n := len(l.ownUncommitted); n > 0 {
		newest = l.ownUncommitted[n-1].ballot
	}
	if ballot.Compare(newest) <= 0 {
		return
	}
	if len(l.ownUncommitted) < maxRemembered {
		l.ownUncommitted = append(l.ownUncommitted, acceptance{ballot, now})
		return
	}
	l.ownUncommitted[len(l.ownUncommitted)-1].ballot = ballot // counts as accepted earlier than it was, which is safe
}

// RecordCommitted records that a value is known to be committed under a ballot.
func (l *Lease) RecordCommitted(ballot register.Ballot) {
	if ballot.Compare(l.committed) <= 0 {
		return
	}
	l.committed = ballot
	for len(l.ownUncommitted) > 0 && l.ownUncommitted[0].ballot.Compare(ballot) <= 0 {
		l.ownUncommitted = l.ownUncommitted[1:]
	}
	for _, c := range l.contacts {
		c.applyCommit(ballot)
	}
}

// Committed returns the highest ballot known to be committed.
func (l *Lease) Committed() register.Ballot { return l.committed }

// OwnUncommitted reports whether the own disk has accepted a ballot that is not known to be committed.
func (l *Lease) OwnUncommitted() bool { return len(l.ownUncommitted) > 0 }

// Uncommitted reports whether another controller's disk has accepted a ballot that is not known to be committed.
func (l *Lease) Uncommitted(name string) bool {
	c, ok := l.contacts[name]
	return ok && len(c.pending) > 0
}

// Reached returns since when a controller is known to be in contact, or Never.
func (l *Lease) Reached(name string) int64 {
	if c, ok := l.contacts[name]; ok {
		return c.reached
	}
	return Never
}

// Forget deletes what is known of a controller.
func (l *Lease) Forget(name string) { delete(l.contacts, name) }

// ReachedSince returns the latest time since when a quorum of the value's members has been in contact, or Never. self is the
// controller's own name, which counts as reached now; it is empty where the own disk does not count.
func (l *Lease) ReachedSince(now int64, self string, v register.Value) int64 {
	return quorumSince(v, func(name string) int64 {
		if name == self {
			return now
		}
		return l.Reached(name)
	})
}

// CurrentSince returns the latest time at which a quorum of the value's members is known to have held nothing that is not
// known here to be committed, or Never. So everything acknowledged before that time is known here.
func (l *Lease) CurrentSince(now int64, self string, v register.Value) int64 {
	return quorumSince(v, func(name string) int64 {
		if name == self {
			if l.OwnUncommitted() {
				return l.ownUncommitted[0].at
			}
			return now
		}
		if c, ok := l.contacts[name]; ok {
			return c.current
		}
		return Never
	})
}

// quorumSince returns the latest time that is reached by a majority of the members, and by one of the prior members where
// there are any.
func quorumSince(v register.Value, at func(name string) int64) int64 {
	since := majoritySince(v.Members, at)
	if len(v.Prior) > 0 {
		since = min(since, majoritySince(v.Prior, at))
	}
	return since
}

// majoritySince returns the latest time that is reached by a majority of the members.
func majoritySince(members []string, at func(name string) int64) int64 {
	if len(members) == 0 {
		return Never
	}
	times := make([]int64, 0, len(members))
	for _, name := range members {
		times = append(times, at(name))
	}
	slices.Sort(times)
	return times[(len(times)-1)/2] // more than half of the times are this one or later
}
