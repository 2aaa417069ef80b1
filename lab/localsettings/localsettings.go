// Package localsettings writes the settings files of the system's daemons for runs on the loopback addresses of one machine. Every
// daemon has an address of its own, and the ports are alike on all of them. It starts nothing.
package localsettings

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// The roles that need more than the settings common to all.
const (
	roleController = "controller"
	roleProxy      = "proxy"
)

const (
	internalPorts   = 10 // ports from the first one on that are free for traffic between daemons
	controlOffset   = 10 // of the control port from the first one
	frontOffset     = 11 // of the port for clients
	readinessOffset = 12 // of the port for questions of readiness
)

// Ports are the ports of every daemon of a run: the number is the first one.
type Ports int

// Internal returns the first and the last port for traffic between daemons.
func (p Ports) Internal() []int { return []int{int(p), int(p) + internalPorts - 1} }

// Control returns the address for replicas and operators of a controller.
func (p Ports) Control(ip string) string { return p.address(ip, controlOffset) }

// Front returns the address for clients of a proxy.
func (p Ports) Front(ip string) string { return p.address(ip, frontOffset) }

// Readiness returns the address at which a proxy says whether it is ready.
func (p Ports) Readiness(ip string) string { return p.address(ip, readinessOffset) }

func (p Ports) address(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(int(p)+offset))
}

// Daemon is what the settings of one daemon say. DataDir is used for controllers alone.
type Daemon struct {
	Role, IP, Zone string
	SeedNodes      []string // control addresses
	Heartbeat      time.Duration
	DataDir        string
	MemoryMB       int // 0 for no limit stated
	GraceS         int // from SIGTERM to the end, s
}

// Write writes the settings of a daemon into a file.
func (p Ports) Write(file string, d Daemon) error {
	var b strings.Builder
	fmt.Fprintf(&b, "node-name = %q\nip = %q\nzone = %q\n", d.Role+"-"+d.IP, d.IP, d.Zone)
	internal := p.Internal()
	fmt.Fprintf(&b, "internal-ports = [%d, %d]\n", internal[0], internal[1])
	fmt.Fprintf(&b, "seed-nodes = [%s]\n", quotedList(d.SeedNodes))
	fmt.Fprintf(&b, "bootstrap = true\nbeat-interval-ms = %d\n", d.Heartbeat.Milliseconds())
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
	fmt.Fprintf(&b, "[bounds]\ngrace-s = %d\nretry-ratio = 0.2\nretry-window-s = 10\nretry-slack = 40\n", d.GraceS)
	return os.WriteFile(file, []byte(b.String()), 0o600)
}

func quotedList(texts []string) string {
	quoted := make([]string, len(texts))
	for i, text := range texts {
		quoted[i] = strconv.Quote(text)
	}
	return strings.Join(quoted, ", ")
}
