package overload

import (
	"maps"
	"math"
	"slices"
)

const smooth = 0.2 // of a new value that is believed at once

// limit says how much work may be taken on, ns of the processor a second.
type limit interface {
	// next takes in a reading, the pressure, and the work a second that was taken on in it.
	next(r *Reading, pressure, work float64, c *costs)
	allowed() float64
}

// limits are the ways to find it.
var limits = map[string]func(t *Terms) limit{
	"fixed":    func(t *Terms) limit { return &fixed{rate: t.Fixed} },
	"gradient": func(t *Terms) limit { return &gradient{target: float64(t.Target), now: math.Inf(1)} },
	"aimd":     func(*Terms) limit { return &aimd{now: math.Inf(1)} },
	"model":    func(t *Terms) limit { return &model{cores: t.Cores, trim: 1, now: math.Inf(1)} },
}

// Limits are their names.
var Limits = slices.Sorted(maps.Keys(limits))

// fixed is a rate of queries that somebody has set: the baseline.
type fixed struct{ rate, now float64 }

func (f *fixed) next(_ *Reading, _, _ float64, c *costs) {
	mean := 0.0
	for _, q := range c.query {
		mean += q / float64(len(c.query))
	}
	f.now = f.rate * mean
}
func (f *fixed) allowed() float64 { return f.now }

// gradient follows what is served, less as the wait grows over what is borne.
type gradient struct{ target, wait, now float64 }

const (
	gradientLeast = 0.5 // of what was served, at least
	gradientRoom  = 1.1 // and so much more while nothing waits
)

func (g *gradient) next(r *Reading, _, work float64, _ *costs) {
	g.wait += smooth * (float64(max(r.Wait, r.Sched/4)) - g.wait)
	by := min(max(g.target/max(g.wait, 1), gradientLeast), gradientRoom)
	if by < 1 || !math.IsInf(g.now, 1) {
		if math.IsInf(g.now, 1) {
			g.now = work
		}
		g.now = min(max(g.now+smooth*(work*by-g.now), g.now*gradientLeast), 2*max(work, g.now))
	}
	if by >= gradientRoom && work < 0.5*g.now {
		g.now *= gradientRoom
	}
}
func (g *gradient) allowed() float64 { return g.now }

// aimd takes off a share while what comes waits longer than is borne, and adds a little while it does not, as CoDel goes by
// the wait alone.
type aimd struct{ now float64 }

const (
	aimdCut  = 0.85
	aimdRise = 0.02
)

func (a *aimd) next(_ *Reading, pressure, work float64, _ *costs) {
	switch {
	case pressure >= toStrained:
		a.now = aimdCut * min(a.now, max(work, 1e6))
	case pressure < toBusy && work < 0.5*a.now:
		a.now = math.Inf(1)
	case pressure < toStrained:
		a.now += aimdRise * max(work, 1e6)
	}
}
func (a *aimd) allowed() float64 { return a.now }

// model goes by the processor time there is and what queries cost, trimmed by the wait: a neighbour may have the processor, and
// the costs may be off.
type model struct{ cores, trim, now float64 }

const (
	modelUse   = 0.9  // of the processor
	trimLeast  = 0.05 // of that
	trimMost   = 1.2  // the more is served together, the less each costs
	triedOf    = 0.95 // of what was taken on that is done where nothing holds it up
	trimEnough = 0.85 // of the processor, under which more is only taken off for a neighbour
	trimEase   = 0.98 // of it that is left after a stretch, down to that
	trimUnder  = 0.9  // of what was done, while what comes waits too long
	trimRise   = 0.03 // a stretch, while nothing does
)

func (m *model) next(r *Reading, pressure, work float64, c *costs) {
	if !c.known() {
		return
	}
	switch {
	case pressure >= toStrained:
		// Danger: with a neighbour on the processor much less can be done than the cores allow. What was done where more was
		// taken on is what there is, and a little less lets the wait end. Where all that was taken on was done, the wait may have
		// another reason, and taking on ever less would not end it.
		all := modelUse * m.cores * 1e9
		if done, tried := float64(r.Used)*1e9/float64(max(r.Span, 1))/all, work/all; done < triedOf*tried {
			m.trim += smooth * (min(max(trimUnder*done, trimLeast), trimMost) - m.trim)
		} else if m.trim > trimEnough {
			m.trim *= trimEase
		}
	case pressure < toBusy || work > 0.8*m.now: // only what is tried shows that there is more
		m.trim = min(m.trim+trimRise, trimMost)
	}
	m.now = m.trim * max(modelUse-c.idle, 0.1) * m.cores * 1e9
}
func (m *model) allowed() float64 { return m.now }
