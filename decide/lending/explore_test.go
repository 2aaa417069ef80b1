package lending

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
)

// The scope of the exploration: two edges below one agent, and one fault, either the restart of an edge or a message that is
// delayed, lost or duplicated.
const (
	exploredEdges  = 2
	exploredOwn    = 2.0 // share of each edge
	exploredFaults = 1   // faults in total
)

var exploredTiming = Timing{Loan: 4, Window: 3, Margin: 1, MaxRequestAge: 1}

// explored is one state of the exploration.
type explored struct {
	now      int64
	accounts [exploredEdges]Account
	relay    Relay
	spent    [exploredEdges][]int64   // times at which each edge used something
	up       [exploredEdges][]Message // messages on the way from each edge to the agent
	down     [exploredEdges][]Message // messages on the way from the agent to each edge
	reported [exploredEdges]bool      // the edge has reported in this tick
	passed   [exploredEdges]float64   // newest limit that the proxy has passed to its component that uses the budget
	applied  [exploredEdges]float64   // limit that this component applies; a new one takes effect within a tick
	faults   int
}

// startExplored returns the state before any event: both edges own their share, and nothing is lent.
func startExplored() *explored {
	w := &explored{now: 100, relay: *NewRelay(exploredTiming)}
	for i := range w.accounts {
		w.accounts[i] = *NewAccount(0, exploredTiming)
		w.accounts[i].SetShare(exploredOwn)
		w.passed[i], w.applied[i] = exploredOwn, exploredOwn
	}
	return w
}

// clone returns an independent copy.
func (w *explored) clone() *explored {
	c := *w
	for i := range c.accounts {
		c.spent[i] = slices.DeleteFunc(slices.Clone(w.spent[i]), func(at int64) bool { return w.now-at >= exploredTiming.Window })
		account := &c.accounts[i]
		account.lent, account.borrowed, account.requests.sent = slices.Clone(account.lent), slices.Clone(account.borrowed), maps.Clone(account.requests.sent)
		if account.pending != nil {
			a := *account.pending
			account.pending = &a
		}
		c.up[i], c.down[i] = slices.Clone(w.up[i]), slices.Clone(w.down[i])
	}
	c.relay.available, c.relay.requests.sent, c.relay.pending = slices.Clone(c.relay.available), maps.Clone(c.relay.requests.sent), maps.Clone(c.relay.pending)
	return &c
}

// key is equal for states that continue alike. Times are relative to now, request numbers are relative to the sender's
// newest one, and expired data is left out.
func (w *explored) key() uint64 {
	key := make([]byte, 0, 256)
	put := func(values ...int64) {
		for _, v := range values {
			key = append(key, byte(v))
		}
	}
	amounts := func(all []amount) {
		all = unexpired(w.now, all)
		slices.SortFunc(all, func(x, y amount) int {
			return cmp.Or(cmp.Compare(x.expiresAt, y.expiresAt), cmp.Compare(x.value, y.value))
		})
		put(int64(len(all)))
		for _, a := range all {
			put(a.expiresAt-w.now, int64(4*a.value))
		}
	}
	sent := func(requests *sentRequests) {
		for back := range uint64(6) {
			at, open := requests.sent[requests.lastNumber-back]
			put(-1)
			if open && w.now-at <= exploredTiming.Loan {
				put(w.now - at)
			}
		}
	}
	messages := func(all []Message, requests, loans *sentRequests) {
		put(int64(len(all)))
		for _, n := range all {
			put(int64(len(n.Requests)), int64(len(n.Loans)))
			for _, v := range n.Requests {
				put(int64(requests.lastNumber-v.Number), int64(4*v.Amount))
			}
			for _, l := range n.Loans {
				put(int64(loans.lastNumber-l.Answers), int64(4*l.Amount), l.Duration)
			}
		}
	}
	put(int64(w.faults))
	amounts(w.relay.available)
	sent(&w.relay.requests)
	for i := range w.accounts {
		account := &w.accounts[i]
		put(int64(4*w.passed[i]), int64(4*w.applied[i]), min(w.now-account.startedAt, exploredTiming.Loan+exploredTiming.Window+1), int64(account.own), int64(4*account.reserved))
		amounts(account.lent)
		amounts(account.borrowed)
		sent(&account.requests)
		if account.pending != nil && w.now-account.pending.at <= exploredTiming.MaxRequestAge {
			put(1, w.now-account.pending.at, int64(w.relay.requests.lastNumber-account.pending.Number), int64(4*account.pending.Amount))
		}
		put(-2)
		if a, waits := w.relay.pending[Neighbor(fmt.Sprint(i))]; waits && w.now-a.at <= exploredTiming.MaxRequestAge {
			put(2, w.now-a.at, int64(account.requests.lastNumber-a.Number), int64(4*a.Amount))
		}
		put(-3)
		for _, at := range w.spent[i] {
			if w.now-at < exploredTiming.Window {
				put(w.now - at)
			}
		}
		put(-4)
		if w.reported[i] {
			put(5)
		}
		messages(w.up[i], &account.requests, &w.relay.requests)
		messages(w.down[i], &w.relay.requests, &account.requests)
	}
	return xxhash.Sum64(key)
}

