// Package tower gives a lighthouse its sockets, its disk and its clock: it turns what comes into calls of the
// lantern and carries out what that returns. It decides nothing.
package tower

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"willowsill/carrier/beam"
	"willowsill/carrier/hail"
	"willowsill/carrier/strongbox"
	"willowsill/decide/lantern"
	"willowsill/decide/muster"
	"willowsill/deployment/berth"
)

// ErrTower is the class of this package's errors.
var ErrTower = oops.Code("tower")

const (
	inputs     = 1024 // that may wait for the loop
	pollMost   = 50 * time.Millisecond
	leaveWait  = 400 * time.Millisecond // for what is under way at a planned end
	headWait   = 2 * time.Second
	bodyWait   = 5 * time.Second
	idleWait   = 15 * time.Second
	headMost   = 16 << 10
	reopenWait = 300 * time.Millisecond
)

// Tower is a running lighthouse.
type Tower struct {
	settings berth.Settings
	base     time.Time
	lantern  *lantern.Lantern
	inputs   chan func(now int64) lantern.Out
	saves    chan lantern.Save
	mesh     *hail.Mesh
	feed     beam.Feed
	settled  atomic.Bool

	mu      sync.Mutex // guards the rest
	tickets map[uint64]chan lantern.Answer
	last    uint64
}

// Run runs a lighthouse until ctx ends.
func Run(ctx context.Context, s berth.Settings) error {
	t := &Tower{settings: s, base: time.Now().Add(-time.Hour), inputs: make(chan func(int64) lantern.Out, inputs),
		saves: make(chan lantern.Save, 1), tickets: map[uint64]chan lantern.Answer{}}
	life := strconv.FormatUint(rand.Uint64(), 36)
	start := lantern.Start{IP: s.IP, Life: life, Seeds: s.SeedIPs(), Bootstrap: s.Bootstrap,
		BeatEvery: s.BeatMs * int64(time.Millisecond), Draw: rand.Float64}
	box, found, err := strongbox.Open(s.DataDir)
	if err != nil {
		// Danger: a disk that refuses to be read must not be taken for an empty one of a first start; as one that
		// was emptied it counts for nothing until the others have told what stands.
		klog.ErrorS(err, "the disk cannot be read; this lighthouse joins as one whose disk is empty")
		start.Bootstrap = false
		os.Remove(strongbox.Path(s.DataDir))
	}
	start.State, start.Stood, start.List = found.State, found.Stood, found.List
	klog.InfoS("lighthouse", "ip", s.IP, "bootstrap", s.Bootstrap, "found", found.State != nil, "stood", found.Stood,
		"replicas", len(found.List))
	t.lantern = lantern.New(t.now(), start)

	peers, err := hail.Listen(s.Inner(s.IP, berth.PortLights))
	if err != nil {
		return ErrTower.Wrap(err)
	}
	followers, err := hail.Listen(s.Inner(s.IP, berth.PortNotices))
	if err != nil {
		return ErrTower.Wrap(err)
	}
	control, err := net.Listen("tcp", s.Bind.Control)
	if err != nil {
		return ErrTower.Wrapf(err, "bind-addrs.control")
	}
	inner, end := context.WithCancel(context.Background())
	defer end()
	t.mesh = hail.NewMesh(inner)
	go hail.Serve(peers, t.peer)
	go hail.Serve(followers, t.follower)
	go t.save(box)
	go t.feed.Beats(inner, t.settled.Load)
	server := &http.Server{Handler: t.handler(), ReadHeaderTimeout: headWait, ReadTimeout: bodyWait, IdleTimeout: idleWait,
		MaxHeaderBytes: headMost}
	go func() {
		if err := server.Serve(control); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "the control server ended")
		}
	}()
	t.loop(ctx)
	wait, cancel := context.WithTimeout(context.Background(), leaveWait)
	defer cancel()
	go func() {
		server.Shutdown(wait)
		cancel()
	}()
	t.loop(wait)
	peers.Close()
	followers.Close()
	return nil
}

