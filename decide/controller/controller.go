// Package controller is the state machine of a controller, without sockets, disk or clock. It handles replica
// heartbeats, operators' calls, edge reports and messages of other controllers, and returns the effects that its
// caller carries out: messages to send, a state to save, answers to calls and updates for the edges.
//
// Decides: what a controller acknowledges and when, which controllers are members of the register, and which
// member changes the membership.
package controller

import (
	"maps"
	"slices"

	"willowsill/decide/clusterstate"
	"willowsill/decide/lease"
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// Intervals and timeouts, in ns unless the comment says otherwise.
const (
	ms                     = 1_000_000
	heartbeatInterval      = 300 * ms   // time between two heartbeats to every other controller
	recordBatchInterval    = 100 * ms   // time between two batches of changed replica records to the other controllers
	heartbeatBatchInterval = 600 * ms   // time between two batches that hold no changed record, only heartbeats of replicas
	answerTimeout          = 900 * ms   // callers try another controller after a second without an answer
	joinInterval           = 250 * ms   // time between two requests of a controller with an empty disk to catch up
	silentMemberTimeout    = 2500 * ms  // a member that has answered no heartbeat for this long may be replaced
	forgetPeerAfter        = 30000 * ms // a controller that is not a member is dropped once unheard for this long
	edgeTimeout            = 20000 * ms // an edge that is unheard for this long is dropped
	suspectedEdgeTimeout   = 7000 * ms  // an edge that others suspect is left out once unheard for this long
	suspicionValidity      = 4000 * ms  // the suspicion of one edge by another expires after this long
	suspicionThreshold     = 2          // edges that must suspect another one; fewer if its zone has fewer others
	maxEdgesRetention      = 60000 * ms // the edge count that budgets are divided by falls only after this long
	fleetUpdateInterval    = 400 * ms   // time between two lists of edges and controllers sent to the edges
	edgeReportInterval     = 900 * ms   // time between two heartbeats that carry the known controllers and edge reports
	edgeReportRepeat       = 5000 * ms  // an unchanged edge is reported to the other controllers again after this long
	requestInterval        = 500 * ms   // time between two requests of the same kind to other controllers
	heartbeatsPerRelay     = 2          // one in this many unchanged heartbeats of a replica is relayed
	silentAfterHeartbeats  = 5          // a replica that misses this many heartbeats is silent
	goneRetention          = 60000 * ms // a replica that is gone is remembered for this long
	saveRetryDelay         = 200 * ms   // time between a failed save and the next
	replicasSaveInterval   = 500 * ms   // time between two saves made only because a replica's record changed
	committedSaveInterval  = 500 * ms   // time between two saves made only to record what is known to be committed
)

// peer is another controller as known from its messages. Times are those of this controller's clock, in ns.
type peer struct {
	lastHeard       int64  // time of its last message, 0 before the first
	heardSince      int64  // start of the present span without a silence above silentMemberTimeout
	heartbeatNumber uint64 // number of the last heartbeat received
	heartbeat       Heartbeat
	zone            string // empty until it has reported its zone
	group           registry.GroupView
	groupRequestAt  int64 // earliest time of the next request for its whole group
	leavingView     leavingView
}

// edge is an edge as known from its own reports and those of other edges. Times are in ns.
type edge struct {
	clusterstate.Edge
	lastHeard   int64
	suspectedBy map[string]int64 // time of the latest suspicion, by the IP of the suspecting edge
	reportedAt  int64            // time of its last report to the other controllers
	suspects    []string         // IPs of the edges that it suspects
}

// pendingReply is an answer of this controller's acceptor that may be sent only after a save.
type pendingReply struct {
	to           string
	answer       register.Message
	coveringSave uint64 // number of the save that makes the answer durable
}

// pendingCall is a call of a replica or an operator that has no answer yet.
type pendingCall struct {
	id       uint64
	deadline int64
	// The rest depends on the kind of call. Calls of operators have an edit of the register; a departure of a replica
	// has acks.
	editID     uint64              // the proposer's number of the edit
	read       bool                // an operator reads the configuration
	order      *order              // an operator stores a configuration
	rollout    *rolloutCall        // an operator's call about rollouts
	acks       map[string]struct{} // controllers that have the departure on disk
	ackRequest uint64              // number under which the others acknowledge the departure
	replicaID  string              // the replica that leaves
}

// Controller is the state machine of one controller. It is not safe for concurrent use. Times are in ns, of the
// caller's clock.
type Controller struct {
	Options
	disk                   register.Acceptor
	proposer               *register.Proposer
	joiner                 *register.Joiner // nil once the disk has caught up
	replicas               *registry.Registry
	localGroup             *registry.Group // replicas whose heartbeats come to this controller
	state                  *clusterstate.State
	selection              *clusterstate.Selection // the part of the state that edges are sent
	committed              register.Value          // the newest value known to be committed
	committedConfiguration register.Order          // revision and content sum of the configuration in committed
	lease                  *lease.Lease
	unsettledSince         int64 // time since which a disk holds a value not known to be committed; 0 if none does
	peers                  map[string]*peer
	edges                  map[string]*edge // known edges, by IP
	maxEdges               int              // number of edges that budgets are divided by
	maxEdgesAt             int64            // time at which maxEdges was last set
	calls                  []*pendingCall
	lastAckRequest         uint64
	recordBatch            map[string]registry.Record // records for the next batch to the other controllers, by replica
	relayedAt              map[string]int64           // time at which a replica's record was last put into a batch
	allRequestAt           int64                      // earliest time of the next request for all that a peer holds
	startedAt              int64
	now                    int64

	replicasDirty     bool // the list of replicas has changed since it was last handed out for a save
	savingReplicas    bool // the save in progress includes the list of replicas
	departures        departures
	rollouts          rollouts
	replicasSaveAt    int64  // earliest save made only because a replica's record changed
	dirty             bool   // the register's state has changed since it was last handed out for a save
	committedUnsaved  bool   // no save includes the newest committed configuration or rollouts yet
	committedSaveAt   int64  // earliest save made only for committedUnsaved
	saving            uint64 // number of the save in progress, 0 for none
	lastSave          uint64 // number of the newest save handed out
	saveRetryAt       int64  // earliest next save after one that failed
	pendingReplies    []pendingReply
	heartbeatAt       int64
	recordBatchAt     int64
	heartbeatBatchAt  int64 // earliest batch that holds no changed record
	batchUrgent       bool  // recordBatch holds a change that edges need
	joinAt            int64
	edgeReportAt      int64
	fleetUpdateAt     int64 // earliest next list of edges and controllers
	fleetUpdateDue    bool  // the list may have changed since the last one
	membershipCheckAt int64
	knownUnsaved      bool  // the joiner knows controllers that were in no save handed out
	waitLogAt         int64 // earliest next line about what this controller waits for
	registerRead      bool  // a read of the register has been started since this process began
	shuttingDown      bool
	inContact         bool // InContact as of the last Tick
	effects           Effects
}

// New makes a controller from its options and the state that was saved before.
func New(now int64, options Options) *Controller {
	c := &Controller{Options: options, replicas: registry.New(silentAfterHeartbeats*options.ReplicaHeartbeatInterval, goneRetention),
		localGroup: registry.NewGroup(groupMissedHeartbeats*options.ReplicaHeartbeatInterval + options.ReplicaHeartbeatInterval/2),
		state:      clusterstate.NewState(), selection: clusterstate.NewSelection(),
		peers: map[string]*peer{}, edges: map[string]*edge{}, recordBatch: map[string]registry.Record{}, relayedAt: map[string]int64{},
		departures: newDepartures(), rollouts: newRollouts(options.RolloutTerms),
		lease: lease.New(options.IP + "/" + options.Incarnation), startedAt: now, now: now}
	seeds := slices.Clone(options.Seeds)
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	switch {
	case options.RegisterState != nil:
		c.disk = register.Acceptor{State: *options.RegisterState, CaughtUp: true}
	case options.Bootstrap && slices.Contains(seeds, options.IP):
		c.disk = register.Acceptor{State: register.State{Value: register.Value{Members: seeds}}, CaughtUp: true}
		c.dirty = true
	default:
		c.joiner = register.NewJoiner(options.IP, options.IP+"/"+options.Incarnation, slices.Concat(seeds, options.KnownControllers))
		c.knownUnsaved = len(c.joiner.Known()) > len(options.KnownControllers)
	}
	known := c.disk.Value
	if len(known.Members) == 0 {
		known = register.Value{}
	}
	c.proposer = register.NewProposer(options.IP+"/"+options.Incarnation, known, options.Random)
	c.proposer.ObserveBallot(c.disk.Promised)
	c.proposer.CacheState(c.disk.State)
	c.lease.RecordAccepted(now, c.disk.Accepted)
	for _, m := range slices.Concat(seeds, known.AllMembers()) {
		c.addPeer(m)
	}
	// The saved configuration, if it is known to be committed, and the saved replicas go to the edges at once: after all
	// controllers lost power the edges have no other source. An address in the saved list may belong to another process
	// by now; that process rejects requests addressed to the old replica. An edge that holds a newer state keeps it.
	//
	// Danger: the disk may hold content that it alone accepted and that a majority refused, under the same revision
	// that is committed with other content. Hence the comparison with CommittedConfiguration.
	if v := c.disk.Value; v.Revision > 0 && ConfigurationOf(v) == options.CommittedConfiguration {
		c.selection.Update(c.state, c.state.Apply(clusterstate.Update{Revision: v.Revision, Body: v.Body}))
	}
	c.applyRollouts(options.Rollouts)
	for _, r := range options.Replicas {
		c.replicas.Merge(now, r)
	}
	c.state.Apply(clusterstate.Update{Replicas: c.replicas.All()})
	return c
}

// addPeer returns the peer with this IP and creates it if it is new. It returns nil for this controller's own IP.
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

// members returns the members of the newest committed value, or of the value on this disk if none is known.
func (c *Controller) members() []string {
	if len(c.committed.Members) > 0 {
		return c.committed.Members
	}
	return c.disk.Value.Members
}

// send queues a message to other controllers; this controller's own IP is skipped.
func (c *Controller) send(message Message, to ...string) {
	to = slices.DeleteFunc(slices.Clone(to), func(ip string) bool { return ip == c.IP })
	if len(to) > 0 {
		message.From = c.IP
		c.effects.Sends = append(c.effects.Sends, Send{to, message})
	}
}

func (c *Controller) log(text string, values ...any) {
	c.effects.Log = append(c.effects.Log, LogLine{text, values})
}

// peerIPs returns the IPs of the other known controllers, sorted.
func (c *Controller) peerIPs() []string { return slices.Sorted(maps.Keys(c.peers)) }

// takeEffects ends each exported call: it adds a save if one is due and returns the collected effects.
func (c *Controller) takeEffects() Effects {
	if c.saving == 0 && c.now >= c.saveRetryAt {
		c.startSave()
	}
	effects := c.effects
	c.effects = Effects{}
	effects.FullUpdate = effects.Update
	effects.Update = c.selection.Update(c.state, effects.Update)
	return effects
}

// startSave adds a save to the effects if one is due. Of a controller whose disk is empty only the known controllers are saved.
func (c *Controller) startSave() {
	listDue := c.joiner == nil && c.replicasSaveDue()
	if !c.dirty && !listDue && (c.joiner != nil || !c.committedSaveDue()) {
		return
	}
	c.lastSave++
	c.saving, c.dirty = c.lastSave, false
	if c.joiner != nil {
		c.effects.Save = &Save{Number: c.lastSave, KnownControllers: c.joiner.Known()}
		return
	}
	c.committedUnsaved, c.committedSaveAt = false, c.now+committedSaveInterval
	c.effects.Save = &Save{Number: c.lastSave, RegisterState: c.disk.State, CommittedConfiguration: c.committedConfiguration,
		Rollouts: c.rollouts.set}
	if listDue {
		c.replicasDirty, c.replicasSaveAt, c.savingReplicas = false, c.now+replicasSaveInterval, true
		c.departures.saveStarted(c.now)
		c.effects.Save.Replicas = c.replicas.All()
	}
}

// Tick does all work that is due. The caller calls it at NextTick at the latest.
func (c *Controller) Tick(now int64) Effects {
	c.now = now
	c.checkContact()
	c.handleProposer(c.proposer.Tick(now))
	for _, call := range slices.Clone(c.calls) {
		if now >= call.deadline {
			c.proposer.Cancel(call.editID)
			c.answer(call, statusUnavailable, nil, c.unavailableReason("no majority answered in time"))
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
			c.log("replica became silent or is gone", "replica", r.ID, "service", r.Service, "gone", r.Phase == registry.Gone)
			c.addUpdate(c.state.Apply(clusterstate.Update{Replicas: []registry.Record{r}}))
		}
	}
	if c.joiner != nil && now >= c.joinAt {
		c.askToJoin()
	}
	c.logWait()
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

// NextTick returns the time at which Tick must be called next, in ns.
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
	for _, call := range c.calls {
		next = min(next, call.deadline)
	}
	if c.dirty && c.saving == 0 {
		next = min(next, max(c.saveRetryAt, c.now))
	}
	if c.replicasDirty && c.saving == 0 && c.joiner == nil {
		next = min(next, max(c.saveRetryAt, c.replicasSaveAt, c.now))
	}
	if c.committedUnsaved && c.saving == 0 && c.joiner == nil {
		next = min(next, max(c.saveRetryAt, c.committedSaveAt, c.now))
	}
	if c.saving == 0 && c.joiner == nil && c.departureSaveWanted() {
		next = min(next, max(c.saveRetryAt, c.departures.nextSaveAt, c.now))
	}
	return next
}

// AnnounceShutdown tells the other controllers that this process will end soon, so that a member is replaced while it
// still runs. From then on replica calls are answered 503.
func (c *Controller) AnnounceShutdown(now int64) Effects {
	c.now, c.shuttingDown = now, true
	c.sendHeartbeat()
	return c.takeEffects()
}

// forgetPeers drops controllers that are not members and have been unheard for forgetPeerAfter.
func (c *Controller) forgetPeers() {
	for ip, p := range c.peers {
		if !slices.Contains(c.members(), ip) && c.now-max(p.lastHeard, c.startedAt) > forgetPeerAfter {
			c.replicas.ForgetGroup(ip)
			delete(c.peers, ip)
		}
	}
}
