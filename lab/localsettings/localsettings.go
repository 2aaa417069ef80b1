// Package localsettings writes the settings files of the system's daemons for runs on the loopback addresses of one machine. Each machine
// of the simulated system has its own loopback address, and all use the same ports. The package starts no processes.
package localsettings

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// The roles of daemons.
const (
	roleController = "controller"
	roleAgent      = "agent"
	roleProxy      = "proxy"
)

const (
	internalPorts   = 10 // ports for traffic between daemons, from the first port on
	controlOffset   = 10 // offset of a controller's port for replicas and operators
	frontOffset     = 11 // offset of a proxy's port for clients
	readinessOffset = 12 // offset of a proxy's port for readiness checks
)

// Ports is the range of ports that every daemon of a run uses, given by its first port.
type Ports int

// Internal returns the first and the last port for traffic between daemons.
func (p Ports) Internal() []int { return []int{int(p), int(p) + internalPorts - 1} }

// Control returns the address of a controller for replicas and operators.
func (p Ports) Control(ip string) string { return p.address(ip, controlOffset) }

// Front returns the address of a proxy for clients.
func (p Ports) Front(ip string) string { return p.address(ip, frontOffset) }

// Readiness returns the address of a proxy for readiness checks.
func (p Ports) Readiness(ip string) string { return p.address(ip, readinessOffset) }

func (p Ports) address(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(int(p)+offset))
}

// Daemon holds the settings of one daemon.
type Daemon struct {
	Role, IP, Zone string
	SeedNodes      []string // control addresses of the controllers
	Heartbeat      time.Duration
	DataDir        string // folder for saved state; only for controllers
	MemoryMB       int    // memory limit in MB; 0 for none
	GraceS         int    // seconds between SIGTERM and the end of the process
	Restarted      bool   // the file is written after the first start of the whole system
	MachineLosses  int    // controllers that may be lost at once; 0 to leave the fault budget out
}

// Write writes the settings file of a daemon.
func (p Ports) Write(file string, d Daemon) error {
	var b strings.Builder
	fmt.Fprintf(&b, "node-name = %q\nip = %q\nzone = %q\n", d.Role+"-"+d.IP, d.IP, d.Zone)
	internal := p.Internal()
	fmt.Fprintf(&b, "internal-ports = [%d, %d]\n", internal[0], internal[1])
	fmt.Fprintf(&b, "seed-nodes = [%s]\n", quotedList(d.SeedNodes))
	fmt.Fprintf(&b, "bootstrap = %v\nbeat-interval-ms = %d\n", !d.Restarted, d.Heartbeat.Milliseconds())
	if d.Role == roleController {
		fmt.Fprintf(&b, "data-dir = %q\n", d.DataDir)
	}
	b.WriteString("[bind-addrs]\n")
	switch d.Role {
	case roleController:
		fmt.Fprintf(&b, "control = %q\n", p.Control(d.IP))
	case roleProxy:
		fmt.Fprintf(&b, "front = %q\nreadiness = %q\n", p.Front(d.IP), p.Readiness(d.IP))
	}
	if d.MemoryMB > 0 {
		fmt.Fprintf(&b, "[limits]\nmemory-mb = %d\n", d.MemoryMB)
	}
	if d.MachineLosses > 0 {
		fmt.Fprintf(&b, "[fault-budget]\nmachines = %d\nzones = 0\nregions = 0\n", d.MachineLosses)
	}
	fmt.Fprintf(&b, "[bounds]\ngrace-s = %d\nretry-ratio = 0.2\nretry-window-s = 10\nretry-slack = 40\n", d.GraceS)
	return os.WriteFile(file, []byte(b.String()), 0o600)
}

// quotedList formats texts as the elements of a TOML array.
func quotedList(texts []string) string {
	quoted := make([]string, len(texts))
	for i, text := range texts {
		quoted[i] = strconv.Quote(text)
	}
	return strings.Join(quoted, ", ")
}
