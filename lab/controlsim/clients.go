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
	answerWait   = second // of silence, and a caller goes on to the next
	pauseLeast   = 50 * millisecond
	pauseMost    = 800 * millisecond
	listLag      = 3 * second // the operator's list of controllers is so old
	firstOrder   = 500 * millisecond
	quietEnd     = 14 * second // before the end, in which nothing new is sent
	mostUnderWay = 8
	giveUpAfter  = 40 * second
	drainGiveUp  = 6 * second // a replica that nobody acknowledges ends all the same
	raceWithin   = 30 * millisecond
	lateBeatMost = 6 * second  // by how much a beat may be late
	servesOnMost = 20 * second // beyond the time for a drain, before a replica departs
)

// How a call ended without an HTTP status.
const (
	silence = 0
	refused = -1
)

// call carries one HTTP call to a controller; done is called once, with a status, or with silence or refused.
func (w *world) call(from, to string, in func(s *server, answer func(controller.Answer)), done func(status int, body []byte)) {
	over := false
	end := func(status int, body []byte) {
		if !over {
			over = true
			done(status, body)
		}
	}
	w.after(answerWait, func() { end(silence, nil) })
	n, s := w.network, w.servers[to]
	if s == nil {
		return
	}
	m := s.machine
	w.after(3*n.latency(from, to), func() {
		switch {
		case n.blocked(from, to) || n.blocked(to, from) || !m.powered:
			return
		case !m.up || s.leaving:
			w.after(n.latency(to, from), func() { end(refused, nil) })
			return
		}
		life := m.life
		m.ended = append(m.ended, func(silently bool) {
			if !silently && !over {
				w.after(n.latency(to, from), func() { end(refused, nil) })
			}
		})
		m.dispatch(life, func() {
			in(s, func(a controller.Answer) {
				late := n.latency(to, from)
				lost := w.lose > 0 && w.draw.IntN(2) == 0
				w.after(late, func() {
					if !n.blocked(to, from) && !lost {
						end(a.Status, a.Body)
					}
				})
			})
		})
	})
}

// addClients makes the replicas, and has the operators do what the workload and the acts say.
func (w *world) addClients() {
	draw := rand.New(rand.NewPCG(w.plan.Seed, 3))
	load, end := w.plan.Workload, int64(w.plan.Length)-quietEnd
	for i := range w.plan.Replicas {
		w.addReplica(fmt.Sprint("r", i+1))
	}
	w.at(firstOrder, func() { w.newOrder(draw, "") })
	for at := draw.Int64N(second) + 2*second; load.OrderEvery > 0 && at < end; at += 1 + int64(draw.ExpFloat64()*float64(load.OrderEvery)) {
		w.at(at, func() { w.drawnOrder(draw) })
	}
	for _, s := range load.Storms {
		for i := range s.Orders {
			w.at(int64(s.At)+int64(i)*int64(s.For)/int64(s.Orders), func() { w.drawnOrder(draw) })
		}
	}
	for at := 3 * second; load.ReadEvery > 0 && at < int64(w.plan.Length)-2*second; at += 1 + int64(draw.ExpFloat64()*float64(load.ReadEvery)) {
		w.at(at, func() { w.read("", false) })
	}
	for at := 6 * second; load.DrainEvery > 0 && at < end; at += 1 + int64(draw.ExpFloat64()*float64(load.DrainEvery)) {
		w.at(at, func() { w.drawnDrain(draw) })
	}
	for i := range 5 { // the operator reads back at the end
		w.at(int64(w.plan.Length)-8*second+int64(i)*second, func() { w.read("", false) })
	}
	for _, a := range w.plan.Acts {
		w.at(int64(a.At), func() { w.act(a) })
	}
}

func (w *world) act(a Act) {
	switch a.Do {
	case DoOrder:
		w.send(a.Revision, a.Content, a.Controller, a.Once)
	case DoRead:
		w.read(a.Controller, a.Once)
	case DoDrain, DoDepart:
		for _, r := range w.replicas {
			if r.name != a.Replica || r.leaving {
				continue
			}
			r.controller = a.Controller
			if a.Do == DoDrain {
				r.leave()
			} else {
				r.departFirst()
			}
		}
	}
}

