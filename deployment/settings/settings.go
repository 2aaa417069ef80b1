// Package settings reads and checks the settings file that the platform provides for each process. Its errors name
// the file and the key.
package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"
)

// FileVariable is the environment variable with the path of the settings file.
const FileVariable = "WILLOWSILL_NODE_FILE"

const defaultFile = "/etc/willowsill/local.toml"

// ErrSettings builds this package's errors, which carry the code "settings".
var ErrSettings = oops.Code("settings")

// Settings are the settings that a program reads. Units are in the names of the fields.
type Settings struct {
	File                string   `toml:"-"`
	Name                string   `toml:"node-name"`
	IP                  string   `toml:"ip"`
	Zone                string   `toml:"zone"`
	DataDir             string   `toml:"data-dir"`
	InternalPorts       []Figure `toml:"internal-ports"`
	SeedNodes           []string `toml:"seed-nodes"`
	Bootstrap           bool     `toml:"bootstrap"`
	HeartbeatIntervalMs Figure   `toml:"beat-interval-ms"`
	ConfigMode          string   `toml:"config_mode"`
	// PORT/PATH at which the process serves its metrics; empty for none.
	Metrics string            `toml:"metrics"`
	Zones   map[string]string `toml:"zones"`
	Bind    Bind              `toml:"bind-addrs"`
	Limits  Limits            `toml:"limits"`
	Bounds  Bounds            `toml:"bounds"`

	FaultBudget *FaultBudget `toml:"fault-budget"` // nil if the file does not have it
}

// FaultBudget is what may be lost at the same time while the system keeps all its promises.
type FaultBudget struct {
	Machines Figure `toml:"machines"`
	Zones    Figure `toml:"zones"`
	Regions  Figure `toml:"regions"`
}

// Bind holds the addresses to listen on, empty for those that the role does not serve.
type Bind struct {
	Front     string `toml:"front"`
	Readiness string `toml:"readiness"`
	Control   string `toml:"control"`
}

// Limits describe the resources of the process.
type Limits struct {
	MemoryMB  Figure `toml:"memory-mb"`
	CoreCount Figure `toml:"core-count"`
}

const bytesPerMB = 1 << 20

// MemoryBytes returns the memory limit in bytes, 0 if there is none.
func (l Limits) MemoryBytes() int64 { return max(int64(bytesPerMB*l.MemoryMB), 0) }

// Bounds are the limits that the platform's rules set.
type Bounds struct {
	GraceS       Figure `toml:"grace-s"`
	RetryRatio   Figure `toml:"retry-ratio"`
	RetryWindowS Figure `toml:"retry-window-s"`
	RetrySlack   Figure `toml:"retry-slack"`

	// ExposureShare limits the share of a service's requests that goes to a version that may be bad; 0 if no rule
	// limits it.
	ExposureShare Figure `toml:"exposure-share"`
}

// RetryWindow returns RetryWindowS in ns, 0 if no rule limits retries.
func (b Bounds) RetryWindow() int64 { return int64(b.RetryWindowS * Figure(time.Second)) }

// Grace returns the time from SIGTERM to the end of the process.
func (b Bounds) Grace() time.Duration { return time.Duration(b.GraceS * Figure(time.Second)) }

// HeartbeatInterval returns the time between two heartbeats of a replica, ns.
func (s *Settings) HeartbeatInterval() int64 {
	return int64(s.HeartbeatIntervalMs * Figure(time.Millisecond))
}

// Defaults for settings that are missing, and the least number of internal ports.
const (
	defaultHeartbeatIntervalMs = 1000
	defaultGraceS              = 5
	minPorts                   = 4
)

// Key is the name of a setting that a program may require. Keys within a table have the table's name before them.
type Key string

// The settings without which some programs cannot run.
const (
	KeyDataDir   Key = "data-dir"
	KeySeedNodes Key = "seed-nodes"
	KeyControl   Key = "bind-addrs.control"
	KeyFront     Key = "bind-addrs.front"
	KeyReadiness Key = "bind-addrs.readiness"
)

