package rehearsal

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"willowsill/internal/refusals"
	"willowsill/lab/localsettings"
	"willowsill/transport/controlclient"
	"willowsill/transport/controlserver"
)

// settingsAway is how long the platform takes to write a settings file, longer than any program once waited.
const settingsAway = 3 * time.Second

// TestSettingsWrittenLate (FAULT): a program whose settings file comes seconds after its start waits for it and runs. It ended at each
// of its starts.
func TestSettingsWrittenLate(t *testing.T) {
	for i, role := range daemonRoles {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			ip, dir := fmt.Sprintf("127.0.7.%d", 120+i), t.TempDir()
			d := newDaemon(t, role, ip, dir, 0)
			file := filepath.Join(dir, "local.toml")
			must.NoError(t, os.Rename(file, file+".away"))
			d.start()
			time.Sleep(settingsAway)
			must.NoError(t, os.Rename(file+".away", file))
			d.mustServeMetrics(ip)
			d.mustStop()
		})
	}
}

// TestListenersRefused (FAULT): a program that may not open its listeners, for whatever reason, waits for them. It ended at once.
func TestListenersRefused(t *testing.T) {
	for i, refusal := range []refusals.Refusal{
		{Call: "bind", Error: syscall.EACCES}, {Call: "bind", Error: syscall.EPERM}, {Call: "bind", Error: syscall.EINVAL},
		{Call: "socket", Error: syscall.EPERM}, {Call: "socket", Error: syscall.EAFNOSUPPORT},
		{Call: "listen", Error: syscall.EINVAL}, {Call: "setsockopt", Error: syscall.ENOPROTOOPT},
	} {
		for j, role := range daemonRoles {
			t.Run(fmt.Sprintf("%s %s, %s", refusal.Call, unix.ErrnoName(refusal.Error), role), func(t *testing.T) {
				t.Parallel()
				d := newDaemon(t, role, fmt.Sprintf("127.0.7.%d", 130+3*i+j), t.TempDir(), 0)
				d.process.Env = append(d.process.Env, refusals.Variable+"="+refusal.String())
				d.readLog()
				d.start()
				must.True(t, d.readLogUntil("waiting for an address to listen on"))
				d.mustStop()
			})
		}
	}
}

// TestRefusedSocketOption (FAULT): controllers on a system that does not know an option of their connections form the register and
// acknowledge. Nothing was ever served there.
func TestRefusedSocketOption(t *testing.T) {
	refusal := refusals.Refusal{Call: "setsockopt", Error: syscall.ENOPROTOOPT, Option: unix.TCP_USER_TIMEOUT}
	s := newFirstStart(t, 10)
	s.environment = []string{refusals.Variable + "=" + refusal.String()}
	for n := range firstStartControllers {
		s.start(n, false)
	}
	s.mustAcknowledge(1)
}

// TestNewerStateFileIsWaitedOut (FAULT): a controller that finds a state file of a newer version waits, leaves it as it is, and runs
// once it is given a file that it can read. It ended at each of its starts.
func TestNewerStateFileIsWaitedOut(t *testing.T) {
	const ip = "127.0.7.160"
	dir := t.TempDir()
	file := filepath.Join(dir, "register.db")
	newer := newerStateFile(t, 1000)
	must.NoError(t, os.WriteFile(file, newer, 0o600))
	d := newDaemon(t, controlserver.Program.Name, ip, dir, 0)
	d.readLog()
	d.start()
	must.True(t, d.readLogUntil("waiting for the disk", "newer format"))
	go d.readLogUntil("a line that never comes")
	time.Sleep(time.Second)
	after, err := os.ReadFile(file)
	must.NoError(t, err)
	must.Eq(t, newer, after)
	must.NoError(t, os.Remove(file))
	ctx, cancel := context.WithTimeout(t.Context(), startupTimeout/2)
	defer cancel()
	client := &controlclient.Client{Addresses: []string{startupPorts.Control(ip)}}
	must.NoError(t, client.SendConfiguration(ctx, configuration(1)))
	d.mustStop()
}

// TestSettingsCorrectedWhileWaiting: a program that waits for what its settings name takes the settings that the platform has written
// meanwhile, as one that was started anew would.
func TestSettingsCorrectedWhileWaiting(t *testing.T) {
	const wrong, right = "192.0.2.1", "127.0.7.161" // the first is no address of any machine
	dir := t.TempDir()
	d := newDaemon(t, controlserver.Program.Name, wrong, dir, 0)
	d.readLog()
	d.start()
	must.True(t, d.readLogUntil("waiting for an address to listen on", wrong))
	go d.readLogUntil("a line that never comes")
	must.NoError(t, startupPorts.Write(filepath.Join(dir, "local.toml"), localsettings.Daemon{Role: controlserver.Program.Name, IP: right, Zone: "hall",
		SeedNodes: []string{startupPorts.Control(right)}, Heartbeat: heartbeat, DataDir: dir, GraceS: 2}))
	ctx, cancel := context.WithTimeout(t.Context(), startupTimeout/2)
	defer cancel()
	client := &controlclient.Client{Addresses: []string{startupPorts.Control(right)}}
	must.NoError(t, client.SendConfiguration(ctx, configuration(1)))
	d.mustStop()
}

// newerStateFile returns a state file that holds nothing but a format version, with a checksum, as the program of that version writes it.
func newerStateFile(t *testing.T, version uint64) []byte {
	body, err := cbor.Marshal(version)
	must.NoError(t, err)
	sealed := append(binary.BigEndian.AppendUint64(nil, 1), body...)
	sealed = binary.BigEndian.AppendUint32(sealed, crc32.ChecksumIEEE(sealed))
	return fmt.Appendf(nil, "*3\r\n$3\r\nset\r\n$7\r\nversion\r\n$%d\r\n%s\r\n", len(sealed), sealed)
}