// order is one configuration on its way, through as many tries as it takes.
type order struct {
	world   *world
	body    []byte
	seen    checker.Order
	tries   int
	pause   int64
	once    bool
	strange int // answers of 4xx that do not end a call at once
}

// drawnOrder sends a new order, at times beside another of the same number, or an old one once more.
func (w *world) drawnOrder(draw *rand.Rand) {
	if draw.Float64() < w.plan.Workload.Resends && len(w.orders) > 0 {
		old := w.orders[len(w.orders)-1-draw.IntN(min(len(w.orders), 6))]
		w.send(old.seen.Revision, old.seen.Content, "", false)
		return
	}
	w.newOrder(draw, "")
	if draw.Float64() < w.plan.Workload.Races {
		rev := w.highest
		w.after(between(draw, 0, raceWithin), func() { w.send(rev, fmt.Sprint(rev, "/other"), "", false) })
	}
}

func (w *world) newOrder(draw *rand.Rand, at string) {
	under := 0
	for _, o := range w.orders {
		if o.seen.Outcome == checker.Unclear && o.seen.Ended == 0 {
			under++
		}
	}
	if under >= mostUnderWay {
		return
	}
	w.highest += 1 + uint64(draw.IntN(3))
	w.send(w.highest, fmt.Sprint(w.highest, "/one"), at, false)
}

// send sends a configuration until there is a clear answer.
func (w *world) send(revision uint64, content, first string, once bool) {
	w.highest = max(w.highest, revision)
	body := content
	if n := w.plan.Workload.Bytes; n > len(body) {
		body += " " + strings.Repeat("route ", (n-len(body))/6)
	}
	o := &order{world: w, body: pack(body), pause: pauseLeast, once: once,
		seen: checker.Order{Number: len(w.orders), Revision: revision, Content: content, Sent: w.now}}
	w.orders = append(w.orders, o)
	o.try(cmp.Or(first, w.pick()))
}

// packers are kept, for one is costly to make.
var packers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.DefaultCompression)
	return w
}}

// pack packs a configuration as clusterstate.Pack does.
func pack(content string) []byte {
	var b bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&b)
	w.Write([]byte(content))
	w.Close()
	return b.Bytes()
}

// pick is any controller of the operator's list.
func (w *world) pick() string {
	list := w.listed()
	return list[w.draw.IntN(len(list))]
}

// other is any controller but one.
func (w *world) other(than string) string {
	for {
		if c := w.pick(); c != than {
			return c
		}
	}
}

func (o *order) try(to string) {
	w := o.world
	o.tries++
	try := checker.Try{Controller: to, Sent: w.now}
	index := len(o.seen.Tries)
	o.seen.Tries = append(o.seen.Tries, try)
	revision, body := o.seen.Revision, o.body
	w.call("operator", to, func(s *server, answer func(controller.Answer)) {
		s.call(func(now int64, id uint64) controller.Effects {
			return s.controller.PutConfiguration(now, id, revision, body)
		}, answer)
	}, func(status int, _ []byte) {
		o.seen.Tries[index].Answered, o.seen.Tries[index].Status = w.now, status
		w.tell("operator", "order %d (%s): %s answers %d", o.seen.Number, o.seen.Content, to, status)
		switch {
		case status == 200:
			o.seen.Outcome, o.seen.Ended = checker.Acknowledged, w.now
			w.acknowledged(revision)
			return
		case slices.Contains([]int{400, 409, 412, 413, 422}, status):
			o.seen.Outcome, o.seen.Ended = checker.Refused, w.now
			return
		case status >= 400 && status < 500 && status != 408 && status != 429:
			if o.strange++; o.strange == 3 {
				o.seen.Outcome, o.seen.Ended = checker.Refused, w.now
				return
			}
		}
		if o.once || w.now-o.seen.Sent > giveUpAfter {
			o.seen.Ended = w.now
			return
		}
		w.after(o.pause, func() { o.try(w.other(to)) })
		o.pause = min(2*o.pause, pauseMost)
	})
}

// read asks for the newest configuration until there is a clear answer.
func (w *world) read(first string, once bool) {
	index := len(w.history.Reads)
	w.history.Reads = append(w.history.Reads, checker.Read{Sent: w.now})
	w.readTry(index, cmp.Or(first, w.pick()), once, pauseLeast)
}

