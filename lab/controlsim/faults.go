package controlsim

import (
	"slices"

	"willowsill/lab/controlsim/checker"
)

// recordFault records in the history that a fault affects a machine for a given time.
func (w *world) recordFault(machine string, span int64, kind FaultKind) {
	slow := slices.Contains([]FaultKind{SlowLink, Duplicate, DiskSlow, DiskStall, DiskFull}, kind)
	link := slices.Contains([]FaultKind{Cut, CutOut, CutIn, SlowLink, Duplicate, LoseAnswers}, kind)
	w.history.FaultSpans = append(w.history.FaultSpans, checker.FaultSpan{Machine: machine, From: w.now, Until: w.now + span, Slow: slow, Link: link})
}

// startFault starts a fault and schedules its end.
func (w *world) startFault(f Fault) {
	w.tracef(f.Machine, "fault: %s for %s", f.Kind, f.For)
	if f.Machine == AllControllers {
		w.startFaultOnAll(f)
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
		w.recordFault("operator", span, f.Kind)
		w.answerLosses++
		w.scheduleAfter(span, func() { w.answerLosses-- })
		return
	}
	w.recordFault(f.Machine, span, f.Kind)
	switch f.Kind {
	case Freeze:
		m.freeze()
		incarnation := m.incarnation
		w.scheduleAfter(span, func() {
			if m.incarnation == incarnation {
				m.thaw()
			}
		})
	case Kill, EdgeRestart:
		m.stop(false)
		w.scheduleAfter(span, m.start)
	case Power, Wipe:
		w.losePower(m, f.Kind == Wipe)
		w.scheduleAfter(span, m.start)
	case Term:
		if s := w.servers[f.Machine]; s != nil {
			s.shutDown(func() { w.scheduleAfter(max(span-shutdownWait, millisecond), m.start) })
		}
	case EdgeStartsAlongside:
		w.startAlongside(f, m)
	case Cut, CutOut, CutIn:
		w.setCut(f, true)
		w.scheduleAfter(span, func() { w.setCut(f, false) })
	case Reset:
		w.network.reset(f.Machine)
	case SlowLink:
		w.network.extraDelay[f.Machine] += int64(f.Amount)
		w.scheduleAfter(span, func() { w.network.extraDelay[f.Machine] -= int64(f.Amount) })
	case Duplicate:
		w.network.duplicateDelay[f.Machine] = int64(f.Amount)
		w.scheduleAfter(span, func() { delete(w.network.duplicateDelay, f.Machine) })
	case DiskStall, DiskSlow, DiskFull:
		w.startDiskFault(f)
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

// startFaultOnAll starts a fault on all controllers at once, and on all edges if the fault says so.
func (w *world) startFaultOnAll(f Fault) {
	names := slices.Clone(w.controllers)
	if f.Edges {
		for _, name := range w.machineNames {
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
			w.startFault(one)
			continue
		}
		w.recordFault(name, int64(f.For), f.Kind)
		if f.Kind == Kill {
			m.stop(false)
		} else {
			w.losePower(m, false)
		}
		w.scheduleAfter(int64(f.For)+randomBetween(w.rng, 0, startSpread), m.start)
	}
}

// startAlongside kills an edge's process and restarts it after the fault's time, with a controller that it connects to first.
func (w *world) startAlongside(f Fault, m *machine) {
	m.stop(false)
	e := w.edges[f.Machine]
	if e == nil || len(f.Others) == 0 {
		return
	}
	w.scheduleAfter(int64(f.For), func() {
		e.preferredController = f.Others[0]
		m.start()
	})
}

func (w *world) setCut(f Fault, begin bool) {
	others := f.Others
	if len(others) == 0 {
		others = slices.Clone(w.controllers)
		for _, c := range w.history.Machines {
			if c.IsController && !slices.Contains(others, c.Name) {
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
			w.recordFault(o, int64(f.For), f.Kind)
		}
	}
}

func (w *world) startDiskFault(f Fault) {
	s := w.servers[f.Machine]
	if s == nil {
		return
	}
	switch f.Kind {
	case DiskStall:
		s.disk.stall(true)
		w.scheduleAfter(int64(f.For), func() { s.disk.stall(false) })
	case DiskSlow:
		s.disk.slowSyncTime = int64(f.Amount)
		w.scheduleAfter(int64(f.For), func() { s.disk.slowSyncTime = 0 })
	case DiskFull:
		s.disk.fullCount++
		w.scheduleAfter(int64(f.For), func() { s.disk.fullCount-- })
	}
}

// replace replaces a controller by a new machine with another address and an empty disk.
func (w *world) replace(f Fault, m *machine) {
	remove := func() {
		w.setControllers(slices.DeleteFunc(slices.Clone(w.controllers), func(c string) bool { return c == f.Machine }))
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
			w.recordFault(f.Successor, catchUp, f.Kind)
			s.machine.start()
		}
	}
	if f.Kind == ReplacePlanned {
		begin()
		w.scheduleAfter(span, func() {
			w.recordFault(f.Machine, millisecond, f.Kind)
			if s := w.servers[f.Machine]; s != nil {
				s.shutDown(func() { m.powered = false })
			}
			remove()
		})
		return
	}
	w.recordFault(f.Machine, span, f.Kind)
	w.losePower(m, true)
	w.scheduleAfter(span, func() {
		remove()
		begin()
	})
}
