// Package rehearsal runs the whole system on loopback addresses: controllers, proxies and their agents as real processes, and stand-in
// replicas, an operator and clients in this process. It kills one controller, agent, replica and proxy in turn, and counts the answers
// that clients get.
package rehearsal

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"willowsill/front/proxyserver"
	"willowsill/lab/localsettings"
	"willowsill/standin/systemreplica"
	"willowsill/transport/agentserver"
	"willowsill/transport/controlclient"
	"willowsill/transport/controlserver"
	"willowsill/transport/daemon"
)

// RoleVariable is the environment variable that holds the role of a child process.
const RoleVariable = "WILLOWSILL_REHEARSAL_PART"

const (
	controllers        = 3
	proxies            = 2
	shards             = 3
	replicasPerService = 2 // number of replicas of each shard and of the ledger
	serviceTime        = 8 * time.Millisecond
	heartbeat          = 300 * time.Millisecond
	clients            = 8
	deadlineMs         = 1500
	ports              = localsettings.Ports(17080)
	startWait          = 20 * time.Second
	settleWait         = 1200 * time.Millisecond // time between the kill of a controller and the start of the next phase
)

// Phase holds the results of one phase of the rehearsal.
type Phase struct {
	Name         string         `json:"name"`
	Answers      map[string]int `json:"answers"` // number of answers by HTTP status, or by error
	MissingParts int            `json:"parts_missing"`
	MedianMS     float64        `json:"median_ms"`
	WorstMS      float64        `json:"worst_ms"`
}

// RunChild runs the daemon that the environment asks for and exits, if this process is a child of a rehearsal. Otherwise it returns false.
func RunChild() bool {
	for _, program := range []daemon.Program{controlserver.Program, agentserver.Program, proxyserver.Program} {
		if program.Name == os.Getenv(RoleVariable) {
			os.Exit(daemon.Run(program, nil))
		}
	}
	return false
}

// deployment holds the processes, replicas and addresses of the running system.
type deployment struct {
	dir            string
	exe            string
	processes      map[string]*exec.Cmd
	replicas       []*systemreplica.Replica
	controlAddrs   []string
	frontAddrs     []string
	readinessAddrs []string
}

// Run runs the rehearsal with this program as the daemons, with a number of queries in each phase, and returns the results.
func Run(ctx context.Context, queries int) ([]Phase, error) {
	dir, err := os.MkdirTemp("", "rehearsal")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &deployment{dir: dir, exe: exe, processes: map[string]*exec.Cmd{}}
	defer s.stopAll()
	for i := range controllers {
		s.controlAddrs = append(s.controlAddrs, ports.Control(fmt.Sprintf("127.0.1.%d", i+1)))
	}
	for i := range controllers {
		if err := s.start("controller", fmt.Sprintf("127.0.1.%d", i+1)); err != nil {
			return nil, err
		}
	}
	for i := range proxies {
		ip := fmt.Sprintf("127.0.2.%d", i+1)
		s.frontAddrs = append(s.frontAddrs, ports.Front(ip))
		s.readinessAddrs = append(s.readinessAddrs, ports.Readiness(ip))
		for _, role := range []string{"agent", "proxy"} {
			if err := s.start(role, ip); err != nil {
				return nil, err
			}
		}
	}
	for i := range (shards + 1) * replicasPerService {
		service := fmt.Sprint("shard-", i/replicasPerService)
		if i/replicasPerService == shards {
			service = "ledger"
		}
		r := &systemreplica.Replica{ID: fmt.Sprint("i-", i), Service: service, Zone: "hall", WorkTime: serviceTime, HeartbeatInterval: heartbeat, ControlAddresses: s.controlAddrs}
		if err := r.Start("127.0.3.1:0"); err != nil {
			return nil, err
		}
		s.replicas = append(s.replicas, r)
	}
	if err := s.configure(1, ""); err != nil {
		return nil, err
	}
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	phases := []Phase{s.runPhase(ctx, "all is well", "/scan/x", queries)}
	s.kill("controller", "127.0.1.1")
	if err := s.configure(2, "later"); err != nil {
		return phases, err
	}
	time.Sleep(settleWait)
	phases = append(phases, s.runPhase(ctx, "a controller was killed, then a route added", "/later/x", queries))
	s.kill("agent", "127.0.2.1")
	phases = append(phases, s.runPhase(ctx, "an agent was killed", "/scan/x", queries))
	s.replicas[0].Kill()
	phases = append(phases, s.runPhase(ctx, "a replica was killed", "/scan/x", queries))
	s.kill("proxy", "127.0.2.1")
	phases = append(phases, s.runPhase(ctx, "a proxy was killed", "/debit/x", queries))
	return phases, ctx.Err()
}

// writeSettings writes a process's settings file and returns its name.
func (d *deployment) writeSettings(role, ip string) (string, error) {
	data := filepath.Join(d.dir, role+ip)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return "", err
	}
	file := filepath.Join(data, "local.toml")
	return file, ports.Write(file, localsettings.Daemon{Role: role, IP: ip, Zone: "hall", SeedNodes: d.controlAddrs, Heartbeat: heartbeat,
		DataDir: data, MemoryMB: 256, GraceS: 2})
}

// start starts the daemon of a role at an IP.
func (d *deployment) start(role, ip string) error {
	file, err := d.writeSettings(role, ip)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, role+ip+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	c := DaemonCommand(d.exe, role, file, 0)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	d.processes[role+ip] = c
	return nil
}