func (w *world) readTry(index int, to string, once bool, pause int64) {
	sent := w.now
	w.call("operator", to, func(s *server, answer func(controller.Answer)) {
		s.call(s.controller.ReadConfiguration, answer)
	}, func(status int, body []byte) {
		r := &w.history.Reads[index]
		r.Tries = append(r.Tries, checker.Try{Controller: to, Sent: sent, Answered: w.now, Status: status})
		switch {
		case status == 200:
			r.Content, r.Answered = contentOf(body), w.now
			r.Revision = revisionOf(r.Content)
			w.tell("operator", "reads %s from %s", r.Content, to)
		case status == 404:
			r.Answered = w.now
		case !once && w.now-r.Sent < giveUpAfter:
			w.after(pause, func() { w.readTry(index, w.other(to), once, min(2*pause, pauseMost)) })
		}
	})
}

func revisionOf(content string) (revision uint64) {
	fmt.Sscanf(content, "%d/", &revision)
	return revision
}

// replica sends heartbeats, drains and departs. Its successor has a name of its own.
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
	w.after(between(w.draw, 0, second), r.beat)
}

func (r *replica) record(phase registry.Phase) registry.Record {
	r.sequence++
	return registry.Record{ID: r.name, Service: "service", Address: r.name + ":80", Zone: zoneName(0), Capacity: 4, Phase: phase, Seq: r.sequence}
}

// tell makes one call of a replica.
func (r *replica) tell(record registry.Record, done func(status int)) {
	w := r.world
	if r.controller == "" {
		r.controller = w.pick()
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
			r.controller = w.other(r.controller)
		case target != "":
			r.controller = target
		}
		done(status)
	})
}

// beat sends heartbeats until the replica leaves.
func (r *replica) beat() {
	if r.leaving {
		return
	}
	r.tell(r.record(registry.Ready), func(status int) {
		wait := heartbeats
		if status != 200 {
			wait = pauseLeast
		}
		r.world.after(wait, r.beat)
	})
}

func (w *world) drawnDrain(draw *rand.Rand) {
	var here []*replica
	for _, r := range w.replicas {
		if !r.leaving {
			here = append(here, r)
		}
	}
	if len(here) < 2 {
		return
	}
	here[draw.IntN(len(here))].leave()
	w.addReplica(fmt.Sprint("r", len(w.replicas)+1))
}

// leave says that the replica drains until that is acknowledged, serves on for a while, and departs.
func (r *replica) leave() {
	r.sayUntilAcknowledged(r.record(registry.Draining), r.depart)
}

// departFirst says that the replica departs, without having drained, until that is acknowledged, and serves on for a while. A
// beat that it sent before comes seconds later, to another controller.
func (r *replica) departFirst() {
	w := r.world
	late := r.record(registry.Ready)
	r.sayUntilAcknowledged(registry.Record{ID: r.name, Phase: registry.Gone}, func() {})
	w.after(between(w.draw, second, lateBeatMost), func() {
		r.controller = w.pick()
		r.tell(late, func(int) {})
	})
}

// sayUntilAcknowledged says that the replica leaves, until a controller acknowledges it or the replica gives up; after an
// acknowledgement it serves on for a while before it ends.
func (r *replica) sayUntilAcknowledged(record registry.Record, end func()) {
	w := r.world
	r.leaving = true
	began := w.now
	index := len(w.history.Drains)
	w.history.Drains = append(w.history.Drains, checker.Drain{Replica: r.name, Sent: w.now})
	var try func()
	try = func() {
		to := r.controller
		sent := w.now
		r.tell(record, func(status int) {
			d := &w.history.Drains[index]
			d.Tries = append(d.Tries, checker.Try{Controller: to, Sent: sent, Answered: w.now, Status: status})
			switch {
			case status == 200:
				d.Acknowledged = w.now
				w.tell(r.name, "leaves, by %s", to)
				w.after(int64(w.plan.Bounds.Drain)+between(w.draw, second, servesOnMost), func() {
					w.history.Drains[index].Departed = w.now
					end()
				})
			case w.now-began > drainGiveUp:
				d.Departed = w.now
			default:
				w.after(pauseLeast, try)
			}
		})
	}
	if r.controller == "" {
		r.controller = w.pick()
	}
	try()
}

func (r *replica) depart() {
	r.tell(registry.Record{ID: r.name, Phase: registry.Gone}, func(int) {})
}
