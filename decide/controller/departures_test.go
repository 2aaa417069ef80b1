package controller

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"willowsill/decide/registry"
)

// Tests of how long an acknowledged departure lasts.

func readyReplica(id string) registry.Record {
	return registry.Record{ID: id, Service: "s", Address: "a:" + id, Seq: 1}
}

func drainingReplica(id string) registry.Record {
	r := readyReplica(id)
	r.Phase, r.Seq = registry.Draining, 2
	return r
}

// phases are what each controller's list says of a replica.
func (b *cluster) phases(id string) (phases []registry.Phase) {
	for _, name := range b.names {
		r, _ := b.servers[name].Controller.replicas.Get(id)
		phases = append(phases, r.Phase)
	}
	return phases
}

// untilAnswered plays on until a call is answered, and returns the status.
func (b *cluster) untilAnswered(id uint64) int {
	b.runUntil(1500*ms, func() bool { return b.answers[id].Status != 0 })
	return b.answers[id].Status
}

// TestAcknowledgedDrainOutlivesPower: all controllers lose power in the millisecond in which a drain was
// acknowledged, two of their disks having missed it or one having been emptied. Afterwards all lists have it.
func TestAcknowledgedDrainOutlivesPower(t *testing.T) {
	for at := range 5 {
		for _, trouble := range []string{"none", "two stuck disks", "one emptied disk"} {
			b := newCluster(t, 5)
			b.run(4000 * ms)
			b.replicaCall(b.names[0], readyReplica("i-1"))
			b.run(1500 * ms)
			if trouble == "two stuck disks" {
				b.servers[b.names[(at+1)%5]].stuck, b.servers[b.names[(at+2)%5]].stuck = true, true
			}
			b.replicaCall(b.names[at], readyReplica("i-2")) // the list has just been saved
			b.run(recordBatchInterval + 80*ms)
			must.Eq(t, 200, b.untilAnswered(b.replicaCall(b.names[at], drainingReplica("i-1"))))
			for _, name := range b.names {
				b.servers[name].stuck = false
			}
			if trouble == "one emptied disk" {
				b.servers[b.names[at]].saved, b.servers[b.names[at]].savedReplicas = nil, nil
			}
			b.restartAll()
			for i, phase := range b.phases("i-1") {
				must.Eq(t, registry.Draining, phase, must.Sprint(trouble, ", acknowledged by ", at, ", list of ", i))
			}
		}
	}
}

// TestDrainsShareASave: many replicas that leave at once are acknowledged soon, by few saves.
func TestDrainsShareASave(t *testing.T) {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	const replicas = 60
	for i := range replicas {
		b.replicaCall(b.names[i%5], readyReplica(fmt.Sprint("i-", i)))
	}
	b.run(1500 * ms)
	before := b.servers[b.names[0]].lastSave
	var calls []uint64
	for i := range replicas {
		calls = append(calls, b.replicaCall(b.names[i%5], drainingReplica(fmt.Sprint("i-", i))))
		b.run(ms)
	}
	b.run(150 * ms)
	for _, id := range calls {
		must.Eq(t, 200, b.answers[id].Status)
	}
	must.LessEq(t, 5, b.servers[b.names[0]].lastSave-before) // one each leaversSaveEvery
}

// TestDrainBesideStuckDisks: a disk that answers nothing, also the own one, holds no departure up; where no majority
// of disks answers, the call ends with 503.
func TestDrainBesideStuckDisks(t *testing.T) {
	for stuck, status := range []int{200, 200, 200, 503} {
		b := newCluster(t, 5)
		b.run(4000 * ms)
		b.replicaCall(b.names[0], readyReplica("i-1"))
		b.run(1500 * ms)
		for i := range stuck {
			b.servers[b.names[i]].stuck = true
		}
		must.Eq(t, status, b.untilAnswered(b.replicaCall(b.names[0], drainingReplica("i-1"))), must.Sprint(stuck, " disks are stuck"))
	}
}