// Require returns an error that names the first of the keys that is missing.
func (s *Settings) Require(keys []Key) error {
	// An empty list of seeds is one that the platform had nobody to put into; a controller may still know others from its disk.
	has := map[Key]bool{KeyDataDir: s.DataDir != "", KeySeedNodes: s.SeedNodes != nil, KeyControl: s.Bind.Control != "", KeyFront: s.Bind.Front != "",
		KeyReadiness: s.Bind.Readiness != ""}
	for _, key := range keys {
		if !has[key] {
			return ErrSettings.With("key", key).Errorf("%s: %s is missing", s.File, key)
		}
	}
	return nil
}

// FileName returns the path of the settings file: the one that the environment names, or the default one.
func FileName(get func(string) string) string {
	if file := get(FileVariable); file != "" {
		return file
	}
	return defaultFile
}

// Read reads and checks a settings file. Unknown keys are ignored, as the platform may add keys.
func Read(file string) (s Settings, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return s, ErrSettings.Wrapf(err, "the settings file %s", file)
	}
	if err := toml.Unmarshal(text, &s); err != nil {
		if d, ok := err.(*toml.DecodeError); ok {
			line, column := d.Position()
			return s, ErrSettings.Errorf("%s:%d:%d: %s: %s", file, line, column, joinKey(d.Key()), d.Error())
		}
		return s, ErrSettings.Wrapf(err, "%s", file)
	}
	s.File = file
	return s, s.check()
}

func joinKey(key []string) string {
	out := ""
	for i, k := range key {
		if i > 0 {
			out += "."
		}
		out += k
	}
	return out
}

func (s *Settings) check() error {
	at := func(key, format string, args ...any) error {
		return ErrSettings.With("key", key).Errorf("%s: %s "+format, append([]any{s.File, key}, args...)...)
	}
	if net.ParseIP(s.IP) == nil {
		return at("ip", "is %q, and no IP address", s.IP)
	}
	if len(s.InternalPorts) != 2 || s.InternalPorts[1]-s.InternalPorts[0]+1 < minPorts {
		return at("internal-ports", "is %v: a first and a last port are wanted, %d ports at least", s.InternalPorts, minPorts)
	}
	for i, seed := range s.SeedNodes {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return at("seed-nodes", "[%d]: %v", i, err)
		}
	}
	for key, a := range map[string]string{"bind-addrs.front": s.Bind.Front, "bind-addrs.readiness": s.Bind.Readiness,
		"bind-addrs.control": s.Bind.Control} {
		if _, _, err := net.SplitHostPort(a); a != "" && err != nil {
			return at(key, "is %q: %v", a, err)
		}
	}
	if s.Limits.MemoryMB < 0 {
		return at("limits.memory-mb", "is %v, below 0", s.Limits.MemoryMB)
	}
	if share := s.Bounds.ExposureShare; share < 0 || share > 1 {
		return at("bounds.exposure-share", "is %v: a share from 0 to 1 is wanted", share)
	}
	if s.HeartbeatIntervalMs <= 0 {
		s.HeartbeatIntervalMs = defaultHeartbeatIntervalMs
	}
	if s.Bounds.GraceS <= 0 {
		s.Bounds.GraceS = defaultGraceS
	}
	return nil
}

// InternalAddress returns the address on a machine for the port with this number, counted from the first internal
// one.
func (s *Settings) InternalAddress(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(int(s.InternalPorts[0])+port))
}

// Loopback returns the address on which processes of this machine reach each other. A machine that is simulated on
// a loopback address uses its own.
func (s *Settings) Loopback() string {
	if ip := net.ParseIP(s.IP); ip.IsLoopback() {
		return s.IP
	}
	return "127.0.0.1"
}

// SeedIPs returns the IP addresses of the seed nodes.
func (s *Settings) SeedIPs() (ips []string) {
	for _, seed := range s.SeedNodes {
		host, _, _ := net.SplitHostPort(seed)
		ips = append(ips, host)
	}
	return ips
}

// Internal ports of the system's processes, counted from the first.
const (
	PortControllers = 0 // connections between controllers
	PortWatch       = 1 // TCP: a controller or an agent sends updates to edges
	PortAgent       = 2 // TCP on loopback: an agent sends updates to its proxy
	PortHeartbeats  = 3 // UDP: heartbeats of edges
)
