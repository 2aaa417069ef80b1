// Package lease tells how long ago a control server was last in contact with a majority. Each server numbers its
// heartbeats, and the others return in theirs the last number that they received. A returned number proves that both
// ways worked after the heartbeat with that number was sent, so contact is counted from the time of that sending, on the
// server's own steady clock. No clocks are compared, and no time of day is read.
//
// Decides: since when a majority is known to have been reached, and to have held nothing newer.
package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"willowsill/decide/register"
)

// maxRemembered is how many heartbeats an answer may lag behind the last one that was sent.
const maxRemembered = 16

// Never is the time of a contact that has not taken place.
const Never int64 = -1 << 62

// heartbeat is a heartbeat that was sent.
type heartbeat struct {
	number uint64
	sent   int64
}

// observation is what an answer told: at some time after the question was sent, the server's disk had accepted this.
type observation struct {
	sent     int64
	accepted register.Ballot
}

// acceptance is a ballot that the own disk has accepted, and when.
type acceptance struct {
	ballot register.Ballot
	at     int64
}

// contact is what the answers of one server have proved so far. Times are those of the questions' sending, in ns.
type contact struct {
	reached int64         // it received a heartbeat of ours that was sent then, and we received its answer
	current int64         // the same, and what its disk had accepted by then is known here to be committed
	pending []observation // answers that told of what is not known to be committed yet, oldest first
}

// applyCommit moves on what the commit of a ballot has decided.
func (c *contact) applyCommit(committed register.Ballot) {
	for len(c.pending) > 0 && c.pending[0].accepted.Compare(committed) <= 0 {
		c.current = max(c.current, c.pending[0].sent)
		c.pending = c.pending[1:]
	}
}

// Lease records contacts with the other control servers. It is not safe for concurrent use.
type Lease struct {
	lastNumber uint64
	heartbeats []heartbeat
	contacts   map[string]*contact
	committed  register.Ballot // the highest known to be committed

	ownUncommitted []acceptance // by the own disk, of what is not known to be committed, oldest first
}

// New makes a lease for one life of a process. Numbers of different lives differ, so an answer to an earlier life proves
// nothing in this one.
func New(life string) *Lease {
	return &Lease{lastNumber: xxhash.Sum64String(life), contacts: map[string]*contact{}}
}

// NextHeartbeat returns the number of a heartbeat that is sent now, ns.
func (l *Lease) NextHeartbeat(now int64) uint64 {
	l.lastNumber++
	l.heartbeats = append(l.heartbeats, heartbeat{l.lastNumber, now})
	if len(l.heartbeats) > maxRemembered {
		l.heartbeats = slices.Delete(l.heartbeats, 0, 1)
	}
	return l.lastNumber
}

// HandleAnswer takes the number that a server returned, and what its disk had accepted as it did. Numbers that were never
// sent, or long ago, prove nothing.
func (l *Lease) HandleAnswer(from string, number uint64, accepted register.Ballot) {
	at := slices.IndexFunc(l.heartbeats, func(q heartbeat) bool { return q.number == number })
	if at < 0 {
		return
	}
	sent := l.heartbeats[at].sent
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

// RecordAccepted tells what the own disk has accepted.
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
	l.ownUncommitted[len(l.ownUncommitted)-1].ballot = ballot // as if it had been accepted earlier, which errs on the safe side
}

// RecordCommitted tells that a value is known to be committed under a ballot.
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

// Committed is the highest ballot known to be committed.
func (l *Lease) Committed() register.Ballot { return l.committed }

// OwnUncommitted tells whether the own disk has accepted what is not known to be committed.
func (l *Lease) OwnUncommitted() bool { return len(l.ownUncommitted) > 0 }

// Uncommitted tells whether a server's disk has.
func (l *Lease) Uncommitted(name string) bool {
	c, ok := l.contacts[name]
	return ok && len(c.pending) > 0
}

// Reached is the time since when a server is known to have been in contact, or Never.
func (l *Lease) Reached(name string) int64 {
	if c, ok := l.contacts[name]; ok {
		return c.reached
	}
	return Never
}

// Forget drops what is known of a server.
func (l *Lease) Forget(name string) { delete(l.contacts, name) }

// ReachedSince is the latest time since when a quorum of the value's members was in contact, or Never. self is the
// server's own name, which counts as reached now; empty where its own disk does not count.
func (l *Lease) ReachedSince(now int64, self string, v register.Value) int64 {
	return quorumSince(v, func(name string) int64 {
		if name == self {
			return now
		}
		return l.Reached(name)
	})
}

// CurrentSince is the latest time at which a quorum of the value's members is known to have held nothing that was not
// committed here, or Never. So whatever was acknowledged before that time is known here.
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

// quorumSince is the latest time that a majority of the members has reached, and of the prior members where there are
// any.
func quorumSince(v register.Value, at func(name string) int64) int64 {
	since := majoritySince(v.Members, at)
	if len(v.Prior) > 0 {
		since = min(since, majoritySince(v.Prior, at))
	}
	return since
}

func majoritySince(members []string, at func(name string) int64) int64 {
	if len(members) == 0 {
		return Never
	}
	times := make([]int64, 0, len(members))
	for _, name := range members {
		times = append(times, at(name))
	}
	slices.Sort(times)
	return times[(len(times)-1)/2] // more than half of all are at this time or later
}
