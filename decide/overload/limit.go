package overload

import (
	"maps"
	"math"
	"slices"
)

const smoothing = 0.2 // weight of a new value in a moving average

// limiter computes how much work may be admitted, in ns of processor time a second.
type limiter interface {
	// update processes a reading, the pressure, and the work admitted a second in the reading's interval.
	update(r *Reading, pressure, work float64, c *costs)
	allowed() float64
}

// limiters are the ways to compute the limit, by name.
var limiters = map[string]func(c *Config) limiter{
	"fixed":    func(c *Config) limiter { return &fixed{queriesPerSecond: c.FixedRate} },
	"gradient": func(c *Config) limiter { return &gradient{waitTarget: float64(c.WaitTarget), limit: math.Inf(1)} },
	"aimd":     func(*Config) limiter { return &aimd{limit: math.Inf(1)} },
	"model":    func(c *Config) limiter { return &model{cores: c.Cores, trim: 1, limit: math.Inf(1)} },
}

// LimitKinds are the names of the ways to compute the limit.
var LimitKinds = slices.Sorted(maps.Keys(limiters))

// fixed admits a configured rate of queries. It is a baseline.
type fixed struct{ queriesPerSecond, limit float64 }

func (f *fixed) update(_ *Reading, _, _ float64, c *costs) {
	mean := 0.0
	for _, q := range c.query {
		mean += q / float64(len(c.query))
	}
	f.limit = f.queriesPerSecond * mean
}
func (f *fixed) allowed() float64 { return f.limit }

// gradient follows the work that is admitted, and lowers the limit in proportion as the wait exceeds the target.
type gradient struct{ waitTarget, wait, limit float64 }

const (
	gradientMinFactor = 0.5 // lowest ratio of the limit to the admitted work
	gradientMaxFactor = 1.1 // highest ratio of the limit to the admitted work, while nothing waits
)

func (g *gradient) update(r *Reading, _, work float64, _ *costs) {
	g.wait += smoothing * (float64(max(r.MeanWait, r.SchedLatency/4)) - g.wait)
	ratio := min(max(g.waitTarget/max(g.wait, 1), gradientMinFactor), gradientMaxFactor)
	if ratio < 1 || !math.IsInf(g.limit, 1) {
		if math.IsInf(g.limit, 1) {
			g.limit = work
		}
		g.limit = min(max(g.limit+smoothing*(work*ratio-g.limit), g.limit*gradientMinFactor), 2*max(work, g.limit))
	}
	if ratio >= gradientMaxFactor && work < 0.5*g.limit {
		g.limit *= gradientMaxFactor
	}
}
func (g *gradient) allowed() float64 { return g.limit }

// aimd multiplies the limit by a factor below 1 while the pressure is that of an overloaded process, and otherwise adds a
// little. It goes by the pressure and the admitted work alone.
type aimd struct{ limit float64 }

const (
	aimdDecrease = 0.85 // factor on the limit while the process is overloaded
	aimdIncrease = 0.02 // share of the admitted work that is added to the limit while the process is not overloaded
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

// model derives the limit from the available processor time and the costs of queries. It multiplies that by a
// correction, trim, which follows the pressure: other processes on the machine may use the processor, and the costs may be
// wrong.
type model struct{ cores, trim, limit float64 }

const (
	modelCPUShare     = 0.9  // share of the processor that is planned for
	minTrim           = 0.05 // lowest trim
	maxTrim           = 1.2  // highest trim; it exceeds 1 because queries that are served together cost less each
	completedShare    = 0.95 // share of the admitted work that gets done if nothing holds it up
	trimDecreaseAbove = 0.85 // trim falls below this only if less work got done than was admitted
	trimDecrease      = 0.98 // factor on trim after an overloaded interval in which all admitted work got done
	trimBelowDone     = 0.9  // target for trim while less work gets done than was admitted, relative to the work that got done
	trimIncrease      = 0.03 // added to trim after an interval without pressure, or with load close to the limit but no overload
)

func (m *model) update(r *Reading, pressure, work float64, c *costs) {
	if !c.known() {
		return
	}
	switch {
	case pressure >= overloadedPressure:
		// Danger: if other processes use the processor, much less work can be done than the cores allow. If less got
		// done than was admitted, the capacity is what got done, and a limit a little below it lets the wait end. If
		// all admitted work got done, the wait may have another cause, and an ever lower limit would not end it.
		planned := modelCPUShare * m.cores * 1e9
		if done, requested := float64(r.CPUTime)*1e9/float64(max(r.Span, 1))/planned, work/planned; done < completedShare*requested {
			m.trim += smoothing * (min(max(trimBelowDone*done, minTrim), maxTrim) - m.trim)
		} else if m.trim > trimDecreaseAbove {
			m.trim *= trimDecrease
		}
	case pressure < busyPressure || work > 0.8*m.limit: // only load close to the limit shows whether more is possible
		m.trim = min(m.trim+trimIncrease, maxTrim)
	}
	m.limit = m.trim * max(modelCPUShare-c.uncounted, 0.1) * m.cores * 1e9
}
func (m *model) allowed() float64 { return m.limit }
