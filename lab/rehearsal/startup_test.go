package rehearsal

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/deployment/settings"
	"willowsill/lab/localsettings"
	"willowsill/transport/controlclient"
)

// startupPorts are the ports of the daemons of these tests. Their metrics have the port after the last one of them.
const (
	startupPorts    = localsettings.Ports(17180)
	startupMetrics  = startupPorts + 20
	startupTimeout  = 20 * time.Second
	startupPollTime = 10 * time.Millisecond
)

// daemonProcess is a daemon that a test has started.
type daemonProcess struct {
	t       *testing.T
	process *exec.Cmd
	logs    *bufio.Scanner
}

// startDaemon starts the daemon of a role with its settings in a folder. A limit on its descriptors above 0 applies from its start.
func startDaemon(t *testing.T, role, ip, dir string, descriptors int) *daemonProcess {
	file := filepath.Join(dir, "local.toml")
	must.NoError(t, startupPorts.Write(file, localsettings.Daemon{Role: role, IP: ip, Zone: "hall", SeedNodes: []string{startupPorts.Control(ip)},
		Heartbeat: heartbeat, DataDir: dir, GraceS: 2}))
	text, err := os.ReadFile(file)
	must.NoError(t, err)
	metrics := fmt.Sprintf("metrics = \"%d/metrics\"\n", startupMetrics)
	must.NoError(t, os.WriteFile(file, append([]byte(metrics), text...), 0o600))
	d := &daemonProcess{t: t, process: exec.Command(os.Args[0])}
	if descriptors > 0 {
		d.process = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %q", descriptors, os.Args[0]))
	}
	d.process.Env = append(os.Environ(), RoleVariable+"="+role, settings.FileVariable+"="+file)
	logs, err := d.process.StderrPipe()
	must.NoError(t, err)
	d.logs = bufio.NewScanner(logs)
	must.NoError(t, d.process.Start())
	timeout := time.AfterFunc(startupTimeout, func() { d.process.Process.Kill() })
	t.Cleanup(func() {
		timeout.Stop()
		d.process.Process.Kill()
		d.process.Wait()
	})
	return d
}

// readLogUntil reads the daemon's log up to a line that holds all texts, and returns whether there is one.
func (d *daemonProcess) readLogUntil(texts ...string) bool {
	for d.logs.Scan() {
		found := true
		for _, text := range texts {
			found = found && strings.Contains(d.logs.Text(), text)
		}
		if found {
			return true
		}
	}
	return false
}

// hold listens at an address.
func hold(network, address string) (io.Closer, error) {
	if network == "udp" {
		return net.ListenPacket(network, address)
	}
	return net.Listen(network, address)
}

// TestPortsStillHeldAtStart (FAULT): whichever of its ports is still held when a program starts, it waits for the port and then
// listens on it. No program ends.
func TestPortsStillHeldAtStart(t *testing.T) {
	internal := func(port int) func(string) string {
		return func(ip string) string {
			return net.JoinHostPort(ip, fmt.Sprint(startupPorts.Internal()[0]+port))
		}
	}
	metrics := func(ip string) string { return net.JoinHostPort(ip, fmt.Sprint(int(startupMetrics))) }
	for i, c := range []struct {
		role, name, network string
		address             func(ip string) string
	}{
		{"controller", "controllers", "tcp", internal(settings.PortControllers)},
		{"controller", "watches", "tcp", internal(settings.PortWatch)},
		{"controller", "calls", "tcp", startupPorts.Control},
		{"controller", "metrics", "tcp", metrics},
		{"agent", "its proxy", "tcp", internal(settings.PortAgent)},
		{"agent", "watches", "tcp", internal(settings.PortWatch)},
		{"agent", "heartbeats", "udp", internal(settings.PortHeartbeats)},
		{"agent", "metrics", "tcp", metrics},
		{"proxy", "clients", "tcp", startupPorts.Front},
		{"proxy", "readiness", "tcp", startupPorts.Readiness},
		{"proxy", "metrics", "tcp", metrics},
	} {
		t.Run(c.role+" "+c.name, func(t *testing.T) {
			ip := fmt.Sprintf("127.0.7.%d", i+1)
			held, err := hold(c.network, c.address(ip))
			must.NoError(t, err)
			d := startDaemon(t, c.role, ip, t.TempDir(), 0)
			if !d.readLogUntil("waiting for an address to listen on", c.address(ip)) {
				t.Fatalf("the program ended: %v", d.process.Wait())
			}
			must.NoError(t, held.Close())
			for {
				held, err := hold(c.network, c.address(ip))
				if err != nil {
					break // the program has it
				}
				held.Close()
				time.Sleep(startupPollTime)
			}
			must.NoError(t, d.process.Process.Signal(os.Interrupt))
			must.NoError(t, d.process.Wait())
		})
	}
}

// TestStateOutlastsAShortageOfDescriptors (FAULT, LOST): a controller that cannot open its state file for want of descriptors
// waits, and leaves the file as it is.
func TestStateOutlastsAShortageOfDescriptors(t *testing.T) {
	const ip = "127.0.7.100"
	dir := t.TempDir()
	first := startDaemon(t, "controller", ip, dir, 0)
	go first.readLogUntil("a line that never comes")
	ctx, cancel := context.WithTimeout(t.Context(), startupTimeout)
	defer cancel()
	client := &controlclient.Client{Addresses: []string{startupPorts.Control(ip)}}
	must.NoError(t, client.SendConfiguration(ctx, []byte(`{"revision":1,"routes":[],"services":[],"limits":{}}`)))
	must.NoError(t, first.process.Process.Kill())
	first.process.Wait()
	file := filepath.Join(dir, "register.db")
	before, err := os.ReadFile(file)
	must.NoError(t, err)
	for descriptors := 5; descriptors <= 10; descriptors++ {
		d := startDaemon(t, "controller", ip, dir, descriptors)
		waits := d.readLogUntil("waiting for ")
		d.process.Process.Kill()
		t.Logf("%d descriptors: waits %v, %v", descriptors, waits, d.process.Wait())
		after, err := os.ReadFile(file)
		must.NoError(t, err)
		must.True(t, strings.HasPrefix(string(after), string(before)))
	}
}
