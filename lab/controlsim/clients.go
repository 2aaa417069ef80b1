package controlsim

import (
	"bytes"
	"cmp"
	"compress/flate"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"willowsill/decide/controller"
	"willowsill/decide/registry"
	"willowsill/lab/controlsim/checker"
)

// Times of operators and replicas, ns.
const (
	callTimeout       = second           // a call without an answer fails after this time
	minBackoff        = 50 * millisecond // first pause before a retry; each further one doubles up to maxBackoff
	maxBackoff        = 800 * millisecond
	controllerListLag = 3 * second        // age of the operators' list of controllers
	firstOrder        = 500 * millisecond // time of the first order of a run
	quietTime         = 14 * second       // time before the end of the run in which no random order or drain is sent
	maxPendingOrders  = 8                 // no new random order is sent while this many have no answer
	retryTimeout      = 40 * second       // an operator stops retrying after this time
	drainTimeout      = 6 * second        // a replica departs after this time even if no controller has acknowledged its drain
	maxRaceDelay      = 30 * millisecond  // maximum delay of a second content under the same revision
	maxHeartbeatDelay = 6 * second        // maximum delay of a heartbeat that arrives after its replica's departure
	maxServeTime      = 20 * second       // maximum time that a draining replica still serves after Bounds.Drain
)

// Results of a call without an HTTP status: no answer within callTimeout, and a connection that is refused or reset.
const (
	noAnswer          = 0
	connectionRefused = -1
)

// call simulates one HTTP call to a controller. done is called once, with an HTTP status, noAnswer or connectionRefused.
func (w *world) call(from, to string, in func(s *server, answer func(controller.Answer)), done func(status int, body []byte)) {
	over := false
	end := func(status int, body []byte) {
		if !over {
			over = true
			done(status, body)
		}
	}
	w.scheduleAfter(callTimeout, func() { end(noAnswer, nil) })
	n, s := w.network, w.servers[to]
	if s == nil {
		return
	}
	m := s.machine
	w.scheduleAfter(3*n.latency(from, to), func() {
		switch {
		case n.blocked(from, to) || n.blocked(to, from) || !m.powered:
			return
		case !m.up || s.shuttingDown:
			w.scheduleAfter(n.latency(to, from), func() { end(connectionRefused, nil) })
			return
		}
		incarnation := m.incarnation
		m.onExit = append(m.onExit, func(silently bool) {
			if !silently && !over {
				w.scheduleAfter(n.latency(to, from), func() { end(connectionRefused, nil) })
			}
		})
		m.dispatch(incarnation, func() {
			in(s, func(a controller.Answer) {
				latency := n.latency(to, from)
				lost := w.answerLosses > 0 && w.rng.IntN(2) == 0
				w.scheduleAfter(latency, func() {
					if !n.blocked(to, from) && !lost {
						end(a.Status, a.Body)
					}
				})
			})
		})
	})
}

// scheduleClients adds the replicas and schedules the requests of the workload and the plan's actions.
func (w *world) scheduleClients() {
	rng := rand.New(rand.NewPCG(w.plan.Seed, 3))
	load, end := w.plan.Workload, int64(w.plan.Length)-quietTime
	for i := range w.plan.Replicas {
		w.addReplica(fmt.Sprint("r", i+1))
	}
	w.scheduleAt(firstOrder, func() { w.newOrder(rng, "") })
	for at := rng.Int64N(second) + 2*second; load.OrderEvery > 0 && at < end; at += 1 + int64(rng.ExpFloat64()*float64(load.OrderEvery)) {
		w.scheduleAt(at, func() { w.randomOrder(rng) })
	}
	for _, s := range load.Storms {
		for i := range s.Orders {
			w.scheduleAt(int64(s.At)+int64(i)*int64(s.For)/int64(s.Orders), func() { w.randomOrder(rng) })
		}
	}
	for at := 3 * second; load.ReadEvery > 0 && at < int64(w.plan.Length)-2*second; at += 1 + int64(rng.ExpFloat64()*float64(load.ReadEvery)) {
		w.scheduleAt(at, func() { w.startRead("", false) })
	}
	for at := 6 * second; load.DrainEvery > 0 && at < end; at += 1 + int64(rng.ExpFloat64()*float64(load.DrainEvery)) {
		w.scheduleAt(at, func() { w.randomDrain(rng) })
	}
	for i := range 5 { // reads at the end of the run, when all faults are over
		w.scheduleAt(int64(w.plan.Length)-8*second+int64(i)*second, func() { w.startRead("", false) })
	}
	for _, a := range w.plan.Actions {
		w.scheduleAt(int64(a.At), func() { w.runAction(a) })
	}
}

