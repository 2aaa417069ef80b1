package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"willowsill/deployment/settings"
	"willowsill/front/proxyserver"
	"willowsill/lab/localsettings"
	"willowsill/transport/agentserver"
	"willowsill/transport/controlserver"
	"willowsill/transport/daemon"
	"willowsill/transport/logs"
)

// Variable names the part that a child process plays, partVariable the file that says more.
const (
	Variable     = "WILLOWSILL_HOLLOW_PART"
	partVariable = "WILLOWSILL_HOLLOW_FILE"
	readySuffix  = ".ready"
)

// part is what a child process is told.
type part struct {
	Options      Options
	File         string   // of this part
	Control      []string // addresses
	Settings     []string // IPs of the daemons
	IPs          []string // of all co-ordinators
	Agents       []int    // co-ordinators whose agents run here
	Readers      []int    // co-ordinators in whose proxies' place this process reads
	FirstReplica int
	Replicas     int
}

// report is what a hollow process says at its end.
type report struct {
	Arrivals map[uint64][]int64 // by revision: when each co-ordinator was told it or a later one, Unix time, ns
	Beats    Beats
}

// group is one child process.
type group struct {
	role  string
	part  part
	units int
	child *exec.Cmd
	out   string // what it says at its end
	log   string
	data  string // its folder
	ended chan struct{}
}

// Part runs one process of a run, where this process is one, and does not return then.
func Part() {
	role := os.Getenv(Variable)
	switch role {
	case "":
		return
	case "controller":
		os.Exit(daemon.Start(role, "plays a part", nil, controlserver.Run))
	case "relay", "agent":
		os.Exit(daemon.Start(role, "plays a part", nil, agentserver.Run))
	case "proxy":
		os.Exit(daemon.Start(role, "plays a part", nil, proxyserver.Run))
	}
	if err := playMany(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// playMany plays many co-ordinators or replicas until SIGTERM, and writes what they saw.
func playMany() error {
	text, err := os.ReadFile(os.Getenv(partVariable))
	if err != nil {
		return err
	}
	var p part
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	logs.Begin("hollow", settings.Settings{Name: "hollow"})
	defer logs.End()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var r report
	if p.Replicas > 0 {
		r.Beats = playReplicas(ctx, p)
	} else {
		r.Arrivals = playEdges(ctx, p)
	}
	return json.NewEncoder(os.Stdout).Encode(r)
}

// playEdges runs the agents and readers of a part and returns when the readers were told what.
func playEdges(ctx context.Context, p part) map[uint64][]int64 {
	for n, i := range p.Agents {
		go func() {
			if pause(ctx, p.Options.StartOver*time.Duration(n)/time.Duration(len(p.Agents))) != nil {
				return
			}
			s, err := settings.Read(settingsFile(p.File, p.IPs[i]))
			if err == nil {
				err = agentserver.Run(ctx, s)
			}
			if err != nil {
				fmt.Fprintln(os.Stderr, "hollow agent:", err)
				os.Exit(1)
			}
		}()
	}
	arrivals := &arrivals{times: map[uint64][]int64{}, waiting: len(p.Readers), ready: p.File + readySuffix}
	var all sync.WaitGroup
	for _, i := range p.Readers {
		all.Go(func() { read(ctx, p.IPs[i], arrivals) })
	}
	all.Wait()
	return arrivals.times
}

// settingsFile is where the settings of one daemon stand, beside the file of the part.
func settingsFile(file, ip string) string { return file + "-" + ip + ".toml" }

// writeSettings writes a daemon's settings file and returns its name.
func (s *stage) writeSettings(file, role, ip, zone, data string) (string, error) {
	name := settingsFile(file, ip)
	return name, ports.Write(name, localsettings.Daemon{Role: role, IP: ip, Zone: zone, SeedNodes: s.control, Heartbeat: s.Beat,
		DataDir: data, GraceS: 1})
}

// start starts a process of a role, in which so many units share what it spends.
func (s *stage) start(role string, p part, units int) error {
	g := &group{role: role, units: units, data: filepath.Join(s.dir, fmt.Sprint(len(s.groups))), ended: make(chan struct{})}
	if err := os.MkdirAll(g.data, 0o700); err != nil {
		return err
	}
	base := g.data + "-part"
	p.Options, p.File, p.Control = s.Options, base, s.control
	var file string
	for _, ip := range p.Settings {
		var err error
		if file, err = s.writeSettings(base, role, ip, s.zoneOf(ip), g.data); err != nil {
			return err
		}
	}
	for _, i := range p.Agents {
		var err error
		if file, err = s.writeSettings(base, "agent", s.edges[i].IP, s.edges[i].Zone, ""); err != nil {
			return err
		}
	}
	for _, e := range s.edges {
		p.IPs = append(p.IPs, e.IP)
	}
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if err := os.WriteFile(base, text, 0o600); err != nil {
		return err
	}
	g.part, g.out, g.log = p, base+".out", base+".log"
	if err := g.spawn(s.program(role), base, file); err != nil {
		return err
	}
	s.groups = append(s.groups, g)
	return nil
}

func (s *stage) zoneOf(ip string) string {
	for _, e := range s.edges {
		if e.IP == ip {
			return e.Zone
		}
	}
	return s.zone(0)
}

func (g *group) spawn(exe, partFile, settingsFile string) error {
	out, err := os.Create(g.out)
	if err != nil {
		return err
	}
	defer out.Close()
	log, err := os.Create(g.log)
	if err != nil {
		return err
	}
	defer log.Close()
	g.child = exec.Command(exe)
	g.child.Env = append(os.Environ(), Variable+"="+g.role, partVariable+"="+partFile, settings.Variable+"="+settingsFile)
	g.child.Stdout, g.child.Stderr = out, log
	// Danger: should this program be killed, its children would stay.
	g.child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.child.Start(); err != nil {
		return err
	}
	go func() {
		g.child.Wait()
		close(g.ended)
	}()
	return nil
}

// end has a process end in order and returns what it said.
func (g *group) end() ([]byte, error) {
	g.child.Process.Signal(syscall.SIGTERM)
	select {
	case <-g.ended:
	case <-time.After(endWait):
		g.child.Process.Kill()
		<-g.ended
	}
	return os.ReadFile(g.out)
}

// strike ends all.
func (s *stage) strike() {
	for _, g := range s.groups {
		g.child.Process.Kill()
	}
	for _, g := range s.groups {
		<-g.ended
	}
}
