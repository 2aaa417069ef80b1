package controller

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/register"
)

// Times and sizes of the tests of membership.
const (
	farLatency        = 20 * ms     // one way between two regions
	catchUpSmall      = 4000 * ms   // catch-up-s for 5 members
	catchUpGrown      = 6000 * ms   // catch-up-s for 9 members
	catchUpMargin     = 700 * ms    // allowance for the process start and a busy processor, which virtual time leaves out
	slowDisk          = 30          // factor by which a slow disk is slower
	manyRoutes        = 300 << 10   // bytes of a configuration with 350 more routes
	initialSettleTime = 4000 * ms   // until all controllers are members
	measureStep       = 10 * ms     // resolution of measured times
	measureTimeout    = 30_000 * ms // a machine that takes longer fails the test
)

// settledCluster returns a cluster of n members with a configuration, and spare machines that have not started yet.
func settledCluster(t *testing.T, n, spares int, body []byte) *cluster {
	b := newCluster(t, n)
	b.tamper = func(int, *Message) (int, int64) { return 1, farLatency - latency }
	b.run(initialSettleTime)
	must.Eq(t, n, len(b.members()))
	for i := range spares {
		name := fmt.Sprint("10.0.1.", i+1)
		b.names = append(b.names, name)
		b.servers[name] = &server{}
	}
	b.putAcknowledged(t, b.names[n-1], 1, body)
	return b
}

// putAcknowledged sends a configuration to a controller and checks that it is acknowledged.
func (b *cluster) putAcknowledged(t *testing.T, name string, revision uint64, body []byte) {
	id := b.put(name, revision, string(body))
	for end := b.now + 900*ms; b.answers[id].Status == 0 && b.now < end; {
		b.run(measureStep)
	}
	must.Eq(t, 200, b.answers[id].Status, must.Sprintf("revision %d at %s", revision, name))
}

// kill ends a process; wipe empties its disk as well.
func (b *cluster) kill(name string, wipe bool) {
	x := b.servers[name]
	x.up = false
	if wipe {
		x.saved, x.savedReplicas, x.savedKnown = nil, nil, nil
	}
}

// isMember reports whether a machine has caught up and is a member according to the committed value of every running
// member, with no change of members in progress.
func (b *cluster) isMember(name string) bool {
	x := b.servers[name]
	if !x.up || !x.disk.CaughtUp || x.saved == nil {
		return false
	}
	held := x.disk.Value
	if !slices.Contains(held.Members, name) || len(held.Prior) > 0 {
		return false
	}
	for _, m := range held.Members {
		y := b.servers[m]
		if y.up && (y.committed.Epoch != held.Epoch || len(y.committed.Prior) > 0) {
			return false
		}
	}
	return true
}

// untilMember advances time until a machine is a member and returns how long that took.
func (b *cluster) untilMember(t *testing.T, name string) int64 {
	begun := b.now
	for !b.isMember(name) {
		b.run(measureStep)
		must.Less(t, measureTimeout, b.now-begun, must.Sprintf("%s does not become a member", name))
	}
	return b.now - begun
}

// replacement is one way in which a member is replaced.
type replacement struct {
	name  string
	run   func(t *testing.T, b *cluster, n int) (successor string)
	disks func(b *cluster, n int) // breaks or slows down the disk of another member
	// within is a bound on the time that is narrower than catch-up-s, for a machine that does not have to wait until
	// another one is silent; 0 for none.
	within int64
}

// Bounds for the field within of a replacement.
const (
	withinJoin     = 500 * ms // a wiped member rejoins: a refusal, a promise and a save
	withinTakeOver = 850 * ms // a newcomer replaces a member that has long been silent
)