func (w *world) runAction(a Action) {
	switch a.Do {
	case ActionOrder:
		w.sendOrder(a.Revision, a.Content, a.Controller, a.Once)
	case ActionRead:
		w.startRead(a.Controller, a.Once)
	case ActionDrain, ActionDepart:
		for _, r := range w.replicas {
			if r.name != a.Replica || r.leaving {
				continue
			}
			r.controller = a.Controller
			if a.Do == ActionDrain {
				r.drainAndDepart()
			} else {
				r.departWithoutDrain()
			}
		}
	}
}

// order is one configuration that an operator sends, with retries.
type order struct {
	world      *world
	body       []byte
	record     checker.Order // what the checker is told about the order
	attempts   int
	backoff    int64
	once       bool
	unexpected int // number of 4xx answers with a status that does not end the order at once
}

// randomOrder sends a new order or repeats a former one. A new order is sometimes followed by other content under its revision.
func (w *world) randomOrder(rng *rand.Rand) {
	if rng.Float64() < w.plan.Workload.Resends && len(w.orders) > 0 {
		old := w.orders[len(w.orders)-1-rng.IntN(min(len(w.orders), 6))]
		w.sendOrder(old.record.Revision, old.record.Content, "", false)
		return
	}
	w.newOrder(rng, "")
	if rng.Float64() < w.plan.Workload.Races {
		rev := w.highestRevision
		w.scheduleAfter(randomBetween(rng, 0, maxRaceDelay), func() { w.sendOrder(rev, fmt.Sprint(rev, "/other"), "", false) })
	}
}

// newOrder sends an order with a new revision, first to the given controller, unless too many orders are without an answer.
func (w *world) newOrder(rng *rand.Rand, first string) {
	pending := 0
	for _, o := range w.orders {
		if o.record.Outcome == checker.Unclear && o.record.Ended == 0 {
			pending++
		}
	}
	if pending >= maxPendingOrders {
		return
	}
	w.highestRevision += 1 + uint64(rng.IntN(3))
	w.sendOrder(w.highestRevision, fmt.Sprint(w.highestRevision, "/one"), first, false)
}

// sendOrder sends a configuration, with retries until there is a definite answer unless once is set.
func (w *world) sendOrder(revision uint64, content, first string, once bool) {
	w.highestRevision = max(w.highestRevision, revision)
	body := content
	if n := w.plan.Workload.Bytes; n > len(body) {
		body += " " + strings.Repeat("route ", (n-len(body))/6)
	}
	o := &order{world: w, body: pack(body), backoff: minBackoff, once: once,
		record: checker.Order{Number: len(w.orders), Revision: revision, Content: content, Sent: w.now}}
	w.orders = append(w.orders, o)
	o.attempt(cmp.Or(first, w.randomController()))
}

// packers keeps compressors for reuse, since a new one is expensive.
var packers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.DefaultCompression)
	return w
}}

// pack compresses a configuration as clusterstate.Pack does.
func pack(content string) []byte {
	var b bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&b)
	w.Write([]byte(content))
	w.Close()
	return b.Bytes()
}

