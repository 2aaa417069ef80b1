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

// overlapsNone tells whether none touches a window.
func (s *spans) overlapsNone(from, until int64) bool {
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

// stability answers when machines were in trouble, and when the controllers were settled.
type stability struct {
	history     History
	controllers []Machine
	faults      map[string]*spans
	events      *spans // moments at which something began or ended at a controller
	majorFaults *spans // moments at which most controllers were hit at once
	slow        *spans // in which a controller or its links were slow
	links       *spans // in which links of controllers or operators were in trouble
}

func newStability(h History) *stability {
	c := &stability{history: h, faults: map[string]*spans{}, events: &spans{}, majorFaults: &spans{}, slow: &spans{}, links: &spans{}}
	for _, m := range h.Machines {
		if m.IsController {
			c.controllers = append(c.controllers, m)
			c.events.add(m.From, m.From)
		}
	}
	begun := map[int64]int{}
	for _, t := range h.FaultSpans {
		if c.faults[t.Machine] == nil {
			c.faults[t.Machine] = &spans{}
		}
		c.faults[t.Machine].add(t.From, t.Until)
		core := c.isController(t.Machine)
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
		if begun[t.From]++; 2*begun[t.From] > c.controllersAt(t.From) {
			c.majorFaults.add(t.From, t.From)
			c.majorFaults.add(t.Until, t.Until)
		}
	}
	for _, s := range c.faults {
		s.sort()
	}
	for _, s := range []*spans{c.events, c.majorFaults, c.slow, c.links} {
		s.sort()
	}
	return c
}

// operator is the name under which troubles of the operators' links stand.
const operator = "operator"

func (c *stability) isController(name string) bool {
	return slices.ContainsFunc(c.controllers, func(m Machine) bool { return m.Name == name })
}

// controllersAt is how many controllers there are at a time.
func (c *stability) controllersAt(at int64) (n int) {
	for _, m := range c.controllers {
		if m.From <= at && at < m.Until {
			n++
		}
	}
	return n
}

// healthy tells whether a machine had no trouble in a window.
func (c *stability) healthy(name string, from, until int64) bool {
	return c.faults[name].overlapsNone(from, until)
}

// settled tells whether more than half of the controllers run and are connected at a time, and nothing has happened to any for
// long enough. A trouble that goes on is no event; a controller that is slow is.
func (c *stability) settled(at int64) bool {
	contact := c.history.Bounds.Contact
	return c.events.overlapsNone(at-contact, at) && c.slow.overlapsNone(at-contact, at) && c.majorFaults.overlapsNone(at-2*contact, at) && c.healthyMajority(at, at)
}

// healthyMajority tells whether more than half of the controllers that are deployed at the end of a window had no trouble in it.
func (c *stability) healthyMajority(from, until int64) bool {
	well := 0
	for _, m := range c.controllers {
		if m.From <= max(from, 0) && until < m.Until && c.healthy(m.Name, from, until) {
			well++
		}
	}
	return 2*well > c.controllersAt(until)
}

// isolates tells whether a cut leaves a controller without a majority.
func (c *stability) isolates(cut Cut) bool {
	here, left := 0, 0
	for _, m := range c.controllers {
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
