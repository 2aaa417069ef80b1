package floodsoak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/lab/localsettings"
	"willowsill/standin/flood"
)

var (
	firstSeed = flag.Uint64("first", 1, "first seed of the soak")
	seeds     = flag.Uint64("seeds", 6, "seeds of the soak")
)

const (
	ports           = localsettings.Ports(18100)
	floodPeriod     = 1500 * time.Millisecond
	leastServed     = 0.5  // of what the clients of other services had answered before
	mostFailedShare = 0.01 // of their requests
)

// buildPrograms builds the daemons without the race detector, whose own memory would hide theirs, and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	build := exec.Command("go", "build", "-o", folder, "./cmd/controller", "./cmd/agent", "./cmd/proxy")
	build.Dir = filepath.Join("..", "..")
	output, err := build.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	return folder
}

func mustHold(t *testing.T, programs string, scenario Scenario) {
	t.Helper()
	mustHoldWith(t, Options{Scenario: scenario, Programs: programs})
}

func mustHoldWith(t *testing.T, options Options) {
	t.Helper()
	options.Period, options.Ports, options.Dir = floodPeriod, ports, t.TempDir()
	report, err := Run(t.Context(), options)
	must.NoError(t, err)
	t.Log(report)
	must.SliceEmpty(t, report.Ends)
	must.GreaterEq(t, leastServed, report.ServedRatio())
	must.LessEq(t, mostFailedShare, report.FailedShare())
}

// TestBackEndsThatSendWithoutEnd (FAULT): whatever a faulty replica sends without end, and wherever in its answer, no process passes its
// limit on memory, and clients of other services are served as before.
func TestBackEndsThatSendWithoutEnd(t *testing.T) {
	programs := buildPrograms(t)
	for _, kind := range flood.Kinds {
		t.Run(kind.Name, func(t *testing.T) {
			mustHold(t, programs, Scenario{Kind: kind, Clients: 48, Services: 1, Replicas: 2})
		})
	}
	t.Run("many clients, bodies that come slowly", func(t *testing.T) {
		for _, kind := range flood.Kinds {
			if kind.Name == "a body of a stated length" {
				mustHold(t, programs, Scenario{Kind: kind, Clients: 240, Services: 1, Replicas: 2, BytesPerSecond: 4 << 20})
			}
		}
	})
}

// TestPeersThatStopWithinFrames (FAULT): connections to the ports between processes that stop in the middle of a frame end no process, and
// change nothing for clients and operators.
func TestPeersThatStopWithinFrames(t *testing.T) {
	mustHoldWith(t, Options{Programs: buildPrograms(t), Frames: 60})
}

// TestDrawnFloods (FAULT): the same for floods that a seed draws.
// By hand: go test ./lab/floodsoak -run TestDrawnFloods -args -first 1 -seeds 50
func TestDrawnFloods(t *testing.T) {
	programs := buildPrograms(t)
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { mustHold(t, programs, Draw(seed)) })
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}
