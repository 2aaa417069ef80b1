package checker

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"
)

// The names of the checks.
const (
	LostRevision        = "acknowledged revision is lost"
	ConflictingContents = "two contents under one number"
	NotLinearizable     = "history is not linearizable"
	RefusedInForce      = "refused is in force"
	ResendRefused       = "acknowledged order is refused when sent again"
	EdgeWentBack        = "edge goes back"
	EdgeBehind          = "edge in touch is behind"
	EdgeBehindMajority  = "edge is behind while most controllers are well"
	IsolatedAnswer      = "cut-off controller answers an order"
	StaleReady          = "edge is ready with an old configuration"
	DrainIgnored        = "acknowledged drain is unknown at an edge"
	DepartedUsed        = "edge sends to a replica that has departed"
	OrderUnanswered     = "order without an answer in calm times"
	ReadUnanswered      = "read without an answer in calm times"
	IdleController      = "controller in touch does no work"
)

// Checks are the names of all checks.
var Checks = []string{LostRevision, ConflictingContents, NotLinearizable, RefusedInForce, ResendRefused, EdgeWentBack, EdgeBehind, EdgeBehindMajority, IsolatedAnswer, StaleReady, DrainIgnored,
	DepartedUsed, OrderUnanswered, ReadUnanswered, IdleController}

const (
	sampleInterval         = 250 * int64(time.Millisecond)
	reachableTime          = 1500 * int64(time.Millisecond) // controllers that have been well for so long could have been asked
	linearizabilityTimeout = 20 * time.Second               // of real time
	cutDelay               = int64(time.Millisecond)
	noLimit                = int64(Never)
	minIdleAttempts        = 3 // calls that a controller in touch fails one after the other, at the least
	maxViolationsPerCheck  = 3 // of one check that are told
)

type runChecker struct {
	History
	stability        *stability
	acknowledgements []acknowledgement
	violations       []Violation
	count            map[string]int
}

