package controlsim

// machine runs one process at a time. Its steady clock has its own beginning and rate.
type machine struct {
	world   *world
	name    string
	core    bool // a controller's
	powered bool
	up      bool // a process runs
	frozen  bool
	life    int // of the process, counted from 1
	waiting []func()
	offset  int64   // what its clock showed at the start of the run, ns
	rate    float64 // how much faster than true time the clock runs
	boot    func()  // begins a process; the machine is up already
	ended   []func(silently bool)
}

func (w *world) addMachine(name string, core bool) *machine {
	m := &machine{world: w, name: name, core: core, powered: true, offset: between(w.draw, second, 3600*second),
		rate: rateMost * (2*w.draw.Float64() - 1)}
	w.machines[name] = m
	w.names = append(w.names, name)
	return m
}

// clock is what the machine's steady clock shows.
func (m *machine) clock() int64 { return m.offset + m.world.now + int64(float64(m.world.now)*m.rate) }

// trueSpan is how long it takes until so much has gone by on the machine's clock.
func (m *machine) trueSpan(local int64) int64 { return int64(float64(local)/(1+m.rate)) + 1 }

// start begins a process.
func (m *machine) start() {
	m.powered = true
	if m.up {
		return
	}
	m.up, m.frozen, m.waiting = true, false, nil
	m.life++
	m.world.tell(m.name, "process %d starts", m.life)
	m.boot()
}

// stop ends the process. silently tells that nobody's connections are reset: the machine has lost its power.
func (m *machine) stop(silently bool) {
	if silently {
		m.powered = false
	}
	if !m.up {
		return
	}
	m.up, m.frozen, m.waiting = false, false, nil
	m.world.tell(m.name, "process %d ends", m.life)
	ended := m.ended
	m.ended = nil
	for _, f := range ended {
		f(silently)
	}
	m.world.network.ended(m, silently)
}

// freeze has the process stand still.
func (m *machine) freeze() { m.frozen = m.up }

// thaw lets it go on. What came meanwhile is done now, in its order.
func (m *machine) thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	waiting := m.waiting
	m.waiting = nil
	life := m.life
	for _, f := range waiting {
		if m.up && m.life == life {
			f()
		}
	}
}

// dispatch has something done by the process of a life: now, after a freeze, or never.
func (m *machine) dispatch(life int, do func()) {
	switch {
	case !m.up || m.life != life:
	case m.frozen:
		m.waiting = append(m.waiting, do)
	default:
		do()
	}
}

// timer has something done by this process once its clock has gone on by so much.
func (m *machine) timer(local int64, do func()) {
	life := m.life
	m.world.after(m.trueSpan(local), func() { m.dispatch(life, do) })
}

// every has something done again and again, until the process ends.
func (m *machine) every(local int64, do func()) {
	m.timer(local, func() {
		do()
		m.every(local, do)
	})
}
