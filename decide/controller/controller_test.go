package controller

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
	"willowsill/decide/locality"
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

const (
	latency      = 10 * ms
	diskSyncTime = 5 * ms
)

// server is a simulated controller process and its disk, which outlives the process.
type server struct {
	*Controller
	up              bool
	incarnation     int
	saved           *Save // the newest state on its disk, nil for an empty disk
	savedReplicas   []registry.Record
	savedKnown      []string // controllers known when the disk held no state
	replicasSaves   int      // saves that included the list of replicas
	stuck           bool     // its disk finishes no save
	diskTime        int64    // duration of a save, 0 for diskSyncTime
	nextTickAt      int64
	edgeState       *clusterstate.State // the state of an edge connected to it
	maxRevisionSent uint64              // the highest revision that its edges were sent
}

// event is a call to make at a point of virtual time. Events of the same time run in the order they were added.
type event struct {
	at    int64
	order int
	do    func()
}

// cluster simulates a few controllers in virtual time. A test may delay, lose, duplicate or change each message.
type cluster struct {
	t        *testing.T
	servers  map[string]*server
	names    []string
	now      int64
	events   []event
	order    int
	messages int
	tamper   func(number int, message *Message) (copies int, delay int64)
	cut      func(from, to string) bool
	answers  map[uint64]Answer
	calls    uint64
	bodies   map[uint64]string
	zones    map[string]string // zone of each controller; nil if the test does not need zones
	regions  locality.Regions
}

// newCluster returns a cluster of n controllers at their first start, with the first three as seeds.
func newCluster(t *testing.T, n int) *cluster {
	b := &cluster{t: t, servers: map[string]*server{}, answers: map[uint64]Answer{}, bodies: map[uint64]string{}}
	for i := range n {
		name := fmt.Sprint("10.0.0.", i+1)
		b.names = append(b.names, name)
		b.servers[name] = &server{}
	}
	for _, name := range b.names {
		b.start(name, true)
	}
	return b
}

// start starts a controller process from what its disk holds.
func (b *cluster) start(name string, bootstrap bool) {
	x := b.servers[name]
	x.up, x.incarnation, x.maxRevisionSent, x.nextTickAt = true, x.incarnation+1, 0, b.now
	options := Options{IP: name, Incarnation: fmt.Sprint(x.incarnation), Zone: b.zones[name], Regions: b.regions, Seeds: b.names[:3], Bootstrap: bootstrap, ReplicaHeartbeatInterval: 1000 * ms,
		Random: func() float64 { return float64(name[len(name)-1]%8) / 8 }}
	if x.saved != nil {
		state := x.saved.RegisterState
		options.RegisterState, options.CommittedConfiguration, options.Rollouts, options.Replicas = &state, x.saved.CommittedConfiguration, x.saved.Rollouts, x.savedReplicas
	}
	options.FaultBudget, options.KnownControllers = &FaultBudget{Machines: (len(b.names) - 1) / 4}, x.savedKnown
	x.Controller = New(b.now, options)
	x.edgeState = clusterstate.NewState()
	x.edgeState.Apply(x.Snapshot())
}

// after schedules a call d ns from now.
func (b *cluster) after(d int64, do func()) {
	b.order++
	b.events = append(b.events, event{b.now + d, b.order, do})
}