func replacements() []replacement {
	none := func(*cluster, int) {}
	stalled := func(b *cluster, n int) { b.servers[b.names[n-2]].stuck = true }
	slow := func(b *cluster, n int) { b.servers[b.names[n-2]].diskTime = slowDisk * diskSyncTime }
	dies := func(which func(n int) int, wait int64) func(*testing.T, *cluster, int) string {
		return func(_ *testing.T, b *cluster, n int) string {
			b.kill(b.names[which(n)], false)
			b.run(wait)
			b.start(b.names[n], false)
			return b.names[n]
		}
	}
	planned := func(which int, wait int64) func(*testing.T, *cluster, int) string {
		return func(_ *testing.T, b *cluster, n int) string {
			b.start(b.names[n], false)
			b.after(wait, func() { b.leave(b.names[which]) })
			return b.names[n]
		}
	}
	wiped := func(which int, wait int64) func(*testing.T, *cluster, int) string {
		return func(_ *testing.T, b *cluster, n int) string {
			b.kill(b.names[which], true)
			b.run(wait)
			b.start(b.names[which], false)
			return b.names[which]
		}
	}
	first := func(int) int { return 0 }
	last := func(n int) int { return n - 1 }
	return []replacement{
		{"gone for good, the first live member", dies(first, 300*ms), none, 0},
		{"gone for good, a seed", dies(func(int) int { return 2 }, 300*ms), none, 0},
		{"gone for good, no seed", dies(last, 300*ms), none, 0},
		{"gone for good, late successor", dies(last, 3000*ms), none, withinTakeOver},
		{"gone for good, a stalled disk elsewhere", dies(first, 300*ms), stalled, 0},
		{"gone for good, a slow disk elsewhere", dies(first, 300*ms), slow, 0},
		{"planned, the first live member", planned(0, 1000*ms), none, 0},
		{"planned, no seed", planned(3, 1000*ms), none, 0},
		{"planned, early", planned(3, 300*ms), none, 0},
		{"planned, late", planned(3, 3000*ms), none, 0},
		{"planned, a stalled disk elsewhere", planned(0, 1000*ms), stalled, 0},
		{"planned, a slow disk elsewhere", planned(0, 1000*ms), slow, 0},
		{"added, nobody leaves", planned(3, 20_000*ms), none, 0},
		{"wiped, the first live member", wiped(0, 300*ms), none, withinJoin},
		{"wiped, no seed", wiped(3, 1000*ms), none, withinJoin},
		{"wiped, a stalled disk elsewhere", wiped(0, 1000*ms), stalled, withinJoin},
		{"wiped, a slow disk elsewhere", wiped(0, 1000*ms), slow, withinJoin},
	}
}

// leave shuts a process down in order: it announces the end, runs on for leaveWait and then stops.
func (b *cluster) leave(name string) {
	x := b.servers[name]
	b.carry(name, x.AnnounceShutdown(b.now))
	b.after(leaveWait, func() { x.up = false })
}

// leaveWait is how long transport/controlserver runs on after a SIGTERM.
const leaveWait = 400 * ms

// TestSuccessorCountsInTime checks that a machine that is new or was wiped becomes a member within catch-up-s of its
// start, less a margin, for each way of replacing a member and with a broken or slow disk at another member.
func TestSuccessorCountsInTime(t *testing.T) {
	for _, n := range []int{5, 9} {
		bound := int64(catchUpSmall - catchUpMargin)
		if n == 9 {
			bound = catchUpGrown - catchUpMargin
		}
		for _, r := range replacements() {
			limit := min(bound, cmp.Or(r.within, bound))
			for phase := int64(0); phase < 300*ms; phase += 100 * ms { // start at different phases of the heartbeat interval
				b := settledCluster(t, n, 1, []byte("one"))
				r.disks(b, n)
				b.run(phase)
				took := b.untilMember(t, r.run(t, b, n))
				t.Logf("%d members, %s, phase %d ms: %d ms", n, r.name, phase/ms, took/ms)
				must.LessEq(t, limit, took, must.Sprintf("%d members, %s", n, r.name))
			}
		}
	}
}

// TestSuccessorTakesManyRoutes checks that a configuration with 350 more routes does not make a successor late.
func TestSuccessorTakesManyRoutes(t *testing.T) {
	body := make([]byte, 0, manyRoutes)
	for i := 0; len(body) < manyRoutes; i++ {
		body = fmt.Appendf(body, "[route.r%d]\nservice = \"s%d\"\ntimeout-ms = %d\n", i, i*7919%97, i*31%900)
	}
	b := settledCluster(t, 5, 1, body)
	b.kill(b.names[0], false)
	b.run(300 * ms)
	b.start(b.names[5], false)
	must.LessEq(t, catchUpSmall-catchUpMargin, b.untilMember(t, b.names[5]))
	must.Eq(t, string(body), string(b.read(b.names[5]).Body))
}

