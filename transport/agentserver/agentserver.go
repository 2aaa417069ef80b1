// Package agentserver gives an agent its sockets: it follows a feeder, keeps the book, and feeds the proxy beside
// it over loopback and the agents that follow it. It decides nothing.
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
	"willowsill/deployment/settings"
	"willowsill/transport/peer"
	"willowsill/transport/watch"
)

// ErrAgent is the class of this package's errors.
var ErrAgent = oops.Code("agent")

const (
	leaveSpare = 300 * time.Millisecond // before the grace ends
	leaveLook  = 100 * time.Millisecond

	belowWithin = 4 * time.Second // a follower unheard for so long is no longer told of
	lookEvery   = 250 * time.Millisecond
)

// Server is a running agent.
type Server struct {
	settings settings.Settings
	base     time.Time
	up       watch.Follower
	proxy    watch.Feed // the proxy beside it
	relay    watch.Feed // the agents that follow it
	beats    net.PacketConn

	mu       sync.Mutex // guards the rest, and the order of what followers are told
	book     *clusterstate.State
	detector *failuredetector.Detector
	below    map[string]sight
	suspect  []string
}

// sight is what a follower said last.
type sight struct {
	controller.EdgeReport
	at time.Time
}

// Run runs an agent until ctx ends and the proxy beside it has gone.
func Run(ctx context.Context, s settings.Settings) error {
	k := &Server{settings: s, base: time.Now().Add(-time.Hour), book: clusterstate.NewState(), detector: failuredetector.New(s.IP),
		below: map[string]sight{}}
	proxy, err := peer.Listen(s.Inner(s.Loopback(), settings.PortAgent))
	if err != nil {
		return ErrAgent.Wrap(err)
	}
	relay, err := peer.Listen(s.Inner(s.IP, settings.PortWatch))
	if err != nil {
		return ErrAgent.Wrap(err)
	}
	if k.beats, err = net.ListenPacket("udp", s.Inner(s.IP, settings.PortHeartbeats)); err != nil {
		return ErrAgent.Wrapf(err, "listening for heartbeats")
	}
	inner, end := context.WithCancel(context.Background())
	defer end()
	k.up = watch.Follower{Report: k.report, Addresses: k.feeders, Take: k.take,
		Sign: func(fresh clusterstate.Freshness) { k.relay.Publish(nil, fresh) }}
	go peer.Serve(proxy, func(l *peer.Link) { k.attend(l, &k.proxy) })
	go peer.Serve(relay, func(l *peer.Link) { k.attend(l, &k.relay) })
	go k.proxy.Beats(inner, k.up.Freshness)
	go k.hear()
	go k.watch(inner)
	go k.up.Run(inner)
	<-ctx.Done()
	// Danger: a proxy that ends in order serves on for a while, and must hear what changes meanwhile.
	until := time.Now().Add(time.Duration(s.Bounds.GraceS*float64(time.Second)) - leaveSpare)
	for time.Now().Before(until) && k.proxy.Count() > 0 {
		time.Sleep(leaveLook)
	}
	return nil
}

func (k *Server) now() int64 { return int64(time.Since(k.base)) }

// feeders are where news may be had, the one to follow in front.
func (k *Server) feeders() (addresses []string) {
	k.mu.Lock()
	f := k.book.Fleet
	k.mu.Unlock()
	for _, o := range relaytree.Feeders(k.settings.IP, k.settings.Zone, f, slices.Concat(f.Controllers, k.settings.SeedIPs())) {
		addresses = append(addresses, k.settings.Inner(o.IP, settings.PortWatch))
	}
	return addresses
}

// report is what this agent says to the one it follows.
func (k *Server) report() watch.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := watch.Report{Revision: k.book.Revision, Self: controller.EdgeReport{Edge: clusterstate.Edge{IP: k.settings.IP, Zone: k.settings.Zone}, Suspects: k.suspect}}
	for ip, s := range k.below {
		age := time.Since(s.at)
		if age > belowWithin {
			delete(k.below, ip)
			continue
		}
		o := s.EdgeReport
		o.Age += int64(age)
		h.Below = append(h.Below, o)
	}
	return h
}

// take takes a notice in and passes on what is new in it.
func (k *Server) take(n clusterstate.Update) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	fresh := k.book.Take(n)
	if fresh.Empty() {
		return !k.book.Behind
	}
	if fresh.Revision > 0 {
		klog.InfoS("a configuration has come", "revision", fresh.Revision, "bytes", len(fresh.Raw), "sent", len(fresh.Body)+len(fresh.Patch))
	}
	if f := fresh.Fleet; !f.Empty() {
		ips := make([]string, 0, len(f.Edges))
		for _, e := range f.Edges {
			ips = append(ips, e.IP)
		}
		k.detector.Fleet(k.now(), ips)
	}
	known := k.up.Freshness()
	k.proxy.Publish(&fresh, known)
	k.relay.Publish(&fresh, known)
	k.book.Forget()
	return !k.book.Behind
}

// attend feeds one follower.
func (k *Server) attend(l *peer.Link, feed *watch.Feed) {
	watch.Attend(l, func(report watch.Report) {
		k.mu.Lock()
		defer k.mu.Unlock()
		feed.Join(l, report, k.book.Snapshot(), k.up.Freshness())
	}, func(h watch.Report) {
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, s := range h.All() {
			if s.Edge.IP != k.settings.IP {
				k.below[s.Edge.IP] = sight{s, time.Now()}
			}
		}
	})
	feed.Part(l)
}

// watch sends heartbeats and notes whom it does not hear.
func (k *Server) watch(ctx context.Context) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			k.beats.Close()
			return
		case <-t.C:
		}
		k.mu.Lock()
		to, suspects := k.detector.Tick(k.now())
		if !slices.Equal(suspects, k.suspect) {
			klog.InfoS("edges that are not heard", "suspects", suspects)
		}
		k.suspect = suspects
		k.mu.Unlock()
		for _, ip := range to {
			if a, err := net.ResolveUDPAddr("udp", k.settings.Inner(ip, settings.PortHeartbeats)); err == nil {
				k.beats.WriteTo([]byte{1}, a)
			}
		}
	}
}

// hear takes heartbeats in.
func (k *Server) hear() {
	var buf [16]byte
	for {
		_, from, err := k.beats.ReadFrom(buf[:])
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(lookEvery)
			continue
		}
		host, _, _ := net.SplitHostPort(from.String())
		k.mu.Lock()
		k.detector.Heard(k.now(), host)
		k.mu.Unlock()
	}
}
