package controller

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

const rolloutConfiguration = `{"revision":7,"routes":[{"name":"r","host":"h","path-prefix":"/","deadline-ms":900,"service":"s"}],"services":[{"name":"s"}]}`

// newRolloutCluster is a cluster with a configuration that names the service s.
func newRolloutCluster(t *testing.T) *cluster {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	id := b.put(b.names[0], 7, rolloutConfiguration)
	b.run(500 * ms)
	must.Eq(t, statusOK, b.answers[id].Status)
	return b
}

// ask puts a call about rollouts to a controller and waits for its answer.
func (b *cluster) ask(name string, call func(c *Controller, id uint64) Effects) Answer {
	b.calls++
	id := b.calls
	b.carry(name, call(b.servers[name].Controller, id))
	b.runUntil(1500*ms, func() bool { return b.answers[id].Status != 0 })
	return b.answers[id]
}

func (b *cluster) begin(name, service, target string) Answer {
	return b.ask(name, func(c *Controller, id uint64) Effects {
		return c.BeginRollout(b.now, id, rollout.Order{Service: service, Target: target, OverMs: 12000})
	})
}

func (b *cluster) readRollout(name, service string) Answer {
	return b.ask(name, func(c *Controller, id uint64) Effects { return c.ReadRollout(b.now, id, service) })
}

// TestRolloutOrders: an order is acknowledged by any controller, again when it is sent again, in conflict with another one
// that is active; one for a service that nobody knows is refused.
func TestRolloutOrders(t *testing.T) {
	b := newRolloutCluster(t)
	must.Eq(t, statusNotFound, b.readRollout(b.names[0], "s").Status)
	must.Eq(t, statusOK, b.begin(b.names[1], "s", "v2").Status)
	must.Eq(t, statusOK, b.begin(b.names[3], "s", "v2").Status)
	must.Eq(t, statusConflict, b.begin(b.names[2], "s", "v3").Status)
	must.Eq(t, statusUnprocessable, b.begin(b.names[2], "nobody", "v2").Status)
	read := b.readRollout(b.names[4], "s")
	must.Eq(t, statusOK, read.Status)
	must.Eq(t, rollout.Active, read.Rollouts[0].Phase)
	aborted := b.ask(b.names[2], func(c *Controller, id uint64) Effects { return c.AbortRollout(b.now, id, "s") })
	must.Eq(t, rollout.Reverted, aborted.Rollouts[0].Phase)
	must.Eq(t, statusOK, b.begin(b.names[2], "s", "v3").Status)
	all := b.ask(b.names[0], func(c *Controller, id uint64) Effects { return c.ListRollouts(b.now, id) })
	must.SliceLen(t, 2, all.Rollouts)
}

// TestRolloutSurvives: an acknowledged rollout is there after all controllers lost power at once and one its disk, and what
// followers are told never goes back.
func TestRolloutSurvives(t *testing.T) {
	for wiped := range 5 {
		b := newRolloutCluster(t)
		must.Eq(t, statusOK, b.begin(b.names[2], "s", "v2").Status)
		b.restartAllWipingOne(wiped)
		read := b.readRollout(b.names[(wiped+1)%5], "s")
		must.Eq(t, statusOK, read.Status)
		must.Eq(t, "v2", read.Rollouts[0].Order.Target)
	}
}

// TestRolloutIsToldAfterARestart: a controller that starts again tells its followers of a rollout that it knew to be
// committed before it has reached the others, as it does of the configuration.
func TestRolloutIsToldAfterARestart(t *testing.T) {
	b := newRolloutCluster(t)
	must.Eq(t, statusOK, b.begin(b.names[0], "s", "v2").Status)
	b.run(1000 * ms)
	for _, n := range b.names {
		b.servers[n].up = false
	}
	b.events = nil
	b.start(b.names[1], false)
	must.SliceLen(t, 1, b.servers[b.names[1]].Snapshot().Rollouts.Rollouts)
}