// lossScenario is a run of losses one after another, drawn from one seed.
type lossScenario struct {
	*cluster
	t        *testing.T
	rng      *rand.Rand
	budget   int    // machines that may be lost at a time
	catchUp  int64  // time that a successor may take, ns
	revision uint64 // the newest acknowledged
	spare    int    // index of the next machine that has not started
	started  int64  // start of the last successor
}

// checkCopies fails the test if the running members without the acknowledged revision on disk could form a majority.
func (p *lossScenario) checkCopies() {
	var newest register.Value
	for _, name := range p.names {
		if x := p.servers[name]; x.up && x.disk.CaughtUp && x.committed.Epoch >= newest.Epoch && len(x.committed.Members) > 0 {
			newest = x.committed
		}
	}
	others := 0
	for _, m := range newest.Members {
		x := p.servers[m]
		if x.up && x.saved != nil && x.saved.RegisterState.Value.Revision < p.revision {
			others++
		}
	}
	must.Less(p.t, len(newest.Members)/2+1, others, must.Sprintf("%d of %v don't hold revision %d", others, newest.Members, p.revision))
}

// runChecked advances time by d ns and calls checkCopies every 50 ms.
func (p *lossScenario) runChecked(d int64) {
	for end := p.now + d; p.now < end; {
		p.run(min(50*ms, end-p.now))
		p.checkCopies()
	}
}

// change stores the next revision at a random live controller.
func (p *lossScenario) change() {
	for {
		name := p.names[p.rng.IntN(len(p.names))]
		if x := p.servers[name]; x.up && x.disk.CaughtUp && !x.shuttingDown {
			p.putAcknowledged(p.t, name, p.revision+1, fmt.Append(nil, "revision ", p.revision+1))
			p.revision++
			return
		}
	}
}

// lose removes as many members as the budget allows, each in a random way, and starts their successors.
func (p *lossScenario) lose() {
	var members []string
	for _, name := range p.names {
		if x := p.servers[name]; x.up && x.disk.CaughtUp && slices.Contains(x.disk.Value.Members, name) {
			members = append(members, name)
		}
	}
	p.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, name := range members[:p.budget] {
		switch p.rng.IntN(3) {
		case 0: // the member is gone for good, and an empty machine replaces it
			p.kill(name, true)
			p.startLater(p.names[p.spare])
			p.spare++
		case 1: // the successor starts first, then the member shuts down
			p.start(p.names[p.spare], false)
			p.spare++
			p.started = max(p.started, p.now)
			p.after(300*ms+p.rng.Int64N(1500*ms), func() { p.leave(name) })
		case 2: // the member is wiped and starts again under the same address
			p.kill(name, true)
			p.startLater(name)
		}
	}
}

// startLater starts a successor 0.3 to 3 s from now.
func (p *lossScenario) startLater(name string) {
	wait := 300*ms + p.rng.Int64N(2700*ms)
	p.started = max(p.started, p.now+wait)
	p.after(wait, func() { p.start(name, false) })
}

// powerLoss stops all running machines at once, empties as many members' disks as the budget allows, and starts the
// machines again.
func (p *lossScenario) powerLoss() {
	var running []string
	for _, name := range p.names {
		if p.servers[name].up {
			running = append(running, name)
			p.kill(name, false)
		}
	}
	p.events = nil
	wiped := 0
	for _, i := range p.rng.Perm(len(running)) {
		if x := p.servers[running[i]]; wiped < p.budget && x.saved != nil && slices.Contains(x.saved.RegisterState.Value.Members, running[i]) {
			p.kill(running[i], true)
			wiped++
		}
	}
	p.run(500 * ms)
	for _, name := range running {
		p.start(name, false)
	}
	p.run(p.catchUp)
}

