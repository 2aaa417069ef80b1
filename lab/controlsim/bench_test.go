package controlsim

import "testing"

// BenchmarkRun plays drawn plans: how much virtual time goes by in a second.
func BenchmarkRun(b *testing.B) {
	virtual := 0.0
	for n := range b.N {
		r, err := Run(RandomPlan(uint64(n+1)), nil)
		if err != nil {
			b.Fatal(err)
		}
		virtual += r.VirtualTime.Seconds()
	}
	b.ReportMetric(virtual/b.Elapsed().Seconds(), "virtual-s/s")
}