// TestDrainWaitsForASaveThatSucceeds: a disk that refuses the list is asked again, and nothing is acknowledged before.
func TestDrainWaitsForASaveThatSucceeds(t *testing.T) {
	c := New(0, Options{IP: "a", Incarnation: "1", Seeds: []string{"a"}, Bootstrap: true, ReplicaHeartbeatInterval: 1000 * ms, Random: func() float64 { return 0 }})
	first := c.Tick(ms)
	c.SaveFinished(2*ms, first.Save.Number, nil)
	now := 3000 * ms
	c.Tick(int64(now))
	asked := c.HandleReplicaCall(int64(now), 1, drainingReplica("i-1"))
	must.SliceEmpty(t, asked.Answers)
	must.NotNil(t, asked.Save)
	must.SliceLen(t, 1, asked.Save.Replicas)
	failed := c.SaveFinished(int64(now)+ms, asked.Save.Number, errors.New("full"))
	must.SliceEmpty(t, failed.Answers)
	again := c.Tick(int64(now) + ms + saveRetryDelay)
	must.NotNil(t, again.Save)
	must.SliceLen(t, 1, again.Save.Replicas)
	must.SliceEmpty(t, again.Answers)
	saved := c.SaveFinished(int64(now)+5*ms+saveRetryDelay, again.Save.Number, nil)
	must.Eq(t, []Answer{{Call: 1, Status: 200}}, saved.Answers)
	repeated := drainingReplica("i-1")
	repeated.Seq++
	must.Eq(t, []Answer{{Call: 2, Status: 200}}, c.HandleReplicaCall(int64(now)+10*ms+saveRetryDelay, 2, repeated).Answers)
}

// TestListThatWasNotSavedIsSavedAgain: also where nobody waits for it.
func TestListThatWasNotSavedIsSavedAgain(t *testing.T) {
	c := New(0, Options{IP: "a", Incarnation: "1", Seeds: []string{"a"}, Bootstrap: true, ReplicaHeartbeatInterval: 1000 * ms, Random: func() float64 { return 0 }})
	first := c.Tick(ms)
	c.SaveFinished(2*ms, first.Save.Number, nil)
	now := int64(3000 * ms)
	c.Tick(now)
	told := c.HandleReplicaCall(now, 1, readyReplica("i-1"))
	must.NotNil(t, told.Save)
	must.SliceLen(t, 1, told.Save.Replicas)
	c.SaveFinished(now+ms, told.Save.Number, errors.New("full"))
	var again *Save
	for at := now + ms; at < now+2000*ms && (again == nil || again.Replicas == nil); at += ms {
		if out := c.Tick(at); out.Save != nil {
			again = out.Save
			c.SaveFinished(at, again.Number, nil)
		}
	}
	must.NotNil(t, again)
	must.SliceLen(t, 1, again.Replicas)
}

// TestDepartureIsLearnedByOneThatMissedIt: a departure that is told once is missed by a controller that was cut off, that
// cannot be reached from the one that took it, or that lost the word. It learns of it soon after, also from others.
func TestDepartureIsLearnedByOneThatMissedIt(t *testing.T) {
	for name, c := range map[string]struct {
		oneLink   bool // the two do not reach each other, and that lasts; else the one is cut off from all, and joined again
		takerLost bool // before the other one is joined again
	}{
		"cut off from all":               {},
		"cut off, and the taker is lost": {takerLost: true},
		"not reached from the taker":     {oneLink: true},
	} {
		for _, phase := range []registry.Phase{registry.Draining, registry.Gone} {
			b := newCluster(t, 5)
			taker, missing := b.names[0], b.names[4]
			b.run(4000 * ms)
			b.replicaCall(taker, readyReplica("i-1"))
			b.run(1500 * ms)
			b.cutOff(missing)
			if c.oneLink {
				b.cut = func(from, to string) bool { return from == taker && to == missing }
			}
			b.run(800 * ms)
			r := drainingReplica("i-1")
			r.Phase = phase
			must.Eq(t, 200, b.untilAnswered(b.replicaCall(taker, r)))
			b.run(1800 * ms)
			b.servers[taker].up = !c.takerLost
			if !c.oneLink {
				must.False(t, b.servers[missing].InContact())
				b.cut = nil
				b.runUntil(4000*ms, b.servers[missing].InContact)
				b.run(1000 * ms)
			}
			must.Eq(t, phase, b.phases("i-1")[4], must.Sprint(name))
		}
	}
}

