// Package rolloutcheck explores every order of events of one rollout in a small system: two edges, two versions, one change of the
// lease holder, one lost message, and an operator who aborts the rollout at any moment or never. It runs the rollout set and the
// managers of decide/rollout unchanged. The detector of bad versions is left out, since the operator's abort can come at every
// moment at which the detector could end the rollout.
//
// Decides: which events may come next, which states are the same, and whether an invariant is broken.
package rolloutcheck

import (
	"fmt"
	"slices"

	"willowsill/decide/rollout"
)

const (
	second         = 1_000_000_000 // a second in ns
	edges          = 2
	managers       = 2
	number         = 1 // number of the rollout
	deadline       = 9 // time by which the rollout must have ended, s
	maxRequestTime = 2 // maximum time of a request, s
	replicas       = 4 // number of replicas of each version
)

var edgeNames = [edges]string{"a", "b"}

// edge is one edge with the rollout set that it uses and its request in flight at a replica of the old version, if any.
type edge struct {
	set         rollout.Set
	oldInFlight int // requests in flight at the old version, 0 or 1
	oldSince    int // time at which that request was sent, s
	seq         uint64
	acted       bool // it has had its turn in the present second
}

// world is one state of the system.
type world struct {
	now           int // present time, s
	set           rollout.Set
	edges         [edges]edge
	managers      [managers]*rollout.Manager
	holder        int // index of the manager of the lease holder
	holderChanged bool
	messageLost   bool                      // one message was lost already; no other may be
	proposed      [managers]*rollout.Change // the change that each manager has decided and that has not reached the register yet
	trace         *step
}

// step is one event of a trace, linked to the events before it.
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

// Result says how many states an exploration visited, and which invariant it found broken.
type Result struct {
	States int
	Broken string   // the broken invariant, empty for none
	Trace  []string // a shortest list of events that leads there
}

// start returns the state just after the register has committed the switch of all traffic to the new version; no edge has received it yet.
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

// clone returns a copy of the state that an event will change.
func (w world) clone(event string) world {
	for i, m := range w.managers {
		w.managers[i] = m.Copy()
	}
	w.trace = &step{w.trace, event}
	return w
}

// key returns an encoding of the state; states with equal keys are the same.
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

// admitsOldVersion reports whether an edge may send new requests to a replica of the old version.
func (w *world) admitsOldVersion(e int) bool {
	r, _ := w.edges[e].set.NewestOf("s")
	for i := range replicas {
		if r.Admits(edgeNames[e], fmt.Sprint("old", i), "v1") {
			return true
		}
	}
	return false
}

// successors returns the states that one event leads to.
func (w *world) successors() (all []world) {
	for e := range edges {
		if !w.edges[e].acted {
			all = append(all, w.edgeTurns(e)...)
		}
	}
	for m, p := range w.proposed {
		if p != nil {
			n := w.clone(fmt.Sprintf("a change of controller %d reaches the register", m))
			n.commit(*p)
			n.proposed[m] = nil
			all = append(all, n)
		}
	}
	if aborted, changed := w.set.Abort("s", "an operator's abort"); changed {
		n := w.clone("an operator aborts the rollout")
		n.applySet(aborted)
		all = append(all, n)
	}
	if !w.holderChanged {
		n := w.clone("the lease holder changes")
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

// edgeAction is one thing that an edge does.
type edgeAction uint8

const (
	receive edgeAction = iota // the edge receives the newest rollout set
	report                    // the edge reports to the lease holder's manager
	send                      // the edge sends a request to the old version
	answer                    // the old version answers the edge's request
)

var actionNames = [...]string{"hears", "reports", "sends to the old version", "is answered by the old version"}

// actionOrders returns the possible sequences of what a connected edge does in a second: it receives the set and reports once each, in
// either order, and one of the two messages may be lost; a request begins or ends before, between or after these, or none does.
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

// edgeTurns returns the states after one edge's turn in a second.
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

// perform has an edge do one thing. It returns false if the edge cannot do it now.
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

// report sends the lease holder's manager an edge's version of the set and its requests in flight at the old version.
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

// secondMayPass reports whether everything has happened that happens in each second while the edges are connected.
func (w *world) secondMayPass() bool {
	for _, e := range w.edges {
		if !e.acted || e.oldInFlight > 0 && w.now-e.oldSince >= maxRequestTime {
			return false
		}
	}
	// A change of the lease holder reaches the register within a second; one of the former holder may reach it at any time.
	return w.now < deadline && w.proposed[w.holder] == nil
}

// passSecond lets a second pass; then the lease holder's manager decides.
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

// commit applies a change to the set in the register, if the set accepts it.
func (w *world) commit(c rollout.Change) {
	if set, changed := w.set.Apply(c); changed {
		w.applySet(set)
	}
}

// applySet makes a set the committed one and passes it to the managers.
func (w *world) applySet(set rollout.Set) {
	w.set = set
	for _, m := range w.managers {
		m.Apply(w.nanoseconds(), set)
	}
}

// brokenInvariant describes the invariant that is broken, empty for none. before is the rollout's phase in the state before.
func (w *world) brokenInvariant(before rollout.Phase) string {
	r, _ := w.set.NewestOf("s")
	if before != rollout.Active && r.Phase != before {
		return fmt.Sprintf("a rollout that was %s is %s", before, r.Phase)
	}
	for e := range w.edges {
		if w.edges[e].set.Version > w.set.Version {
			return "an edge has a newer set than the register"
		}
		if r.Phase == rollout.Complete && before == rollout.Active && (w.edges[e].oldInFlight > 0 || w.admitsOldVersion(e)) {
			return "complete while edge " + edgeNames[e] + " uses the old version"
		}
		if held, _ := w.edges[e].set.NewestOf("s"); held.Phase == rollout.Reverted && held.Admits(edgeNames[e], "new0", "v2") {
			return "a reverted version is open at edge " + edgeNames[e]
		}
	}
	if w.now >= deadline && r.Phase == rollout.Active {
		return "the rollout is stuck"
	}
	return ""
}

// Explore visits every state, breadth first, until an invariant is broken.
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
