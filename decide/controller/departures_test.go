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

// These tests check that an acknowledged departure is neither lost nor missed by a controller.

func readyReplica(id string) registry.Record {
	return registry.Record{ID: id, Service: "s", Address: "a:" + id, Seq: 1}
}

func drainingReplica(id string) registry.Record {
	r := readyReplica(id)
	r.Phase, r.Seq = registry.Draining, 2
	return r
}

// phases returns a replica's phase in the list of each controller.
func (b *cluster) phases(id string) (phases []registry.Phase) {
	for _, name := range b.names {
		r, _ := b.servers[name].Controller.replicas.Get(id)
		phases = append(phases, r.Phase)
	}
	return phases
}

// untilAnswered advances time until a call is answered and returns the status, 0 if there is no answer after 1.5 s.
func (b *cluster) untilAnswered(id uint64) int {
	b.runUntil(1500*ms, func() bool { return b.answers[id].Status != 0 })
	return b.answers[id].Status
}

// TestAcknowledgedDrainOutlivesPower guards against an acknowledged departure that is forgotten: all controllers lose
// power in the millisecond of the acknowledgement, while two disks are stuck or one is emptied. Afterwards all lists
// must have the departure.
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
			b.replicaCall(b.names[at], readyReplica("i-2")) // makes the list be saved just before the departure
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

// TestDrainsShareASave checks that many replicas that leave at once are acknowledged soon and with few saves.
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
	must.LessEq(t, 5, b.servers[b.names[0]].lastSave-before) // a save every departureSaveInterval
}

// TestDrainBesideStuckDisks checks that stuck disks, including that of the called controller, delay no departure as long
// as a majority of disks works, and that the call otherwise ends with 503.
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

// TestDrainWaitsForASaveThatSucceeds checks that a failed save of the list is repeated, and that a departure is
// acknowledged only after the save that succeeds.
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

// TestListThatWasNotSavedIsSavedAgain checks that a failed save of the list is repeated even if no departure waits for
// it.
func TestListThatWasNotSavedIsSavedAgain(t *testing.T) {
	c := New(0, Options{IP: "a", Incarnation: "1", Seeds: []string{"a"}, Bootstrap: true, ReplicaHeartbeatInterval: 1000 * ms, Random: func() float64 { return 0 }})
	first := c.Tick(ms)
	c.SaveFinished(2*ms, first.Save.Number, nil)
	now := int64(3000 * ms)
	c.Tick(now)
	heartbeat := c.HandleReplicaCall(now, 1, readyReplica("i-1"))
	must.NotNil(t, heartbeat.Save)
	must.SliceLen(t, 1, heartbeat.Save.Replicas)
	c.SaveFinished(now+ms, heartbeat.Save.Number, errors.New("full"))
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

// TestDepartureIsLearnedByOneThatMissedIt guards against a controller that holds a departed replica as ready, because it
// was cut off or unreachable from the acknowledging controller when the departure was sent. It must learn of the
// departure soon, even if the acknowledging controller is gone.
func TestDepartureIsLearnedByOneThatMissedIt(t *testing.T) {
	for name, c := range map[string]struct {
		oneLink   bool // only messages from taker to missing are lost, for good; else missing is cut off for a while
		takerLost bool // taker dies before missing is reconnected
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

// TestListsThatAgreeAskNothing checks that, while no message is lost, no controller requests records of leaving
// replicas, neither when replicas leave nor when the lists forget them.
func TestListsThatAgreeAskNothing(t *testing.T) {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	asked := 0
	b.tamper = func(_ int, message *Message) (int, int64) {
		if message.WantLeaving != nil {
			asked++
		}
		return 1, 0
	}
	stays := func(d int64) { // keeps one replica alive, because a controller with an empty list requests whole lists
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

// TestLeavingBesideAnOlderVersion checks that a controller of the previous version, whose heartbeats carry no sum of the
// leaving replicas, gets no request for them.
func TestLeavingBesideAnOlderVersion(t *testing.T) {
	b := newCluster(t, 3)
	b.run(4000 * ms)
	older, asked := b.names[2], 0
	b.tamper = func(_ int, message *Message) (int, int64) {
		if message.From == older && message.Heartbeat != nil {
			h := *message.Heartbeat
			h.LeavingSum = nil
			message.Heartbeat = &h
		}
		if message.From != older && message.WantLeaving != nil {
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

// TestDrainsByLot lets replicas leave in random runs, while controllers are killed, cut off or have stuck disks, and all
// lose power in the end. Every acknowledged departure must be in every list afterwards.
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
					r.Fatalf("the departure of %s was acknowledged, but controller %d has it in phase %d", id, i, phase)
				}
			}
		}
	})
}
