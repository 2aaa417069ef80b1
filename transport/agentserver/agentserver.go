// Package agentserver runs an agent, the relay on a proxy's machine. The agent receives updates from an
// upstream (a controller or another agent), holds the newest cluster state, and sends updates to the local
// proxy over loopback and to its downstream agents. It also sends and receives the heartbeats of the edges. It
// makes no decisions of its own.
package agentserver

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/decide/failuredetector"
	"willowsill/decide/relaytree"
	"willowsill/decide/rollout"
	"willowsill/deployment/memoryplan"
	"willowsill/deployment/settings"
	"willowsill/transport/boundedread"
	"willowsill/transport/daemon"
	"willowsill/transport/listen"
	"willowsill/transport/metrics"
	"willowsill/transport/peer"
	"willowsill/transport/watch"
)

// ErrAgent builds this package's errors, which have the code agent.
var ErrAgent = oops.Code("agent")

// Program is the daemon that runs an agent.
var Program = daemon.Program{Name: "agent", Purpose: "keeps the link to the controllers for the proxy beside it", Required: []settings.Key{settings.KeySeedNodes}, Start: Start}

const (
	graceMargin = 300 * time.Millisecond // at shutdown, time left between the agent's end and the end of the grace period
	leavePoll   = 100 * time.Millisecond // time between two checks whether the local proxy has disconnected

	downstreamTimeout = 4 * time.Second        // a downstream edge that has not reported for this time is left out of the agent's own report
	heartbeatPoll     = 250 * time.Millisecond // time between two checks for heartbeats that are due or missing
)

// Server is a running agent: the cluster state that it holds, its upstream and its downstream links.
type Server struct {
	settings   settings.Settings
	frames     *boundedread.Budget
	base       time.Time
	upstream   watch.Upstream
	proxyFeed  watch.Feed // to the local proxy
	relayFeed  watch.Feed // to the downstream agents
	heartbeats net.PacketConn
	loans      *watch.Loans // relays loans of unused retry budget

	mu         sync.Mutex // guards the fields below and the order of messages to downstream edges
	state      *clusterstate.State
	detector   *failuredetector.Detector
	downstream map[string]downstreamReport
	suspects   []string
	evidence   []rollout.Evidence // reported by the local proxy
}

// downstreamReport is the last report of a downstream edge.
type downstreamReport struct {
	controller.EdgeReport
	receivedAt time.Time
}

// Start returns what runs an agent.
func Start(_ context.Context, local settings.Settings) (daemon.Serve, error) {
	s := &Server{settings: local, frames: memoryplan.Frames.Budget(local.Limits), base: time.Now().Add(-time.Hour), state: clusterstate.NewState(), detector: failuredetector.New(local.IP),
		downstream: map[string]downstreamReport{}, loans: watch.NewLoans(local.Bounds.RetryWindow())}
	return s.serve, nil
}

// serve runs the agent until ctx ends and the local proxy has disconnected, or the grace period is almost over.
func (s *Server) serve(ctx context.Context) {
	local := s.settings
	internal := func(ip string, port int) listen.Endpoint {
		return listen.Endpoint{Setting: "internal-ports", Address: local.InternalAddress(ip, port)}
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	proxy := listen.Later(running, klog.ErrorS, internal(local.Loopback(), settings.PortAgent))
	defer proxy.Close()
	relay := listen.Later(running, klog.ErrorS, internal(local.IP, settings.PortWatch))
	defer relay.Close()
	s.upstream = watch.Upstream{Frames: s.frames, Report: s.report, Addresses: s.upstreamAddresses, Apply: s.applyUpdate,
		OnFreshness: func(fresh clusterstate.Freshness) { s.relayFeed.Publish(nil, fresh) },
		OnLending:   s.loans.HandleUpstream}
	go peer.Serve(proxy, s.frames, func(l *peer.Link) { s.serveDownstream(l, &s.proxyFeed) })
	go peer.Serve(relay, s.frames, func(l *peer.Link) { s.serveDownstream(l, &s.relayFeed) })
	go s.proxyFeed.SendHeartbeats(running, s.upstream.Freshness)
	go s.exchangeHeartbeats(running, internal(local.IP, settings.PortHeartbeats))
	go s.upstream.Run(running)
	metrics.Serve(running, local.IP, local.Metrics, s.writeMetrics)
	<-ctx.Done()
	// Danger: a proxy that drains still serves queries for a while and needs updates until it disconnects.
	deadline := time.Now().Add(local.Bounds.Grace() - graceMargin)
	for time.Now().Before(deadline) && s.proxyFeed.Count() > 0 {
		time.Sleep(leavePoll)
	}
}

func (s *Server) now() int64 { return int64(time.Since(s.base)) }

// upstreamAddresses returns the addresses of possible upstreams in order of preference.
func (s *Server) upstreamAddresses() (addresses []string) {
	s.mu.Lock()
	fleet := s.state.Fleet
	s.mu.Unlock()
	if len(fleet.ControlServers()) == 0 {
		s.readSeeds()
	}
	for _, upstream := range relaytree.Feeders(s.settings.IP, s.settings.Zone, fleet, s.settings.SeedIPs(), s.settings.Zones) {
		addresses = append(addresses, s.settings.InternalAddress(upstream.IP, settings.PortWatch))
	}
	return addresses
}

// readSeeds reads the seeds again: an agent that has reached no controller yet knows no others, and the platform may have written
// newer ones. A file that cannot be read changes nothing.
func (s *Server) readSeeds() {
	if written, err := settings.Read(s.settings.File); err == nil && written.SeedNodes != nil {
		s.settings.SeedNodes = written.SeedNodes
	}
}

// report returns the report to the upstream: this agent, its downstream edges, and the edges that it suspects
// to have failed.
func (s *Server) report() watch.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := watch.Report{Revision: s.state.Revision, Self: controller.EdgeReport{Edge: clusterstate.Edge{IP: s.settings.IP, Zone: s.settings.Zone}, Suspects: s.suspects, Rollouts: s.evidence}}
	for ip, received := range s.downstream {
		age := time.Since(received.receivedAt)
		if age > downstreamTimeout {
			delete(s.downstream, ip)
			continue
		}
		edge := received.EdgeReport
		edge.Age += int64(age)
		report.Downstream = append(report.Downstream, edge)
	}
	report.Lending = s.loans.UpstreamMessage()
	return report
}

