package hollow

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

const leastPoints = 3 // of a line

// Slope is how one figure grows with one option, over runs that differ in nothing else: a line by least squares.
type Slope struct {
	Option, Role, Figure string
	From, To             float64 // of the option
	Points               int
	Base, Each           float64 // the figure at 0, and for each more of the option
	Error                float64 // of Each: its standard error
	Residual             float64 // the root of the mean square of what the line leaves over
}

// option is one that runs differ in, and how the rest of a run's options are told apart.
type option struct {
	name string
	of   func(Options) float64
	rest func(Options) Options
}

var options = []option{
	{"co-ordinators", func(o Options) float64 { return float64(o.Edges) }, func(o Options) Options { o.Edges = 0; return o }},
	{"replicas", func(o Options) float64 { return float64(o.Replicas) }, func(o Options) Options { o.Replicas = 0; return o }},
	{"routes", func(o Options) float64 { return float64(o.Routes) }, func(o Options) Options { o.Routes = 0; return o }},
	{"changes a minute", func(o Options) float64 { return o.ChangesPerMinute }, func(o Options) Options { o.ChangesPerMinute = 0; return o }},
	{"replaced a minute", func(o Options) float64 { return o.ChurnPerMinute }, func(o Options) Options { o.ChurnPerMinute = 0; return o }},
	{"controllers", func(o Options) float64 { return float64(o.Controllers) }, func(o Options) Options { o.Controllers = 0; return o }},
}

var figures = []struct {
	name string
	of   func(Role) float64
}{
	{"core %", func(r Role) float64 { return r.Core }},
	{"MB", func(r Role) float64 { return r.MB }},
	{"bytes/s sent", func(r Role) float64 { return r.Sent }},
	{"bytes/s received", func(r Role) float64 { return r.Received }},
	{"bytes sent at start", func(r Role) float64 { return r.StartSent }},
}

// Slopes fits a line to each figure of each role over each set of three or more runs that differ in one option alone.
// Zones are not told apart: they change how edges are spread, not how many there are.
func Slopes(runs []*Result) (slopes []Slope) {
	for _, o := range options {
		sets := map[Options][]*Result{}
		for _, r := range runs {
			rest := o.rest(r.Options)
			rest.Zones = 0
			sets[rest] = append(sets[rest], r)
		}
		for _, set := range sets {
			slopes = append(slopes, slopesOf(o, set)...)
		}
	}
	slices.SortStableFunc(slopes, func(a, b Slope) int {
		return cmp.Or(cmp.Compare(a.Option, b.Option), cmp.Compare(a.Role, b.Role), cmp.Compare(a.Figure, b.Figure))
	})
	return slopes
}

func slopesOf(o option, set []*Result) (slopes []Slope) {
	values := map[float64]bool{}
	for _, r := range set {
		values[o.of(r.Options)] = true
	}
	if len(values) < leastPoints {
		return nil
	}
	for _, role := range set[0].Roles {
		for _, f := range figures {
			var x, y []float64
			for _, r := range set {
				if at := slices.IndexFunc(r.Roles, func(other Role) bool { return other.Name == role.Name }); at >= 0 {
					x, y = append(x, o.of(r.Options)), append(y, f.of(r.Roles[at]))
				}
			}
			s := line(x, y)
			s.Option, s.Role, s.Figure = o.name, role.Name, f.name
			slopes = append(slopes, s)
		}
	}
	return slopes
}

// line fits y = Base + Each*x by least squares.
func line(x, y []float64) Slope {
	s := Slope{Points: len(x), From: slices.Min(x), To: slices.Max(x)}
	n := float64(len(x))
	var meanX, meanY, xx, xy float64
	for i := range x {
		meanX, meanY = meanX+x[i]/n, meanY+y[i]/n
	}
	for i := range x {
		xx += (x[i] - meanX) * (x[i] - meanX)
		xy += (x[i] - meanX) * (y[i] - meanY)
	}
	s.Each = xy / xx
	s.Base = meanY - s.Each*meanX
	var left float64
	for i := range x {
		over := y[i] - s.Base - s.Each*x[i]
		left += over * over
	}
	s.Residual = math.Sqrt(left / n)
	s.Error = math.Sqrt(left / max(n-2, 1) / xx)
	return s
}

// PrintSlopes writes slopes as a table.
func PrintSlopes(out io.Writer, slopes []Slope) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "by\tfrom\tto\truns\trole\tfigure\tat 0\teach\t+-\tresidual\t")
	for _, s := range slopes {
		fmt.Fprintf(w, "%s\t%g\t%g\t%d\t%s\t%s\t%.4g\t%.4g\t%.2g\t%.2g\t\n", s.Option, s.From, s.To, s.Points, s.Role, s.Figure, s.Base, s.Each,
			s.Error, s.Residual)
	}
	w.Flush()
}
