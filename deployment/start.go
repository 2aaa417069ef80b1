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

// Terms are what the deployment states of an aggregator's sockets and of what it may hold. Times in ns.
type Terms struct {
	MostHeld      int   // queries and parts
	Streams       int   // calls at a time on one connection to a replica
	ConnectWithin int64 // a connection to a replica is up by then, or not at all
	IdleAfter     int64 // a replica closes a connection that has carried nothing for so long
	LongestCutOff int64 // of all workloads
}

// Start is what one aggregator on sockets is told at its start.
type Start struct {
	Deployment
	Terms
	Name      string
	Listen    string // where clients connect
	Discovery string
	Cores     float64
	Memory    int64          // bytes
	Sockets   int            // descriptors
	Known     discovery.News // the list as this aggregator last held it
	file      string
	told      map[string]json.RawMessage // the file's keys, as they stand
}

// variables are those of the environment that must be there.
const (
	variableConfig    = "NODE_CONFIG"
	variableName      = "NODE_NAME"
	variableListen    = "NODE_LISTEN"
	variableDiscovery = "NODE_DISCOVERY"
)

// Defaults for limits that are not stated.
const (
	defaultCores   = 1.0  // an aggregator has a core, shared or its own
	defaultMemory  = 192  // MB: thirty times what one at the first size was seen to use
	defaultSockets = 1024 // descriptors: the usual limit of a process
	leastSockets   = 48   // descriptors: what the process needs for itself, and some to serve with
	megabyte       = 1 << 20
)

// FromEnvironment reads what this process is told; get is os.Getenv.
func FromEnvironment(get func(string) string) (s Start, err error) {
	values := map[string]*string{variableName: &s.Name, variableListen: &s.Listen,
		variableDiscovery: &s.Discovery}
	for _, name := range []string{variableConfig, variableName, variableListen, variableDiscovery} {
		if get(name) == "" {
			return s, fmt.Errorf("variable %s is missing", name)
		}
		if v := values[name]; v != nil {
			*v = get(name)
		}
	}
	for _, name := range []string{variableListen, variableDiscovery} {
		if _, _, err := net.SplitHostPort(*values[name]); err != nil {
			return s, fmt.Errorf("variable %s: %w", name, err)
		}
	}
	s.file = get(variableConfig)
	return s, s.readFile()
}

// Check reads a configuration alone, as a start would; the error names the key at fault.
func Check(file string) (Start, error) {
	s := Start{Name: "check", Discovery: "127.0.0.1:1", file: file}
	return s, s.readFile()
}

// Again reads the file once more for a process that runs. What it says of discovery can be followed; odd
// names the other keys that now differ, which cannot change before the next start. With an error the file is
// missing or wrong, and what was read before stays in force.
func (s *Start) Again() (next Start, odd []string, err error) {
	next = Start{Name: s.Name, Listen: s.Listen, Discovery: s.Discovery, file: s.file}
	if err := next.readFile(); err != nil {
		return next, nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(next.told)) {
		var was, is any
		json.Unmarshal(s.told[key], &was)
		json.Unmarshal(next.told[key], &is)
		if key != "discovery" && key != "known" && !reflect.DeepEqual(was, is) {
			odd = append(odd, key)
		}
	}
	return next, odd, nil
}

func (s *Start) readFile() error {
	text, err := os.ReadFile(s.file)
	if err != nil {
		return fmt.Errorf("variable %s: %w", variableConfig, err)
	}
	if err := s.read(text); err != nil {
		return fmt.Errorf("%s: %w", s.file, err)
	}
	return nil
}

// read reads the configuration's text.
func (s *Start) read(text []byte) error {
	top := &fields.Object{}
	if err := json.Unmarshal(text, &top.Raw); err != nil {
		return fmt.Errorf("not a JSON object: %w", err)
	}
	statement, seed := top.Object("settings"), top.String("seed")
	limits := &fields.Object{}
	top.May("limits", &limits.Raw)
	if top.Err != nil {
		return top.Err
	}
	memory := float64(defaultMemory)
	s.Cores, s.Sockets = defaultCores, defaultSockets
	limits.May("cores", &s.Cores)
	limits.May("memory_mb", &memory)
	limits.May("sockets", &s.Sockets)
	s.Memory = int64(memory * megabyte)
	for key, bad := range map[string]bool{"cores": s.Cores <= 0, "memory_mb": memory < 1,
		"sockets": s.Sockets < leastSockets} {
		if bad {
			limits.Fail(key, "is too small")
		}
	}
	if limits.Err != nil {
		return fmt.Errorf("limits: %w", limits.Err)
	}
	s.told = top.Raw
	// The file can be replaced while the process runs and the environment can't, so the file has the last word.
	if top.May("discovery", &s.Discovery); top.Err != nil {
		return top.Err
	}
	_, _, err := net.SplitHostPort(s.Discovery)
	if err != nil {
		return fmt.Errorf("field %q: %w", "discovery", err)
	}
	if s.Deployment, err = Read(statement); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if top.Has("known") {
		if s.Known, err = discovery.Decode(top.Text("known"), s.Cells); err != nil {
			return fmt.Errorf("field %q: %w", "known", err)
		}
	}
	if s.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return fmt.Errorf("field %q is no number of 16 hex digits", "seed")
	}
	caps := statement.Object("caps")
	s.Terms = Terms{MostHeld: caps.Int("most_held"), Streams: caps.Int("streams_per_conn"),
		ConnectWithin: caps.Time("connect_timeout"), IdleAfter: caps.Time("conn_idle")}
	if caps.Err != nil {
		return fmt.Errorf("settings: caps: %w", caps.Err)
	}
	for _, c := range []struct {
		key   string
		value int64
	}{{"most_held", int64(s.MostHeld)}, {"streams_per_conn", int64(s.Streams)},
		{"connect_timeout", s.ConnectWithin}, {"conn_idle", s.IdleAfter},
		{"max_attempts", int64(s.MaxExecutions)}, {"tick", s.Tick}, {"slices", int64(s.Shards)},
		{"cells", int64(s.Cells)}, {"in_a_row", int64(s.CellsPerShard)}, {"parts_a_call", int64(s.PartsPerCall)},
		{"classes", int64(len(s.Workloads))}} {
		if c.value <= 0 {
			return fmt.Errorf("settings: field %q is not above 0", c.key)
		}
	}
	if mode := statement.String("membership_mode"); mode != "push" && mode != "ask" {
		return fmt.Errorf("settings: field %q is unknown", "membership_mode")
	}
	for i, raw := range statement.List("classes") {
		c := &fields.Object{Raw: raw}
		s.LongestCutOff = max(s.LongestCutOff, c.Time("give_up"))
		if c.Err != nil {
			return fmt.Errorf("settings: classes: %w", c.Err)
		}
		if s.Workloads[i].FollowUpParts > 0 { // the protocol with clients and replicas has no form for it
			return errors.New(`settings: field "follow_up": a second step is not served on sockets`)
		}
	}
	return nil
}
