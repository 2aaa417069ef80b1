package rehearsal

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/front/proxyserver"
	"willowsill/internal/fullpipe"
	"willowsill/lab/localsettings"
	"willowsill/transport/agentserver"
	"willowsill/transport/controlclient"
	"willowsill/transport/controlserver"
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

// newDaemon returns the daemon of a role with its settings in a folder, to be started. A limit on its descriptors above 0 applies from
// its start.
func newDaemon(t *testing.T, role, ip, dir string, descriptors int) *daemonProcess {
	file := filepath.Join(dir, "local.toml")
	must.NoError(t, startupPorts.Write(file, localsettings.Daemon{Role: role, IP: ip, Zone: "hall", SeedNodes: []string{startupPorts.Control(ip)},
		Heartbeat: heartbeat, DataDir: dir, GraceS: 2}))
	text, err := os.ReadFile(file)
	must.NoError(t, err)
	metrics := fmt.Sprintf("metrics = \"%d/metrics\"\n", startupMetrics)
	must.NoError(t, os.WriteFile(file, append([]byte(metrics), text...), 0o600))
	return &daemonProcess{t: t, process: DaemonCommand(os.Args[0], role, file, descriptors)}
}

// start starts the daemon and kills it at the end of the test, or after startupTimeout.
func (d *daemonProcess) start() {
	must.NoError(d.t, d.process.Start())
	timeout := time.AfterFunc(startupTimeout, func() { d.process.Process.Kill() })
	d.t.Cleanup(func() {
		timeout.Stop()
		d.process.Process.Kill()
		d.process.Wait()
	})
}

// startDaemon starts the daemon of a role, whose log the test reads.
func startDaemon(t *testing.T, role, ip, dir string, descriptors int) *daemonProcess {
	d := newDaemon(t, role, ip, dir, descriptors)
	d.readLog()
	d.start()
	return d
}

// readLog lets the test read the log of a daemon that is yet to be started.
func (d *daemonProcess) readLog() {
	logs, err := d.process.StderrPipe()
	must.NoError(d.t, err)
	d.logs = bufio.NewScanner(logs)
}

// mustServeMetrics waits until the daemon serves its metrics.
func (d *daemonProcess) mustServeMetrics(ip string) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), startupTimeout/2)
	defer cancel()
	must.NoError(d.t, awaitMetrics(ctx, ip))
}

// mustStop stops the daemon and expects it to end in order.
func (d *daemonProcess) mustStop() {
	d.t.Helper()
	must.NoError(d.t, d.process.Process.Signal(os.Interrupt))
	must.NoError(d.t, d.process.Wait())
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

// metricsAddress returns the address of a daemon's metrics.
func metricsAddress(ip string) string { return net.JoinHostPort(ip, fmt.Sprint(int(startupMetrics))) }

// daemonRoles are the roles of daemons.
var daemonRoles = []string{controlserver.Program.Name, agentserver.Program.Name, proxyserver.Program.Name}

// TestPortsStillHeldAtStart (FAULT): whichever of its ports is still held when a program starts, it waits for the port and then
// listens on it. No program ends.
func TestPortsStillHeldAtStart(t *testing.T) {
	type row struct {
		role     string
		listener localsettings.Listener
	}
	var rows []row
	nextIP := func() string { return fmt.Sprintf("127.0.7.%d", len(rows)+1) }
	for _, role := range daemonRoles {
		for i := range startupPorts.Listeners(role, "") {
			rows = append(rows, row{role, startupPorts.Listeners(role, nextIP())[i]})
		}
		rows = append(rows, row{role, localsettings.Listener{Name: "metrics", Network: "tcp", Address: metricsAddress(nextIP())}})
	}
	must.SliceLen(t, 11, rows)
	for _, c := range rows {
		t.Run(c.role+" "+c.listener.Name, func(t *testing.T) {
			ip, _, _ := net.SplitHostPort(c.listener.Address)
			held, err := c.listener.Hold()
			must.NoError(t, err)
			d := startDaemon(t, c.role, ip, t.TempDir(), 0)
			if !d.readLogUntil("waiting for an address to listen on", c.listener.Address) {
				t.Fatalf("the program ended: %v", d.process.Wait())
			}
			must.NoError(t, held.Close())
			for {
				held, err := c.listener.Hold()
				if err != nil {
					break // the program has it
				}
				held.Close()
				time.Sleep(startupPollTime)
			}
			d.mustStop()
		})
	}
}

// configuration returns a configuration without routes that has this revision.
func configuration(revision int) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"routes":[],"services":[],"limits":{}}`, revision)
}

// TestTwoProcessesOfOneStateFolder (FAULT, LOST): a controller that starts while an earlier process of its machine still runs leaves
// the state file alone until that one has ended, and then serves what the earlier one acknowledged last.
func TestTwoProcessesOfOneStateFolder(t *testing.T) {
	const ip = "127.0.7.101"
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), startupTimeout)
	defer cancel()
	client := &controlclient.Client{Addresses: []string{startupPorts.Control(ip)}}
	first := startDaemon(t, "controller", ip, dir, 0)
	go first.readLogUntil("a line that never comes")
	must.NoError(t, client.SendConfiguration(ctx, configuration(1)))
	second := startDaemon(t, "controller", ip, dir, 0)
	must.True(t, second.readLogUntil("waiting for an address to listen on", "internal-ports"))
	go second.readLogUntil("a line that never comes")
	must.NoError(t, client.SendConfiguration(ctx, configuration(2)))
	must.NoError(t, first.process.Process.Kill())
	first.process.Wait()
	var read []byte
	for read == nil {
		must.NoError(t, ctx.Err())
		read, _ = client.ReadConfiguration(ctx)
		time.Sleep(startupPollTime)
	}
	must.Eq(t, string(configuration(2)), string(read))
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
	must.NoError(t, client.SendConfiguration(ctx, configuration(1)))
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

// TestServesThoughNobodyReadsItsLog (FAULT): a program whose log nobody reads starts, serves and ends in order. It stood still at its
// first line.
func TestServesThoughNobodyReadsItsLog(t *testing.T) {
	for i, role := range daemonRoles {
		t.Run(role, func(t *testing.T) {
			ip := fmt.Sprintf("127.0.7.%d", 110+i)
			d := newDaemon(t, role, ip, t.TempDir(), 0)
			d.process.Stderr = fullpipe.New(t)
			d.start()
			ctx, cancel := context.WithTimeout(t.Context(), startupTimeout/2)
			defer cancel()
			must.NoError(t, awaitMetrics(ctx, ip))
			if role == controlserver.Program.Name {
				client := &controlclient.Client{Addresses: []string{startupPorts.Control(ip)}}
				must.NoError(t, client.SendConfiguration(ctx, configuration(1)))
			}
			d.mustStop()
		})
	}
}

// awaitMetrics waits until a daemon serves its metrics.
func awaitMetrics(ctx context.Context, ip string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+metricsAddress(ip)+"/metrics", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			return response.Body.Close()
		}
		if ctx.Err() != nil {
			return err
		}
		time.Sleep(startupPollTime)
	}
}
