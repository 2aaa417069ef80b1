package controlsim

import (
	"slices"

	"willowsill/lab/controlsim/checker"
)

// trouble writes down, for the checker, that a machine is in trouble for a while.
func (w *world) trouble(machine string, span int64, kind Kind) {
	slow := slices.Contains([]Kind{SlowLink, Duplicate, DiskSlow, DiskStall, DiskFull}, kind)
	link := slices.Contains([]Kind{Cut, CutOut, CutIn, SlowLink, Duplicate, LoseAnswers}, kind)
	w.history.Troubles = append(w.history.Troubles, checker.Trouble{Machine: machine, From: w.now, Until: w.now + span, Slow: slow, Link: link})
}

// befall has a fault begin.
func (w *world) befall(f Fault) {
	w.tell(f.Machine, "fault: %s for %s", f.Kind, f.For)
	if f.Machine == All {
		w.befallAll(f)
		return
	}
	m := w.machines[f.Machine]
	if m == nil {
		return
	}
	span := int64(f.For)
	switch f.Kind {
	case ReplacePlanned, ReplaceUnplanned:
		w.replace(f, m)
		return
	case LoseAnswers:
		w.trouble("operator", span, f.Kind)
		w.lose++
		w.after(span, func() { w.lose-- })
		return
	}
	w.trouble(f.Machine, span, f.Kind)
	switch f.Kind {
	case Freeze:
		m.freeze()
		life := m.life
		w.after(span, func() {
			if m.life == life {
				m.thaw()
			}
		})
	case Kill, EdgeRestart:
		m.stop(false)
		w.after(span, m.start)
	case Power, Wipe:
		w.losePower(m, f.Kind == Wipe)
		w.after(span, m.start)
	case Term:
		if s := w.servers[f.Machine]; s != nil {
			s.term(func() { w.after(max(span-leaveWait, millisecond), m.start) })
		}
	case EdgeBeside:
		w.beside(f, m)
	case Cut, CutOut, CutIn:
		w.cut(f, true)
		w.after(span, func() { w.cut(f, false) })
	case Reset:
		w.network.reset(f.Machine)
	case SlowLink:
		w.network.delay[f.Machine] += int64(f.Amount)
		w.after(span, func() { w.network.delay[f.Machine] -= int64(f.Amount) })
	case Duplicate:
		w.network.duplicate[f.Machine] = int64(f.Amount)
		w.after(span, func() { delete(w.network.duplicate, f.Machine) })
	case DiskStall, DiskSlow, DiskFull:
		w.harmDisk(f)
	}
}

func (w *world) losePower(m *machine, wiped bool) {
	m.stop(true)
	if s := w.servers[m.name]; s != nil {
		s.disk.losePower()
		if wiped {
			s.disk.wipe()
		}
	}
}

// befallAll has all controllers killed or without power at once; their disks are kept.
func (w *world) befallAll(f Fault) {
	names := slices.Clone(w.core)
	if f.Edges {
		for _, name := range w.names {
			if w.edges[name] != nil {
				names = append(names, name)
			}
		}
	}
	for _, name := range names {
		m := w.machines[name]
		if f.Kind != Kill && f.Kind != Power {
			one := f
			one.Machine = name
			w.befall(one)
			continue
		}
		w.trouble(name, int64(f.For), f.Kind)
		if f.Kind == Kill {
			m.stop(false)
		} else {
			w.losePower(m, false)
		}
		w.after(int64(f.For)+between(w.draw, 0, firstStart), m.start)
	}
}

// beside has an edge start the moment that a controller does, and follow that one first.
func (w *world) beside(f Fault, m *machine) {
	m.stop(false)
	e := w.edges[f.Machine]
	if e == nil || len(f.Others) == 0 {
		return
	}
	w.after(int64(f.For), func() {
		e.beside = f.Others[0]
		m.start()
	})
}

func (w *world) cut(f Fault, begin bool) {
	others := f.Others
	if len(others) == 0 {
		others = slices.Clone(w.core)
		for _, c := range w.history.Machines {
			if c.Core && !slices.Contains(others, c.Name) {
				others = append(others, c.Name)
			}
		}
	}
	if begin {
		w.history.Cuts = append(w.history.Cuts, checker.Cut{Controller: f.Machine, Others: others, From: w.now, Until: w.now + int64(f.For)})
	}
	for _, o := range others {
		if o == f.Machine {
			continue
		}
		if f.Kind != CutIn {
			w.network.cut(f.Machine, o, f.Refused, begin)
		}
		if f.Kind != CutOut {
			w.network.cut(o, f.Machine, f.Refused, begin)
		}
		if w.edges[o] != nil && begin {
			w.trouble(o, int64(f.For), f.Kind)
		}
	}
}

func (w *world) harmDisk(f Fault) {
	s := w.servers[f.Machine]
	if s == nil {
		return
	}
	switch f.Kind {
	case DiskStall:
		s.disk.stall(true)
		w.after(int64(f.For), func() { s.disk.stall(false) })
	case DiskSlow:
		s.disk.slow = int64(f.Amount)
		w.after(int64(f.For), func() { s.disk.slow = 0 })
	case DiskFull:
		s.disk.full++
		w.after(int64(f.For), func() { s.disk.full-- })
	}
}

// replace puts an empty machine at another address in the place of one.
func (w *world) replace(f Fault, m *machine) {
	gone := func() {
		w.deployed(slices.DeleteFunc(slices.Clone(w.core), func(c string) bool { return c == f.Machine }))
		for i := range w.history.Machines {
			if w.history.Machines[i].Name == f.Machine {
				w.history.Machines[i].Until = w.now
			}
		}
	}
	span, catchUp := int64(f.For), int64(w.plan.Bounds.CatchUp)
	begin := func() {
		if w.servers[f.Successor] == nil {
			s := w.addController(f.Successor, false)
			w.trouble(f.Successor, catchUp, f.Kind)
			s.machine.start()
		}
	}
	if f.Kind == ReplacePlanned {
		begin()
		w.after(span, func() {
			w.trouble(f.Machine, millisecond, f.Kind)
			if s := w.servers[f.Machine]; s != nil {
				s.term(func() { m.powered = false })
			}
			gone()
		})
		return
	}
	w.trouble(f.Machine, span, f.Kind)
	w.losePower(m, true)
	w.after(span, func() {
		gone()
		begin()
	})
}
