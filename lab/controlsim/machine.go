package controlsim

// machine runs one process at a time. Its monotonic clock has its own start value and rate.
type machine struct {
	world        *world
	name         string
	isController bool // a controller runs on this machine, not an edge
	powered      bool
	up           bool     // a process is running
	frozen       bool     // the process is suspended
	incarnation  int      // number of the current or last process, from 1
	pending      []func() // work for a suspended process, run by thaw
	clockOffset  int64    // the clock's value at the start of the run, ns
	clockDrift   float64  // relative rate by which the clock is faster than true time
	startProcess func()   // sets up a new process; the machine is up already
	onExit       []func(silently bool)
}

func (w *world) addMachine(name string, isController bool) *machine {
	m := &machine{world: w, name: name, isController: isController, powered: true, clockOffset: randomBetween(w.rng, second, 3600*second),
		clockDrift: maxClockDrift * (2*w.rng.Float64() - 1)}
	w.machines[name] = m
	w.machineNames = append(w.machineNames, name)
	return m
}

// clock returns the value of the machine's monotonic clock.
func (m *machine) clock() int64 {
	return m.clockOffset + m.world.now + int64(float64(m.world.now)*m.clockDrift)
}

// trueDuration converts a duration on the machine's clock to true time.
func (m *machine) trueDuration(local int64) int64 { return int64(float64(local)/(1+m.clockDrift)) + 1 }

// start starts a process if none is running.
func (m *machine) start() {
	m.powered = true
	if m.up {
		return
	}
	m.up, m.frozen, m.pending = true, false, nil
	m.incarnation++
	m.world.tracef(m.name, "process %d starts", m.incarnation)
	m.startProcess()
}

// stop ends the process. If silently, the machine has lost its power, so the other ends of its connections see no reset.
func (m *machine) stop(silently bool) {
	if silently {
		m.powered = false
	}
	if !m.up {
		return
	}
	m.up, m.frozen, m.pending = false, false, nil
	m.world.tracef(m.name, "process %d ends", m.incarnation)
	ended := m.onExit
	m.onExit = nil
	for _, f := range ended {
		f(silently)
	}
	m.world.network.processEnded(m, silently)
}

// freeze suspends the process, if one is running.
func (m *machine) freeze() { m.frozen = m.up }

// thaw resumes a suspended process and runs, in order, what has been waiting for it.
func (m *machine) thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	waiting := m.pending
	m.pending = nil
	incarnation := m.incarnation
	for _, f := range waiting {
		if m.up && m.incarnation == incarnation {
			f()
		}
	}
}

// dispatch runs do in the process with a given incarnation: at once, after it is resumed, or never if that process has ended.
func (m *machine) dispatch(incarnation int, do func()) {
	switch {
	case !m.up || m.incarnation != incarnation:
	case m.frozen:
		m.pending = append(m.pending, do)
	default:
		do()
	}
}

// timer runs do in the current process after a duration on its machine's clock.
func (m *machine) timer(local int64, do func()) {
	incarnation := m.incarnation
	m.world.scheduleAfter(m.trueDuration(local), func() { m.dispatch(incarnation, do) })
}

// every runs do repeatedly, after each interval on the machine's clock, until the process ends.
func (m *machine) every(local int64, do func()) {
	m.timer(local, func() {
		do()
		m.every(local, do)
	})
}