// TestSecondLossRightAfterRepair guards against a repair that takes longer than catch-up-s. It loses as many machines as
// the budget allows, three times, each right after the successors have had their catch-up-s. After each loss a change
// must be acknowledged, and at the end a read must return the newest one. In half of the runs the power fails everywhere
// right after the last acknowledgement, and as many disks are emptied as the budget allows.
func TestSecondLossRightAfterRepair(t *testing.T) {
	seeds := 200
	if testing.Short() {
		seeds = 12
	}
	for seed := range seeds {
		n, budget, catchUp := 5, 1, int64(catchUpSmall-catchUpMargin)
		if seed%8 == 7 {
			n, budget, catchUp = 9, 2, catchUpGrown-catchUpMargin
		}
		const losses = 3
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			p := &lossScenario{cluster: settledCluster(t, n, losses*budget, []byte("revision 1")), t: t, budget: budget, catchUp: catchUp,
				rng: rand.New(rand.NewPCG(uint64(seed), 49)), revision: 1, spare: n}
			for range losses {
				p.change()
				p.lose()
				p.runChecked(p.started + catchUp - p.now)
			}
			p.change()
			if seed%2 == 0 {
				p.powerLoss()
			}
			for _, name := range p.names {
				if x := p.servers[name]; x.up && x.disk.CaughtUp {
					a := p.read(name)
					must.Eq(t, fmt.Sprint("revision ", p.revision), string(a.Body))
					break
				}
			}
		})
	}
}

// TestLeavingMemberHeldTheCopy guards against the loss of an acknowledged revision that only a bare majority holds: one
// of that majority shuts down, and once its successor is a member another one loses its disk and all lose power.
func TestLeavingMemberHeldTheCopy(t *testing.T) {
	for _, wiped := range []int{0, 1} {
		b := settledCluster(t, 5, 1, []byte("one"))
		b.cut = func(_, to string) bool { return to == b.names[2] || to == b.names[3] }
		b.putAcknowledged(t, b.names[4], 2, []byte("two"))
		b.cut = nil
		for _, without := range []int{2, 3} {
			must.Eq(t, 1, b.servers[b.names[without]].disk.Value.Revision)
		}
		b.start(b.names[5], false)
		b.after(1000*ms, func() { b.leave(b.names[4]) })
		must.LessEq(t, catchUpSmall-catchUpMargin, b.untilMember(t, b.names[5]))
		b.run(leaveWait)
		b.kill(b.names[4], true)
		for i, name := range b.names {
			b.kill(name, i == wiped)
		}
		b.events = nil
		for i, name := range b.names {
			if i != 4 {
				b.start(name, false)
			}
		}
		b.run(catchUpSmall - catchUpMargin)
		for i, name := range b.names {
			if i != 4 {
				must.Eq(t, "two", string(b.read(name).Body), must.Sprint(name))
			}
		}
	}
}

// TestLeavingIsReplacedWhileItRuns checks that a newcomer replaces a member that shuts down while that one still runs,
// even if it is the first live member.
func TestLeavingIsReplacedWhileItRuns(t *testing.T) {
	for leaver := range 5 {
		b := settledCluster(t, 5, 1, []byte("one"))
		b.start(b.names[5], false)
		b.run(1000 * ms)
		b.leave(b.names[leaver])
		must.Less(t, leaveWait, b.untilMember(t, b.names[5]))
		must.True(t, b.servers[b.names[leaver]].up)
		b.run(3000 * ms)
		must.SliceLen(t, 5, b.servers[b.names[5]].committed.Members)
	}
}

// TestRemovedMemberComesBack guards against a member that was cut off and replaced meanwhile, and that still counts in a
// majority when it is back. It must confirm nothing while cut off, and a read through it must return the newest.
func TestRemovedMemberComesBack(t *testing.T) {
	b := settledCluster(t, 5, 1, []byte("one"))
	cutOff := b.names[4]
	b.cutOff(cutOff)
	b.run(1000 * ms)
	b.start(b.names[5], false)
	b.untilMember(t, b.names[5])
	b.putAcknowledged(t, b.names[1], 2, []byte("two"))
	put := b.put(cutOff, 3, "three")
	b.run(1000 * ms)
	must.Eq(t, 503, b.answers[put].Status)

	b.cut = nil
	b.carry(cutOff, b.servers[cutOff].AnnounceShutdown(b.now)) // so that it is not made a member again
	a := b.read(cutOff)
	must.Eq(t, 200, a.Status)
	must.SliceContains(t, []string{"two", "three"}, string(a.Body)) // the put that got 503 may be committed by now

	members := b.servers[b.names[5]].committed.Members
	must.SliceNotContains(t, members, cutOff)
	for _, name := range members[:3] {
		b.kill(name, false)
	}
	b.run(2000 * ms)
	for _, name := range []string{cutOff, members[3], members[4]} {
		put := b.put(name, 9, "nine")
		b.run(1000 * ms)
		must.Eq(t, 503, b.answers[put].Status, must.Sprint("two members and a removed one are no majority: ", name))
	}
}

