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

// The scope of the exploration: two edges below one agent, of which one may restart once; notes late, lost or doubled.
const (
	exploredEdges  = 2
	exploredOwn    = 2.0 // of each edge
	exploredFaults = 1   // notes late, lost or doubled, and restarts, all together
)

var exploredTerms = Timing{Loan: 4, Window: 3, Margin: 1, MaxRequestAge: 1}

// explored is one state.
type explored struct {
	now     int64
	holders [exploredEdges]Account
	relay   Relay
	spent   [exploredEdges][]int64 // when
	up      [exploredEdges][]Message
	down    [exploredEdges][]Message
	said    [exploredEdges]bool    // in this tick
	told    [exploredEdges]float64 // the limit that the proxy has told the part of it that spends,
	applied [exploredEdges]float64 // and the one that it goes by: a limit takes effect within a tick
	faults  int
}

func startExplored() *explored {
	w := &explored{now: 100, relay: *NewRelay(exploredTerms)}
	for i := range w.holders {
		w.holders[i] = *NewAccount(0, exploredTerms)
		w.holders[i].SetShare(exploredOwn)
		w.told[i], w.applied[i] = exploredOwn, exploredOwn
	}
	return w
}

func (w *explored) clone() *explored {
	c := *w
	for i := range c.holders {
		c.spent[i] = slices.DeleteFunc(slices.Clone(w.spent[i]), func(at int64) bool { return w.now-at >= exploredTerms.Window })
		h := &c.holders[i]
		h.lent, h.borrowed, h.requests.sent = slices.Clone(h.lent), slices.Clone(h.borrowed), maps.Clone(h.requests.sent)
		if h.pending != nil {
			a := *h.pending
			h.pending = &a
		}
		c.up[i], c.down[i] = slices.Clone(w.up[i]), slices.Clone(w.down[i])
	}
	c.relay.available, c.relay.requests.sent, c.relay.pending = slices.Clone(c.relay.available), maps.Clone(c.relay.requests.sent), maps.Clone(c.relay.pending)
	return &c
}

// key is the same for states that go on alike: times count from now, wants by how many their sender has sent since, and
// what is over is left out.
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
	sent := func(wants *sentRequests) {
		for back := range uint64(6) {
			at, open := wants.sent[wants.lastNumber-back]
			put(-1)
			if open && w.now-at <= exploredTerms.Loan {
				put(w.now - at)
			}
		}
	}
	notes := func(all []Message, wants, loans *sentRequests) {
		put(int64(len(all)))
		for _, n := range all {
			put(int64(len(n.Requests)), int64(len(n.Loans)))
			for _, v := range n.Requests {
				put(int64(wants.lastNumber-v.Number), int64(4*v.Amount))
			}
			for _, l := range n.Loans {
				put(int64(loans.lastNumber-l.Answers), int64(4*l.Amount), l.Duration)
			}
		}
	}
	put(int64(w.faults))
	amounts(w.relay.available)
	sent(&w.relay.requests)
	for i := range w.holders {
		h := &w.holders[i]
		put(int64(4*w.told[i]), int64(4*w.applied[i]), min(w.now-h.startedAt, exploredTerms.Loan+exploredTerms.Window+1), int64(h.own), int64(4*h.reserved))
		amounts(h.lent)
		amounts(h.borrowed)
		sent(&h.requests)
		if h.pending != nil && w.now-h.pending.at <= exploredTerms.MaxRequestAge {
			put(1, w.now-h.pending.at, int64(w.relay.requests.lastNumber-h.pending.Number), int64(4*h.pending.Amount))
		}
		put(-2)
		if a, waits := w.relay.pending[Neighbor(fmt.Sprint(i))]; waits && w.now-a.at <= exploredTerms.MaxRequestAge {
			put(2, w.now-a.at, int64(h.requests.lastNumber-a.Number), int64(4*a.Amount))
		}
		put(-3)
		for _, at := range w.spent[i] {
			if w.now-at < exploredTerms.Window {
				put(w.now - at)
			}
		}
		put(-4)
		if w.said[i] {
			put(5)
		}
		notes(w.up[i], &h.requests, &w.relay.requests)
		notes(w.down[i], &w.relay.requests, &h.requests)
	}
	return xxhash.Sum64(key)
}

// used is what an edge has used in the window that ends now.
func (w *explored) used(edge int) (n float64) {
	for _, at := range w.spent[edge] {
		if w.now-at < exploredTerms.Window {
			n++
		}
	}
	return n
}