// carry carries out a controller's effects, and checks what its edges are sent. A save reports its end only to the
// incarnation that asked for it.
func (b *cluster) carry(name string, o Effects) {
	x := b.servers[name]
	incarnation := x.incarnation
	ifRunning := func(do func()) func() {
		return func() {
			if x.up && x.incarnation == incarnation {
				do()
			}
		}
	}
	if s := o.Save; s != nil && !x.stuck {
		b.after(cmp.Or(x.diskTime, diskSyncTime), ifRunning(func() {
			if s.KnownControllers != nil {
				x.savedKnown = s.KnownControllers
			} else if x.saved = s; s.Replicas != nil {
				x.savedReplicas, x.replicasSaves = s.Replicas, x.replicasSaves+1
			}
			b.carry(name, x.SaveFinished(b.now, s.Number, nil))
		}))
	}
	for _, s := range o.Sends {
		for _, to := range s.To {
			message := s.Message
			b.messages++
			copies, delay := 1, int64(0)
			if b.tamper != nil {
				copies, delay = b.tamper(b.messages, &message)
			}
			for range copies {
				b.after(latency+delay, func() {
					if y := b.servers[to]; y != nil && y.up && (b.cut == nil || !b.cut(name, to)) {
						b.carry(to, y.HandleMessage(b.now, message))
					}
				})
			}
		}
	}
	for _, a := range o.Answers {
		b.answers[a.Call] = a
	}
	if update := o.Update; !update.Rollouts.IsZero() {
		must.GreaterEq(b.t, x.edgeState.Rollouts.Version, update.Rollouts.Version, must.Sprint("edges were sent older rollouts"))
		x.edgeState.Apply(clusterstate.Update{Rollouts: update.Rollouts})
	}
	if update := o.Update; update.Revision > 0 {
		must.GreaterEq(b.t, x.maxRevisionSent, update.Revision, must.Sprint("edges were sent an older revision"))
		x.maxRevisionSent = update.Revision
		x.edgeState.Apply(update)                                  // the edge must now hold what the controller holds
		must.Eq(b.t, string(x.state.Raw), string(x.edgeState.Raw)) // as strings: go-cmp compares slices byte by byte
		if was, ok := b.bodies[update.Revision]; ok {
			must.Eq(b.t, was, string(update.Raw), must.Sprint("a revision with two contents"))
		}
		b.bodies[update.Revision] = string(update.Raw)
	}
}

// run advances virtual time by d ns.
func (b *cluster) run(d int64) { b.runUntil(d, func() bool { return false }) }

// runUntil advances virtual time by d ns, or until stop returns true.
func (b *cluster) runUntil(d int64, stop func() bool) {
	for end := b.now + d; b.now < end && !stop(); b.now = min(b.nextStep(), end) {
		due := b.events[:0:0]
		b.events = slices.DeleteFunc(b.events, func(e event) bool {
			if e.at <= b.now {
				due = append(due, e)
				return true
			}
			return false
		})
		slices.SortFunc(due, func(x, y event) int { return x.order - y.order })
		for _, e := range due {
			e.do()
		}
		for _, name := range b.names {
			if x := b.servers[name]; x.up && b.now >= x.nextTickAt {
				b.carry(name, x.Tick(b.now))
				x.nextTickAt = max(x.NextTick(), b.now+ms)
			}
		}
	}
}

// nextStep returns the time of the next event or tick, a whole number of milliseconds from now.
func (b *cluster) nextStep() int64 {
	next := b.now + 1000*ms
	for _, e := range b.events {
		next = min(next, e.at)
	}
	for _, name := range b.names {
		if x := b.servers[name]; x.up {
			next = min(next, x.nextTickAt)
		}
	}
	steps := max(1, (next-b.now+ms-1)/ms)
	return b.now + steps*ms
}

// packedContents caches packed contents: each compressor takes a megabyte, and tests send the same contents thousands
// of times.
var packedContents sync.Map

func packedContent(body string) []byte {
	if packed, ok := packedContents.Load(body); ok {
		return packed.([]byte)
	}
	packed := clusterstate.Pack([]byte(body))
	packedContents.Store(body, packed)
	return packed
}

// put sends a configuration to a controller and returns the ID of the call.
func (b *cluster) put(name string, revision uint64, body string) uint64 {
	b.calls++
	b.carry(name, b.servers[name].PutConfiguration(b.now, b.calls, revision, packedContent(body)))
	return b.calls
}

// read reads the configuration at a controller and returns the answer with the unpacked configuration.
func (b *cluster) read(name string) Answer {
	b.calls++
	id := b.calls
	b.carry(name, b.servers[name].ReadConfiguration(b.now, id))
	b.run(1500 * ms)
	a := b.answers[id]
	a.Body, _ = clusterstate.Unpack(a.Body)
	return a
}

func (b *cluster) replicaCall(name string, r registry.Record) uint64 {
	b.calls++
	b.carry(name, b.servers[name].HandleReplicaCall(b.now, b.calls, r))
	return b.calls
}

// cutOff drops all messages between a controller and the others.
func (b *cluster) cutOff(name string) {
	b.cut = func(from, to string) bool { return (from == name) != (to == name) }
}

func (b *cluster) members() []string { return b.servers[b.names[0]].committed.Members }