// used returns what an edge has used in the window that ends now.
func (w *explored) used(edge int) (n float64) {
	for _, at := range w.spent[edge] {
		if w.now-at < exploredTiming.Window {
			n++
		}
	}
	return n
}

// next returns the states that may follow, by event.
func (w *explored) next() map[string]*explored {
	all := map[string]*explored{}
	add := func(what string, edge int, change func(*explored)) {
		c := w.clone()
		change(c)
		all[fmt.Sprint(what, " ", edge)] = c
	}
	add("tick", 0, (*explored).tick)
	for i := range w.accounts {
		if w.used(i)+1 <= w.applied[i] {
			add("spend", i, func(c *explored) {
				for c.used(i)+1 <= c.applied[i] {
					c.spent[i] = append(c.spent[i], c.now)
				}
			})
		}
		if w.applied[i] != w.passed[i] {
			add("limit takes effect", i, func(c *explored) { c.applied[i] = c.passed[i] })
		}
		if !w.reported[i] && len(w.up[i])+len(w.down[i]) == 0 {
			add("report", i, func(c *explored) { c.report(i); c.deliverReport(i); c.deliverAnswer(i) })
		}
		if len(w.up[i]) > 0 {
			add("hear late", i, func(c *explored) { c.deliverReport(i); c.deliverAnswer(i) })
		}
		if len(w.down[i]) > 0 {
			add("answer late", i, func(c *explored) { c.deliverAnswer(i) })
		}
		if w.faults < exploredFaults {
			w.faulty(i, add)
		}
	}
	return all
}

// faulty adds the states that follow after a fault.
func (w *explored) faulty(edge int, add func(string, int, func(*explored))) {
	fault := func(what string, change func(*explored)) {
		add(what, edge, func(c *explored) { c.faults++; change(c) })
	}
	fault("restart", func(c *explored) {
		c.up[edge], c.down[edge] = nil, nil
		c.accounts[edge] = *NewAccount(c.now, exploredTiming)
		c.passed[edge], c.applied[edge] = 0, 0
	})
	if w.reported[edge] || len(w.up[edge])+len(w.down[edge]) > 0 {
		return
	}
	fault("report is late", func(c *explored) { c.report(edge) })
	fault("report is lost", func(c *explored) { c.report(edge); c.up[edge] = nil })
	fault("report is doubled", func(c *explored) { c.report(edge); c.up[edge] = append(c.up[edge], c.up[edge]...) })
	fault("answer is late", func(c *explored) { c.report(edge); c.deliverReport(edge) })
	fault("answer is lost", func(c *explored) { c.report(edge); c.deliverReport(edge); c.down[edge] = nil })
	fault("answer is doubled", func(c *explored) {
		c.report(edge)
		c.deliverReport(edge)
		c.down[edge] = append(c.down[edge], c.down[edge]...)
	})
}

