// Package skiff gives a cutter its sockets: it follows a feeder, keeps the book, and feeds the pilot beside it over loopback
// and the cutters that follow it. It decides nothing.
package skiff

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"willowsill/carrier/beam"
	"willowsill/carrier/hail"
	"willowsill/decide/notices"
	"willowsill/deployment/berth"
)

// ErrSkiff is the class of this package's errors.
var ErrSkiff = oops.Code("cutter")

const (
	leaveSpare = 300 * time.Millisecond // before the grace ends
	leaveLook  = 100 * time.Millisecond
)

// Skiff is a running cutter.
type Skiff struct {
	settings berth.Settings
	mu       sync.Mutex // guards book, and the order of what followers are told
	book     *notices.Book
	feed     beam.Feed
	up       beam.Follower
}

// Run runs a cutter until ctx ends and the pilot beside it has gone.
func Run(ctx context.Context, s berth.Settings) error {
	k := &Skiff{settings: s, book: notices.NewBook()}
	pilot, err := hail.Listen(s.Inner("127.0.0.1", berth.PortPilot))
	if err != nil {
		return ErrSkiff.Wrap(err)
	}
	inner, end := context.WithCancel(context.Background())
	defer end()
	k.up = beam.Follower{Hello: beam.Hello{IP: s.IP, Zone: s.Zone}, Addresses: k.feeders, Take: k.take}
	go hail.Serve(pilot, k.attend)
	go k.feed.Beats(inner, k.up.Settled)
	go k.up.Run(inner)
	<-ctx.Done()
	// Danger: a pilot that ends in order serves on for a while, and must hear what changes meanwhile.
	until := time.Now().Add(time.Duration(s.Bounds.GraceS*float64(time.Second)) - leaveSpare)
	for time.Now().Before(until) && k.feed.Count() > 0 {
		time.Sleep(leaveLook)
	}
	return nil
}

// feeders are where news may be had, the one to try first in front.
func (k *Skiff) feeders() []string {
	k.mu.Lock()
	lights := slices.Clone(k.book.Fleet.Lights)
	k.mu.Unlock()
	for _, ip := range k.settings.SeedIPs() {
		if !slices.Contains(lights, ip) {
			lights = append(lights, ip)
		}
	}
	slices.SortFunc(lights, func(a, b string) int {
		x, y := xxhash.Sum64String(k.settings.IP+a), xxhash.Sum64String(k.settings.IP+b)
		if x < y {
			return -1
		}
		return 1
	})
	for i, ip := range lights {
		lights[i] = k.settings.Inner(ip, berth.PortNotices)
	}
	return lights
}

// take takes a notice in and passes on what is new in it.
func (k *Skiff) take(n notices.Notice) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fresh := k.book.Take(n)
	if fresh.Empty() {
		return
	}
	if fresh.Revision > 0 {
		klog.InfoS("a configuration has come", "revision", fresh.Revision, "bytes", len(fresh.Body))
	}
	k.feed.Publish(&fresh, k.up.Settled())
}

// attend feeds one follower.
func (k *Skiff) attend(l *hail.Link) {
	beam.Attend(l, func(beam.Hello) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.feed.Join(l, k.book.Whole(), k.up.Settled())
	}, func(beam.Hello) {})
	k.feed.Part(l)
}
