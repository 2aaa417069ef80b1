package controlsim

import "testing"

// BenchmarkRun measures the virtual seconds that are simulated in a second, with random plans.
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
