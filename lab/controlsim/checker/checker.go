package checker

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"
)

// The names of the checks, as printed with a violation.
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

// Checks lists the names of all checks.
var Checks = []string{LostRevision, ConflictingContents, NotLinearizable, RefusedInForce, ResendRefused, EdgeWentBack,
	EdgeBehind, EdgeBehindMajority, IsolatedAnswer, StaleReady, DrainIgnored, DepartedUsed,
	OrderUnanswered, ReadUnanswered, IdleController}

const (
	sampleInterval         = 250 * int64(time.Millisecond)  // conditions over time are checked at this interval
	reachableTime          = 1500 * int64(time.Millisecond) // an edge can reach controllers that have had no fault for this time
	linearizabilityTimeout = 20 * time.Second               // real time; the search for an order of all operations stops after it
	cutDelay               = int64(time.Millisecond)        // an attempt counts as sent during a cut from this time after the start of the cut
	noLimit                = int64(Never)
	minIdleAttempts        = 3 // minimum number of calls in a row that a connected controller fails
	maxViolationsPerCheck  = 3 // maximum number of violations reported for one check
)

// runChecker holds one history, what was derived from it, and the violations found so far.
type runChecker struct {
	History
	stability        *stability
	acknowledgements []acknowledgement
	violations       []Violation
	count            map[string]int
}

// Check returns the violations in the order of time, at most three of each check.
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

// broken records a violation, unless maxViolationsPerCheck of the check are recorded already.
func (j *runChecker) broken(check string, at int64, format string, values ...any) {
	if j.count[check]++; j.count[check] <= maxViolationsPerCheck {
		j.violations = append(j.violations, Violation{check, at, fmt.Sprintf(format, values...)})
	}
}

// newest returns the newest revision that was acknowledged up to a time, and the time of its acknowledgement.
func (j *runChecker) newest(until int64) (revision uint64, at int64) {
	n := sort.Search(len(j.acknowledgements), func(i int) bool { return j.acknowledgements[i].at > until })
	if n == 0 {
		return 0, 0
	}
	return j.acknowledgements[n-1].revision, j.acknowledgements[n-1].at
}

// acknowledgement is the time from which a revision is the newest acknowledged one.
type acknowledgement struct {
	at       int64
	revision uint64
}

// newestAcknowledgements returns, in order, the acknowledgements of a revision newer than all before.
func newestAcknowledgements(orders []Order) (newest []acknowledgement) {
	var all []acknowledgement
	for _, o := range orders {
		if o.Outcome == Acknowledged {
			all = append(all, acknowledgement{o.Ended, o.Revision})
		}
	}
	slices.SortStableFunc(all, func(a, b acknowledgement) int { return cmp.Compare(a.at, b.at) })
	for _, r := range all {
		if n := len(newest); n == 0 || r.revision > newest[n-1].revision {
			newest = append(newest, r)
		}
	}
	return newest
}

// checkReads checks that a read that starts after an acknowledgement returns that revision or a newer one.
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

// checkContents checks that everything acknowledged, read or in force under one revision has the same content.
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

// checkRefusals checks that a refused order is in force nowhere, and that an acknowledged one is not refused when it is sent again.
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

// endOf returns the time at which a process of an edge ended.
func (j *runChecker) endOf(l ProcessEvent) int64 {
	for _, e := range j.ProcessEnds {
		if e.Edge == l.Edge && e.Incarnation == l.Incarnation {
			return e.At
		}
	}
	return j.End
}

// checkEdges checks that no process of an edge goes back to an older revision, and that connected edges serve what was acknowledged.
func (j *runChecker) checkEdges() {
	for _, l := range j.ProcessStarts {
		var serves []EdgeConfiguration
		for _, s := range j.EdgeConfigurations {
			if s.Edge == l.Edge && s.Incarnation == l.Incarnation {
				if n := len(serves); n > 0 && s.Revision < serves[n-1].Revision {
					j.broken(EdgeWentBack, s.At, "%s goes from %d to %d", s.Edge, serves[n-1].Revision, s.Revision)
				}
				serves = append(serves, s)
			}
		}
		j.checkBehind(l, serves)
	}
}

// checkBehind checks that a process of an edge serves the newest acknowledged revision in time: within Apply while the controllers are
// settled, and within Apply and Stretch while a majority of them has no fault.
func (j *runChecker) checkBehind(l ProcessEvent, serves []EdgeConfiguration) {
	b, held := j.Bounds, uint64(0)
	reported, reportedMajority := uint64(0), uint64(0)
	for at := l.At + b.Contact; at < j.endOf(l); at += sampleInterval {
		for len(serves) > 0 && serves[0].At <= at {
			held = max(held, serves[0].Revision)
			serves = serves[1:]
		}
		if !j.stability.healthy(l.Edge, at-b.Contact, at) {
			continue
		}
		if want, acked := j.newest(at - b.Apply); want > held && want > reported && j.stability.settled(at) {
			reported = want
			j.broken(EdgeBehind, at, "%s serves %d; %d was acknowledged at %s", l.Edge, held, want, seconds(acked))
		}
		want, acked := j.newest(at - b.Apply - b.Stretch)
		if want > held && want > reportedMajority && j.stability.healthy(l.Edge, acked-b.Contact, at) && l.At <= acked && j.stability.healthyMajority(acked-b.Contact, at) {
			reportedMajority = want
			j.broken(EdgeBehindMajority, at, "%s serves %d; %d was acknowledged at %s", l.Edge, held, want, seconds(acked))
		}
	}
}

