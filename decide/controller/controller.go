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
	ms             = 1_000_000
	heartbeatEvery = 300 * ms // between two heartbeats to every other controller
	passEvery      = 100 * ms // between two batches of replicas' records to the others
	beatsEvery     = 600 * ms // between two batches that say only that replicas were heard
	answerWithin   = 900 * ms // callers go elsewhere after a second of silence
	joinEvery      = 250 * ms
	silentMember   = 2500 * ms  // a member unheard for so long gives its place to a newcomer
	goneAfter      = 30000 * ms // a controller that is no member and unheard for so long is forgotten
	edgeWithin     = 20000 * ms // an edge heard of within it counts
	edgeQuiet      = 7000 * ms  // one that is suspected and unheard for so long does not
	suspicion      = 4000 * ms  // a watcher's suspicion of another counts for so long
	suspectedBy    = 2          // watchers, or all that there are
	mostKept       = 60000 * ms // the number of edges for budgets goes down only after that
	fleetEvery     = 400 * ms   // between two lists of edges that followers are told
	edgesEvery     = 900 * ms   // between two lists of controllers, and of what is new of edges
	edgeAgain      = 5000 * ms  // an edge of which nothing is new is told of again after that
	wantEvery      = 500 * ms   // between two questions of one kind for what another controller knows
	beatsPassed    = 2          // heartbeats of a replica of which the others are told one
	silentBeats    = 5          // heartbeats left out, and a replica has fallen silent
	keepGone       = 60000 * ms
	saveAgain      = 200 * ms // after a save that failed
	listEvery      = 500 * ms // between two saves for the list of replicas alone
	committedEvery = 500 * ms // between two saves for the revision known to stand alone
)

type peer struct {
	heard, first int64  // last, and since when without a long silence
	number       uint64 // of the last heartbeat received
	heartbeat    Heartbeat
	zone         string // empty until it has said so
	group        registry.View
	groupWantAt  int64 // it is not asked for the whole of its group before
	leaving      leavingView
}

// edge is what is known of one edge.
type edge struct {
	clusterstate.Edge
	heard int64
	by    map[string]int64 // who suspects it, and when that was last said
	told  int64            // when the other controllers were last told of it
	said  []string         // whom it suspects
}

type reply struct {
	to     string
	answer register.Message
	after  uint64 // the save that covers it
}

type pendingCall struct {
	id    uint64
	until int64
	// one of:
	edit    uint64 // of the proposer
	read    bool
	order   *order              // of an operator
	rollout *rolloutCall        // likewise
	acks    map[string]struct{} // for what must be on the disks of a majority: who has it there
	asked   uint64
	replica string // that leaves
}

// Controller is the machine.
type Controller struct {
	Start
	disk          register.Disk
	proposer      *register.Proposer
	joiner        *register.Joiner
	list          *registry.Registry
	group         *registry.Group // whose heartbeats come here
	state         *clusterstate.State
	selection     *clusterstate.Selection // of the state, for those who follow
	committed     register.Value          // the newest value known to be committed
	configuration register.Order          // of that value
	lease         *lease.Lease
	unsettledAt   int64 // since when some disk has held what is not known to be committed; 0 for not
	peers         map[string]*peer
	edges         map[string]*edge // by IP
	most          int
	mostAt        int64
	calls         []*pendingCall
	asks          uint64
	pass          map[string]registry.Record // for the next batch
	passed        map[string]int64           // when the others were last told of a replica
	wantAt        int64
	began         int64
	now           int64

	listDirty           bool
	savingList          bool // the save under way has the list
	leavers             leavers
	rollouts            rollouts
	listAt              int64
	dirty               bool   // the state differs from what was handed out to be saved
	committedUnsaved    bool   // the configuration known to be committed is in no save yet
	committedSaveAt     int64  // when a save may be made for that alone
	saving              uint64 // number of the save under way, 0 for none
	saves               uint64
	saveAt              int64 // not before, after a failure
	replies             []reply
	heartbeatAt, passAt int64
	beatsAt             int64
	urgent              bool // something in the next batch is news to edges
	joinAt, edgesAt     int64
	fleetAt             int64 // no list of edges is told before
	fleetDue            bool  // one may have changed
	dutyAt              int64
	asked               bool // what stands, of the register, in this life
	leaving, inContact  bool
	out                 Out
}

// New makes a controller.
func New(now int64, s Start) *Controller {
	c := &Controller{Start: s, list: registry.New(silentBeats*s.BeatEvery, keepGone),
		group: registry.NewGroup(groupBeats*s.BeatEvery + s.BeatEvery/2), state: clusterstate.NewState(), selection: clusterstate.NewSelection(),
		peers: map[string]*peer{}, edges: map[string]*edge{}, pass: map[string]registry.Record{}, passed: map[string]int64{},
		leavers: newLeavers(), rollouts: newRollouts(s.Rolling), lease: lease.New(s.IP + "/" + s.Life), began: now, now: now}
	seeds := slices.Clone(s.Seeds)
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	switch {
	case s.State != nil:
		c.disk = register.Disk{State: *s.State, CaughtUp: true}
	case s.Bootstrap && slices.Contains(seeds, s.IP):
		c.disk = register.Disk{State: register.State{Value: register.Value{Members: seeds}}, CaughtUp: true}
		c.dirty = true
	default:
		c.joiner = register.NewJoiner(s.IP, s.IP+"/"+s.Life)
	}
	known := c.disk.Value
	if len(known.Members) == 0 {
		known = register.Value{}
	}
	c.proposer = register.NewProposer(s.IP+"/"+s.Life, known, s.Draw)
	c.proposer.Seen(c.disk.Promised)
	c.proposer.Hold(c.disk.State)
	c.lease.Accepted(now, c.disk.Accepted)
	for _, m := range slices.Concat(seeds, known.Disks()) {
		c.meet(m)
	}
	// What was committed once may be told at once, and who was there: after a loss of all machines edges have nothing
	// else, and who asks a replica that is gone is told so by whoever has its address now. An edge that knows
	// more does not go back.
	//
	// Danger: the disk may hold a content that it alone accepted and that was refused, under the very revision that is
	// committed with another one.
	if v := c.disk.Value; v.Revision > 0 && ConfigurationOf(v) == s.Committed {
		c.selection.Update(c.state, c.state.Take(clusterstate.Update{Revision: v.Revision, Body: v.Body}))
	}
	c.takeRollouts(s.Rollouts)
	for _, r := range s.List {
		c.list.Take(now, r)
	}
	c.state.Take(clusterstate.Update{Replicas: c.list.All()})
	return c
}