// Check returns what was broken, the first of each check in the order of time.
func Check(h History) []Violation {
	j := &runChecker{History: h, stability: newStability(h), acknowledgements: newestAcknowledgements(h.Orders), count: map[string]int{}}
	j.checkReads()
	j.checkContents()
	j.checkRefusals()
	j.checkEdges()
	j.checkIsolated()
	j.checkReadiness()
	j.checkDrains()
	j.checkAnswers()
	j.checkIdle()
	j.checkLinearizable()
	slices.SortStableFunc(j.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.violations
}

func (j *runChecker) broken(check string, at int64, format string, values ...any) {
	if j.count[check]++; j.count[check] <= maxViolationsPerCheck {
		j.violations = append(j.violations, Violation{check, at, fmt.Sprintf(format, values...)})
	}
}

// newest is the newest revision acknowledged up to a time, and when it was.
func (j *runChecker) newest(until int64) (revision uint64, at int64) {
	n := sort.Search(len(j.acknowledgements), func(i int) bool { return j.acknowledgements[i].at > until })
	if n == 0 {
		return 0, 0
	}
	return j.acknowledgements[n-1].revision, j.acknowledgements[n-1].at
}

// acknowledgement is a time from which on a revision is the newest that was acknowledged.
type acknowledgement struct {
	at       int64
	revision uint64
}

// newestAcknowledgements puts the acknowledgements in order and keeps those of a newer revision than all before.
func newestAcknowledgements(orders []Order) (rises []acknowledgement) {
	var all []acknowledgement
	for _, o := range orders {
		if o.Outcome == Acknowledged {
			all = append(all, acknowledgement{o.Ended, o.Revision})
		}
	}
	slices.SortStableFunc(all, func(a, b acknowledgement) int { return cmp.Compare(a.at, b.at) })
	for _, r := range all {
		if n := len(rises); n == 0 || r.revision > rises[n-1].revision {
			rises = append(rises, r)
		}
	}
	return rises
}

// checkReads: a read that begins after an acknowledgement returns that revision or a newer one.
func (j *runChecker) checkReads() {
	for _, r := range j.Reads {
		if r.Answered == 0 {
			continue
		}
		if want, at := j.newest(r.Sent - 1); r.Revision < want {
			j.broken(LostRevision, r.Answered, "a read sent at %s returns revision %d; %d was acknowledged at %s", seconds(r.Sent), r.Revision, want, seconds(at))
		}
	}
}

// checkContents: whatever was acknowledged, read or in force under one number is one content.
func (j *runChecker) checkContents() {
	type sighting struct {
		at       int64
		revision uint64
		content  string
		how      string
	}
	var all []sighting
	for _, o := range j.Orders {
		if o.Outcome == Acknowledged {
			all = append(all, sighting{o.Ended, o.Revision, o.Content, "acknowledged"})
		}
	}
	for _, r := range j.Reads {
		if r.Answered > 0 && r.Revision > 0 {
			all = append(all, sighting{r.Answered, r.Revision, r.Content, "read"})
		}
	}
	for _, s := range j.EdgeConfigurations {
		all = append(all, sighting{s.At, s.Revision, s.Content, "in force at " + s.Edge})
	}
	slices.SortStableFunc(all, func(a, b sighting) int { return cmp.Compare(a.at, b.at) })
	first := map[uint64]sighting{}
	for _, s := range all {
		was, known := first[s.revision]
		if !known {
			first[s.revision] = s
		} else if was.content != s.content {
			j.broken(ConflictingContents, s.at, "revision %d: %s %s at %s, and %s %s", s.revision, was.content, was.how, seconds(was.at), s.content, s.how)
		}
	}
}

// checkRefusals: what was refused is in force nowhere, and what was acknowledged is not refused when it comes again.
func (j *runChecker) checkRefusals() {
	type key struct {
		revision uint64
		content  string
	}
	inForce := map[key]int64{}
	note := func(k key, at int64) {
		if was, known := inForce[k]; !known || at < was {
			inForce[k] = at
		}
	}
	for _, s := range j.EdgeConfigurations {
		note(key{s.Revision, s.Content}, s.At)
	}
	for _, r := range j.Reads {
		if r.Answered > 0 {
			note(key{r.Revision, r.Content}, r.Answered)
		}
	}
	acknowledged := map[key]int64{}
	for _, o := range j.Orders {
		k := key{o.Revision, o.Content}
		if was, known := acknowledged[k]; o.Outcome == Acknowledged && (!known || o.Ended < was) {
			acknowledged[k] = o.Ended
		}
	}
	for _, o := range j.Orders {
		if o.Outcome != Refused {
			continue
		}
		k := key{o.Revision, o.Content}
		if at, known := acknowledged[k]; known && at < o.Ended {
			j.broken(ResendRefused, o.Ended, "revision %d %s was acknowledged at %s", o.Revision, o.Content, seconds(at))
		} else if at, known := inForce[k]; known {
			j.broken(RefusedInForce, max(at, o.Ended), "revision %d %s is in force at %s", o.Revision, o.Content, seconds(at))
		}
	}
}

// endOf is the end of a life of an edge.
func (j *runChecker) endOf(l ProcessEvent) int64 {
	for _, e := range j.ProcessEnds {
		if e.Edge == l.Edge && e.Life == l.Life {
			return e.At
		}
	}
	return j.End
}

// checkEdges: no edge goes back in one life, and those in touch serve what was acknowledged.
func (j *runChecker) checkEdges() {
	for _, l := range j.ProcessStarts {
		var serves []EdgeConfiguration
		for _, s := range j.EdgeConfigurations {
			if s.Edge == l.Edge && s.Incarnation == l.Life {
				if n := len(serves); n > 0 && s.Revision < serves[n-1].Revision {
					j.broken(EdgeWentBack, s.At, "%s goes from %d to %d", s.Edge, serves[n-1].Revision, s.Revision)
				}
				serves = append(serves, s)
			}
		}
		j.checkBehind(l, serves)
	}
}

func (j *runChecker) checkBehind(l ProcessEvent, serves []EdgeConfiguration) {
	b, held := j.Bounds, uint64(0)
	told, toldBeside := uint64(0), uint64(0)
	for at := l.At + b.Contact; at < j.endOf(l); at += sampleInterval {
		for len(serves) > 0 && serves[0].At <= at {
			held = max(held, serves[0].Revision)
			serves = serves[1:]
		}
		if !j.stability.healthy(l.Edge, at-b.Contact, at) {
			continue
		}
		if want, acked := j.newest(at - b.Apply); want > held && want > told && j.stability.settled(at) {
			told = want
			j.broken(EdgeBehind, at, "%s serves %d; %d was acknowledged at %s", l.Edge, held, want, seconds(acked))
		}
		want, acked := j.newest(at - b.Apply - b.Stretch)
		if want > held && want > toldBeside && j.stability.healthy(l.Edge, acked-b.Contact, at) && l.At <= acked && j.stability.healthyMajority(acked-b.Contact, at) {
			toldBeside = want
			j.broken(EdgeBehindMajority, at, "%s serves %d; %d was acknowledged at %s", l.Edge, held, want, seconds(acked))
		}
	}
}

// checkIsolated: a controller that is cut off from a majority neither acknowledges nor refuses.
func (j *runChecker) checkIsolated() {
	for _, c := range j.Cuts {
		if !j.stability.isolates(c) {
			continue
		}
		look := func(what string, tries []Attempt) {
			for _, t := range tries {
				inside := t.Controller == c.Controller && t.Sent >= c.From+cutDelay && t.Answered > 0 && t.Answered <= c.Until
				clear := t.Status == 200 || t.Status >= 400 && t.Status < 500 && t.Status != 408 && t.Status != 429
				if inside && clear {
					j.broken(IsolatedAnswer, t.Answered, "%s answers %s with %d while it is cut off from %s", t.Controller, what, t.Status, seconds(c.From))
				}
			}
		}
		for _, o := range j.Orders {
			look(fmt.Sprintf("order %d (%s)", o.Number, o.Content), o.Attempts)
		}
		for _, d := range j.Drains {
			look("the drain of "+d.Replica, d.Attempts)
		}
	}
}

// checkReadiness: an edge that begins beside a majority that could be asked is not ready with an old configuration.
func (j *runChecker) checkReadiness() {
	for _, r := range j.Readiness {
		if !r.Ready {
			continue
		}
		started := int64(0)
		for _, l := range j.ProcessStarts {
			if l.Edge == r.Edge && l.Life == r.Life {
				started = l.At
			}
		}
		want, acked := j.newest(min(r.At-j.Bounds.Apply, started))
		if r.Revision < want && j.stability.healthy(r.Edge, started+1, r.At) && j.stability.healthyMajority(r.At-reachableTime, r.At) {
			j.broken(StaleReady, r.At, "%s (begun at %s) is ready with %d from %s; %d was acknowledged at %s", r.Edge, seconds(started), r.Revision,
				r.Upstream, want, seconds(acked))
		}
	}
}

// checkDrains: an acknowledged drain is known at each edge in touch.
func (j *runChecker) checkDrains() {
	type key struct {
		edge    string
		life    int
		replica string
	}
	takes := map[key][]ReplicaUse{}
	for _, k := range j.ReplicaUses {
		id := key{k.Edge, k.Life, k.Replica}
		takes[id] = append(takes[id], k)
	}
	for _, d := range j.Drains {
		if d.Acknowledged == 0 {
			continue
		}
		for _, l := range j.ProcessStarts {
			known := takes[key{l.Edge, l.Life, d.Replica}]
			until := j.endOf(l)
			for i, k := range known {
				end := until
				if i+1 < len(known) {
					end = known[i+1].At
				}
				if !k.Used || end <= d.Acknowledged+j.Bounds.Drain {
					continue
				}
				at, ok := j.firstConnected(l, max(k.At, d.Acknowledged+j.Bounds.Drain), end)
				switch {
				case !ok:
				case d.Departed > 0 && at > d.Departed:
					j.broken(DepartedUsed, at, "%s sends to %s from %s on, which departed at %s", l.Edge, d.Replica, seconds(k.At), seconds(d.Departed))
				default:
					j.broken(DrainIgnored, at, "%s still sends to %s, whose drain was acknowledged at %s", l.Edge, d.Replica, seconds(d.Acknowledged))
				}
			}
		}
	}
}

// firstConnected is the first time in a span at which an edge is in touch.
func (j *runChecker) firstConnected(l ProcessEvent, from, until int64) (int64, bool) {
	for at := max(from, l.At+j.Bounds.Contact); at < until; at += sampleInterval {
		if j.stability.healthy(l.Edge, at-j.Bounds.Contact, at) && j.stability.settled(at) {
			return at, true
		}
	}
	return 0, false
}

// checkAnswers: in calm times orders and reads have a clear answer.
func (j *runChecker) checkAnswers() {
	for _, o := range j.Orders {
		ended := o.Ended
		if ended == 0 {
			ended = noLimit
		}
		if at, late := j.waitedTooLong(o.Sent, min(ended, j.End)); late {
			j.broken(OrderUnanswered, at, "order %d (%s), sent at %s, has no clear answer after %d tries", o.Number, o.Content, seconds(o.Sent), len(o.Attempts))
		}
	}
	for _, r := range j.Reads {
		ended := r.Answered
		if ended == 0 {
			ended = noLimit
		}
		if at, late := j.waitedTooLong(r.Sent, min(ended, j.End)); late {
			j.broken(ReadUnanswered, at, "a read sent at %s has no answer", seconds(r.Sent))
		}
	}
}

// waitedTooLong tells whether a call waited through a whole calm span.
func (j *runChecker) waitedTooLong(sent, ended int64) (int64, bool) {
	for from := sent; from+j.Bounds.OrderAck < ended; from += sampleInterval {
		until := from + j.Bounds.OrderAck
		if j.stability.settled(from) && j.stability.settled(until) && j.stability.events.overlapsNone(from, until) && j.stability.slow.overlapsNone(from, until) &&
			j.stability.links.overlapsNone(from, until) {
			return until, true
		}
	}
	return 0, false
}

// checkIdle: a controller in touch does not fail one call after the other for as long as an order may take.
func (j *runChecker) checkIdle() {
	tries := map[string][]Attempt{}
	for _, o := range j.Orders {
		for _, t := range o.Attempts {
			tries[t.Controller] = append(tries[t.Controller], t)
		}
	}
	for _, r := range j.Reads {
		for _, t := range r.Attempts {
			tries[t.Controller] = append(tries[t.Controller], t)
		}
	}
	for _, m := range j.stability.controllers {
		mine := tries[m.Name]
		slices.SortStableFunc(mine, func(a, b Attempt) int { return cmp.Compare(a.Sent, b.Sent) })
		failed, since := 0, int64(0)
		for _, t := range mine {
			inTouch := t.Answered > 0 && j.stability.settled(t.Sent) && j.stability.settled(t.Answered) && j.stability.links.overlapsNone(t.Sent, t.Answered) &&
				j.stability.healthy(m.Name, t.Sent-j.Bounds.Contact, t.Answered)
			switch {
			case !inTouch:
			case t.Status > 0 && t.Status < 500:
				failed = 0
			default:
				if failed++; failed == 1 {
					since = t.Sent
				}
				if failed >= minIdleAttempts && t.Answered-since >= j.Bounds.OrderAck {
					failed = 0
					j.broken(IdleController, t.Answered, "%s does nothing for callers from %s on, the last answer is %d", m.Name, seconds(since), t.Status)
				}
			}
		}
	}
}

func seconds(at int64) string { return fmt.Sprintf("%.3f s", float64(at)/1e9) }

// register is the state of the sequential register that the history is compared with.
type register struct {
	revision uint64
	content  string
}

// operation is the input of one operation: an order, or a read.
type operation struct {
	read    bool
	order   register
	outcome Outcome
}

// model is a register in which the highest revision holds.
var model = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(register), input.(operation)
		switch {
		case in.read:
			return output.(register) == s, s
		case in.outcome == Refused || in.order.revision < s.revision:
			return true, s
		case in.order.revision == s.revision:
			return in.outcome != Acknowledged || in.order == s, s
		}
		return true, in.order
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkLinearizable: there is one order of all reads and orders that each saw.
func (j *runChecker) checkLinearizable() {
	var operations []porcupine.Operation
	for i, o := range j.Orders {
		ended := o.Ended
		if o.Outcome == Unclear {
			ended = noLimit
		}
		operations = append(operations, porcupine.Operation{ClientId: i, Input: operation{order: register{o.Revision, o.Content}, outcome: o.Outcome},
			Call: o.Sent, Output: register{}, Return: ended})
	}
	for i, r := range j.Reads {
		if r.Answered > 0 {
			operations = append(operations, porcupine.Operation{ClientId: len(j.Orders) + i, Input: operation{read: true}, Call: r.Sent,
				Output: register{r.Revision, r.Content}, Return: r.Answered})
		}
	}
	if porcupine.CheckOperationsTimeout(model, operations, linearizabilityTimeout) == porcupine.Illegal {
		j.broken(NotLinearizable, j.End, "no order of %d operations explains what was seen", len(operations))
	}
}
