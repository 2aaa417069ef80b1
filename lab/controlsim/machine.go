package controlsim

// machine runs one process at a time. Its steady clock has its own beginning and rate.
type machine struct {
	world        *world
	name         string
	isController bool // a controller's
	powered      bool
	up           bool // a process runs
	frozen       bool
	incarnation  int // of the process, counted from 1
	pending      []func()
	clockOffset  int64   // what its clock showed at the start of the run, ns
	clockDrift   float64 // how much faster than true time the clock runs
	startProcess func()  // begins a process; the machine is up already
	onExit       []func(silently bool)
}

func (w *world) addMachine(name string, core bool) *machine {
	m := &machine{world: w, name: name, isController: core, powered: true, clockOffset: randomBetween(w.rng, second, 3600*second),
		clockDrift: maxClockDrift * (2*w.rng.Float64() - 1)}
	w.machines[name] = m
	w.machineNames = append(w.machineNames, name)
	return m
}

// clock is what the machine's steady clock shows.
func (m *machine) clock() int64 {
	return m.clockOffset + m.world.now + int64(float64(m.world.now)*m.clockDrift)
}

// trueDuration is how long it takes until so much has gone by on the machine's clock.
func (m *machine) trueDuration(local int64) int64 { return int64(float64(local)/(1+m.clockDrift)) + 1 }

// start begins a process.
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

// stop ends the process. silently tells that nobody's connections are reset: the machine has lost its power.
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

// freeze has the process stand still.
func (m *machine) freeze() { m.frozen = m.up }

// thaw lets it go on. What came meanwhile is done now, in its order.
func (m *machine) thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	waiting := m.pending
	m.pending = nil
	life := m.incarnation
	for _, f := range waiting {
		if m.up && m.incarnation == life {
			f()
		}
	}
}

// dispatch has something done by the process of a life: now, after a freeze, or never.
func (m *machine) dispatch(life int, do func()) {
	switch {
	case !m.up || m.incarnation != life:
	case m.frozen:
		m.pending = append(m.pending, do)
	default:
		do()
	}
}

// timer has something done by this process once its clock has gone on by so much.
func (m *machine) timer(local int64, do func()) {
	life := m.incarnation
	m.world.scheduleAfter(m.trueDuration(local), func() { m.dispatch(life, do) })
}

// every has something done again and again, until the process ends.
func (m *machine) every(local int64, do func()) {
	m.timer(local, func() {
		do()
		m.every(local, do)
	})
}