// randomController returns a random controller of the operators' list.
func (w *world) randomController() string {
	list := w.operatorList()
	return list[w.rng.IntN(len(list))]
}

// otherController returns a random controller other than the given one.
func (w *world) otherController(excluded string) string {
	for {
		if c := w.randomController(); c != excluded {
			return c
		}
	}
}

func (o *order) attempt(to string) {
	w := o.world
	o.attempts++
	attempt := checker.Attempt{Controller: to, Sent: w.now}
	index := len(o.record.Attempts)
	o.record.Attempts = append(o.record.Attempts, attempt)
	revision, body := o.record.Revision, o.body
	w.call("operator", to, func(s *server, answer func(controller.Answer)) {
		s.call(func(now int64, id uint64) controller.Effects {
			return s.controller.PutConfiguration(now, id, revision, body)
		}, answer)
	}, func(status int, _ []byte) {
		o.record.Attempts[index].Answered, o.record.Attempts[index].Status = w.now, status
		w.tracef("operator", "order %d (%s): %s answers %d", o.record.Number, o.record.Content, to, status)
		switch {
		case status == 200:
			o.record.Outcome, o.record.Ended = checker.Acknowledged, w.now
			w.startFaultsAfterAck(revision)
			return
		case slices.Contains([]int{400, 409, 412, 413, 422}, status):
			o.record.Outcome, o.record.Ended = checker.Refused, w.now
			return
		case status >= 400 && status < 500 && status != 408 && status != 429:
			if o.unexpected++; o.unexpected == 3 {
				o.record.Outcome, o.record.Ended = checker.Refused, w.now
				return
			}
		}
		if o.once || w.now-o.record.Sent > retryTimeout {
			o.record.Ended = w.now
			return
		}
		w.scheduleAfter(o.backoff, func() { o.attempt(w.otherController(to)) })
		o.backoff = min(2*o.backoff, maxBackoff)
	})
}

// startRead reads the newest configuration, with retries until there is a definite answer unless once is set.
func (w *world) startRead(first string, once bool) {
	index := len(w.history.Reads)
	w.history.Reads = append(w.history.Reads, checker.Read{Sent: w.now})
	w.attemptRead(index, cmp.Or(first, w.randomController()), once, minBackoff)
}

func (w *world) attemptRead(index int, to string, once bool, pause int64) {
	sent := w.now
	w.call("operator", to, func(s *server, answer func(controller.Answer)) {
		s.call(s.controller.ReadConfiguration, answer)
	}, func(status int, body []byte) {
		r := &w.history.Reads[index]
		r.Attempts = append(r.Attempts, checker.Attempt{Controller: to, Sent: sent, Answered: w.now, Status: status})
		switch {
		case status == 200:
			r.Content, r.Answered = unpackContent(body), w.now
			r.Revision = revisionOf(r.Content)
			w.tracef("operator", "reads %s from %s", r.Content, to)
		case status == 404:
			r.Answered = w.now
		case !once && w.now-r.Sent < retryTimeout:
			w.scheduleAfter(pause, func() { w.attemptRead(index, w.otherController(to), once, min(2*pause, maxBackoff)) })
		}
	})
}

func revisionOf(content string) (revision uint64) {
	fmt.Sscanf(content, "%d/", &revision)
	return revision
}

// replica sends heartbeats until it drains or departs. The replica that replaces it has a new name.
type replica struct {
	world      *world
	name       string
	controller string
	sequence   uint64
	leaving    bool
}

func (w *world) addReplica(name string) {
	r := &replica{world: w, name: name}
	w.replicas = append(w.replicas, r)
	w.scheduleAfter(randomBetween(w.rng, 0, second), r.sendHeartbeat)
}

func (r *replica) newRecord(phase registry.Phase) registry.Record {
	r.sequence++
	return registry.Record{ID: r.name, Service: "service", Address: r.name + ":80", Zone: zoneName(0), Capacity: 4, Phase: phase, Seq: r.sequence}
}

