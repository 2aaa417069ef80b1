// Package floodsoak runs a small system as real processes on loopback addresses, with their real limit on memory, while some replicas
// send bytes without end. No process may pass its limit or end, and the clients of other services have to be served as before. One seed
// draws the whole run.
package floodsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"willowsill/lab/localsettings"
	"willowsill/standin/flood"
	"willowsill/standin/systemreplica"
	"willowsill/transport/controlclient"
)

const (
	controllerIP = "127.0.9.1"
	edgeIP       = "127.0.9.2"
	replicaIP    = "127.0.9.3"
	zone         = "hall"
	memoryMB     = 284
	heartbeat    = 300 * time.Millisecond
	graceS       = 2 // seconds between SIGTERM and the end of a daemon

	goodService  = "good"
	goodReplicas = 2
	goodClients  = 8
	goodWork     = 4 * time.Millisecond
	goodPause    = 5 * time.Millisecond // between two requests of a client of the good service
	deadlineMs   = 1000

	serveWait     = 20 * time.Second // time for the system to serve after its start
	servePoll     = 20 * time.Millisecond
	calmPeriod    = 1500 * time.Millisecond
	clientsStart  = 300 * time.Millisecond // time for the clients of the faulty services to begin
	floodStart    = time.Second            // time until the proxy knows the faulty replicas
	largestDraw   = 240                    // most clients of the faulty services
	slowestDraw   = 64 << 10               // least bytes a second that a faulty replica sends on a connection, where it is slow
	fastestDraw   = 16 << 20               // most bytes a second of a slow one
	faultyDraw    = 3                      // most faulty services
	perFaultyDraw = 3                      // most replicas of a faulty service
)

// Scenario is what a seed draws.
type Scenario struct {
	Kind           flood.Kind
	BytesPerSecond int // of a faulty replica on each connection, 0 for as fast as it is read
	Clients        int // clients of the faulty services
	Services       int // faulty services
	Replicas       int // replicas of each faulty service
}

func (s Scenario) String() string {
	return fmt.Sprintf("%s, %d bytes a second, %d clients of %d services with %d replicas each", s.Kind.Name, s.BytesPerSecond, s.Clients, s.Services, s.Replicas)
}

// Draw returns the scenario of a seed.
func Draw(seed uint64) Scenario {
	random := rand.New(rand.NewPCG(seed, 0))
	s := Scenario{Kind: flood.Kinds[random.IntN(len(flood.Kinds))], Clients: 1 + random.IntN(largestDraw), Services: 1 + random.IntN(faultyDraw), Replicas: 1 + random.IntN(perFaultyDraw)}
	if random.IntN(2) == 0 {
		s.BytesPerSecond = slowestDraw + random.IntN(fastestDraw-slowestDraw)
	}
	return s
}

// stoppedFrame is what a faulty peer sends: the length of a frame of 8 MB, and all of it but 4 KB.
var stoppedFrame = append([]byte{0, 0x80, 0, 0}, make([]byte, 8<<20-4<<10)...)

// stopWithinFrames opens connections to an internal port, each of which stops in the middle of a frame. They are open until ctx ends.
func stopWithinFrames(ctx context.Context, address string, connections int) {
	for range connections {
		go func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer conn.Close()
			conn.Write(stoppedFrame)
			<-ctx.Done()
		}()
	}
}

// Options describe a run.
type Options struct {
	Scenario Scenario
	Frames   int                 // connections to each internal port that stop in the middle of a frame
	Period   time.Duration       // how long the floods last
	Ports    localsettings.Ports // first port of the run
	Dir      string              // folder for settings, data and logs
	Programs string              // folder with the programs controller, agent and proxy
}

// Report is the result of a run.
type Report struct {
	Scenario Scenario
	PeakMB   map[string]int // the most resident memory of each process
	Ends     []string       // processes that ended or passed their limit on memory
	Calm     Tally          // what the clients of the good service were answered before any others came
	Refused  Tally          // while the clients of the faulty services were there, whose services had no replica yet
	Flooded  Tally          // and during the floods
}

// ServedRatio returns how many requests a second the clients of the good service had answered during the floods, as a share of before,
// with as many clients of the faulty services. Clients that are refused and ask again at once slow down others on the same processors,
// flood or none.
func (r Report) ServedRatio() float64 { return r.Flooded.rate() / max(r.Refused.rate(), 1) }

// FailedShare returns the share of the good service's requests that failed during the floods.
func (r Report) FailedShare() float64 {
	return float64(r.Flooded.Failed) / float64(max(r.Flooded.Failed+r.Flooded.Served, 1))
}

func (r Report) String() string {
	return fmt.Sprintf("%v: peaks %v MB, ends %v; calm %v, refused %v, flooded %v, served ratio %.2f, failed %.3f", r.Scenario, r.PeakMB, r.Ends, r.Calm, r.Refused, r.Flooded, r.ServedRatio(), r.FailedShare())
}