// TestFromSeedsToAll checks that all five controllers become members, though only three seeds are known at first.
func TestFromSeedsToAll(t *testing.T) {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	must.Eq(t, b.names, b.members())
	id := b.put(b.names[4], 7, "seven")
	b.run(500 * ms)
	must.Eq(t, 200, b.answers[id].Status)
	for _, n := range b.names {
		must.Eq(t, 7, int(b.servers[n].maxRevisionSent))
	}
}

// TestOneWordMutated guards against a protocol that depends on a single message. It runs a start, two puts under one
// revision at two controllers, and a read, once for each message between controllers, with that message lost,
// duplicated, delayed or stripped of some parts. All puts must be answered, exactly one of the two under one revision
// must be confirmed, no edge may be sent an older state, and the read must return what was acknowledged last.
func TestOneWordMutated(t *testing.T) {
	runScenario := func(tamper func(int, *Message) (int, int64)) int {
		b := newCluster(t, 5)
		b.tamper = tamper
		b.run(3000 * ms)
		first, second := b.put(b.names[1], 3, "one"), b.put(b.names[3], 3, "other")
		b.run(1500 * ms)
		one, other := b.answers[first].Status, b.answers[second].Status
		must.True(t, one == 200 && other == 409 || one == 409 && other == 200, must.Sprint(one, other))
		third := b.put(b.names[2], 9, "nine")
		b.run(1500 * ms)
		must.Eq(t, 200, b.answers[third].Status)
		a := b.read(b.names[4])
		must.Eq(t, 200, a.Status)
		must.Eq(t, "nine", string(a.Body))
		return b.messages
	}
	all := runScenario(nil)
	must.Greater(t, 100, all)
	mutations := []func(message *Message) (int, int64){
		func(*Message) (int, int64) { return 0, 0 },
		func(*Message) (int, int64) { return 2, 0 },
		func(*Message) (int, int64) { return 1, 700 * ms },
		func(message *Message) (int, int64) {
			message.CommittedValue, message.Heartbeat, message.CommittedBallot = nil, nil, register.Ballot{}
			return 1, 0
		},
	}
	step := 1
	if testing.Short() {
		step = 17
	}
	for n := 1; n <= all; n += step + n%7 {
		m := mutations[n%len(mutations)]
		runScenario(func(number int, message *Message) (int, int64) {
			if number == n {
				return m(message)
			}
			return 1, 0
		})
	}
}

// restartAllWipingOne stops all controllers at once, as in a loss of power, empties one disk and starts all again.
func (b *cluster) restartAllWipingOne(wiped int) {
	for _, n := range b.names {
		b.servers[n].up = false
	}
	b.events = nil
	b.servers[b.names[wiped]].saved, b.servers[b.names[wiped]].savedReplicas = nil, nil
	b.run(500 * ms)
	for _, n := range b.names {
		b.start(n, false)
	}
	b.run(2000 * ms)
}

// TestAcknowledgedThenLost guards against an acknowledged configuration that is lost with a loss of power everywhere
// right after the answer, in which one disk is emptied as well.
func TestAcknowledgedThenLost(t *testing.T) {
	for wiped := range 5 {
		b := newCluster(t, 5)
		b.run(4000 * ms)
		id := b.put(b.names[2], 5, "five")
		for b.answers[id].Status == 0 {
			b.run(ms)
		}
		must.Eq(t, 200, b.answers[id].Status)
		b.restartAllWipingOne(wiped)
		a := b.read(b.names[(wiped+1)%5])
		must.Eq(t, "five", string(a.Body))
		must.True(t, b.servers[b.names[wiped]].disk.CaughtUp)
	}
}

// TestPlaceTaken checks that a newcomer replaces a member that has gone for good, and that one that starts earlier is an
// additional member only until the other has gone.
func TestPlaceTaken(t *testing.T) {
	for _, planned := range []bool{false, true} {
		b := newCluster(t, 6)
		b.servers[b.names[5]].up = false
		b.run(3000 * ms)
		b.put(b.names[0], 1, "one")
		b.run(1000 * ms)
		must.Eq(t, b.names[:5], b.members())
		if !planned {
			b.servers[b.names[4]].up = false
		}
		b.start(b.names[5], false)
		b.run(6000 * ms)
		if planned {
			must.Eq(t, b.names, b.members())
			b.servers[b.names[4]].up = false
			b.run(6000 * ms)
		}
		must.Eq(t, append(slices.Clone(b.names[:4]), b.names[5]), b.members())
		must.Eq(t, "one", string(b.read(b.names[5]).Body))
	}
}

