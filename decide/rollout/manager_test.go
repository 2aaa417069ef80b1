package rollout

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// answers makes evidence of an edge that has had so many answers of each version, some of the target's failed.
func answers(life, seq, version uint64, old, target, failed uint32) Evidence {
	e := Evidence{Number: 1, Incarnation: life, Seq: seq, Version: version}
	e.Counts = append(e.Counts, OutcomeCounts{Route: 1, FirstBucket: 8, Buckets: []uint32{old}})
	for i := range 4 {
		e.Counts = append(e.Counts, OutcomeCounts{Route: 1, Replica: fmt.Sprint("new", i), FirstBucket: 8, Buckets: []uint32{target / 4}, Failed: failed / 4})
	}
	return e
}

// TestEvidenceCountsOnce: reports that are doubled, late or lost change nothing in what is counted; those of a new life of
// the edge are counted from zero.
func TestEvidenceCountsOnce(t *testing.T) {
	set, _ := begun(t)
	m := NewManager(Bounds{})
	m.Apply(1, set)
	first, second, third := answers(1, 1, 1, 100, 8, 0), answers(1, 2, 1, 150, 16, 0), answers(1, 3, 1, 200, 20, 4)
	for _, e := range []Evidence{first, third, second, third, first, answers(2, 1, 1, 10, 4, 0)} {
		m.Report(2, "edge", []Evidence{e})
	}
	judge := m.active[1].detector
	judge.evaluate(conditions{})
	target, others := judge.requests()
	must.Eq(t, 28, target)
	must.Eq(t, 210, others)
	must.Eq(t, 4, judge.target.failed)
}

// TestOneReplicaInTrouble: a replica that fails all is no evidence against its version, two of eight neither.
func TestOneReplicaInTrouble(t *testing.T) {
	for troubled := 1; troubled <= 2; troubled++ {
		j := newDetector()
		was := map[string]OutcomeCounts{}
		for look := range uint32(60) {
			for i := range 8 {
				c := OutcomeCounts{Route: 1, Replica: fmt.Sprint("new", i), FirstBucket: 8, Buckets: []uint32{2 * look}}
				if i < troubled {
					c.Failed, c.Buckets = 2*look, nil
				}
				j.addCount(c, was[c.Replica])
				was[c.Replica] = c
			}
			old := OutcomeCounts{Route: 1, FirstBucket: 8, Buckets: []uint32{50 * look}}
			j.addCount(old, was[""])
			was[""] = old
			must.False(t, j.evaluate(conditions{}).bad, must.Sprint(troubled, " replicas, look ", look))
		}
	}
}

// atSwitch is a manager whose only rollout has come to the switch.
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

func switchFacts(edges ...string) Facts {
	return Facts{Replicas: map[uint64]Replicas{1: {Target: 8, Warm: 8, Others: 8}}, Edges: edges}
}

// completes tells whether a call has the rollout complete.
func completes(changes []Change) bool { return len(changes) > 0 && changes[0].Phase == Complete }

// TestCompleteWaitsForEdges: a rollout is complete only once each edge in touch goes by the switch and has nothing under way
// at other versions; one that has lost touch is not waited for.
func TestCompleteWaitsForEdges(t *testing.T) {
	start := int64(1000 * ms)
	for name, c := range map[string]struct {
		last      Evidence // of the second edge
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

// TestANewHolderOfTheDutyWaitsForEvidence: whoever takes the duty over during the switch has not heard the edges yet, which
// told the one before.
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

// TestNoReplicasInTime: a rollout whose version has no ready replicas is taken back at its term, and not before.
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

// TestAnUnseenVersionGetsNoMoreThanItsTrial (EXPOSURE): a version that nobody asks keeps its trial beyond the term, for the next
// configuration may send everything there; once it is asked and answers badly it is taken back.
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
	began := start + order.OverMs*ms // the requests, after the term
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

// TestAServiceThatIsTakenAway: it has no rollout left.
func TestAServiceThatIsTakenAway(t *testing.T) {
	set, _ := begun(t)
	m := NewManager(Bounds{})
	m.Apply(1000*ms, set)
	changes := m.Decide(2000*ms, Facts{Replicas: map[uint64]Replicas{1: {Leaving: 16}}})
	must.True(t, completes(changes))
}

// TestAnswersOnNewConnections: a version whose replicas nobody has a connection to yet is not slow for what connections cost, and is
// found out by these answers alone where it is slow.
func TestAnswersOnNewConnections(t *testing.T) {
	const usual, opening = 20 * ms, 12 * ms
	for times, bad := range map[int64]bool{1: false, 8: true} {
		recorder := NewRecorder(1)
		set, _ := begun(t)
		recorder.Watch(set, []Replica{{ID: "old", Service: "s", Version: "v1"}, {ID: "new", Service: "s", Version: "v2"}})
		m := NewManager(Bounds{})
		m.Apply(1, set)
		found := false
		for look := int64(1); look <= 20; look++ {
			for request := range 40 {
				replica, outcome, took := "old", Answered, int64(usual)
				if request%4 == 0 {
					replica, outcome, took = "new", AnsweredOnNewConnection, usual+opening
					if request%8 == 0 {
						took = usual*times + opening
					}
				}
				recorder.Sent(replica)
				recorder.Ended(replica, 1, outcome, took)
			}
			m.Report(look*evaluationInterval, "edge", recorder.Evidence())
			found = found || m.active[1].detector.evaluate(conditions{singleReplica: true}).bad
		}
		must.Eq(t, bad, found, must.Sprint(times, " times as long"))
	}
}
