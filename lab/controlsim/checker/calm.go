package checker

import (
	"slices"
	"sort"
)

type span struct{ from, until int64 }

// spans are kept by their beginning. longest is the length of the longest, so that a look-up need not go through all.
type spans struct {
	all     []span
	longest int64
}

func (s *spans) add(from, until int64) {
	s.all = append(s.all, span{from, until})
	s.longest = max(s.longest, until-from)
}

func (s *spans) sort() {
	slices.SortFunc(s.all, func(a, b span) int { return int(a.from - b.from) })
}

// clear tells whether none touches a window.
func (s *spans) clear(from, until int64) bool {
	if s == nil {
		return true
	}
	first := sort.Search(len(s.all), func(i int) bool { return s.all[i].from >= from-s.longest })
	for _, o := range s.all[first:] {
		if o.from > until {
			break
		}
		if o.until >= from {
			return false
		}
	}
	return true
}

// calm answers when machines were in trouble, and when the controllers were settled.
type calm struct {
	history  History
	core     []Machine
	troubles map[string]*spans
	events   *spans // moments at which something began or ended at a controller
	most     *spans // moments at which most controllers were hit at once
	slow     *spans // in which a controller or its links were slow
	links    *spans // in which links of controllers or operators were in trouble
}

func newCalm(h History) *calm {
	c := &calm{history: h, troubles: map[string]*spans{}, events: &spans{}, most: &spans{}, slow: &spans{}, links: &spans{}}
	for _, m := range h.Machines {
		if m.Core {
			c.core = append(c.core, m)
			c.events.add(m.From, m.From)
		}
	}
	begun := map[int64]int{}
	for _, t := range h.Troubles {
		if c.troubles[t.Machine] == nil {
			c.troubles[t.Machine] = &spans{}
		}
		c.troubles[t.Machine].add(t.From, t.Until)
		core := c.isCore(t.Machine)
		if t.Link && (core || t.Machine == operator) {
			c.links.add(t.From, t.Until)
		}
		if !core {
			continue
		}
		c.events.add(t.From, t.From)
		c.events.add(t.Until, t.Until)
		if t.Slow {
			c.slow.add(t.From, t.Until)
		}
		if begun[t.From]++; 2*begun[t.From] > c.deployed(t.From) {
			c.most.add(t.From, t.From)
			c.most.add(t.Until, t.Until)
		}
	}
	for _, s := range c.troubles {
		s.sort()
	}
	for _, s := range []*spans{c.events, c.most, c.slow, c.links} {
		s.sort()
	}
	return c
}

// operator is the name under which troubles of the operators' links stand.
const operator = "operator"

func (c *calm) isCore(name string) bool {
	return slices.ContainsFunc(c.core, func(m Machine) bool { return m.Name == name })
}

// deployed is how many controllers there are at a time.
func (c *calm) deployed(at int64) (n int) {
	for _, m := range c.core {
		if m.From <= at && at < m.Until {
			n++
		}
	}
	return n
}

// machine tells whether a machine had no trouble in a window.
func (c *calm) machine(name string, from, until int64) bool {
	return c.troubles[name].clear(from, until)
}

// settled tells whether more than half of the controllers run and are connected at a time, and nothing has happened to any for
// long enough. A trouble that goes on is no event; a controller that is slow is.
func (c *calm) settled(at int64) bool {
	contact := c.history.Bounds.Contact
	return c.events.clear(at-contact, at) && c.slow.clear(at-contact, at) && c.most.clear(at-2*contact, at) && c.majority(at, at)
}

// majority tells whether more than half of the controllers that are deployed at the end of a window had no trouble in it.
func (c *calm) majority(from, until int64) bool {
	well := 0
	for _, m := range c.core {
		if m.From <= max(from, 0) && until < m.Until && c.machine(m.Name, from, until) {
			well++
		}
	}
	return 2*well > c.deployed(until)
}

// cutOff tells whether a cut leaves a controller without a majority.
func (c *calm) cutOff(cut Cut) bool {
	here, left := 0, 0
	for _, m := range c.core {
		if m.From > cut.From || m.Until <= cut.Until {
			continue
		}
		here++
		if m.Name == cut.Controller || !slices.Contains(cut.Others, m.Name) {
			left++
		}
	}
	return 2*left <= here
}
