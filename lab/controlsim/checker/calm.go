package checker

import (
	"slices"
)

type span struct{ from, until int64 }

// calm answers when machines were in trouble.
type calm struct {
	history  History
	troubles map[string][]span
	core     []Machine
	coreAll  []span // troubles of any controller
	most     []span // troubles that took most of the controllers at once
}

func newCalm(h History) *calm {
	c := &calm{history: h, troubles: map[string][]span{}}
	for _, m := range h.Machines {
		if m.Core {
			c.core = append(c.core, m)
		}
	}
	begun := map[int64]int{}
	for _, t := range h.Troubles {
		s := span{t.From, t.Until}
		c.troubles[t.Machine] = append(c.troubles[t.Machine], s)
		if !c.isCore(t.Machine) {
			continue
		}
		c.coreAll = append(c.coreAll, s)
		if begun[t.From]++; 2*begun[t.From] > len(c.core) {
			c.most = append(c.most, s)
		}
	}
	return c
}

func (c *calm) isCore(name string) bool {
	return slices.ContainsFunc(c.core, func(m Machine) bool { return m.Name == name })
}

// within tells whether none of the spans touches a window.
func within(spans []span, from, until int64) bool {
	return !slices.ContainsFunc(spans, func(s span) bool { return s.from <= until && s.until >= from })
}

// machine tells whether a machine had no trouble in a window.
func (c *calm) machine(name string, from, until int64) bool {
	return within(c.troubles[name], from, until)
}

// settled tells whether the controllers have had no trouble for long enough at a time.
func (c *calm) settled(at int64) bool {
	contact := c.history.Bounds.Contact
	return within(c.coreAll, at-contact, at) && within(c.most, at-2*contact, at)
}

// most tells whether more than half of the controllers that are deployed at the end of a window had no trouble in it.
func (c *calm) majority(from, until int64) bool {
	here, well := 0, 0
	for _, m := range c.core {
		if m.From > until || m.Until <= until {
			continue
		}
		here++
		if (m.From == 0 || m.From <= from) && c.machine(m.Name, from, until) {
			well++
		}
	}
	return 2*well > here
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
