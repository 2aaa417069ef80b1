package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// readText reads a settings file with a text behind the required keys.
func readText(t *testing.T, text string) (Settings, error) {
	file := filepath.Join(t.TempDir(), "local.toml")
	must.NoError(t, os.WriteFile(file, []byte("ip = \"10.0.0.1\"\n"+text), 0o600))
	return Read(file)
}

// TestFiguresInAnyForm (FAULT): the platform writes figures as whole numbers, fractions, true or false. None of these forms ends a
// program, also in keys that it does not read.
func TestFiguresInAnyForm(t *testing.T) {
	s, err := readText(t, `internal-ports = [7080.0, 7_095]
beat-interval-ms = 1200.5
[limits]
memory-mb = 284.5
max-fds = 4100.0
cpu-fraction = 1
disk-mb = false
[fault-budget]
machines = true
zones = 0.0
[bounds]
contact-ms = 5000.0
drain-ms = true
grace-s = 6
apply-ms = 4e3
retry-ratio = false
retry-window-s = 10
retry-slack = 58.5
exposure-share = 1
`)
	must.NoError(t, err)
	must.Eq(t, "10.0.0.1:7081", s.InternalAddress(s.IP, PortWatch))
	must.Eq(t, 1_200_500_000, s.HeartbeatInterval())
	must.Eq(t, Limits{MemoryMB: 284.5}, s.Limits)
	must.Eq(t, Bounds{GraceS: 6, RetryWindowS: 10, RetrySlack: 58.5, ExposureShare: 1}, s.Bounds)
	for key, text := range map[string]string{"beat-interval-ms": "beat-interval-ms = nan\n", "internal-ports": "internal-ports = [\"a\", \"b\"]\n"} {
		_, err := readText(t, text)
		must.Error(t, err, must.Sprint(key))
	}
}

// TestNoSeeds (FAULT): a list of seeds may be empty. Without the list the file is not whole.
func TestNoSeeds(t *testing.T) {
	const ports = "internal-ports = [7000, 7009]\n"
	s, err := readText(t, ports+"seed-nodes = []\n")
	must.NoError(t, err)
	must.NoError(t, s.Require([]Key{KeySeedNodes}))
	s, err = readText(t, ports)
	must.NoError(t, err)
	must.ErrorContains(t, s.Require([]Key{KeySeedNodes}), "seed-nodes")
}

// TestFaultBudget: a file without the budget is told from one with a budget of 0.
func TestFaultBudget(t *testing.T) {
	const ports = "internal-ports = [7000, 7009]\n"
	s, err := readText(t, ports)
	must.NoError(t, err)
	must.Nil(t, s.FaultBudget)
	s, err = readText(t, ports+"[fault-budget]\nmachines = 0\nzones = 1.0\n")
	must.NoError(t, err)
	must.Eq(t, &FaultBudget{Zones: 1}, s.FaultBudget)
}

// TestExposureShare: the share that limits rollouts is read, and a value outside 0 to 1 is refused with an error
// that names the key.
func TestExposureShare(t *testing.T) {
	read := func(share float64) (Settings, error) {
		file := filepath.Join(t.TempDir(), "local.toml")
		text := fmt.Sprintf("ip = \"10.0.0.1\"\ninternal-ports = [7000, 7009]\n[bounds]\nexposure-share = %v\n", share)
		must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		return Read(file)
	}
	s, err := read(0.05)
	must.NoError(t, err)
	must.Eq(t, 0.05, s.Bounds.ExposureShare)
	for _, share := range []float64{-0.1, 1.5} {
		_, err := read(share)
		must.ErrorContains(t, err, "bounds.exposure-share")
	}
}