// next are the states that may follow, by what happens.
func (w *explored) next() map[string]*explored {
	all := map[string]*explored{}
	add := func(what string, edge int, change func(*explored)) {
		c := w.clone()
		change(c)
		all[fmt.Sprint(what, " ", edge)] = c
	}
	add("tick", 0, (*explored).tick)
	for i := range w.holders {
		if w.used(i)+1 <= w.applied[i] {
			add("spend", i, func(c *explored) {
				for c.used(i)+1 <= c.applied[i] {
					c.spent[i] = append(c.spent[i], c.now)
				}
			})
		}
		if w.applied[i] != w.told[i] {
			add("limit takes effect", i, func(c *explored) { c.applied[i] = c.told[i] })
		}
		if !w.said[i] && len(w.up[i])+len(w.down[i]) == 0 {
			add("report", i, func(c *explored) { c.report(i); c.hear(i); c.answer(i) })
		}
		if len(w.up[i]) > 0 {
			add("hear late", i, func(c *explored) { c.hear(i); c.answer(i) })
		}
		if len(w.down[i]) > 0 {
			add("answer late", i, func(c *explored) { c.answer(i) })
		}
		if w.faults < exploredFaults {
			w.faulty(i, add)
		}
	}
	return all
}

// faulty are the states that follow a fault.
func (w *explored) faulty(edge int, add func(string, int, func(*explored))) {
	fault := func(what string, change func(*explored)) {
		add(what, edge, func(c *explored) { c.faults++; change(c) })
	}
	fault("restart", func(c *explored) {
		c.up[edge], c.down[edge] = nil, nil
		c.holders[edge] = *NewAccount(c.now, exploredTerms)
		c.told[edge], c.applied[edge] = 0, 0
	})
	if w.said[edge] || len(w.up[edge])+len(w.down[edge]) > 0 {
		return
	}
	fault("report is late", func(c *explored) { c.report(edge) })
	fault("report is lost", func(c *explored) { c.report(edge); c.up[edge] = nil })
	fault("report is doubled", func(c *explored) { c.report(edge); c.up[edge] = append(c.up[edge], c.up[edge]...) })
	fault("answer is late", func(c *explored) { c.report(edge); c.hear(edge) })
	fault("answer is lost", func(c *explored) { c.report(edge); c.hear(edge); c.down[edge] = nil })
	fault("answer is doubled", func(c *explored) { c.report(edge); c.hear(edge); c.down[edge] = append(c.down[edge], c.down[edge]...) })
}

func (w *explored) report(edge int) {
	w.said[edge], w.applied[edge] = true, w.told[edge] // what is used is read after the limit told last
	w.up[edge] = append(w.up[edge], w.holders[edge].NextMessage(w.now, Usage{w.used(edge), w.used(edge) > 0}))
	w.told[edge] = w.holders[edge].Limit(w.now)
}

func (w *explored) tick() {
	w.now++
	w.said = [exploredEdges]bool{}
	for i := range w.holders { // one that has just started owns nothing for a window, as the routing table has it
		if h := &w.holders[i]; w.now-h.startedAt > exploredTerms.Window {
			h.SetShare(exploredOwn)
		}
		w.applied[i], w.told[i] = w.told[i], w.holders[i].Limit(w.now)
	}
}

func (w *explored) hear(edge int) {
	from := Neighbor(fmt.Sprint(edge))
	w.relay.Handle(w.now, from, w.up[edge][0])
	w.up[edge] = w.up[edge][1:]
	if n := w.relay.NextMessage(w.now, from); !n.Empty() {
		w.down[edge] = append(w.down[edge], n)
	}
}

func (w *explored) answer(edge int) {
	if len(w.down[edge]) > 0 {
		w.holders[edge].Handle(w.now, w.down[edge][0])
		w.down[edge] = w.down[edge][1:]
	}
}

// found is a state and how it was reached.
type found struct {
	*explored
	before *found
	what   string
}

func (f *found) trace() (events []string) {
	for ; f.before != nil; f = f.before {
		events = append([]string{f.what}, events...)
	}
	return events
}

// explore visits every state within depth events, breadth first, and returns how many there are, whether that was all,
// and whether any edge used more than it owns.
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
					t.Fatalf("%v of %v are used after %q", used, exploredEdges*exploredOwn, reached.trace())
				}
				borrowed = borrowed || w.used(0) > exploredOwn
				following = append(following, reached)
			}
		}
		layer = following
	}
	return len(seen), len(layer) == 0, borrowed
}

var deeper = flag.Int("deeper", 0, "events beyond those that an exploration goes to usually")

// TestSumHolds explores every order of events in a small scope: what both edges have used in any window is never more than
// the whole bound. It also shows that loans are used at all.
func TestSumHolds(t *testing.T) {
	borrows := []string{"spend 0", "report 0", "report 1", "tick 0", "report 0", "report 1", "tick 0"} // edge 1 is about to tell of its loan
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
