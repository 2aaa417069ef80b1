package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The figures of the settings are those of the small site souq-search.
const (
	beatEvery = 1200 * time.Millisecond
	contact   = 5 * time.Second // contact-ms
	drain     = 4 * time.Second // drain-ms
	apply     = 4 * time.Second // apply-ms

	controlPort   = 8047
	frontPort     = 8043
	readinessPort = 8041
	edgePorts     = 7080 // the first internal port of the frontends
	corePorts     = 7200 // of the first controller; each further one's are 20 higher, so that links can be cut
)

// machine is one simulated machine: an address on loopback with the processes of its roles.
type machine struct {
	name, ip, zone string
	first          int // internal port
	core           bool
	procs          []*process
}

// process is one process of the project.
type process struct {
	role string
	argv []string
	file string // settings
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// rig is a small deployment on loopback.
type rig struct {
	dir, net string
	began    time.Time
	mu       sync.Mutex
	out      *os.File
	cores    []*machine
	fronts   []*machine
	wires    []*wire
	replicas []*replica
	firstRun bool
	look     atomic.Pointer[func(from *machine, frame []byte) bool] // at each message between controllers; false drops it
}

// regions of the site's zones.
const zonesTable = `[zones]
abdali-hall = "amman"
hakama-hall = "irbid"
port-hall = "aqaba"
`

var regionOf = map[string]string{"abdali-hall": "amman", "hakama-hall": "irbid", "port-hall": "aqaba"}

func newRig(record string, fronts map[string]int) (*rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, began: time.Now(), out: out, firstRun: true}
	for tries := 0; ; tries++ {
		r.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		ln, err := net.Listen("tcp", r.net+".1:"+fmt.Sprint(corePorts))
		if err == nil {
			ln.Close()
			break
		}
		if tries > 20 {
			return nil, err
		}
	}
	n := 0
	for _, zone := range []string{"abdali-hall", "abdali-hall", "hakama-hall", "hakama-hall", "port-hall"} {
		n++
		r.cores = append(r.cores, &machine{name: fmt.Sprintf("core-%d", n), ip: fmt.Sprintf("%s.%d", r.net, n), zone: zone, first: corePorts + 20*(n-1), core: true})
	}
	n = 20
	for _, zone := range []string{"abdali-hall", "hakama-hall", "port-hall"} {
		for range fronts[zone] {
			n++
			r.fronts = append(r.fronts, &machine{name: fmt.Sprintf("frontend-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", r.net, n), zone: zone, first: edgePorts})
		}
	}
	return r, nil
}

// say writes a line of the record.
func (r *rig) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) control(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }

// controls are the addresses that serve control, beginning with one.
func (r *rig) controls(first int) (all []string) {
	for i := range r.cores {
		all = append(all, r.control(r.cores[(first+i)%len(r.cores)]))
	}
	return all
}

// seeds are three of the controllers, one in each zone.
func (r *rig) seeds() string {
	return fmt.Sprintf("%q, %q, %q", r.control(r.cores[0]), r.control(r.cores[2]), r.control(r.cores[4]))
}