func (c *Controller) meet(ip string) *peer {
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
		c.out.Sends = append(c.out.Sends, Send{to, w})
	}
}

func (c *Controller) log(text string, values ...any) {
	c.out.Log = append(c.out.Log, Line{text, values})
}

// all are the other controllers.
func (c *Controller) all() []string { return slices.Sorted(maps.Keys(c.peers)) }

// done ends a call: what has to be saved is handed out, and what may leave does.
func (c *Controller) done() Out {
	listDue := c.listDue()
	if (c.dirty || listDue || c.committedDue()) && c.saving == 0 && c.now >= c.saveAt && c.disk.CaughtUp {
		c.saves++
		c.saving, c.dirty = c.saves, false
		c.committedUnsaved, c.committedSaveAt = false, c.now+committedEvery
		c.out.Save = &Save{Number: c.saves, State: c.disk.State, Committed: c.configuration, Rollouts: c.rollouts.set}
		if listDue {
			c.listDirty, c.listAt, c.savingList = false, c.now+listEvery, true
			c.leavers.handedOut(c.now)
			c.out.Save.List = c.list.All()
		}
	}
	out := c.out
	c.out = Out{}
	out.Whole = out.Update
	out.Update = c.selection.Update(c.state, out.Update)
	return out
}

// Tick does what is due.
func (c *Controller) Tick(now int64) Out {
	c.now = now
	c.checkContact()
	c.carry(c.proposer.Tick(now))
	for _, t := range slices.Clone(c.calls) {
		if now >= t.until {
			c.proposer.Cancel(t.edit)
			c.answer(t, statusUnavailable, nil, "no majority answered in time")
		}
	}
	if c.fleetDue {
		c.fleet()
	}
	if now >= c.heartbeatAt {
		c.heartbeatAt = now + heartbeatEvery
		c.sendHeartbeat()
		c.forget()
		c.state.Forget()
	}
	if now >= c.passAt {
		c.passAt = now + passEvery
		c.passOn()
		listening := c.inContact && now-c.began > silentBeats*c.BeatEvery
		for _, r := range c.list.Tick(now, listening) {
			c.listDirty = true
			c.silentHere(r.ID)
			c.log("a replica has fallen silent", "replica", r.ID, "service", r.Service, "gone", r.Phase == registry.Gone)
			c.tell(c.state.Take(clusterstate.Update{Replicas: []registry.Record{r}}))
		}
	}
	if c.joiner != nil && now >= c.joinAt {
		c.joinAt = now + joinEvery
		m := c.joiner.Ask()
		c.send(Message{Register: &m}, c.joiner.Others(slices.Concat(c.all(), c.members()))...)
	}
	if !c.asked && c.disk.CaughtUp && c.inContact {
		c.asked = true
		_, out := c.proposer.Edit(now, same)
		c.carry(out)
	}
	c.settle()
	c.tickRollouts()
	if now >= c.dutyAt {
		c.dutyAt = now + heartbeatEvery
		c.duty()
	}
	return c.done()
}

// Next is when Tick wants to be called at the latest.
func (c *Controller) Next() int64 {
	next := min(c.heartbeatAt, c.passAt, c.dutyAt)
	if d := c.proposer.Due(); d > 0 {
		next = min(next, d)
	}
	if c.joiner != nil {
		next = min(next, c.joinAt)
	}
	if at := c.rollouts.next(); at > 0 {
		next = min(next, at)
	}
	if c.fleetDue {
		next = min(next, c.fleetAt)
	}
	for _, t := range c.calls {
		next = min(next, t.until)
	}
	if c.dirty && c.saving == 0 {
		next = min(next, max(c.saveAt, c.now))
	}
	if c.listDirty && c.saving == 0 {
		next = min(next, max(c.saveAt, c.listAt, c.now))
	}
	if c.committedUnsaved && c.saving == 0 {
		next = min(next, max(c.saveAt, c.committedSaveAt, c.now))
	}
	if c.saving == 0 && c.leaverWaits() {
		next = min(next, max(c.saveAt, c.leavers.saveAt, c.now))
	}
	return next
}

// Leave tells that the process is about to end in order.
func (c *Controller) Leave(now int64) Out {
	c.now, c.leaving = now, true
	c.sendHeartbeat()
	return c.done()
}

// forget lets go of controllers that are no members and have been silent for long.
func (c *Controller) forget() {
	for ip, p := range c.peers {
		if !slices.Contains(c.members(), ip) && c.now-max(p.heard, c.began) > goneAfter {
			c.list.GroupGone(ip)
			delete(c.peers, ip)
		}
	}
}
