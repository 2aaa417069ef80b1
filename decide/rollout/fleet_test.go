package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// Drawn rollouts of a whole fleet in virtual time: edges that send, replicas of both versions that answer well or badly,
// evidence that reaches the manager late and at times not at all.

const (
	fleetEdges    = 24
	fleetReplicas = 8
	perTick       = 3        // requests of the fleet a tick
	fleetTick     = 10 * ms  // so 300 requests a second
	reportTicks   = 30       // between two reports of an edge
	reportLost    = 0.1      // of the reports
	newReady      = 700 * ms // after the order
	fleetEnd      = 40000 * ms
	usualWork     = 20 * ms
	usualFailures = 0.005
)

// badness is how a version is bad.
type badness struct {
	name    string
	share   float64 // of its answers
	slow    float64 // times as long, 0 for failing
	from    int64   // ns after the order
	route   uint32  // alone, 0 for all
	trouble bool    // not the version: something that strikes both
}

// fleet is one drawn rollout.
type fleet struct {
	draw      *rand.Rand
	now       int64
	set       Set
	manager   *Manager
	recorders []*Recorder
	replicas  []Replica
	bad       badness

	toTarget, all, badAnswers int
	trial                     int // of the target version's requests, those before it got more than its trial
}

func newFleet(seed uint64, bad badness, terms Bounds) *fleet {
	f := &fleet{draw: rand.New(rand.NewPCG(seed, 1)), now: 1000 * ms, manager: NewManager(terms), bad: bad}
	f.set, _, _ = Set{}.Begin(order)
	for i := range fleetReplicas {
		f.replicas = append(f.replicas, Replica{ID: fmt.Sprint("old", i), Service: "s", Version: "v1"}, Replica{ID: fmt.Sprint("new", i), Service: "s", Version: "v2"})
	}
	for e := range fleetEdges {
		r := NewRecorder(seed + uint64(e))
		r.Watch(f.set, f.replicas)
		f.recorders = append(f.recorders, r)
	}
	f.manager.Apply(f.now, f.set)
	return f
}

// request is one request of a drawn edge on a drawn route to a replica that is open to it.
func (f *fleet) request(began int64) {
	e := f.draw.IntN(fleetEdges)
	rollout, _ := f.set.NewestOf("s")
	var open []Replica
	for _, r := range f.replicas {
		if (r.Version == "v1" || f.now-began >= newReady) && rollout.Admits(fmt.Sprint("edge", e), r.ID, r.Version) {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		return
	}
	r := open[f.draw.IntN(len(open))]
	route := uint32(1 + f.draw.IntN(3)/2)
	f.all++
	took, failed := int64(usualWork*(0.5+f.draw.ExpFloat64())), f.draw.Float64() < usualFailures
	strikes := f.now-began >= f.bad.from && f.draw.Float64() < f.bad.share && (f.bad.route == 0 || f.bad.route == route)
	if r.Version == "v2" {
		f.toTarget++
	}
	if strikes && (r.Version == "v2" || f.bad.trouble) {
		f.badAnswers++
		if failed = f.bad.slow == 0; !failed {
			took = int64(float64(took) * f.bad.slow)
		}
	}
	if !f.recorders[e].Sent(r.ID) {
		return
	}
	outcome := Answered
	if failed {
		outcome = Failed
	}
	f.recorders[e].Ended(r.ID, route, outcome, took)
}

// play plays until the rollout has ended, and returns it.
func (f *fleet) play() Rollout {
	began := f.now
	for tick := 0; f.now-began < fleetEnd; tick++ {
		for range perTick {
			f.request(began)
		}
		for e, r := range f.recorders {
			if (tick+e)%reportTicks == 0 && f.draw.Float64() >= reportLost {
				f.manager.Report(f.now, fmt.Sprint("edge", e), r.Evidence())
			}
		}
		rollout, _ := f.set.NewestOf("s")
		ready := Replicas{Others: fleetReplicas}
		if f.now-began >= newReady {
			ready.Target, ready.Warm = fleetReplicas, fleetReplicas
		}
		for _, c := range f.manager.Decide(f.now, Facts{Replicas: map[uint64]Replicas{rollout.Number: ready}}) {
			if c.Stage == stageMost && f.trial == 0 {
				f.trial = f.toTarget
			}
			f.set, _ = f.set.Apply(c)
			for _, r := range f.recorders {
				r.Watch(f.set, f.replicas)
			}
			f.manager.Apply(f.now, f.set)
		}
		if rollout, _ = f.set.NewestOf("s"); rollout.Phase != Active {
			return rollout
		}
		f.now += fleetTick
	}
	rollout, _ := f.set.NewestOf("s")
	return rollout
}

// TestVerdicts draws rollouts of good versions, some of them while both versions are in trouble, and of bad ones of each kind.
// No good one is reverted; each bad one is, before it got more than the rules' share (a tenth and 50 requests).
func TestVerdicts(t *testing.T) {
	seeds := uint64(12)
	if testing.Short() {
		seeds = 4
	}
	for _, bad := range []badness{
		{name: "good"},
		{name: "burst strikes both", share: 0.4, slow: 4, from: 3000 * ms, trouble: true},
		{name: "burst at the switch", share: 0.4, slow: 4, from: 11300 * ms, trouble: true},
		{name: "failures strike both", share: 0.2, from: 4000 * ms, trouble: true},
		{name: "fails", share: 0.5},
		{name: "fails now and then", share: 0.15},
		{name: "slow", share: 0.5, slow: 5},
		{name: "late", share: 0.4, from: 6000 * ms},
		{name: "on one route", share: 0.5, route: 2},
	} {
		t.Run(bad.name, func(t *testing.T) {
			for seed := range seeds {
				f := newFleet(100*seed, bad, Bounds{})
				r := f.play()
				if bad.share == 0 || bad.trouble {
					must.Eq(t, Complete, r.Phase, must.Sprint("seed ", seed, ": ", r.Reason))
					continue
				}
				must.Eq(t, Reverted, r.Phase, must.Sprint("seed ", seed, ": ", r.Reason))
				term := int(order.OverMs*ms/fleetTick) * perTick
				must.LessEq(t, term/10+50, f.toTarget, must.Sprint("seed ", seed, ": ", r.Reason))
			}
		})
	}
}

// TestAGoodVersionIsInTime: it is complete before its term.
func TestAGoodVersionIsInTime(t *testing.T) {
	f := newFleet(7, badness{}, Bounds{})
	began := f.now
	must.Eq(t, Complete, f.play().Phase)
	must.LessEq(t, order.OverMs*ms, f.now-began)
}

// TestTrialFollowsTheExposureShare (EXPOSURE): what a version gets before all others' traffic is moved stays below the share that
// operators name, whatever that is, and is not much less, for a smaller trial shows less.
func TestTrialFollowsTheExposureShare(t *testing.T) {
	term := float64(order.OverMs * ms / fleetTick * perTick)
	for _, share := range []float64{0.03, 0.05, 0.1, 0.2} {
		f := newFleet(11, badness{}, Bounds{ExposureShare: share})
		must.Eq(t, Complete, f.play().Phase)
		must.LessEq(t, 0.9*share*term, float64(f.trial), must.Sprint("share ", share))
		must.GreaterEq(t, 0.3*share*term, float64(f.trial), must.Sprint("share ", share))
	}
}
