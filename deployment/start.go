package deployment

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"

	"willowsill/deployment/fields"
	"willowsill/transport/discovery"
)

// Limits are an aggregator's limits on its queries and its connections to replicas. Times are in ns.
type Limits struct {
	MaxHeld              int   // limit of queries and parts held at a time
	CallsPerConnection   int   // limit of calls at a time on one connection to a replica
	ConnectTimeout       int64 // limit for opening a connection to a replica
	IdleTimeout          int64 // time after which a replica closes an unused connection
	LongestClientTimeout int64 // longest time that clients of any workload wait
}

// Config is the configuration with which one aggregator starts, from its environment and its configuration file.
type Config struct {
	Deployment
	Limits
	Environment
	Cores         float64
	MemoryBytes   int64
	Descriptors   int                        // limit of open file descriptors
	KnownReplicas discovery.Update           // list of replicas in the file, used until the discovery service answers
	keys          map[string]json.RawMessage // top-level values of the file, undecoded
}

// Environment is what the environment tells an aggregator.
type Environment struct {
	Name      string
	Listen    string // HOST:PORT for clients
	Discovery string // HOST:PORT of the discovery service
	file      string // configuration file
}

// Environment variables, all of which must be set.
const (
	envConfig    = "NODE_CONFIG"
	envName      = "NODE_NAME"
	envListen    = "NODE_LISTEN"
	envDiscovery = "NODE_DISCOVERY"
)

// Defaults and bounds for limits in the configuration file.
const (
	defaultCores       = 1.0  // cores available to the process, whether shared or its own
	defaultMemoryMB    = 192  // MB; 30 times the memory that an aggregator used at the size that was first designed for
	defaultDescriptors = 1024 // the usual limit of open descriptors of a process
	minDescriptors     = 48   // smallest limit that is accepted: enough for the process itself and some clients
	megabyte           = 1 << 20
)

// ReadEnvironment reads the environment and no file; get is os.Getenv. The error names the first variable that is missing or invalid.
func ReadEnvironment(get func(string) string) (Environment, error) {
	for _, name := range []string{envConfig, envName, envListen, envDiscovery} {
		if get(name) == "" {
			return Environment{}, fmt.Errorf("variable %s is missing", name)
		}
	}
	for _, name := range []string{envListen, envDiscovery} {
		if _, _, err := net.SplitHostPort(get(name)); err != nil {
			return Environment{}, fmt.Errorf("variable %s: %w", name, err)
		}
	}
	return Environment{Name: get(envName), Listen: get(envListen), Discovery: get(envDiscovery), file: get(envConfig)}, nil
}

// ReadConfig reads the configuration file that the environment names.
func (e Environment) ReadConfig() (Config, error) {
	s := Config{Environment: e}
	return s, s.readFile()
}

// Check reads a configuration file without an environment. The error names the key at fault.
func Check(file string) (Config, error) {
	return Environment{Name: "check", Discovery: "127.0.0.1:1", file: file}.ReadConfig()
}

// Reload reads the file again in a running process. The address of the discovery may change; changedKeys lists the other
// keys whose values differ, which take effect only at the next start. If the file is missing or wrong, Reload
// returns an error and the present configuration remains in force.
func (s *Config) Reload() (next Config, changedKeys []string, err error) {
	next, err = s.Environment.ReadConfig()
	if err != nil {
		return next, nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(next.keys)) {
		var before, now any
		json.Unmarshal(s.keys[key], &before)
		json.Unmarshal(next.keys[key], &now)
		if key != "discovery" && key != "known" && !reflect.DeepEqual(before, now) {
			changedKeys = append(changedKeys, key)
		}
	}
	return next, changedKeys, nil
}

func (s *Config) readFile() error {
	text, err := os.ReadFile(s.file)
	if err != nil {
		return fmt.Errorf("variable %s: %w", envConfig, err)
	}
	if err := s.decode(text); err != nil {
		return fmt.Errorf("%s: %w", s.file, err)
	}
	return nil
}

// decode sets the fields from the text of the configuration file, and checks them.
func (s *Config) decode(text []byte) error {
	top := &fields.Object{}
	if err := json.Unmarshal(text, &top.Raw); err != nil {
		return fmt.Errorf("not a JSON object: %w", err)
	}
	settingsObject, seed := top.Object("settings"), top.String("seed")
	limits := &fields.Object{}
	top.DecodeOptional("limits", &limits.Raw)
	if top.Err != nil {
		return top.Err
	}
	memory := float64(defaultMemoryMB)
	s.Cores, s.Descriptors = defaultCores, defaultDescriptors
	limits.DecodeOptional("cores", &s.Cores)
	limits.DecodeOptional("memory_mb", &memory)
	limits.DecodeOptional("sockets", &s.Descriptors)
	s.MemoryBytes = int64(memory * megabyte)
	for key, bad := range map[string]bool{"cores": s.Cores <= 0, "memory_mb": memory < 1,
		"sockets": s.Descriptors < minDescriptors} {
		if bad {
			limits.Fail(key, "is too small")
		}
	}
	if limits.Err != nil {
		return fmt.Errorf("limits: %w", limits.Err)
	}
	s.keys = top.Raw
	// The file takes precedence over the environment, as it can be replaced while the process runs.
	if top.DecodeOptional("discovery", &s.Discovery); top.Err != nil {
		return top.Err
	}
	_, _, err := net.SplitHostPort(s.Discovery)
	if err != nil {
		return fmt.Errorf("field %q: %w", "discovery", err)
	}
	if s.Deployment, err = Read(settingsObject); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if top.Has("known") {
		if s.KnownReplicas, err = discovery.Decode(top.RawValue("known"), s.Cells); err != nil {
			return fmt.Errorf("field %q: %w", "known", err)
		}
	}
	if s.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return fmt.Errorf("field %q is no number of 16 hex digits", "seed")
	}
	caps := settingsObject.Object("caps")
	s.Limits = Limits{MaxHeld: caps.Int("most_held"), CallsPerConnection: caps.Int("streams_per_conn"),
		ConnectTimeout: caps.Duration("connect_timeout"), IdleTimeout: caps.Duration("conn_idle")}
	if caps.Err != nil {
		return fmt.Errorf("settings: caps: %w", caps.Err)
	}
	for _, c := range []struct {
		key   string
		value int64
	}{{"most_held", int64(s.MaxHeld)}, {"streams_per_conn", int64(s.CallsPerConnection)},
		{"connect_timeout", s.ConnectTimeout}, {"conn_idle", s.IdleTimeout},
		{"max_attempts", int64(s.MaxExecutions)}, {"tick", s.Tick}, {"slices", int64(s.Shards)},
		{"cells", int64(s.Cells)}, {"in_a_row", int64(s.CellsPerShard)}, {"parts_a_call", int64(s.PartsPerCall)},
		{"classes", int64(len(s.Workloads))}} {
		if c.value <= 0 {
			return fmt.Errorf("settings: field %q is not above 0", c.key)
		}
	}
	if mode := settingsObject.String("membership_mode"); mode != "push" && mode != "ask" {
		return fmt.Errorf("settings: field %q is unknown", "membership_mode")
	}
	for i, raw := range settingsObject.List("classes") {
		c := &fields.Object{Raw: raw}
		s.LongestClientTimeout = max(s.LongestClientTimeout, c.Duration("give_up"))
		if c.Err != nil {
			return fmt.Errorf("settings: classes: %w", c.Err)
		}
		if s.Workloads[i].FollowUpParts > 0 { // the protocols with clients and replicas do not support it
			return errors.New(`settings: field "follow_up": a second step is not served on sockets`)
		}
	}
	return nil
}
