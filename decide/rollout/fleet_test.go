package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// This file simulates rollouts of a whole fleet in virtual time with random requests: edges that send, replicas of both
// versions that answer well or badly, and evidence that reaches the manager late or not at all.

const (
	fleetEdges      = 24
	fleetReplicas   = 8
	requestsPerTick = 3        // requests of the whole fleet in one tick
	fleetTick       = 10 * ms  // 300 requests per second in all
	reportTicks     = 30       // ticks between two reports of an edge
	reportLost      = 0.1      // fraction of the reports that are lost
	newReady        = 700 * ms // time after the order at which the replicas of the target version are ready
	fleetEnd        = 40000 * ms
	meanWork        = 20 * ms // mean time that a good answer takes
	usualFailures   = 0.005   // fraction of the answers of a good version that fail
)

// defect describes how a version is bad.
type defect struct {
	name         string
	share        float64 // fraction of the answers that are bad
	slow         float64 // bad answers take this many times as long; 0 if they fail instead
	beginsAt     int64   // ns after the order at which the defect begins
	route        uint32  // the only route with the defect, 0 for all routes
	bothVersions bool    // a problem of both versions, so not a defect of the target version
}

// fleet simulates one rollout.
type fleet struct {
	rng       *rand.Rand
	now       int64
	set       Set
	manager   *Manager
	recorders []*Recorder
	replicas  []Replica
	defect    defect

	targetRequests, requests, badAnswers int
	trialRequests                        int // requests of the target version before it leaves the trial stages
}

func newFleet(seed uint64, d defect, bounds Bounds) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: 1000 * ms, manager: NewManager(bounds), defect: d}
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

// request sends one request of a random edge on a random route to a random admitted replica.
func (f *fleet) request(began int64) {
	e := f.rng.IntN(fleetEdges)
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
	r := open[f.rng.IntN(len(open))]
	route := uint32(1 + f.rng.IntN(3)/2)
	f.requests++
	took, failed := int64(meanWork*(0.5+f.rng.ExpFloat64())), f.rng.Float64() < usualFailures
	isBad := f.now-began >= f.defect.beginsAt && f.rng.Float64() < f.defect.share && (f.defect.route == 0 || f.defect.route == route)
	if r.Version == "v2" {
		f.targetRequests++
	}
	if isBad && (r.Version == "v2" || f.defect.bothVersions) {
		f.badAnswers++
		if failed = f.defect.slow == 0; !failed {
			took = int64(float64(took) * f.defect.slow)
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

// play simulates until the rollout has ended, and returns it.
func (f *fleet) play() Rollout {
	began := f.now
	for tick := 0; f.now-began < fleetEnd; tick++ {
		for range requestsPerTick {
			f.request(began)
		}
		for e, r := range f.recorders {
			if (tick+e)%reportTicks == 0 && f.rng.Float64() >= reportLost {
				f.manager.Report(f.now, fmt.Sprint("edge", e), r.Evidence())
			}
		}
		rollout, _ := f.set.NewestOf("s")
		ready := Replicas{Others: fleetReplicas}
		if f.now-began >= newReady {
			ready.Target, ready.Warm = fleetReplicas, fleetReplicas
		}
		for _, c := range f.manager.Decide(f.now, Facts{Replicas: map[uint64]Replicas{rollout.Number: ready}}) {
			if c.Stage == stageMost && f.trialRequests == 0 {
				f.trialRequests = f.targetRequests
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

// TestVerdicts simulates good versions, some of them while both versions are in trouble, and versions with each kind of
// defect. No good version may be reverted. Each bad one must be, before it got a tenth of the requests until the deadline
// and 50 more.
func TestVerdicts(t *testing.T) {
	seeds := uint64(12)
	if testing.Short() {
		seeds = 4
	}
	for _, d := range []defect{
		{name: "good"},
		{name: "burst strikes both", share: 0.4, slow: 4, beginsAt: 3000 * ms, bothVersions: true},
		{name: "burst at the switch", share: 0.4, slow: 4, beginsAt: 11300 * ms, bothVersions: true},
		{name: "failures strike both", share: 0.2, beginsAt: 4000 * ms, bothVersions: true},
		{name: "fails", share: 0.5},
		{name: "fails now and then", share: 0.15},
		{name: "slow", share: 0.5, slow: 5},
		{name: "late", share: 0.4, beginsAt: 6000 * ms},
		{name: "on one route", share: 0.5, route: 2},
	} {
		t.Run(d.name, func(t *testing.T) {
			for seed := range seeds {
				f := newFleet(100*seed, d, Bounds{})
				r := f.play()
				if d.share == 0 || d.bothVersions {
					must.Eq(t, Complete, r.Phase, must.Sprint("seed ", seed, ": ", r.Reason))
					continue
				}
				must.Eq(t, Reverted, r.Phase, must.Sprint("seed ", seed, ": ", r.Reason))
				requestsInTime := int(order.OverMs*ms/fleetTick) * requestsPerTick
				must.LessEq(t, requestsInTime/10+50, f.targetRequests, must.Sprint("seed ", seed, ": ", r.Reason))
			}
		})
	}
}

// TestAGoodVersionIsInTime checks that a good version is complete before the deadline.
func TestAGoodVersionIsInTime(t *testing.T) {
	f := newFleet(7, defect{}, Bounds{})
	began := f.now
	must.Eq(t, Complete, f.play().Phase)
	must.LessEq(t, order.OverMs*ms, f.now-began)
}

// TestTrialFollowsTheExposureShare (EXPOSURE): the requests that a version gets during the trial stages stay below the share
// that operators set, whatever it is. They are not much fewer either, because a smaller trial detects less.
func TestTrialFollowsTheExposureShare(t *testing.T) {
	requestsInTime := float64(order.OverMs * ms / fleetTick * requestsPerTick)
	for _, share := range []float64{0.03, 0.05, 0.1, 0.2} {
		f := newFleet(11, defect{}, Bounds{ExposureShare: share})
		must.Eq(t, Complete, f.play().Phase)
		must.LessEq(t, 0.9*share*requestsInTime, float64(f.trialRequests), must.Sprint("share ", share))
		must.GreaterEq(t, 0.3*share*requestsInTime, float64(f.trialRequests), must.Sprint("share ", share))
	}
}
