package rollout

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// answers returns an edge's evidence with the given numbers of answers of the old version and of the target version, and of
// failures of the target version.
func answers(incarnation, seq, version uint64, old, target, failed uint32) Evidence {
	e := Evidence{Number: 1, Incarnation: incarnation, Seq: seq, Version: version}
	e.Counts = append(e.Counts, OutcomeCounts{Route: 1, FirstBucket: 8, Buckets: []uint32{old}})
	for i := range 4 {
		e.Counts = append(e.Counts, OutcomeCounts{Route: 1, Replica: fmt.Sprint("new", i), FirstBucket: 8, Buckets: []uint32{target / 4}, Failed: failed / 4})
	}
	return e
}

// TestEvidenceCountsOnce: duplicated, delayed or lost reports change nothing in the counts. The counts of a new incarnation
// of the edge start from zero.
func TestEvidenceCountsOnce(t *testing.T) {
	set, _ := begun(t)
	m := NewManager(Bounds{})
	m.Apply(1, set)
	first, second, third := answers(1, 1, 1, 100, 8, 0), answers(1, 2, 1, 150, 16, 0), answers(1, 3, 1, 200, 20, 4)
	for _, e := range []Evidence{first, third, second, third, first, answers(2, 1, 1, 10, 4, 0)} {
		m.Report(2, "edge", []Evidence{e})
	}
	detector := m.active[1].detector
	detector.evaluate(conditions{})
	target, others := detector.requests()
	must.Eq(t, 28, target)
	must.Eq(t, 210, others)
	must.Eq(t, 4, detector.target.failed)
}

// TestOneReplicaInTrouble: one replica that fails all requests, or two of eight, are no evidence against their version.
func TestOneReplicaInTrouble(t *testing.T) {
	for failing := 1; failing <= 2; failing++ {
		d := newDetector()
		previous := map[string]OutcomeCounts{}
		for round := range uint32(60) {
			for i := range 8 {
				c := OutcomeCounts{Route: 1, Replica: fmt.Sprint("new", i), FirstBucket: 8, Buckets: []uint32{2 * round}}
				if i < failing {
					c.Failed, c.Buckets = 2*round, nil
				}
				d.addCount(c, previous[c.Replica])
				previous[c.Replica] = c
			}
			old := OutcomeCounts{Route: 1, FirstBucket: 8, Buckets: []uint32{50 * round}}
			d.addCount(old, previous[""])
			previous[""] = old
			must.False(t, d.evaluate(conditions{}).bad, must.Sprint(failing, " replicas fail, round ", round))
		}
	}
}

// atSwitch returns a manager whose only rollout has just begun the switch.
func atSwitch(t *testing.T, now int64) (*Manager, Set) {
	set, _ := begun(t)
	for stage := stageCanary; stage <= stageSwitch; stage++ {
		r, _ := set.NewestOf("s")
		set, _ = set.Apply(Change{Rollout: r, Phase: Active, Stage: stage, Shares: plan[stage].initialShares})
	}
	m := NewManager(Bounds{})
	m.Apply(now, set)
	return m, set
}

// switchFacts are facts with eight ready replicas of either version.
func switchFacts(edges ...string) Facts {
	return Facts{Replicas: map[uint64]Replicas{1: {Target: 8, Warm: 8, Others: 8}}, Edges: edges}
}

// completes reports whether the first change completes the rollout.
func completes(changes []Change) bool { return len(changes) > 0 && changes[0].Phase == Complete }

// TestCompleteWaitsForEdges: a rollout is complete only when each reachable edge has applied the switch and has no requests
// in flight at other versions. An edge that has become unreachable is not waited for.
func TestCompleteWaitsForEdges(t *testing.T) {
	start := int64(1000 * ms)
	for name, c := range map[string]struct {
		last      Evidence // last report of the second edge
		completes bool
		after     int64
	}{
		"settled":      {Evidence{Number: 1, Incarnation: 1, Seq: 9, Version: 5}, true, 1500 * ms},
		"behind":       {Evidence{Number: 1, Incarnation: 1, Seq: 9, Version: 4}, false, 1500 * ms},
		"under way":    {Evidence{Number: 1, Incarnation: 1, Seq: 9, Version: 5, OldInFlight: 1}, false, 1500 * ms},
		"never heard":  {Evidence{}, false, 1500 * ms},
		"out of touch": {Evidence{Number: 1, Incarnation: 1, Seq: 9, Version: 4}, true, 6000 * ms},
	} {
		m, set := atSwitch(t, start)
		must.Eq(t, 5, set.Version)
		m.Decide(start, switchFacts("a", "b"))
		m.Report(start+1000*ms, "a", []Evidence{{Number: 1, Incarnation: 1, Seq: 9, Version: 5}})
		if c.last.Number > 0 {
			m.Report(start+1000*ms, "b", []Evidence{c.last})
		}
		must.Eq(t, c.completes, completes(m.Decide(start+c.after, switchFacts("a", "b"))), must.Sprint(name))
	}
}