// applyUpdate merges an update into the state and publishes what is new in it. It returns false if the update
// is a patch for another state than the one held, so that a snapshot is needed.
func (s *Server) applyUpdate(update clusterstate.Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.state.Apply(update)
	if change.Empty() {
		return !s.state.NeedsSnapshot
	}
	if change.Revision > 0 {
		klog.InfoS("a configuration was received", "revision", change.Revision, "bytes", len(change.Raw), "sent", len(change.Body)+len(change.Patch))
	}
	if f := change.Fleet; !f.Empty() {
		s.detector.SetEdges(s.now(), f.EdgeIPsInZone(s.settings.Zone))
	}
	fresh := s.upstream.Freshness()
	s.proxyFeed.Publish(&change, fresh)
	s.relayFeed.Publish(&change, fresh)
	s.state.DropGone()
	return !s.state.NeedsSnapshot
}

// serveDownstream sends updates to one downstream edge until its link ends, and records its reports.
func (s *Server) serveDownstream(link *peer.Link, feed *watch.Feed) {
	watch.ReceiveReports(link, func(report watch.Report) {
		s.mu.Lock()
		defer s.mu.Unlock()
		feed.Join(link, report, s.state.Snapshot(), s.upstream.Freshness())
	}, func(report watch.Report) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, edge := range report.All() {
			if edge.Edge.IP == s.settings.IP {
				s.evidence = edge.Rollouts
				continue
			}
			s.downstream[edge.Edge.IP] = downstreamReport{edge, time.Now()}
		}
		s.loans.HandleReport(link, report, s.upstream.Freshness())
	})
	feed.Leave(link)
}

// exchangeHeartbeats opens the socket for heartbeats once its address is free, and sends and receives heartbeats until ctx ends.
func (s *Server) exchangeHeartbeats(ctx context.Context, endpoint listen.Endpoint) {
	socket, err := listen.UDP(ctx, klog.ErrorS, endpoint)
	if err != nil { // the agent ends
		return
	}
	s.heartbeats = socket
	go s.receiveHeartbeats()
	s.sendHeartbeats(ctx)
}

// sendHeartbeats sends heartbeats to the edges that monitor this one and records which edges are suspected to
// have failed, until ctx ends.
func (s *Server) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.heartbeats.Close()
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		targets, suspects := s.detector.Tick(s.now())
		if !slices.Equal(suspects, s.suspects) {
			klog.InfoS("edges that are not heard", "suspects", suspects)
		}
		s.suspects = suspects
		s.mu.Unlock()
		for _, ip := range targets {
			if address, err := net.ResolveUDPAddr("udp", s.settings.InternalAddress(ip, settings.PortHeartbeats)); err == nil {
				s.heartbeats.WriteTo([]byte{1}, address)
			}
		}
	}
}

// receiveHeartbeats receives heartbeats until the socket is closed.
func (s *Server) receiveHeartbeats() {
	var buf [16]byte
	for {
		_, from, err := s.heartbeats.ReadFrom(buf[:])
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(heartbeatPoll)
			continue
		}
		host, _, _ := net.SplitHostPort(from.String())
		s.mu.Lock()
		s.detector.HandleHeartbeat(s.now(), host)
		s.mu.Unlock()
	}
}
