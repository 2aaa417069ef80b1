package hollow

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestSlopes: a line is found again where runs differ in one option, and none where they differ in more.
func TestSlopes(t *testing.T) {
	var runs []*Result
	for i, edges := range []int{10, 20, 60} {
		runs = append(runs, &Result{Options: Options{Edges: edges, Replicas: 5, Zones: i},
			Roles: []Role{{Name: "controller", Core: 2 + 0.5*float64(edges)}}})
	}
	runs = append(runs, &Result{Options: Options{Edges: 10, Replicas: 7}, Roles: []Role{{Name: "controller", Core: 90}}})
	slopes := Slopes(runs)
	must.SliceLen(t, len(figures), slopes)
	for _, s := range slopes {
		must.Eq(t, "co-ordinators", s.Option)
		if s.Figure == "core %" {
			must.InDelta(t, 2.0, s.Base, 1e-9)
			must.InDelta(t, 0.5, s.Each, 1e-9)
			must.InDelta(t, 0.0, s.Residual, 1e-9)
		}
	}
}