// TestListsThatAgreeAskNothing: while nothing is lost, no controller asks another one for replicas that leave, neither as they
// leave nor as they are forgotten.
func TestListsThatAgreeAskNothing(t *testing.T) {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	asked := 0
	b.tamper = func(_ int, w *Message) (int, int64) {
		if w.WantLeaving != nil {
			asked++
		}
		return 1, 0
	}
	stays := func(d int64) { // one replica stays: a list without any is asked for whole
		for end := b.now + d; b.now < end; {
			b.replicaCall(b.names[0], registry.Record{ID: "i-stays", Service: "s", Address: "a:1", Seq: uint64(b.now / ms)})
			b.run(min(1000*ms, end-b.now))
		}
	}
	for i := range 40 {
		id := fmt.Sprint("i-", i)
		b.replicaCall(b.names[i%5], readyReplica(id))
		stays(150 * ms)
		b.replicaCall(b.names[(i+1)%5], drainingReplica(id))
		stays(int64(800+i) * ms)
		gone := drainingReplica(id)
		gone.Phase, gone.Seq = registry.Gone, 3
		b.replicaCall(b.names[(i+2)%5], gone)
	}
	stays(200 * ms)
	must.Eq(t, 40, b.servers[b.names[4]].Controller.replicas.Phases()[registry.Gone])
	stays(goneRetention + 5000*ms)
	must.Eq(t, 0, b.servers[b.names[4]].Controller.replicas.Phases()[registry.Gone])
	must.Eq(t, 0, asked)
}

// TestLeavingBesideAnOlderVersion: a controller that says nothing of the replicas that leave is asked for none.
func TestLeavingBesideAnOlderVersion(t *testing.T) {
	b := newCluster(t, 3)
	b.run(4000 * ms)
	older, asked := b.names[2], 0
	b.tamper = func(_ int, w *Message) (int, int64) {
		if w.From == older && w.Heartbeat != nil {
			h := *w.Heartbeat
			h.LeavingSum = nil
			w.Heartbeat = &h
		}
		if w.From != older && w.WantLeaving != nil {
			asked++
		}
		return 1, 0
	}
	b.cut = func(_, to string) bool { return to == older }
	b.replicaCall(b.names[0], readyReplica("i-1"))
	must.Eq(t, 200, b.untilAnswered(b.replicaCall(b.names[0], drainingReplica("i-1"))))
	b.cut = nil
	b.run(3000 * ms)
	must.Eq(t, 0, asked)
	must.Eq(t, []registry.Phase{registry.Draining, registry.Draining, registry.Draining}, b.phases("i-1"))
}

// TestDrainsByLot: replicas leave while controllers are killed, stuck, cut off or lose power together. Whatever was
// acknowledged is in every list at the end.
func TestDrainsByLot(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 3))
		b := newCluster(t, 5)
		b.run(3500 * ms)
		on := true
		disturbMessages(b, random, &on)
		left := map[uint64]string{}
		for i := range 12 {
			id := fmt.Sprint("i-", i)
			b.replicaCall(b.names[i%5], readyReplica(id))
		}
		b.run(700 * ms)
		for i := range 12 {
			name := b.names[random.IntN(5)]
			if x := b.servers[name]; x.up {
				id := fmt.Sprint("i-", i)
				left[b.replicaCall(name, drainingReplica(id))] = id
			}
			b.run(int64(random.IntN(120)) * ms)
			other := b.servers[b.names[random.IntN(5)]]
			switch random.IntN(8) {
			case 0:
				other.up = false
			case 1:
				other.stuck = !other.stuck
			case 2:
				b.cutOff(name)
			case 3:
				b.cut = nil
			case 4:
				for _, down := range b.names {
					if !b.servers[down].up {
						b.servers[down].stuck = false
						b.start(down, false)
					}
				}
			}
		}
		for _, name := range b.names {
			b.servers[name].stuck = false
		}
		on, b.cut = false, nil
		b.restartAll()
		for call, id := range left {
			if b.answers[call].Status != 200 {
				continue
			}
			for i, phase := range b.phases(id) {
				if phase != registry.Draining && phase != registry.Gone {
					r.Fatalf("%s was acknowledged as leaving; the list of %d has it in phase %d", id, i, phase)
				}
			}
		}
	})
}
