package startsoak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"willowsill/lab/localsettings"
	"willowsill/lab/rehearsal"
)

// The roles of daemons.
const (
	controllerRole = "controller"
	agentRole      = "agent"
	proxyRole      = "proxy"
)

const (
	zone           = "hall"
	heartbeat      = 300 * time.Millisecond
	graceS         = 2 // seconds between SIGTERM and the end of a daemon
	requestTimeout = time.Second
	loadWait       = 5 * time.Second // longest time for the system's loader on a busy machine
	loadPoll       = 100 * time.Microsecond
)

// daemon is one process of the system, restarted many times.
type daemon struct {
	role, ip    string
	ports       localsettings.Ports
	seeds       []string // control addresses of the controllers
	dir         string
	descriptors int // limit of the running process, 0 for none
	troubles    sync.WaitGroup

	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

func (d *daemon) name() string         { return d.role + " " + d.ip }
func (d *daemon) folder() string       { return filepath.Join(d.dir, d.role+d.ip) }
func (d *daemon) dataFolder() string   { return filepath.Join(d.folder(), "data") }
func (d *daemon) settingsFile() string { return filepath.Join(d.folder(), "local.toml") }
func (d *daemon) logFile() string      { return filepath.Join(d.folder(), "log") }

// prepare writes the settings file and makes the data folder.
func (d *daemon) prepare() error {
	if err := os.MkdirAll(d.dataFolder(), 0o700); err != nil {
		return err
	}
	return d.ports.Write(d.settingsFile(), localsettings.Daemon{Role: d.role, IP: d.ip, Zone: zone, SeedNodes: d.seeds, Heartbeat: heartbeat,
		DataDir: d.dataFolder(), GraceS: graceS})
}

// start starts the process, with a limit on its descriptors if that is above 0.
func (d *daemon) start(descriptors int) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(d.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.descriptors = descriptors
	d.process = rehearsal.DaemonCommand(program, d.role, d.settingsFile(), descriptors)
	d.process.Stdout, d.process.Stderr = log, log
	if err := d.process.Start(); err != nil {
		return err
	}
	process, ended := d.process, make(chan struct{})
	d.ended = ended
	go func() {
		defer close(ended)
		process.Wait()
	}()
	return nil
}

// awaitLoaded waits until the process ignores or handles SIGHUP. Before that only the system's loader has run in it, and no code of the
// program can keep a signal from ending it.
func (d *daemon) awaitLoaded() error {
	for until := time.Now().Add(loadWait); time.Now().Before(until); time.Sleep(loadPoll) {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.Process.Pid))
		if err != nil {
			return err
		}
		if (signalMask(status, "SigIgn")|signalMask(status, "SigCgt"))&(1<<(syscall.SIGHUP-1)) != 0 {
			return nil
		}
	}
	return fmt.Errorf("%s does not handle SIGHUP %v after its start", d.name(), loadWait)
}

// signalMask returns a mask of signals from the text of a process's status.
func signalMask(status []byte, name string) (mask uint64) {
	if _, rest, found := strings.Cut(string(status), name+":\t"); found {
		fmt.Sscanf(rest, "%x", &mask)
	}
	return mask
}

// endedByItself reports whether the process has ended without a signal of this run, and how.
func (d *daemon) endedByItself() (how string, ended bool) {
	select {
	case <-d.ended:
		return "ended by itself: " + d.process.ProcessState.String(), true
	default:
		return "", false
	}
}

// kill ends the process at once.
func (d *daemon) kill() {
	if d.process == nil || d.process.Process == nil {
		return
	}
	d.process.Process.Kill()
	<-d.ended
}

// stop ends the process in order. The error says how it ended otherwise.
func (d *daemon) stop() error {
	d.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.ended:
	case <-time.After(stopWait):
		d.kill()
		return fmt.Errorf("has not ended %v after SIGTERM", stopWait)
	}
	if state := d.process.ProcessState; !state.Success() {
		return fmt.Errorf("ended after SIGTERM with %s", state)
	}
	return nil
}

// serves reports whether the daemon does its work: a controller answers a call, a proxy is ready, an agent has a ready proxy.
func (d *daemon) serves() bool {
	address := d.ports.Readiness(d.ip)
	path := "/"
	if d.role == controllerRole {
		address, path = d.ports.Control(d.ip), "/v1/configuration/read"
	}
	client := http.Client{Timeout: requestTimeout}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
