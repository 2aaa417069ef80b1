// Package controller is what a controller does, without its sockets and its disk: it takes heartbeats,
// configurations and what the other controllers say, and returns what to send, save, answer and tell the
// edges. It reads no clock.
//
// Decides: what a controller acknowledges and when, who the controllers are, and which of them does the duty
// of changing that.
package controller

import (
	"maps"
	"slices"

	"willowsill/decide/clusterstate"
	"willowsill/decide/lease"
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// Times, ns.
const (
	ms                     = 1_000_000
	heartbeatInterval      = 300 * ms // between two heartbeats to every other controller
	recordBatchInterval    = 100 * ms // between two batches of replicas' records to the others
	heartbeatBatchInterval = 600 * ms // between two batches that say only that replicas were heard
	answerTimeout          = 900 * ms // callers go elsewhere after a second of silence
	joinInterval           = 250 * ms
	silentMemberTimeout    = 2500 * ms  // a member unheard for so long gives its place to a newcomer
	forgetPeerAfter        = 30000 * ms // a controller that is no member and unheard for so long is forgotten
	edgeTimeout            = 20000 * ms // an edge heard of within it counts
	suspectedEdgeTimeout   = 7000 * ms  // one that is suspected and unheard for so long does not
	suspicionValidity      = 4000 * ms  // a watcher's suspicion of another counts for so long
	suspicionThreshold     = 2          // watchers, or all that there are
	maxEdgesRetention      = 60000 * ms // the number of edges for budgets goes down only after that
	fleetUpdateInterval    = 400 * ms   // between two lists of edges that followers are told
	edgeReportInterval     = 900 * ms   // between two lists of controllers, and of what is new of edges
	edgeReportRepeat       = 5000 * ms  // an edge of which nothing is new is told of again after that
	requestInterval        = 500 * ms   // between two questions of one kind for what another controller knows
	heartbeatsPerRelay     = 2          // heartbeats of a replica of which the others are told one
	silentAfterHeartbeats  = 5          // heartbeats left out, and a replica has fallen silent
	goneRetention          = 60000 * ms
	saveRetryDelay         = 200 * ms // after a save that failed
	replicasSaveInterval   = 500 * ms // between two saves for the list of replicas alone
	committedSaveInterval  = 500 * ms // between two saves for the revision known to stand alone
)

type peer struct {
	lastHeard, heardSince int64  // last, and since when without a long silence
	heartbeatNumber       uint64 // of the last heartbeat received
	heartbeat             Heartbeat
	zone                  string // empty until it has said so
	group                 registry.GroupView
	groupRequestAt        int64 // it is not asked for the whole of its group before
	leavingView           leavingView
}

// edge is what is known of one edge.
type edge struct {
	clusterstate.Edge
	lastHeard   int64
	suspectedBy map[string]int64 // who suspects it, and when that was last said
	reportedAt  int64            // when the other controllers were last told of it
	suspects    []string         // whom it suspects
}

type pendingReply struct {
	to           string
	answer       register.Message
	coveringSave uint64 // the save that covers it
}

type pendingCall struct {
	id       uint64
	deadline int64
	// one of:
	editID     uint64 // of the proposer
	read       bool
	order      *order              // of an operator
	rollout    *rolloutCall        // likewise
	acks       map[string]struct{} // for what must be on the disks of a majority: who has it there
	ackRequest uint64
	replicaID  string // that leaves
}

// Controller is the machine.
type Controller struct {
	Options
	disk                   register.Acceptor
	proposer               *register.Proposer
	joiner                 *register.Joiner
	replicas               *registry.Registry
	localGroup             *registry.Group // whose heartbeats come here
	state                  *clusterstate.State
	selection              *clusterstate.Selection // of the state, for those who follow
	committed              register.Value          // the newest value known to be committed
	committedConfiguration register.Order          // of that value
	lease                  *lease.Lease
	unsettledSince         int64 // since when some disk has held what is not known to be committed; 0 for not
	peers                  map[string]*peer
	edges                  map[string]*edge // by IP
	maxEdges               int
	maxEdgesAt             int64
	calls                  []*pendingCall
	lastAckRequest         uint64
	recordBatch            map[string]registry.Record // for the next batch
	relayedAt              map[string]int64           // when the others were last told of a replica
	allRequestAt           int64
	startedAt              int64
	now                    int64

	replicasDirty              bool
	savingReplicas             bool // the save under way has the list
	departures                 departures
	rollouts                   rollouts
	replicasSaveAt             int64
	dirty                      bool   // the state differs from what was handed out to be saved
	committedUnsaved           bool   // the configuration known to be committed is in no save yet
	committedSaveAt            int64  // when a save may be made for that alone
	saving                     uint64 // number of the save under way, 0 for none
	lastSave                   uint64
	saveRetryAt                int64 // not before, after a failure
	pendingReplies             []pendingReply
	heartbeatAt, recordBatchAt int64
	heartbeatBatchAt           int64
	batchUrgent                bool // something in the next batch is news to edges
	joinAt, edgeReportAt       int64
	fleetUpdateAt              int64 // no list of edges is told before
	fleetUpdateDue             bool  // one may have changed
	membershipCheckAt          int64
	registerRead               bool // what stands, of the register, in this life
	shuttingDown, inContact    bool
	effects                    Effects
}

// New makes a controller.
func New(now int64, s Options) *Controller {
	c := &Controller{Options: s, replicas: registry.New(silentAfterHeartbeats*s.ReplicaHeartbeatInterval, goneRetention),
		localGroup: registry.NewGroup(groupMissedHeartbeats*s.ReplicaHeartbeatInterval + s.ReplicaHeartbeatInterval/2), state: clusterstate.NewState(), selection: clusterstate.NewSelection(),
		peers: map[string]*peer{}, edges: map[string]*edge{}, recordBatch: map[string]registry.Record{}, relayedAt: map[string]int64{},
		departures: newDepartures(), rollouts: newRollouts(s.RolloutTerms), lease: lease.New(s.IP + "/" + s.Incarnation), startedAt: now, now: now}
	seeds := slices.Clone(s.Seeds)
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	switch {
	case s.RegisterState != nil:
		c.disk = register.Acceptor{State: *s.RegisterState, CaughtUp: true}
	case s.Bootstrap && slices.Contains(seeds, s.IP):
		c.disk = register.Acceptor{State: register.State{Value: register.Value{Members: seeds}}, CaughtUp: true}
		c.dirty = true
	default:
		c.joiner = register.NewJoiner(s.IP, s.IP+"/"+s.Incarnation)
	}
	known := c.disk.Value
	if len(known.Members) == 0 {
		known = register.Value{}
	}
	c.proposer = register.NewProposer(s.IP+"/"+s.Incarnation, known, s.Random)
	c.proposer.ObserveBallot(c.disk.Promised)
	c.proposer.CacheState(c.disk.State)
	c.lease.RecordAccepted(now, c.disk.Accepted)
	for _, m := range slices.Concat(seeds, known.AllMembers()) {
		c.addPeer(m)
	}
	// What was committed once may be told at once, and who was there: after a loss of all machines edges have nothing
	// else, and who asks a replica that is gone is told so by whoever has its address now. An edge that knows
	// more does not go back.
	//
	// Danger: the disk may hold a content that it alone accepted and that was refused, under the very revision that is
	// committed with another one.
	if v := c.disk.Value; v.Revision > 0 && ConfigurationOf(v) == s.CommittedConfiguration {
		c.selection.Update(c.state, c.state.Apply(clusterstate.Update{Revision: v.Revision, Body: v.Body}))
	}
	c.applyRollouts(s.Rollouts)
	for _, r := range s.Replicas {
		c.replicas.Merge(now, r)
	}
	c.state.Apply(clusterstate.Update{Replicas: c.replicas.All()})
	return c
}

func (c *Controller) addPeer(ip string) *peer {
	if ip == c.IP || ip == "" {
		return nil
	}
	p := c.peers[ip]
	if p == nil {
		p = &peer{}
		c.peers[ip] = p
	}
	return p
}

// Members are those of the newest value known here.
func (c *Controller) members() []string {
	if len(c.committed.Members) > 0 {
		return c.committed.Members
	}
	return c.disk.Value.Members
}

func (c *Controller) send(w Message, to ...string) {
	to = slices.DeleteFunc(slices.Clone(to), func(ip string) bool { return ip == c.IP })
	if len(to) > 0 {
		w.From = c.IP
		c.effects.Sends = append(c.effects.Sends, Send{to, w})
	}
}

func (c *Controller) log(text string, values ...any) {
	c.effects.Log = append(c.effects.Log, LogLine{text, values})
}

// peerIPs are the other controllers.
func (c *Controller) peerIPs() []string { return slices.Sorted(maps.Keys(c.peers)) }

// takeEffects ends a call: what has to be saved is handed out, and what may leave does.
func (c *Controller) takeEffects() Effects {
	listDue := c.replicasSaveDue()
	if (c.dirty || listDue || c.committedSaveDue()) && c.saving == 0 && c.now >= c.saveRetryAt && c.disk.CaughtUp {
		c.lastSave++
		c.saving, c.dirty = c.lastSave, false
		c.committedUnsaved, c.committedSaveAt = false, c.now+committedSaveInterval
		c.effects.Save = &Save{Number: c.lastSave, RegisterState: c.disk.State, CommittedConfiguration: c.committedConfiguration, Rollouts: c.rollouts.set}
		if listDue {
			c.replicasDirty, c.replicasSaveAt, c.savingReplicas = false, c.now+replicasSaveInterval, true
			c.departures.saveStarted(c.now)
			c.effects.Save.Replicas = c.replicas.All()
		}
	}
	out := c.effects
	c.effects = Effects{}
	out.FullUpdate = out.Update
	out.Update = c.selection.Update(c.state, out.Update)
	return out
}

// Tick does what is due.
func (c *Controller) Tick(now int64) Effects {
	c.now = now
	c.checkContact()
	c.handleProposer(c.proposer.Tick(now))
	for _, t := range slices.Clone(c.calls) {
		if now >= t.deadline {
			c.proposer.Cancel(t.editID)
			c.answer(t, statusUnavailable, nil, "no majority answered in time")
		}
	}
	if c.fleetUpdateDue {
		c.updateFleet()
	}
	if now >= c.heartbeatAt {
		c.heartbeatAt = now + heartbeatInterval
		c.sendHeartbeat()
		c.forgetPeers()
		c.state.DropGone()
	}
	if now >= c.recordBatchAt {
		c.recordBatchAt = now + recordBatchInterval
		c.sendRecordBatch()
		listening := c.inContact && now-c.startedAt > silentAfterHeartbeats*c.ReplicaHeartbeatInterval
		for _, r := range c.replicas.Tick(now, listening) {
			c.replicasDirty = true
			c.removeFromGroups(r.ID)
			c.log("a replica has fallen silent", "replica", r.ID, "service", r.Service, "gone", r.Phase == registry.Gone)
			c.addUpdate(c.state.Apply(clusterstate.Update{Replicas: []registry.Record{r}}))
		}
	}
	if c.joiner != nil && now >= c.joinAt {
		c.joinAt = now + joinInterval
		m := c.joiner.Request()
		c.send(Message{Register: &m}, c.joiner.Targets(slices.Concat(c.peerIPs(), c.members()))...)
	}
	if !c.registerRead && c.disk.CaughtUp && c.inContact {
		c.registerRead = true
		_, out := c.proposer.Edit(now, readOnlyEdit)
		c.handleProposer(out)
	}
	c.settleAccepted()
	c.tickRollouts()
	if now >= c.membershipCheckAt {
		c.membershipCheckAt = now + heartbeatInterval
		c.updateMembers()
	}
	return c.takeEffects()
}

// NextTick is when Tick wants to be called at the latest.
func (c *Controller) NextTick() int64 {
	next := min(c.heartbeatAt, c.recordBatchAt, c.membershipCheckAt)
	if d := c.proposer.Due(); d > 0 {
		next = min(next, d)
	}
	if c.joiner != nil {
		next = min(next, c.joinAt)
	}
	if at := c.rollouts.nextTick(); at > 0 {
		next = min(next, at)
	}
	if c.fleetUpdateDue {
		next = min(next, c.fleetUpdateAt)
	}
	for _, t := range c.calls {
		next = min(next, t.deadline)
	}
	if c.dirty && c.saving == 0 {
		next = min(next, max(c.saveRetryAt, c.now))
	}
	if c.replicasDirty && c.saving == 0 {
		next = min(next, max(c.saveRetryAt, c.replicasSaveAt, c.now))
	}
	if c.committedUnsaved && c.saving == 0 {
		next = min(next, max(c.saveRetryAt, c.committedSaveAt, c.now))
	}
	if c.saving == 0 && c.departureSaveWanted() {
		next = min(next, max(c.saveRetryAt, c.departures.nextSaveAt, c.now))
	}
	return next
}

// AnnounceShutdown tells that the process is about to end in order.
func (c *Controller) AnnounceShutdown(now int64) Effects {
	c.now, c.shuttingDown = now, true
	c.sendHeartbeat()
	return c.takeEffects()
}

// forgetPeers lets go of controllers that are no members and have been silent for long.
func (c *Controller) forgetPeers() {
	for ip, p := range c.peers {
		if !slices.Contains(c.members(), ip) && c.now-max(p.lastHeard, c.startedAt) > forgetPeerAfter {
			c.replicas.ForgetGroup(ip)
			delete(c.peers, ip)
		}
	}
}
