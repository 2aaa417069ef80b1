package startsoak

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/lab/localsettings"
	"willowsill/lab/rehearsal"
	"willowsill/transport/signals"
	_ "willowsill/transport/signals/early"
)

var (
	firstSeed = flag.Uint64("first", 1, "first seed of the soak")
	seeds     = flag.Uint64("seeds", 2, "seeds of the soak")
)

// portsOf returns the ports of a seed, so that several soaks can run beside each other.
func portsOf(seed uint64) localsettings.Ports {
	const first, perSeed, blocks = 17500, 20, 25
	return localsettings.Ports(first + perSeed*int(seed%blocks))
}

func TestMain(m *testing.M) {
	rehearsal.RunChild()
	signals.Catch().ExitOnStop()
	flag.Parse()
	os.Exit(m.Run())
}

// TestNoProcessEndsByItself (FAULT): whatever passes stands in the way of a start, no process ends by itself, and all serve in the end.
// By hand: go test ./lab/startsoak -args -first 1 -seeds 50
func TestNoProcessEndsByItself(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		report, err := Run(t.Context(), Options{Seed: seed, Events: 20, Ports: portsOf(seed), Dir: filepath.Join(t.TempDir(), "soak")})
		must.NoError(t, err)
		t.Logf("seed %d: %v", seed, report.Troubles)
		for _, f := range report.Findings {
			log, _ := os.ReadFile(f.Log)
			t.Errorf("seed %d: %v\n%s", seed, f, log[max(len(log)-2000, 0):])
		}
	}
}