// settings writes the settings file of a process, as the example of the small site has it.
func (r *rig) settings(m *machine, role string) (string, error) {
	file := filepath.Join(r.dir, m.name+"-"+role+".toml")
	var b strings.Builder
	class := "frontend"
	if m.core {
		class = "core"
	}
	fmt.Fprintf(&b, "node-name = %q\nrole = %q\nmachine-class = %q\nip = %q\nzone = %q\nregion = %q\n", m.name, role, class, m.ip, m.zone, regionOf[m.zone])
	fmt.Fprintf(&b, "internal-ports = [%d, %d]\nseed-nodes = [%s]\nbootstrap = %v\nquorum-member = %v\n", m.first, m.first+15, r.seeds(), r.firstRun, m.core)
	if m.core {
		data := filepath.Join(r.dir, m.name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "data-dir = %q\n", data)
	}
	fmt.Fprintf(&b, "discovery = \"registry\"\nentry-kind = \"virtual_ip\"\nbeat-interval-ms = %d\nconfig_mode = \"highest\"\n", beatEvery.Milliseconds())
	b.WriteString("active-rules = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\"]\n" + zonesTable + "[bind-addrs]\n")
	switch role {
	case "controller":
		fmt.Fprintf(&b, "control = %q\n", r.control(m))
	case "proxy":
		fmt.Fprintf(&b, "front = \"%s:%d\"\nreadiness = \"%s:%d\"\n", m.ip, frontPort, m.ip, readinessPort)
	}
	b.WriteString("[limits]\ncpu-fraction = 0.4\ncore-count = 1\nmemory-mb = 284\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 128\n[fault-budget]\nmachines = 1\nzones = 0\nregions = 0\n")
	fmt.Fprintf(&b, "[bounds]\nseed-staleness-s = 3\naddress-reuse-s = 2\ncontact-ms = %d\norder-ack-ms = 6000\ncatch-up-s = 4\ndrain-ms = %d\ngrace-s = 6\nloss-slack-ms = 200\napply-ms = %d\n", contact.Milliseconds(), drain.Milliseconds(), apply.Milliseconds())
	b.WriteString("downgrade-slack-ms = 250\nstretch-ms = 15000\nretry-ratio = 0.2\nretry-window-s = 10\nretry-slack = 58\nrecovery-s = 12\n")
	return file, os.WriteFile(file, []byte(b.String()), 0o600)
}

// commands of the deploy file.
var commands = map[string][]string{
	"controller": {"target/controller", "--metrics", "9464/metrics"},
	"proxy":      {"target/proxy", "--metrics", "9464/metrics"},
	"agent":      {"target/agent", "--metrics", "9465/metrics"},
}

// boot starts the processes of a machine.
func (r *rig) boot(m *machine) error {
	roles := []string{"agent", "proxy"}
	if m.core {
		roles = []string{"controller"}
	}
	m.procs = nil
	for _, role := range roles {
		file, err := r.settings(m, role)
		if err != nil {
			return err
		}
		p := &process{role: role, argv: commands[role], file: file}
		if err := r.start(m, p); err != nil {
			return err
		}
		m.procs = append(m.procs, p)
	}
	return nil
}

func (r *rig) start(m *machine, p *process) error {
	log, err := os.OpenFile(filepath.Join(r.dir, m.name+"-"+p.role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(p.argv[0], p.argv[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "WILLOWSILL_NODE_FILE=" + p.file}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd, p.done = c, make(chan struct{})
	done := p.done
	p.mu.Unlock()
	go func() {
		c.Wait()
		close(done)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

// roll stops a machine as the platform does, SIGTERM and after grace-s SIGKILL, and starts each process again once it has
// ended.
func (r *rig) roll(m *machine) error {
	r.say("platform: SIGTERM to %s", m.name)
	for _, p := range m.procs {
		p.signal(syscall.SIGTERM)
	}
	late := time.After(6 * time.Second)
	for _, p := range m.procs {
		select {
		case <-p.done:
		case <-late:
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	time.Sleep(300 * time.Millisecond)
	if err := r.boot(m); err != nil {
		return err
	}
	r.say("platform: %s is started again", m.name)
	return nil
}

// strike ends all that was started.
func (r *rig) strike() {
	for _, m := range append(append([]*machine{}, r.cores...), r.fronts...) {
		for _, p := range m.procs {
			p.signal(syscall.SIGKILL)
			select {
			case <-p.done:
			case <-time.After(3 * time.Second):
			}
		}
	}
	for _, w := range r.wires {
		w.cut()
	}
	for _, s := range r.replicas {
		s.end()
	}
	r.out.Close()
	if os.Getenv("REVIEW_KEEP") == "" {
		os.RemoveAll(r.dir)
	} else {
		fmt.Println(r.dir)
	}
}
