package localsettings

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/deployment/settings"
)

// A daemon reads the same settings that were written.
func TestReadBack(t *testing.T) {
	const ports Ports = 7000
	for _, role := range []string{"controller", "proxy", "agent"} {
		file := filepath.Join(t.TempDir(), "local.toml")
		must.NoError(t, ports.Write(file, Daemon{Role: role, IP: "127.0.1.1", Zone: "hall", SeedNodes: []string{"127.0.1.1:7010", "127.0.1.2:7010"},
			Heartbeat: 300 * time.Millisecond, DataDir: "/data", MemoryMB: 256, GraceS: 2}))
		read, err := settings.Read(file)
		must.NoError(t, err)
		must.EqOp(t, role+"-127.0.1.1", read.Name)
		must.EqOp(t, "hall", read.Zone)
		must.Eq(t, []string{"127.0.1.1:7010", "127.0.1.2:7010"}, read.SeedNodes)
		must.Eq(t, []settings.Figure{7000, 7009}, read.InternalPorts)
		must.EqOp(t, 300, read.HeartbeatIntervalMs)
		must.EqOp(t, 256, read.Limits.MemoryMB)
		must.EqOp(t, 2, read.Bounds.GraceS)
		must.EqOp(t, role == "controller", read.DataDir == "/data")
		must.EqOp(t, role == "controller", read.Bind.Control == ports.Control("127.0.1.1"))
		must.EqOp(t, role == "proxy", read.Bind.Front == ports.Front("127.0.1.1"))
		must.EqOp(t, role == "proxy", read.Bind.Readiness == ports.Readiness("127.0.1.1"))
	}
}
