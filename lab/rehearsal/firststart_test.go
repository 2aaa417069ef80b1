package rehearsal

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/lab/localsettings"
	"willowsill/transport/controlclient"
	"willowsill/transport/controlserver"
)

const (
	firstStartPorts       = localsettings.Ports(17260)
	firstStartControllers = 5
	firstStartSeeds       = 3
	firstStartLate        = 2 * time.Second
	firstStartWait        = 15 * time.Second // for the first acknowledgement, a step of the platform's tests before traffic
)

// TestSystemStartsAfterEarlyEnds (FAULT): controllers that end at the first start before anything is on their disks come back with
// bootstrap = false and empty disks. The system starts whichever of them do so. Where a majority of the seeds did, it never started.
func TestSystemStartsAfterEarlyEnds(t *testing.T) {
	for i, row := range []struct {
		name       string
		endedEarly []int
		late       []int // these of them start seconds after the others
	}{
		{"two seeds", []int{1, 2}, nil},
		{"three seeds", []int{0, 1, 2}, nil},
		{"all", []int{0, 1, 2, 3, 4}, nil},
		{"two seeds, late", []int{0, 1}, []int{0, 1}},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newFirstStart(t, i+1)
			for n := range firstStartControllers {
				if !slices.Contains(row.late, n) {
					s.start(n, slices.Contains(row.endedEarly, n))
				}
			}
			if len(row.late) > 0 {
				time.Sleep(firstStartLate)
			}
			for _, n := range row.late {
				s.start(n, true)
			}
			s.mustAcknowledge(1)
		})
	}
}

// firstStart is a first start of controllers as real processes.
type firstStart struct {
	t       *testing.T
	network int
	dir     string
	control []string

	environment []string // added to that of each process
}

func newFirstStart(t *testing.T, network int) *firstStart {
	s := &firstStart{t: t, network: network, dir: t.TempDir()}
	for n := range firstStartControllers {
		s.control = append(s.control, firstStartPorts.Control(s.ip(n)))
	}
	return s
}

func (s *firstStart) ip(n int) string { return fmt.Sprintf("127.0.%d.%d", 20+s.network, n+1) }

// start starts a controller with an empty disk, as the platform does at the first start or after a process has ended.
func (s *firstStart) start(n int, restarted bool) {
	folder := filepath.Join(s.dir, fmt.Sprint(n))
	must.NoError(s.t, os.MkdirAll(folder, 0o700))
	file := filepath.Join(folder, "local.toml")
	must.NoError(s.t, firstStartPorts.Write(file, localsettings.Daemon{Role: controlserver.Program.Name, IP: s.ip(n), Zone: "hall", SeedNodes: s.control[:firstStartSeeds],
		Heartbeat: heartbeat, DataDir: folder, GraceS: 2, Restarted: restarted, MachineLosses: 1}))
	process := DaemonCommand(os.Args[0], controlserver.Program.Name, file, 0)
	process.Env = append(process.Env, s.environment...)
	must.NoError(s.t, process.Start())
	s.t.Cleanup(func() {
		process.Process.Kill()
		process.Wait()
	})
}

// mustAcknowledge sends a configuration until it is acknowledged.
func (s *firstStart) mustAcknowledge(revision int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), firstStartWait)
	defer cancel()
	client := &controlclient.Client{Addresses: s.control}
	must.NoError(s.t, client.SendConfiguration(ctx, configuration(revision)))
}