// report lets an edge report to the agent and apply its newest limit.
func (w *explored) report(edge int) {
	w.reported[edge], w.applied[edge] = true, w.passed[edge] // the usage is measured after the newest limit has taken effect
	w.up[edge] = append(w.up[edge], w.accounts[edge].NextMessage(w.now, Usage{w.used(edge), w.used(edge) > 0}))
	w.passed[edge] = w.accounts[edge].Limit(w.now)
}

// tick advances the time. Limits take effect and are renewed.
func (w *explored) tick() {
	w.now++
	w.reported = [exploredEdges]bool{}
	for i := range w.accounts { // an edge that has just started owns nothing for one window, as in the routing table
		if account := &w.accounts[i]; w.now-account.startedAt > exploredTiming.Window {
			account.SetShare(exploredOwn)
		}
		w.applied[i], w.passed[i] = w.passed[i], w.accounts[i].Limit(w.now)
	}
}

// deliverReport delivers a message of an edge to the agent, which answers.
func (w *explored) deliverReport(edge int) {
	from := Neighbor(fmt.Sprint(edge))
	w.relay.Handle(w.now, from, w.up[edge][0])
	w.up[edge] = w.up[edge][1:]
	if n := w.relay.NextMessage(w.now, from); !n.Empty() {
		w.down[edge] = append(w.down[edge], n)
	}
}

// deliverAnswer delivers the next message of the agent to an edge, if there is one.
func (w *explored) deliverAnswer(edge int) {
	if len(w.down[edge]) > 0 {
		w.accounts[edge].Handle(w.now, w.down[edge][0])
		w.down[edge] = w.down[edge][1:]
	}
}

// found is a state with the path that leads to it.
type found struct {
	*explored
	before *found
	what   string
}

// trace returns the events that led to the state.
func (f *found) trace() (events []string) {
	for ; f.before != nil; f = f.before {
		events = append([]string{f.what}, events...)
	}
	return events
}

// explore visits every state within depth events, breadth first. It returns the number of states, whether these are all, and
// whether any edge used more than it owns.
func explore(t *testing.T, start *explored, depth int) (states int, all, borrowed bool) {
	seen, layer := map[uint64]bool{}, []*found{{explored: start}}
	for ; len(layer) > 0 && depth > 0; depth-- {
		var following []*found
		for _, f := range layer {
			for what, w := range f.next() {
				k := w.key()
				if seen[k] {
					continue
				}
				seen[k] = true
				reached := &found{w, f, what}
				if used := w.used(0) + w.used(1); used > exploredEdges*exploredOwn {
					t.Fatalf("the edges use %v of a bound of %v after events %q", used, exploredEdges*exploredOwn, reached.trace())
				}
				borrowed = borrowed || w.used(0) > exploredOwn
				following = append(following, reached)
			}
		}
		layer = following
	}
	return len(seen), len(layer) == 0, borrowed
}

var deeper = flag.Int("deeper", 0, "additional events that an exploration goes to")

// TestSumHolds explores every order of events in a small scope: the use of both edges in any window never exceeds the total
// bound. It also checks that loans are used at all.
func TestSumHolds(t *testing.T) {
	borrows := []string{"spend 0", "report 0", "report 1", "tick 0", "report 0", "report 1", "tick 0"} // edge 1 is about to send its loan
	for name, c := range map[string]struct {
		first         []string
		faults, depth int
	}{
		"from the start":         {nil, 0, 16},
		"with a fault":           {nil, 1, 11},
		"as a loan is passed on": {borrows, 1, 10},
		"once a lender restarts": {append(borrows, "report 1", "report 0", "restart 1"), 0, 14},
	} {
		t.Run(name, func(t *testing.T) {
			w := startExplored()
			for _, what := range c.first {
				w = w.next()[what]
				must.NotNil(t, w, must.Sprint(what))
			}
			w.faults = exploredFaults - c.faults
			states, all, borrowed := explore(t, w, c.depth+*deeper)
			must.True(t, borrowed, must.Sprint("no edge ever used a loan"))
			t.Logf("%d states, all of them: %v", states, all)
		})
	}
}