// TestStuckDisk guards against a controller whose disk finishes no save and that then answers neither heartbeats nor
// configurations.
func TestStuckDisk(t *testing.T) {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	b.servers[b.names[0]].stuck = true
	heartbeat := b.replicaCall(b.names[0], registry.Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 1})
	put := b.put(b.names[0], 4, "four")
	b.run(600 * ms)
	must.Eq(t, 200, b.answers[heartbeat].Status)
	must.Eq(t, 200, b.answers[put].Status)
}

// TestCutOffAcknowledgesNothing checks that a controller without a majority answers 503 to replicas and operators, and
// that a departure acknowledged by the majority reaches all controllers of the majority.
func TestCutOffAcknowledgesNothing(t *testing.T) {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	r := registry.Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 1}
	b.replicaCall(b.names[1], r)
	b.run(300 * ms)
	b.cutOff(b.names[0])
	b.run(2000 * ms)
	r.Phase, r.Seq = registry.Draining, 2
	cut, put := b.replicaCall(b.names[0], r), b.put(b.names[0], 8, "eight")
	good := b.replicaCall(b.names[3], r)
	b.run(1000 * ms)
	must.Eq(t, 503, b.answers[cut].Status)
	must.Eq(t, 503, b.answers[put].Status)
	must.Eq(t, 200, b.answers[good].Status)
	for _, n := range b.names[1:] {
		got, _ := b.servers[n].Controller.replicas.Get("i-1")
		must.Eq(t, registry.Draining, got.Phase)
	}
}

// TestSaveThatFails checks that an answer that waits for a save is not sent when the save fails, but after the next
// one that succeeds.
func TestSaveThatFails(t *testing.T) {
	c := New(0, Options{IP: "a", Incarnation: "1", Seeds: []string{"a"}, Bootstrap: true, ReplicaHeartbeatInterval: 1000 * ms, Random: func() float64 { return 0 }})
	o := c.Tick(ms)
	must.NotNil(t, o.Save)
	c.SaveFinished(2*ms, o.Save.Number, nil)
	prepare := register.Message{Kind: register.Prepare, Ballot: register.Ballot{Number: 50, Proposer: "b/1"}}
	o = c.HandleMessage(3*ms, Message{From: "b", Register: &prepare})
	must.NotNil(t, o.Save)
	has := func(o Effects) bool {
		return slices.ContainsFunc(o.Sends, func(s Send) bool {
			return s.Message.Register != nil && s.Message.Register.Kind == register.Promised
		})
	}
	must.False(t, has(o))
	o = c.SaveFinished(4*ms, o.Save.Number, errors.New("refused"))
	must.False(t, has(o))
	o = c.Tick(4*ms + saveRetryDelay)
	must.NotNil(t, o.Save)
	must.False(t, has(o))
	must.True(t, has(c.SaveFinished(500*ms, o.Save.Number, nil)))
}

// TestBeatsGoTogether checks that unchanged heartbeats of replicas take few messages between controllers, and that a new
// replica is passed on at once.
func TestBeatsGoTogether(t *testing.T) {
	b := newCluster(t, 3)
	b.run(4000 * ms)
	messages, sentAt := 0, int64(0)
	b.tamper = func(_ int, message *Message) (int, int64) {
		if len(message.ReplicaHeartbeats)+len(message.Records) > 0 {
			messages++
		}
		for _, r := range message.Records {
			if r.ID == "i-new" {
				sentAt = b.now
			}
		}
		return 1, 0
	}
	for seq := uint64(1); seq <= 120; seq++ {
		b.replicaCall(b.names[0], registry.Record{ID: fmt.Sprint("i-", seq%20), Service: "s", Address: "a:1", Seq: seq})
		b.run(50 * ms)
	}
	must.LessEq(t, 2*(20+6000/600+1), messages) // to each of two others: 20 new replicas, then a batch every 600 ms
	at := b.now
	b.replicaCall(b.names[0], registry.Record{ID: "i-new", Service: "s", Address: "a:2", Seq: 1})
	b.run(300 * ms)
	must.LessEq(t, recordBatchInterval+10*ms, sentAt-at)
	for _, n := range b.names {
		r, ok := b.servers[n].Controller.replicas.Get("i-7")
		must.True(t, ok)
		must.Eq(t, registry.Ready, r.Phase)
	}
}
