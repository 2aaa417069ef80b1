// Package rolloutcheck plays every order of events of one rollout in a small scope: two edges, two versions, one change of the
// duty, one message that is lost, and an operator who takes the rollout back at any moment or not at all. What it drives is
// the set and the managers of decide/rollout themselves; verdicts on answers are left out, since the operator's word can come
// whenever a verdict could.
//
// Decides: which events may come next, which states are the same, and whether an invariant is broken.
package rolloutcheck

import (
	"fmt"
	"slices"

	"willowsill/decide/rollout"
)

const (
	second         = 1_000_000_000 // ns
	edges          = 2
	managers       = 2
	number         = 1 // of the rollout
	deadline       = 9 // seconds by which it has to have ended
	maxRequestTime = 2 // seconds that a request may be under way
	replicas       = 4 // of either version
)

var edgeNames = [edges]string{"a", "b"}

// edge is one edge: the set that it goes by, and the request that it has under way at a replica of the old version.
type edge struct {
	set         rollout.Set
	oldInFlight int // 0 or 1
	oldSince    int // the second in which it was sent
	seq         uint64
	acted       bool // in this second
}

// world is one state.
type world struct {
	now           int // s
	set           rollout.Set
	edges         [edges]edge
	managers      [managers]*rollout.Manager
	holder        int // of the duty
	holderChanged bool
	messageLost   bool                      // the one message
	proposed      [managers]*rollout.Change // decided by each, and not yet come to the register
	trace         *step
}

// step is one event of a trace.
type step struct {
	before *step
	event  string
}

func (s *step) events() (all []string) {
	for ; s != nil; s = s.before {
		all = append(all, s.event)
	}
	slices.Reverse(all)
	return all
}

// Result is what an exploration found.
type Result struct {
	States int
	Broken string   // the invariant, empty for none
	Trace  []string // the events that lead there, a shortest list
}

// start is the rollout as the switch has just come to stand: no edge has heard of it yet.
func start() world {
	var before rollout.Set
	set, _, _ := rollout.Set{}.Begin(rollout.Order{Service: "s", Target: "v2", OverMs: 4000})
	for _, shares := range []rollout.Shares{{Target: 50, Others: 1000}, {Target: 300, Others: 1000}, {Target: 1000, Others: 400}, {Target: 1000}} {
		r, _ := set.NewestOf("s")
		before = set
		set, _ = set.Apply(rollout.Change{Rollout: r, Phase: rollout.Active, Stage: r.Stage + 1, Shares: shares})
	}
	w := world{now: 1, set: set}
	for i := range w.managers {
		w.managers[i] = rollout.NewManager(rollout.Bounds{})
		w.managers[i].Apply(second, set)
	}
	for i := range w.edges {
		w.edges[i].set = before
	}
	return w
}

func (w world) clone(event string) world {
	for i, m := range w.managers {
		w.managers[i] = m.Copy()
	}
	w.trace = &step{w.trace, event}
	return w
}

