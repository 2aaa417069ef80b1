package floodsoak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"willowsill/deployment/settings"
	"willowsill/lab/localsettings"
)

// The roles of daemons, which are the names of their programs.
const (
	controllerRole = "controller"
	agentRole      = "agent"
	proxyRole      = "proxy"
)

const (
	memoryLimit = memoryMB << 20
	memoryPoll  = 10 * time.Millisecond
	bytesPerKB  = 1 << 10
)

// daemon is one process of the system. It is killed where its resident memory passes its limit, as a machine would.
type daemon struct {
	role, ip string
	options  Options
	seeds    []string

	process *exec.Cmd
	ended   chan struct{}
	peak    atomic.Int64 // most resident memory, bytes
	killed  atomic.Bool  // this run has ended the process in order
}

func (d *daemon) start() error {
	folder := filepath.Join(d.options.Dir, d.role+d.ip)
	data := filepath.Join(folder, "data")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	file := filepath.Join(folder, "local.toml")
	if err := d.options.Ports.Write(file, localsettings.Daemon{Role: d.role, IP: d.ip, Zone: zone, SeedNodes: d.seeds, Heartbeat: heartbeat, DataDir: data, MemoryMB: memoryMB, GraceS: graceS}); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		return err
	}
	defer log.Close()
	d.process = exec.Command(filepath.Join(d.options.Programs, d.role))
	d.process.Env = append(os.Environ(), settings.FileVariable+"="+file)
	d.process.Stdout, d.process.Stderr = log, log
	if err := d.process.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func() {
		defer close(d.ended)
		d.process.Wait()
	}()
	go d.watchMemory()
	return nil
}

// watchMemory keeps the peak until the process has ended, and kills a process that is over its limit.
func (d *daemon) watchMemory() {
	ticker := time.NewTicker(memoryPoll)
	defer ticker.Stop()
	for {
		select {
		case <-d.ended:
			return
		case <-ticker.C:
		}
		if resident := peakMemory(d.process.Process.Pid); resident > 0 {
			d.peak.Store(resident)
		}
		if d.peak.Load() > memoryLimit {
			d.process.Process.Kill()
			return
		}
	}
}

// peakMemory returns the most resident memory that a process has had, in bytes, 0 if that is not known.
func peakMemory(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(status, []byte("VmHWM:"))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(string(fields[0]), 10, 64)
	return kilobytes * bytesPerKB
}

// endedByItself reports whether the process has ended, or was killed over its limit, and how.
func (d *daemon) endedByItself() (how string, ended bool) {
	if d.peak.Load() > memoryLimit {
		return fmt.Sprintf("over %d MB", memoryMB), true
	}
	select {
	case <-d.ended:
		return d.process.ProcessState.String(), !d.killed.Load()
	default:
		return "", false
	}
}

// kill ends the process at once.
func (d *daemon) kill() {
	d.killed.Store(true)
	d.process.Process.Kill()
	<-d.ended
}