// TestANewHolderOfTheDutyWaitsForEvidence: a controller that becomes the holder during the switch has no reports yet,
// because the edges sent them to the previous holder. It must wait for reports before it completes the rollout.
func TestANewHolderOfTheDutyWaitsForEvidence(t *testing.T) {
	start := int64(1000 * ms)
	m, _ := atSwitch(t, start)
	m.Standby(start)
	at := start + 20000*ms
	must.False(t, completes(m.Decide(at, switchFacts("a"))))
	m.Report(at+300*ms, "a", []Evidence{{Number: 1, Incarnation: 1, Seq: 9, Version: 5, OldInFlight: 2}})
	must.False(t, completes(m.Decide(at+500*ms, switchFacts("a"))))
	m.Report(at+600*ms, "a", []Evidence{{Number: 1, Incarnation: 1, Seq: 10, Version: 5}})
	must.True(t, completes(m.Decide(at+1000*ms, switchFacts("a"))))
}

// TestNoReplicasInTime: a rollout whose target version has no ready replicas is reverted shortly before the deadline, and
// not earlier.
func TestNoReplicasInTime(t *testing.T) {
	set, _ := begun(t)
	m := NewManager(Bounds{})
	m.Apply(1000*ms, set)
	facts := Facts{Replicas: map[uint64]Replicas{1: {Others: 8}}}
	must.SliceEmpty(t, m.Decide(14000*ms, facts))
	changes := m.Decide(14900*ms, facts)
	must.SliceLen(t, 1, changes)
	must.Eq(t, Reverted, changes[0].Phase)
}

// TestAnUnseenVersionGetsNoMoreThanItsTrial (EXPOSURE): a version that gets no requests stays in the trial stages after the
// deadline, because the next configuration may send all requests there. If it then gets requests and answers badly, it is
// reverted.
func TestAnUnseenVersionGetsNoMoreThanItsTrial(t *testing.T) {
	start := int64(1000 * ms)
	set, _ := begun(t)
	m := NewManager(Bounds{})
	m.Apply(start, set)
	ended := int64(0)
	for now := start; now < start+4*order.OverMs*ms && ended == 0; now += evaluationInterval {
		for _, c := range m.Decide(now, switchFacts()) {
			must.True(t, c.Stage <= stageRise || now-start >= unseenFactor*order.OverMs*ms, must.Sprint(now))
			set, _ = set.Apply(c)
			m.Apply(now, set)
			if c.Phase != Active {
				ended = now
			}
		}
	}
	r, _ := set.NewestOf("s")
	must.Eq(t, Complete, r.Phase)
	must.GreaterEq(t, start+unseenFactor*order.OverMs*ms, ended)

	set, _ = begun(t)
	m = NewManager(Bounds{})
	m.Apply(start, set)
	began := start + order.OverMs*ms // the requests begin after the deadline
	for now, seq := start, uint32(0); now < began+3000*ms; now += evaluationInterval {
		if now >= began {
			seq++
			m.Report(now, "edge", []Evidence{answers(1, uint64(seq), set.Version, 40*seq, 4*seq, 4*seq)})
		}
		for _, c := range m.Decide(now, switchFacts()) {
			set, _ = set.Apply(c)
			m.Apply(now, set)
		}
	}
	r, _ = set.NewestOf("s")
	must.Eq(t, Reverted, r.Phase)
	must.LessEq(t, stageRise, r.Stage)
}

// TestAServiceThatIsTakenAway: the rollout of a service that is removed with all its replicas is complete.
func TestAServiceThatIsTakenAway(t *testing.T) {
	set, _ := begun(t)
	m := NewManager(Bounds{})
	m.Apply(1000*ms, set)
	changes := m.Decide(2000*ms, Facts{Replicas: map[uint64]Replicas{1: {Leaving: 16}}})
	must.True(t, completes(changes))
}

// TestAnswersOnNewConnections: a version that is only reached over new connections doesn't count as slow because of the time
// that opening a connection takes. If it is slow, these answers are enough to detect it.
func TestAnswersOnNewConnections(t *testing.T) {
	const normal, opening = 20 * ms, 12 * ms
	for times, bad := range map[int64]bool{1: false, 8: true} {
		recorder := NewRecorder(1)
		set, _ := begun(t)
		recorder.Watch(set, []Replica{{ID: "old", Service: "s", Version: "v1"}, {ID: "new", Service: "s", Version: "v2"}})
		m := NewManager(Bounds{})
		m.Apply(1, set)
		detected := false
		for round := int64(1); round <= 20; round++ {
			for request := range 40 {
				replica, outcome, took := "old", Answered, int64(normal)
				if request%4 == 0 {
					replica, outcome, took = "new", AnsweredOnNewConnection, normal+opening
					if request%8 == 0 {
						took = normal*times + opening
					}
				}
				recorder.Sent(replica)
				recorder.Ended(replica, 1, outcome, took)
			}
			m.Report(round*evaluationInterval, "edge", recorder.Evidence())
			detected = detected || m.active[1].detector.evaluate(conditions{singleReplica: true}).bad
		}
		must.Eq(t, bad, detected, must.Sprint(times, " times as long"))
	}
}
