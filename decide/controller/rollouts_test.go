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

// newRolloutCluster returns a cluster of five members with a configuration that defines the service s.
func newRolloutCluster(t *testing.T) *cluster {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	id := b.put(b.names[0], 7, rolloutConfiguration)
	b.run(500 * ms)
	must.Eq(t, statusOK, b.answers[id].Status)
	return b
}

// ask makes a call about rollouts at a controller and returns the answer.
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

// TestRolloutOrders checks the answers to orders of rollouts: any controller acknowledges an order, also when it is sent
// again; a second rollout of the service is a conflict; an order for an unknown service is refused.
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

// TestRolloutSurvives guards against an acknowledged rollout that is lost when all controllers lose power at once and one
// loses its disk.
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

// TestRolloutIsToldAfterARestart checks that a controller that restarts sends its edges the rollouts that it knew to be
// committed, before it has reached any other controller.
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

// TestRolloutWithoutAMajority checks that a rollout is not acknowledged while no majority answers.
func TestRolloutWithoutAMajority(t *testing.T) {
	b := newRolloutCluster(t)
	b.cutOff(b.names[2])
	must.Eq(t, statusUnavailable, b.begin(b.names[2], "s", "v2").Status)
}

// sendEdgeReports sends a controller the reports of its edges, one for each recorder, with the recorder's evidence.
func (b *cluster) sendEdgeReports(upstream string, recorders []*rollout.Recorder) {
	x := b.servers[upstream]
	for i, r := range recorders {
		r.Watch(x.edgeState.Rollouts, rolloutReplicas())
		b.carry(upstream, x.HandleEdgeReport(b.now, EdgeReport{Edge: clusterstate.Edge{IP: fmt.Sprint("10.1.0.", i), Zone: "z"}, Rollouts: r.Evidence()}))
	}
}

func rolloutReplicas() (all []rollout.Replica) {
	for i := range 4 {
		all = append(all, rollout.Replica{ID: fmt.Sprint("old", i), Service: "s", Version: "v1"}, rollout.Replica{ID: fmt.Sprint("new", i), Service: "s", Version: "v2"})
	}
	return all
}

// runRollout runs a rollout to its end and returns it. All edges are connected to the controller upstream. Of every ten
// answers of the new version, failing ones are errors. If kill is true, the first live member is killed after each step
// of the rollout.
func runRollout(t *testing.T, b *cluster, upstream string, failing int, kill bool) rollout.Rollout {
	var recorders []*rollout.Recorder
	for incarnation := range uint64(6) {
		recorders = append(recorders, rollout.NewRecorder(incarnation))
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
				newest, known := b.servers[upstream].edgeState.Rollouts.NewestOf("s")
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
		b.sendEdgeReports(upstream, recorders)
		b.run(300 * ms)
		committed := b.servers[upstream].Rollouts()
		r, _ := committed.NewestOf("s")
		if r.Phase != rollout.Active {
			return r
		}
		if firstLive := b.servers[upstream].firstLiveMember(); kill && r.Step > step && firstLive != upstream {
			if step = r.Step; killed != "" {
				b.start(killed, false)
			}
			killed = firstLive
			b.servers[firstLive].up = false
		}
	}
	r, _ := b.servers[upstream].Rollouts().NewestOf("s")
	return r
}

// TestRolloutIsCarriedOn checks that the rollout of a good version completes and that of a bad one is reverted, even if
// the first live member, which runs the rollout, dies after each step.
func TestRolloutIsCarriedOn(t *testing.T) {
	for _, failing := range []int{0, 5} {
		for _, kill := range []bool{false, true} {
			b := newRolloutCluster(t)
			must.Eq(t, statusOK, b.begin(b.names[2], "s", "v2").Status)
			r := runRollout(t, b, b.names[4], failing, kill)
			want := rollout.Complete
			if failing > 0 {
				want = rollout.Reverted
			}
			must.Eq(t, want, r.Phase, must.Sprint("failing ", failing, " kill ", kill, ": ", r.Reason))
		}
	}
}
