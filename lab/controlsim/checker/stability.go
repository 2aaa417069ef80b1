package checker

import (
	"slices"
	"sort"
)

// span is a period of time.
type span struct{ from, until int64 }

// spans is a list of periods, in the order of their start once sort was called. longest is the length of the longest one: a search need
// not go back further than that.
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

// overlapsNone reports whether no span overlaps a window.
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

// stability answers when machines had faults, and when the controllers were free of them.
type stability struct {
	history     History
	controllers []Machine
	faults      map[string]*spans
	events      *spans // times at which a fault of a controller, or its deployment, began or ended
	majorFaults *spans // times at which a fault of most controllers at once began or ended
	slow        *spans // periods in which a controller, its disk or its links were impaired
	links       *spans // periods in which links of controllers or operators had a fault
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
		isController := c.isController(t.Machine)
		if t.Link && (isController || t.Machine == operator) {
			c.links.add(t.From, t.Until)
		}
		if !isController {
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

// operator is the machine name of faults of the operators' links.
const operator = "operator"

func (c *stability) isController(name string) bool {
	return slices.ContainsFunc(c.controllers, func(m Machine) bool { return m.Name == name })
}

// controllersAt returns the number of controllers that are deployed at a time.
func (c *stability) controllersAt(at int64) (n int) {
	for _, m := range c.controllers {
		if m.From <= at && at < m.Until {
			n++
		}
	}
	return n
}

// healthy reports whether a machine had no fault in a window.
func (c *stability) healthy(name string, from, until int64) bool {
	return c.faults[name].overlapsNone(from, until)
}

// settled reports whether at a time more than half of the controllers are free of faults and no controller's fault has begun or ended
// within the contact time, or twice that time for a fault of most controllers. Faults that began earlier may still last, except those
// that impair a controller, its disk or its links.
func (c *stability) settled(at int64) bool {
	contact := c.history.Bounds.Contact
	return c.events.overlapsNone(at-contact, at) && c.slow.overlapsNone(at-contact, at) && c.majorFaults.overlapsNone(at-2*contact, at) && c.healthyMajority(at, at)
}

// healthyMajority reports whether more than half of the controllers that are deployed at the end of a window were deployed and without
// a fault during the whole window.
func (c *stability) healthyMajority(from, until int64) bool {
	healthy := 0
	for _, m := range c.controllers {
		if m.From <= max(from, 0) && until < m.Until && c.healthy(m.Name, from, until) {
			healthy++
		}
	}
	return 2*healthy > c.controllersAt(until)
}

// isolates reports whether a cut separates a controller from any majority.
func (c *stability) isolates(cut Cut) bool {
	deployed, reachable := 0, 0
	for _, m := range c.controllers {
		if m.From > cut.From || m.Until <= cut.Until {
			continue
		}
		deployed++
		if m.Name == cut.Controller || !slices.Contains(cut.Others, m.Name) {
			reachable++
		}
	}
	return 2*reachable <= deployed
}