// kill kills a daemon with SIGKILL and waits for its end.
func (d *deployment) kill(role, ip string) {
	c := d.processes[role+ip]
	delete(d.processes, role+ip)
	c.Process.Kill()
	c.Wait()
}

// stopAll kills all replicas and processes.
func (d *deployment) stopAll() {
	for _, r := range d.replicas {
		r.Kill()
	}
	for _, c := range d.processes {
		c.Process.Kill()
	}
	for _, c := range d.processes {
		c.Wait()
	}
}

// configure sends a configuration to one controller after the other until it is acknowledged.
func (d *deployment) configure(revision int, added string) error {
	var shardNames, services []string
	for i := range shards {
		shardNames = append(shardNames, fmt.Sprint("shard-", i))
	}
	for _, n := range append(slices.Clone(shardNames), "ledger") {
		services = append(services, fmt.Sprintf(`{"name":%q,"health-path":"/health","max-conns":64}`, n))
	}
	names, _ := json.Marshal(shardNames)
	scanRoute := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"host":"hall.example","path-prefix":"/%s/","route-kind":"safe","deadline-ms":%d,"target-ms":200,"rank":1,"fanout":%s,"max-tries":2,"result-count":5,"min-coverage":0.6}`,
			name, name, deadlineMs, names)
	}
	routes := []string{scanRoute("scan"), fmt.Sprintf(`{"name":"debit","host":"hall.example","path-prefix":"/debit/","route-kind":"unsafe","deadline-ms":%d,"target-ms":400,"rank":0,"service":"ledger","max-tries":1}`, deadlineMs)}
	if added != "" {
		routes = append(routes, scanRoute(added))
	}
	body := fmt.Sprintf(`{"revision":%d,"routes":[%s],"services":[%s],"limits":{"max-body-bytes":65536}}`, revision,
		strings.Join(routes, ","), strings.Join(services, ","))
	ctx, stop := context.WithTimeout(context.Background(), startWait)
	defer stop()
	control := controlclient.Client{Addresses: d.controlAddrs}
	if err := control.SendConfiguration(ctx, []byte(body)); err != nil {
		return fmt.Errorf("configuration %d was not acknowledged: %w", revision, err)
	}
	return nil
}

// waitReady waits until all proxies are ready, and for two more heartbeats, in which they learn of the replicas.
func (d *deployment) waitReady() error {
	for until := time.Now().Add(startWait); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, r := range d.readinessAddrs {
			if res, err := http.Get("http://" + r + "/v1/readiness"); err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(d.readinessAddrs) {
			time.Sleep(2 * heartbeat)
			return nil
		}
	}
	return fmt.Errorf("the proxies did not become ready in time")
}

// runPhase sends queries to the proxies from several clients and counts the answers. A client whose proxy doesn't answer tries the next.
func (d *deployment) runPhase(ctx context.Context, name, path string, queries int) Phase {
	p := Phase{Name: name, Answers: map[string]int{}}
	var mu sync.Mutex
	var times []time.Duration
	var wg sync.WaitGroup
	ids := make(chan int)
	client := &http.Client{Timeout: 2 * deadlineMs * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: clients,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	for range clients {
		wg.Go(func() {
			for id := range ids {
				began := time.Now()
				answer, missing := d.query(ctx, client, path, fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(name, " ", "-"), began.UnixNano(), id), id)
				mu.Lock()
				p.Answers[answer]++
				p.MissingParts += missing
				times = append(times, time.Since(began))
				mu.Unlock()
			}
		})
	}
	for id := range queries {
		select {
		case ids <- id:
		case <-ctx.Done():
		}
	}
	close(ids)
	wg.Wait()
	slices.Sort(times)
	if len(times) > 0 {
		p.MedianMS = float64(times[len(times)/2].Microseconds()) / 1000
		p.WorstMS = float64(times[len(times)-1].Microseconds()) / 1000
	}
	return p
}

// query sends a query to the proxies in turn, from index first on, until one answers. It returns the HTTP status and the missing parts.
func (d *deployment) query(ctx context.Context, client *http.Client, path, id string, first int) (answer string, missing int) {
	answer = "no connection"
	for attempt := range d.frontAddrs {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.frontAddrs[(first+attempt)%len(d.frontAddrs)]+path, nil)
		if err != nil {
			return err.Error(), 0
		}
		req.Host = "hall.example"
		req.Header.Set("Willowsill-Attempt-Id", fmt.Sprint(id, "-", attempt))
		req.Header.Set("Willowsill-Deadline-Ms", fmt.Sprint(deadlineMs))
		res, err := client.Do(req)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if err != nil {
			return "broken off", 0
		}
		fmt.Sscan(res.Header.Get("Willowsill-Missing-Parts"), &missing)
		return res.Status, missing
	}
	return answer, 0
}

// Print writes phases as a table.
func Print(out io.Writer, phases []Phase) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "phase\tanswers\tparts missing\tmedian ms\tworst ms")
	for _, p := range phases {
		var answers []string
		for a, n := range p.Answers {
			answers = append(answers, fmt.Sprint(n, " x ", a))
		}
		slices.Sort(answers)
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.1f\n", p.Name, strings.Join(answers, ", "), p.MissingParts, p.MedianMS, p.WorstMS)
	}
	w.Flush()
}
