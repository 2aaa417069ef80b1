// Package skiff gives a cutter its sockets: it follows a feeder, keeps the book, and feeds the pilot beside
// it over loopback and the cutters that follow it. It decides nothing.
package skiff

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"willowsill/carrier/beam"
	"willowsill/carrier/hail"
	"willowsill/decide/beacons"
	"willowsill/decide/lantern"
	"willowsill/decide/lookout"
	"willowsill/decide/notices"
	"willowsill/deployment/berth"
)

// ErrSkiff is the class of this package's errors.
var ErrSkiff = oops.Code("cutter")

const (
	leaveSpare = 300 * time.Millisecond // before the grace ends
	leaveLook  = 100 * time.Millisecond

	belowWithin = 4 * time.Second // a follower unheard for so long is no longer told of
	lookEvery   = 250 * time.Millisecond
)

// Skiff is a running cutter.
type Skiff struct {
	settings berth.Settings
	base     time.Time
	up       beam.Follower
	pilot    beam.Feed // the pilot beside it
	relay    beam.Feed // the cutters that follow it
	beats    net.PacketConn

	mu      sync.Mutex // guards the rest, and the order of what followers are told
	book    *notices.Book
	lookout *lookout.Lookout
	below   map[string]sight
	suspect []string
}

// sight is what a follower said last.
type sight struct {
	lantern.Sight
	at time.Time
}

// Run runs a cutter until ctx ends and the pilot beside it has gone.
func Run(ctx context.Context, s berth.Settings) error {
	k := &Skiff{settings: s, base: time.Now().Add(-time.Hour), book: notices.NewBook(), lookout: lookout.New(s.IP),
		below: map[string]sight{}}
	pilot, err := hail.Listen(s.Inner(s.Loopback(), berth.PortPilot))
	if err != nil {
		return ErrSkiff.Wrap(err)
	}
	relay, err := hail.Listen(s.Inner(s.IP, berth.PortNotices))
	if err != nil {
		return ErrSkiff.Wrap(err)
	}
	if k.beats, err = net.ListenPacket("udp", s.Inner(s.IP, berth.PortLookout)); err != nil {
		return ErrSkiff.Wrapf(err, "listening for heartbeats")
	}
	inner, end := context.WithCancel(context.Background())
	defer end()
	k.up = beam.Follower{Hello: k.hello, Addresses: k.feeders, Take: k.take,
		Beat: func(settled bool) { k.relay.Publish(nil, settled) }}
	go hail.Serve(pilot, func(l *hail.Link) { k.attend(l, &k.pilot) })
	go hail.Serve(relay, func(l *hail.Link) { k.attend(l, &k.relay) })
	go k.pilot.Beats(inner, k.up.Settled)
	go k.hear()
	go k.watch(inner)
	go k.up.Run(inner)
	<-ctx.Done()
	// Danger: a pilot that ends in order serves on for a while, and must hear what changes meanwhile.
	until := time.Now().Add(time.Duration(s.Bounds.GraceS*float64(time.Second)) - leaveSpare)
	for time.Now().Before(until) && k.pilot.Count() > 0 {
		time.Sleep(leaveLook)
	}
	return nil
}

func (k *Skiff) now() int64 { return int64(time.Since(k.base)) }

// feeders are where news may be had, the one to follow in front.
func (k *Skiff) feeders() (addresses []string) {
	k.mu.Lock()
	f := k.book.Fleet
	k.mu.Unlock()
	for _, o := range beacons.Feeders(k.settings.IP, k.settings.Zone, f, slices.Concat(f.Lights, k.settings.SeedIPs())) {
		addresses = append(addresses, k.settings.Inner(o.IP, berth.PortNotices))
	}
	return addresses
}

// hello is what this cutter says to the one it follows.
func (k *Skiff) hello() beam.Hello {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := beam.Hello{Self: lantern.Sight{Edge: notices.Edge{IP: k.settings.IP, Zone: k.settings.Zone}, Suspects: k.suspect}}
	for ip, s := range k.below {
		age := time.Since(s.at)
		if age > belowWithin {
			delete(k.below, ip)
			continue
		}
		o := s.Sight
		o.Age += int64(age)
		h.Below = append(h.Below, o)
	}
	return h
}

// take takes a notice in and passes on what is new in it.
func (k *Skiff) take(n notices.Notice) bool {
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
		k.lookout.Fleet(k.now(), ips)
	}
	k.pilot.Publish(&fresh, k.up.Settled())
	k.relay.Publish(&fresh, k.up.Settled())
	k.book.Forget()
	return !k.book.Behind
}

// attend feeds one follower.
func (k *Skiff) attend(l *hail.Link, feed *beam.Feed) {
	beam.Attend(l, func(beam.Hello) {
		k.mu.Lock()
		defer k.mu.Unlock()
		feed.Join(l, k.book.Whole(), k.up.Settled())
	}, func(h beam.Hello) {
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
func (k *Skiff) watch(ctx context.Context) {
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
		to, suspects := k.lookout.Tick(k.now())
		if !slices.Equal(suspects, k.suspect) {
			klog.InfoS("edges that are not heard", "suspects", suspects)
		}
		k.suspect = suspects
		k.mu.Unlock()
		for _, ip := range to {
			if a, err := net.ResolveUDPAddr("udp", k.settings.Inner(ip, berth.PortLookout)); err == nil {
				k.beats.WriteTo([]byte{1}, a)
			}
		}
	}
}

// hear takes heartbeats in.
func (k *Skiff) hear() {
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
		k.lookout.Heard(k.now(), host)
		k.mu.Unlock()
	}
}