func (w *world) key() string {
	b := []byte{byte(w.now), byte(w.holder), flag(w.holderChanged), flag(w.messageLost)}
	for _, p := range w.proposed {
		b = append(b, flag(p != nil))
		if p != nil {
			b = append(b, byte(p.Rollout.Step), byte(p.Phase), byte(p.Stage))
		}
	}
	b = w.set.Key(b)
	for _, e := range w.edges {
		b = append(b, byte(e.set.Version), byte(e.oldInFlight), byte(e.oldSince), flag(e.acted))
	}
	for _, m := range w.managers {
		b = m.Key(b)
	}
	return string(b)
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// admitsOldVersion tells whether an edge may begin to send to a replica of the old version.
func (w *world) admitsOldVersion(e int) bool {
	r, _ := w.edges[e].set.NewestOf("s")
	for i := range replicas {
		if r.Admits(edgeNames[e], fmt.Sprint("old", i), "v1") {
			return true
		}
	}
	return false
}

// successors are the states that one event leads to.
func (w *world) successors() (all []world) {
	for e := range edges {
		if !w.edges[e].acted {
			all = append(all, w.edgeTurns(e)...)
		}
	}
	for m, p := range w.proposed {
		if p != nil {
			n := w.clone(fmt.Sprintf("a step of controller %d comes to the register", m))
			n.commit(*p)
			n.proposed[m] = nil
			all = append(all, n)
		}
	}
	if aborted, changed := w.set.Abort("s", "an operator's word"); changed {
		n := w.clone("an operator takes it back")
		n.applySet(aborted)
		all = append(all, n)
	}
	if !w.holderChanged {
		n := w.clone("the duty changes hands")
		n.holderChanged, n.holder = true, 1
		all = append(all, n)
	}
	if w.secondMayPass() {
		n := w.clone("a second passes")
		n.passSecond()
		all = append(all, n)
	}
	return all
}

// edgeAction is what one edge does.
type edgeAction uint8

const (
	receive edgeAction = iota // of the newest step
	report                    // to the holder of the duty
	send                      // to the old version
	answer                    // comes from the old version
)

var actionNames = [...]string{"hears", "reports", "sends to the old version", "is answered by the old version"}

// actionOrders are the orders of what an edge in touch does in a second: it hears and reports once each, in either order, and one
// of the two may be lost; a request begins or ends before, between or after these, or none does.
func actionOrders() (all [][]edgeAction) {
	for _, messages := range [][]edgeAction{{receive, report}, {report, receive}, {receive}, {report}} {
		all = append(all, messages)
		for _, request := range []edgeAction{send, answer} {
			for at := range len(messages) + 1 {
				all = append(all, slices.Insert(slices.Clone(messages), at, request))
			}
		}
	}
	return all
}

var allActionOrders = actionOrders()

// edgeTurns are the states that a second at one edge leads to.
func (w *world) edgeTurns(e int) (all []world) {
	for _, order := range allActionOrders {
		lost := !slices.Contains(order, receive) || !slices.Contains(order, report)
		if lost && w.messageLost {
			continue
		}
		n := w.clone("")
		n.messageLost = w.messageLost || lost
		n.edges[e].acted = true
		event, possible := "edge "+edgeNames[e], true
		for _, a := range order {
			event += " " + actionNames[a] + ","
			possible = possible && n.perform(e, a)
		}
		if n.trace.event = event; possible {
			all = append(all, n)
		}
	}
	return all
}

// perform has an edge do one thing; false where it cannot.
func (w *world) perform(e int, a edgeAction) bool {
	edge := &w.edges[e]
	switch a {
	case receive:
		edge.set = w.set
	case report:
		w.report(e)
	case send:
		if edge.oldInFlight > 0 || !w.admitsOldVersion(e) {
			return false
		}
		edge.oldInFlight, edge.oldSince = 1, w.now
	case answer:
		if edge.oldInFlight == 0 {
			return false
		}
		edge.oldInFlight, edge.oldSince = 0, 0
	}
	return true
}

// report has an edge tell the holder of the duty what it goes by and has under way.
func (w *world) report(e int) {
	edge := &w.edges[e]
	edge.seq++
	if r, _ := edge.set.NewestOf("s"); r.Phase != rollout.Active {
		return
	}
	w.managers[w.holder].Report(w.nanoseconds(), edgeNames[e], []rollout.Evidence{{Number: number, Incarnation: 1, Seq: edge.seq,
		Version: edge.set.Version, OldInFlight: edge.oldInFlight}})
}

func (w *world) nanoseconds() int64 { return int64(w.now) * second }

// secondMayPass tells whether all has happened that has to in each second while the edges are in touch.
func (w *world) secondMayPass() bool {
	for _, e := range w.edges {
		if !e.acted || e.oldInFlight > 0 && w.now-e.oldSince >= maxRequestTime {
			return false
		}
	}
	// A step of whoever holds the duty comes to the register within a second; one of the former holder at any time.
	return w.now < deadline && w.proposed[w.holder] == nil
}

// passSecond lets a second pass, after which the holder of the duty decides.
func (w *world) passSecond() {
	w.now++
	for e := range w.edges {
		w.edges[e].acted = false
	}
	facts := rollout.Facts{Edges: edgeNames[:], Replicas: map[uint64]rollout.Replicas{number: {Target: replicas, Warm: replicas, Others: replicas}}}
	w.managers[1-w.holder].Standby(w.nanoseconds())
	for _, change := range w.managers[w.holder].Decide(w.nanoseconds(), facts) {
		w.proposed[w.holder] = &change
	}
}

// commit brings a step to the register.
func (w *world) commit(c rollout.Change) {
	if set, changed := w.set.Apply(c); changed {
		w.applySet(set)
	}
}

func (w *world) applySet(set rollout.Set) {
	w.set = set
	for _, m := range w.managers {
		m.Apply(w.nanoseconds(), set)
	}
}

// brokenInvariant names the invariant that is broken, empty for none. before is the phase in the state before.
func (w *world) brokenInvariant(before rollout.Phase) string {
	r, _ := w.set.NewestOf("s")
	if before != rollout.Active && r.Phase != before {
		return fmt.Sprintf("a rollout that was %s is %s", before, r.Phase)
	}
	for e := range w.edges {
		if w.edges[e].set.Version > w.set.Version {
			return "an edge leads"
		}
		if r.Phase == rollout.Complete && before == rollout.Active && (w.edges[e].oldInFlight > 0 || w.admitsOldVersion(e)) {
			return "complete while edge " + edgeNames[e] + " uses the old version"
		}
		if held, _ := w.edges[e].set.NewestOf("s"); held.Phase == rollout.Reverted && held.Admits(edgeNames[e], "new0", "v2") {
			return "a version that was taken back is open at edge " + edgeNames[e]
		}
	}
	if w.now >= deadline && r.Phase == rollout.Active {
		return "the rollout is stuck"
	}
	return ""
}

// Explore visits every state.
func Explore() (result Result) {
	first := start()
	seen := map[string]bool{first.key(): true}
	for queue := []world{first}; len(queue) > 0; {
		w := queue[0]
		queue = queue[1:]
		before, _ := w.set.NewestOf("s")
		for _, n := range w.successors() {
			if broken := n.brokenInvariant(before.Phase); broken != "" {
				return Result{States: len(seen), Broken: broken, Trace: n.trace.events()}
			}
			after, _ := n.set.NewestOf("s")
			if key := n.key(); !seen[key] {
				seen[key] = true
				if after.Phase == rollout.Active || n.proposed != [managers]*rollout.Change{} {
					queue = append(queue, n)
				}
			}
		}
	}
	return Result{States: len(seen)}
}