func (t *Tower) now() int64 { return int64(time.Since(t.base)) }

// loop is the one goroutine that calls the lantern.
func (t *Tower) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			t.carry(t.lantern.Leave(t.now()))
			return
		case in := <-t.inputs:
			t.carry(in(t.now()))
			for range min(len(t.inputs), 64) {
				t.carry((<-t.inputs)(t.now()))
			}
		case <-timer.C:
		}
		if now := t.now(); now >= t.lantern.Next() {
			t.carry(t.lantern.Tick(now))
		}
		timer.Reset(min(max(time.Duration(t.lantern.Next()-t.now()), time.Millisecond), pollMost))
	}
}

// carry carries out what the lantern asks for.
func (t *Tower) carry(o lantern.Out) {
	t.settled.Store(t.lantern.Settled())
	for _, l := range o.Log {
		klog.InfoS(l.Text, l.Values...)
	}
	if o.Save != nil {
		t.saves <- *o.Save
	}
	for _, s := range o.Sends {
		frame, err := hail.Encode(s.Word)
		if err != nil {
			klog.ErrorS(err, "a word cannot be encoded")
			continue
		}
		for _, ip := range s.To {
			t.mesh.Send(t.settings.Inner(ip, berth.PortLights), frame)
		}
	}
	for _, a := range o.Answers {
		t.mu.Lock()
		c := t.tickets[a.Ticket]
		delete(t.tickets, a.Ticket)
		t.mu.Unlock()
		if c != nil {
			c <- a
		}
	}
	if !o.Notice.Empty() {
		n := o.Notice
		t.feed.Publish(&n, t.settled.Load())
	}
}

// save is the goroutine that waits on the disk.
//
// Danger: a disk that hangs must not hold heartbeats and reads up.
func (t *Tower) save(box *strongbox.Box) {
	for s := range t.saves {
		var err error
		if box == nil {
			if box, _, err = strongbox.Open(t.settings.DataDir); err != nil {
				time.Sleep(reopenWait)
			}
		}
		if err == nil {
			err = box.Save(s)
		}
		t.inputs <- func(now int64) lantern.Out { return t.lantern.Saved(now, s.Number, err) }
	}
}

func (t *Tower) peer(l *hail.Link) {
	for {
		var w lantern.Word
		if err := l.Receive(&w, 0); err != nil {
			return
		}
		t.inputs <- func(now int64) lantern.Out { return t.lantern.Take(now, w) }
	}
}

func (t *Tower) follower(l *hail.Link) {
	beam.Attend(l, func(h beam.Hello) {
		t.inputs <- func(int64) lantern.Out {
			t.feed.Join(l, t.lantern.Whole(), t.lantern.Settled())
			return lantern.Out{}
		}
	}, func(h beam.Hello) {
		for _, s := range h.All() {
			t.inputs <- func(now int64) lantern.Out { return t.lantern.Edge(now, s) }
		}
	})
	t.feed.Part(l)
}

// call puts a call to the lantern and waits for its answer.
func (t *Tower) call(ctx context.Context, in func(now int64, ticket uint64) lantern.Out) (lantern.Answer, bool) {
	c := make(chan lantern.Answer, 1)
	t.mu.Lock()
	t.last++
	id := t.last
	t.tickets[id] = c
	t.mu.Unlock()
	select {
	case t.inputs <- func(now int64) lantern.Out { return in(now, id) }:
	case <-ctx.Done():
		return lantern.Answer{}, false
	}
	select {
	case a := <-c:
		return a, true
	case <-ctx.Done():
		t.mu.Lock()
		delete(t.tickets, id)
		t.mu.Unlock()
		return lantern.Answer{}, false
	}
}

// beat hands a replica's call on.
func (t *Tower) beat(ctx context.Context, r muster.Record) (lantern.Answer, bool) {
	return t.call(ctx, func(now int64, id uint64) lantern.Out { return t.lantern.Beat(now, id, r) })
}