// TestRolloutWithoutAMajority: where no majority answers nothing is acknowledged.
func TestRolloutWithoutAMajority(t *testing.T) {
	b := newRolloutCluster(t)
	b.cutOff(b.names[2])
	must.Eq(t, statusUnavailable, b.begin(b.names[2], "s", "v2").Status)
}

// edgesOf reports for edges that follow a controller, each with the evidence that it would have.
func (b *cluster) edgesReport(feeder string, recorders []*rollout.Recorder) {
	x := b.servers[feeder]
	for i, r := range recorders {
		r.Watch(x.edgeState.Rollouts, rolloutReplicas())
		b.carry(feeder, x.HandleEdgeReport(b.now, EdgeReport{Edge: clusterstate.Edge{IP: fmt.Sprint("10.1.0.", i), Zone: "z"}, Rollouts: r.Evidence()}))
	}
}

func rolloutReplicas() (all []rollout.Replica) {
	for i := range 4 {
		all = append(all, rollout.Replica{ID: fmt.Sprint("old", i), Service: "s", Version: "v1"}, rollout.Replica{ID: fmt.Sprint("new", i), Service: "s", Version: "v2"})
	}
	return all
}

// playRollout plays a rollout to its end: the edges follow feeder, a share of the new version's answers fails, and the
// controller that holds the duty is killed as often as the rollout takes a step, where kill says so.
func playRollout(t *testing.T, b *cluster, feeder string, failing int, kill bool) rollout.Rollout {
	var recorders []*rollout.Recorder
	for life := range uint64(6) {
		recorders = append(recorders, rollout.NewRecorder(life))
	}
	seq, step, killed := uint64(0), uint64(0), ""
	for round := range 400 {
		if round%3 == 0 {
			seq++
			for i, r := range rolloutReplicas() {
				b.replicaCall(b.names[1+i%3], registry.Record{ID: r.ID, Service: "s", Version: r.Version, Address: "a:" + r.ID, Zone: "z", Capacity: 2, Seq: seq})
			}
		}
		for e, r := range recorders {
			for i, replica := range rolloutReplicas() {
				newest, known := b.servers[feeder].edgeState.Rollouts.NewestOf("s")
				if !known || !newest.Admits(fmt.Sprint("10.1.0.", e), replica.ID, replica.Version) || !r.Sent(replica.ID) {
					continue
				}
				outcome := rollout.Answered
				if replica.Version == "v2" && (round+i+e)%10 < failing {
					outcome = rollout.Failed
				}
				r.Ended(replica.ID, 1, outcome, 20*ms)
			}
		}
		b.edgesReport(feeder, recorders)
		b.run(300 * ms)
		stands := b.servers[feeder].Rollouts()
		r, _ := stands.NewestOf("s")
		if r.Phase != rollout.Active {
			return r
		}
		if holder := b.servers[feeder].firstLiveMember(); kill && r.Step > step && holder != feeder {
			if step = r.Step; killed != "" {
				b.start(killed, false)
			}
			killed = holder
			b.servers[holder].up = false
		}
	}
	r, _ := b.servers[feeder].Rollouts().NewestOf("s")
	return r
}

// TestRolloutIsCarriedOn: a good version comes to be complete and a bad one to be reverted, also where the controller that
// holds the duty dies after each step.
func TestRolloutIsCarriedOn(t *testing.T) {
	for _, failing := range []int{0, 5} {
		for _, kill := range []bool{false, true} {
			b := newRolloutCluster(t)
			must.Eq(t, statusOK, b.begin(b.names[2], "s", "v2").Status)
			r := playRollout(t, b, b.names[4], failing, kill)
			want := rollout.Complete
			if failing > 0 {
				want = rollout.Reverted
			}
			must.Eq(t, want, r.Phase, must.Sprint("failing ", failing, " kill ", kill, ": ", r.Reason))
		}
	}
}