// TestRestartAfterAThousandChanges checks a member that restarts after 1,000 changes with its up-to-date disk, with a
// disk that missed 900 of them, or with an empty one. It must be up to date within catch-up-s, a read through it must
// return the newest revision, and the ballots that its disk promised and accepted must not go back.
func TestRestartAfterAThousandChanges(t *testing.T) {
	const changes, missed = 1000, 900
	for _, disk := range []string{"its disk", "a disk that missed 900", "an empty disk"} {
		t.Run(disk, func(t *testing.T) {
			t.Parallel()
			b := settledCluster(t, 5, 2, []byte("one"))
			restarted := b.names[4]
			revision, spare := uint64(1), 5
			for i := range changes {
				if disk == "a disk that missed 900" && i == changes-missed {
					b.kill(restarted, false)
				}
				if i == 300 || i == 600 { // replace another member in between
					b.start(b.names[spare], false)
					b.run(300 * ms)
					b.leave(b.names[spare-4])
					b.untilMember(t, b.names[spare])
					spare++
				}
				revision++
				b.putAcknowledged(t, b.names[0], revision, fmt.Append(nil, "revision ", revision))
			}
			b.kill(restarted, disk == "an empty disk")
			var before register.State
			if x := b.servers[restarted]; x.saved != nil {
				before = x.saved.RegisterState
			}
			b.run(500 * ms)
			b.start(restarted, false)
			begun := b.now
			for b.servers[restarted].committed.Revision < revision || !b.servers[restarted].disk.CaughtUp || b.servers[restarted].saved == nil {
				b.run(measureStep)
				must.LessEq(t, catchUpSmall-catchUpMargin, b.now-begun, must.Sprint(disk))
			}
			t.Logf("%s: up to date after %d ms", disk, (b.now-begun)/ms)
			must.Eq(t, fmt.Sprint("revision ", revision), string(b.read(restarted).Body))
			state := b.servers[restarted].disk.State
			must.GreaterEq(t, 0, state.Promised.Compare(before.Promised))
			must.GreaterEq(t, 0, state.Accepted.Compare(before.Accepted))
			revision++
			b.putAcknowledged(t, restarted, revision, fmt.Append(nil, "revision ", revision))
		})
	}
}

// TestJoinedTellsAllMembers checks that a machine that knew only the seeds sends a heartbeat to all members as soon as
// its disk has caught up.
func TestJoinedTellsAllMembers(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	c := New(0, Options{IP: "n", Incarnation: "1", Seeds: members[2:], ReplicaHeartbeatInterval: 1000 * ms, Random: func() float64 { return 0 }})
	o := c.Tick(ms)
	ask := c.joiner.Request()
	state := register.State{Promised: ask.Ballot, Value: register.Value{Members: members, Revision: 1, Body: []byte("one")}}
	for _, from := range members[2:] {
		o = c.HandleMessage(20*ms, Message{From: from, Register: &register.Message{Kind: register.Promised, Ballot: ask.Ballot, State: state}})
	}
	must.True(t, c.disk.CaughtUp)
	must.NotNil(t, o.Save)
	o = c.Tick(21 * ms)
	i := slices.IndexFunc(o.Sends, func(s Send) bool { return s.Message.Heartbeat != nil })
	must.GreaterEq(t, 0, i)
	must.True(t, o.Sends[i].Message.Heartbeat.CaughtUp)
	must.Eq(t, members, o.Sends[i].To)
}