// run is the state of a run.
type run struct {
	options  Options
	daemons  []*daemon
	replicas []*systemreplica.Replica
	control  []string
}

// Run plays a scenario.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{options: options, control: []string{options.Ports.Control(controllerIP)}}
	report := Report{Scenario: options.Scenario, PeakMB: map[string]int{}}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return report, err
	}
	good := target{address: options.Ports.Front(edgeIP), path: "/" + goodService + "/x"}
	if err := awaitAnswer(ctx, good); err != nil {
		return report, err
	}
	report.Calm = load(ctx, good, goodClients, goodPause, calmPeriod)
	flooding, stopFlood := context.WithCancel(ctx)
	defer stopFlood()
	for n := range options.Scenario.Clients {
		go requestUntil(flooding, target{address: good.address, path: fmt.Sprintf("/%s/x", faultyService(n%options.Scenario.Services))})
	}
	time.Sleep(clientsStart)
	report.Refused = load(ctx, good, goodClients, goodPause, calmPeriod)
	if err := r.startFaulty(); err != nil {
		return report, err
	}
	for _, d := range r.daemons {
		for _, port := range options.Ports.Listeners(d.role, d.ip) {
			if options.Frames > 0 && port.Network == "tcp" {
				stopWithinFrames(flooding, port.Address, options.Frames)
			}
		}
	}
	time.Sleep(floodStart)
	report.Flooded = load(ctx, good, goodClients, goodPause, options.Period)
	stopFlood()
	client := controlclient.Client{Addresses: r.control}
	if err := client.SendConfiguration(ctx, []byte(r.configuration(2))); err != nil {
		return report, err
	}
	for _, d := range r.daemons {
		report.PeakMB[d.role] = int(d.peak.Load() >> 20)
		if how, ended := d.endedByItself(); ended {
			report.Ends = append(report.Ends, d.role+": "+how)
		}
	}
	return report, ctx.Err()
}

func faultyService(n int) string { return fmt.Sprint("faulty-", n) }

// start starts the daemons and the good replicas, and sends the configuration.
func (r *run) start(ctx context.Context) error {
	for _, at := range []struct{ role, ip string }{{controllerRole, controllerIP}, {agentRole, edgeIP}, {proxyRole, edgeIP}} {
		d := &daemon{role: at.role, ip: at.ip, options: r.options, seeds: r.control}
		if err := d.start(); err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	for range goodReplicas {
		if err := r.addReplica(goodService, nil); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, serveWait)
	defer cancel()
	client := controlclient.Client{Addresses: r.control}
	return client.SendConfiguration(ctx, []byte(r.configuration(1)))
}

// startFaulty starts the replicas that send without end.
func (r *run) startFaulty() error {
	scenario := r.options.Scenario
	for n := range scenario.Services * scenario.Replicas {
		faulty := &flood.Replica{Kind: scenario.Kind, BytesPerSecond: scenario.BytesPerSecond}
		if err := r.addReplica(faultyService(n%scenario.Services), faulty); err != nil {
			return err
		}
	}
	return nil
}

// addReplica adds a replica of a service, a faulty one if that is not nil.
func (r *run) addReplica(service string, faulty *flood.Replica) error {
	replica := &systemreplica.Replica{ID: fmt.Sprint("i-", len(r.replicas)), Service: service, Zone: zone, WorkTime: goodWork, HeartbeatInterval: heartbeat, ControlAddresses: r.control}
	if faulty != nil {
		replica.ServeConnections = faulty.Serve
	}
	if err := replica.Start(replicaIP + ":0"); err != nil {
		return err
	}
	r.replicas = append(r.replicas, replica)
	return nil
}

// configuration returns a configuration with a route to each service.
func (r *run) configuration(revision int) string {
	names := []string{goodService}
	for n := range r.options.Scenario.Services {
		names = append(names, faultyService(n))
	}
	var routes, services []string
	for _, name := range names {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"hall.example","path-prefix":"/%s/","route-kind":"safe","deadline-ms":%d,"target-ms":200,"rank":1,"service":%q,"max-tries":2}`, name, name, deadlineMs, name))
		services = append(services, fmt.Sprintf(`{"name":%q,"max-conns":64}`, name))
	}
	return fmt.Sprintf(`{"revision":%d,"routes":[%s],"services":[%s],"limits":{"max-header-bytes":16384,"max-body-bytes":262144}}`, revision,
		strings.Join(routes, ","), strings.Join(services, ","))
}

// stop ends all replicas and processes.
func (r *run) stop() {
	for _, replica := range r.replicas {
		replica.Kill()
	}
	for _, d := range r.daemons {
		d.kill()
	}
}
