package localsettings

import (
	"io"
	"net"

	"willowsill/deployment/settings"
)

// Listener is an address on which a daemon listens.
type Listener struct {
	Name    string // who connects there
	Network string // tcp or udp
	Address string
}

// Listeners returns the addresses on which a daemon of this role listens, without that of its metrics.
func (p Ports) Listeners(role, ip string) []Listener {
	switch role {
	case roleController:
		return []Listener{
			{"controllers", "tcp", p.address(ip, settings.PortControllers)},
			{"watches", "tcp", p.address(ip, settings.PortWatch)},
			{"calls", "tcp", p.Control(ip)},
		}
	case roleAgent:
		return []Listener{
			{"its proxy", "tcp", p.address(ip, settings.PortAgent)},
			{"watches", "tcp", p.address(ip, settings.PortWatch)},
			{"heartbeats", "udp", p.address(ip, settings.PortHeartbeats)},
		}
	case roleProxy:
		return []Listener{{"clients", "tcp", p.Front(ip)}, {"readiness", "tcp", p.Readiness(ip)}}
	}
	return nil
}

// Hold occupies the address until the result is closed, as another process would.
func (l Listener) Hold() (io.Closer, error) {
	if l.Network == "udp" {
		return net.ListenPacket(l.Network, l.Address)
	}
	return net.Listen(l.Network, l.Address)
}