// call sends one record to the replica's controller. After a failure the replica changes to another controller; otherwise it uses the
// one that the answer names.
func (r *replica) call(record registry.Record, done func(status int)) {
	w := r.world
	if r.controller == "" {
		r.controller = w.randomController()
	}
	target := ""
	w.call("replica", r.controller, func(s *server, answer func(controller.Answer)) {
		s.call(func(now int64, id uint64) controller.Effects { return s.controller.HandleReplicaCall(now, id, record) }, func(a controller.Answer) {
			target = a.HeartbeatTarget
			answer(a)
		})
	}, func(status int, _ []byte) {
		switch {
		case status != 200:
			r.controller = w.otherController(r.controller)
		case target != "":
			r.controller = target
		}
		done(status)
	})
}

// sendHeartbeat sends heartbeats until the replica drains or departs.
func (r *replica) sendHeartbeat() {
	if r.leaving {
		return
	}
	r.call(r.newRecord(registry.Ready), func(status int) {
		wait := heartbeatInterval
		if status != 200 {
			wait = minBackoff
		}
		r.world.scheduleAfter(wait, r.sendHeartbeat)
	})
}

// randomDrain drains a random replica and adds a new one in its place.
func (w *world) randomDrain(rng *rand.Rand) {
	var active []*replica
	for _, r := range w.replicas {
		if !r.leaving {
			active = append(active, r)
		}
	}
	if len(active) < 2 {
		return
	}
	active[rng.IntN(len(active))].drainAndDepart()
	w.addReplica(fmt.Sprint("r", len(w.replicas)+1))
}

// drainAndDepart announces a drain until it is acknowledged; the replica serves a while longer and then departs.
func (r *replica) drainAndDepart() {
	r.announceUntilAcknowledged(r.newRecord(registry.Draining), r.depart)
}

// departWithoutDrain announces the replica's departure, without a drain before it, until it is acknowledged. One of its earlier
// heartbeats arrives seconds later, at a random controller.
func (r *replica) departWithoutDrain() {
	w := r.world
	delayed := r.newRecord(registry.Ready)
	r.announceUntilAcknowledged(registry.Record{ID: r.name, Phase: registry.Gone}, func() {})
	w.scheduleAfter(randomBetween(w.rng, second, maxHeartbeatDelay), func() {
		r.controller = w.randomController()
		r.call(delayed, func(int) {})
	})
}

// announceUntilAcknowledged sends a record until a controller acknowledges it or drainTimeout has passed. After an acknowledgement the
// replica serves a while longer; then end is called.
func (r *replica) announceUntilAcknowledged(record registry.Record, end func()) {
	w := r.world
	r.leaving = true
	began := w.now
	index := len(w.history.Drains)
	w.history.Drains = append(w.history.Drains, checker.Drain{Replica: r.name, Sent: w.now})
	var try func()
	try = func() {
		to := r.controller
		sent := w.now
		r.call(record, func(status int) {
			d := &w.history.Drains[index]
			d.Attempts = append(d.Attempts, checker.Attempt{Controller: to, Sent: sent, Answered: w.now, Status: status})
			switch {
			case status == 200:
				d.Acknowledged = w.now
				w.tracef(r.name, "leaves, by %s", to)
				w.scheduleAfter(int64(w.plan.Bounds.Drain)+randomBetween(w.rng, second, maxServeTime), func() {
					w.history.Drains[index].Departed = w.now
					end()
				})
			case w.now-began > drainTimeout:
				d.Departed = w.now
			default:
				w.scheduleAfter(minBackoff, try)
			}
		})
	}
	if r.controller == "" {
		r.controller = w.randomController()
	}
	try()
}

func (r *replica) depart() {
	r.call(registry.Record{ID: r.name, Phase: registry.Gone}, func(int) {})
}