// checkIsolated checks that a controller that is isolated from any majority neither acknowledges nor refuses an order or a drain.
func (j *runChecker) checkIsolated() {
	for _, c := range j.Cuts {
		if !j.stability.isolates(c) {
			continue
		}
		check := func(what string, attempts []Attempt) {
			for _, t := range attempts {
				inside := t.Controller == c.Controller && t.Sent >= c.From+cutDelay && t.Answered > 0 && t.Answered <= c.Until
				definite := t.Status == 200 || t.Status >= 400 && t.Status < 500 && t.Status != 408 && t.Status != 429
				if inside && definite {
					j.broken(IsolatedAnswer, t.Answered, "%s answers %s with %d while it is cut off from %s", t.Controller, what, t.Status, seconds(c.From))
				}
			}
		}
		for _, o := range j.Orders {
			check(fmt.Sprintf("order %d (%s)", o.Number, o.Content), o.Attempts)
		}
		for _, d := range j.Drains {
			check("the drain of "+d.Replica, d.Attempts)
		}
	}
}

// checkReadiness checks that an edge does not become ready with an old configuration while it can reach a majority of the controllers.
func (j *runChecker) checkReadiness() {
	for _, r := range j.Readiness {
		if !r.Ready {
			continue
		}
		started := int64(0)
		for _, l := range j.ProcessStarts {
			if l.Edge == r.Edge && l.Incarnation == r.Incarnation {
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

// checkDrains checks that connected edges stop sending to a replica within Drain after the acknowledgement of its drain.
func (j *runChecker) checkDrains() {
	type key struct {
		edge        string
		incarnation int
		replica     string
	}
	uses := map[key][]ReplicaUse{}
	for _, k := range j.ReplicaUses {
		id := key{k.Edge, k.Incarnation, k.Replica}
		uses[id] = append(uses[id], k)
	}
	for _, d := range j.Drains {
		if d.Acknowledged == 0 {
			continue
		}
		for _, l := range j.ProcessStarts {
			known := uses[key{l.Edge, l.Incarnation, d.Replica}]
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

// firstConnected returns the first time in a period at which an edge has no fault and the controllers are settled.
func (j *runChecker) firstConnected(l ProcessEvent, from, until int64) (int64, bool) {
	for at := max(from, l.At+j.Bounds.Contact); at < until; at += sampleInterval {
		if j.stability.healthy(l.Edge, at-j.Bounds.Contact, at) && j.stability.settled(at) {
			return at, true
		}
	}
	return 0, false
}

// checkAnswers checks that orders and reads get a definite answer within OrderAck while the controllers are settled.
func (j *runChecker) checkAnswers() {
	for _, o := range j.Orders {
		ended := o.Ended
		if ended == 0 {
			ended = noLimit
		}
		if at, overdue := j.waitedTooLong(o.Sent, min(ended, j.End)); overdue {
			j.broken(OrderUnanswered, at, "order %d (%s), sent at %s, has no definite answer after %d attempts", o.Number, o.Content, seconds(o.Sent), len(o.Attempts))
		}
	}
	for _, r := range j.Reads {
		ended := r.Answered
		if ended == 0 {
			ended = noLimit
		}
		if at, overdue := j.waitedTooLong(r.Sent, min(ended, j.End)); overdue {
			j.broken(ReadUnanswered, at, "a read sent at %s has no answer", seconds(r.Sent))
		}
	}
}

// waitedTooLong reports whether a call had no answer for OrderAck while the controllers were settled, no fault began or ended, and no
// link had a fault. It also returns the end of that time.
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

// checkIdle checks that a connected controller does not fail all its calls in a row for as long as an order may take.
func (j *runChecker) checkIdle() {
	attempts := map[string][]Attempt{}
	for _, o := range j.Orders {
		for _, t := range o.Attempts {
			attempts[t.Controller] = append(attempts[t.Controller], t)
		}
	}
	for _, r := range j.Reads {
		for _, t := range r.Attempts {
			attempts[t.Controller] = append(attempts[t.Controller], t)
		}
	}
	for _, m := range j.stability.controllers {
		own := attempts[m.Name]
		slices.SortStableFunc(own, func(a, b Attempt) int { return cmp.Compare(a.Sent, b.Sent) })
		failed, since := 0, int64(0)
		for _, t := range own {
			connected := t.Answered > 0 && j.stability.settled(t.Sent) && j.stability.settled(t.Answered) && j.stability.links.overlapsNone(t.Sent, t.Answered) &&
				j.stability.healthy(m.Name, t.Sent-j.Bounds.Contact, t.Answered)
			switch {
			case !connected:
			case t.Status > 0 && t.Status < 500:
				failed = 0
			default:
				if failed++; failed == 1 {
					since = t.Sent
				}
				if failed >= minIdleAttempts && t.Answered-since >= j.Bounds.OrderAck {
					failed = 0
					j.broken(IdleController, t.Answered, "%s fails all calls from %s on, the last status is %d", m.Name, seconds(since), t.Status)
				}
			}
		}
	}
}

func seconds(at int64) string { return fmt.Sprintf("%.3f s", float64(at)/1e9) }

// register is the state of the sequential register to which the history is compared.
type register struct {
	revision uint64
	content  string
}

// operation is the input of one operation of the model: an order or a read.
type operation struct {
	read    bool
	order   register
	outcome Outcome
}

// model is a sequential register that keeps the order with the highest revision.
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

// checkLinearizable checks that the reads and orders are linearizable: one sequence of all of them explains every answer.
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
		j.broken(NotLinearizable, j.End, "no sequence of the %d operations explains the answers", len(operations))
	}
}
