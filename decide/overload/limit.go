package overload

import (
	"maps"
	"math"
	"slices"
)

const smoothing = 0.2 // of a new value that is believed at once

// limiter says how much work may be taken on, ns of the processor a second.
type limiter interface {
	// update takes in a reading, the pressure, and the work a second that was taken on in it.
	update(r *Reading, pressure, work float64, c *costs)
	allowed() float64
}

// limiters are the ways to find it.
var limiters = map[string]func(t *Config) limiter{
	"fixed":    func(t *Config) limiter { return &fixed{queriesPerSecond: t.FixedRate} },
	"gradient": func(t *Config) limiter { return &gradient{waitTarget: float64(t.WaitTarget), limit: math.Inf(1)} },
	"aimd":     func(*Config) limiter { return &aimd{limit: math.Inf(1)} },
	"model":    func(t *Config) limiter { return &model{cores: t.Cores, trim: 1, limit: math.Inf(1)} },
}

// LimitKinds are their names.
var LimitKinds = slices.Sorted(maps.Keys(limiters))

// fixed is a rate of queries that somebody has set: the baseline.
type fixed struct{ queriesPerSecond, limit float64 }

func (f *fixed) update(_ *Reading, _, _ float64, c *costs) {
	mean := 0.0
	for _, q := range c.query {
		mean += q / float64(len(c.query))
	}
	f.limit = f.queriesPerSecond * mean
}
func (f *fixed) allowed() float64 { return f.limit }

// gradient follows what is served, less as the wait grows over what is borne.
type gradient struct{ waitTarget, wait, limit float64 }

const (
	gradientMinFactor = 0.5 // of what was served, at least
	gradientMaxFactor = 1.1 // and so much more while nothing waits
)

func (g *gradient) update(r *Reading, _, work float64, _ *costs) {
	g.wait += smoothing * (float64(max(r.MeanWait, r.SchedLatency/4)) - g.wait)
	by := min(max(g.waitTarget/max(g.wait, 1), gradientMinFactor), gradientMaxFactor)
	if by < 1 || !math.IsInf(g.limit, 1) {
		if math.IsInf(g.limit, 1) {
			g.limit = work
		}
		g.limit = min(max(g.limit+smoothing*(work*by-g.limit), g.limit*gradientMinFactor), 2*max(work, g.limit))
	}
	if by >= gradientMaxFactor && work < 0.5*g.limit {
		g.limit *= gradientMaxFactor
	}
}
func (g *gradient) allowed() float64 { return g.limit }

// aimd takes off a share while what comes waits longer than is borne, and adds a little while it does not, as CoDel goes by
// the wait alone.
type aimd struct{ limit float64 }

const (
	aimdDecrease = 0.85
	aimdIncrease = 0.02
)

func (a *aimd) update(_ *Reading, pressure, work float64, _ *costs) {
	switch {
	case pressure >= overloadedPressure:
		a.limit = aimdDecrease * min(a.limit, max(work, 1e6))
	case pressure < busyPressure && work < 0.5*a.limit:
		a.limit = math.Inf(1)
	case pressure < overloadedPressure:
		a.limit += aimdIncrease * max(work, 1e6)
	}
}
func (a *aimd) allowed() float64 { return a.limit }

// model goes by the processor time there is and what queries cost, trimmed by the wait: a neighbour may have the processor, and
// the costs may be off.
type model struct{ cores, trim, limit float64 }

const (
	modelCPUShare     = 0.9  // of the processor
	minTrim           = 0.05 // of that
	maxTrim           = 1.2  // the more is served together, the less each costs
	completedShare    = 0.95 // of what was taken on that is done where nothing holds it up
	trimDecreaseAbove = 0.85 // of the processor, under which more is only taken off for a neighbour
	trimDecrease      = 0.98 // of it that is left after a stretch, down to that
	trimBelowDone     = 0.9  // of what was done, while what comes waits too long
	trimIncrease      = 0.03 // a stretch, while nothing does
)

func (m *model) update(r *Reading, pressure, work float64, c *costs) {
	if !c.known() {
		return
	}
	switch {
	case pressure >= overloadedPressure:
		// Danger: with a neighbour on the processor much less can be done than the cores allow. What was done where more was
		// taken on is what there is, and a little less lets the wait end. Where all that was taken on was done, the wait may have
		// another reason, and taking on ever less would not end it.
		all := modelCPUShare * m.cores * 1e9
		if done, tried := float64(r.CPUTime)*1e9/float64(max(r.Span, 1))/all, work/all; done < completedShare*tried {
			m.trim += smoothing * (min(max(trimBelowDone*done, minTrim), maxTrim) - m.trim)
		} else if m.trim > trimDecreaseAbove {
			m.trim *= trimDecrease
		}
	case pressure < busyPressure || work > 0.8*m.limit: // only what is tried shows that there is more
		m.trim = min(m.trim+trimIncrease, maxTrim)
	}
	m.limit = m.trim * max(modelCPUShare-c.uncounted, 0.1) * m.cores * 1e9
}
func (m *model) allowed() float64 { return m.limit }
