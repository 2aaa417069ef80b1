// Package controlserver gives a controller its sockets, its disk and its clock: it turns what comes into calls of the
// controller and carries out what that returns. It decides nothing.
package controlserver

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

	"willowsill/decide/controller"
	"willowsill/decide/registry"
	"willowsill/deployment/settings"
	"willowsill/transport/peer"
	"willowsill/transport/statestore"
	"willowsill/transport/watch"
)

// ErrControlServer is the class of this package's errors.
var ErrControlServer = oops.Code("control_server")

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

// Server is a running controller.
type Server struct {
	settings   settings.Settings
	base       time.Time
	controller *controller.Controller
	inputs     chan func(now int64) controller.Out
	saves      chan controller.Save
	mesh       *peer.Mesh
	feed       watch.Feed
	inContact  atomic.Bool

	mu    sync.Mutex // guards the rest
	calls map[uint64]chan controller.Answer
	last  uint64
}

// Run runs a controller until ctx ends.
func Run(ctx context.Context, s settings.Settings) error {
	t := &Server{settings: s, base: time.Now().Add(-time.Hour), inputs: make(chan func(int64) controller.Out, inputs),
		saves: make(chan controller.Save, 1), calls: map[uint64]chan controller.Answer{}}
	life := strconv.FormatUint(rand.Uint64(), 36)
	start := controller.Start{IP: s.IP, Life: life, Seeds: s.SeedIPs(), Bootstrap: s.Bootstrap,
		BeatEvery: s.BeatMs * int64(time.Millisecond), Draw: rand.Float64}
	box, found, err := statestore.Open(s.DataDir)
	if errors.Is(err, statestore.ErrNewerFormat) {
		return ErrControlServer.Wrap(err) // the file stays for the version that wrote it
	}
	if err != nil {
		// Danger: a disk that refuses to be read must not be taken for an empty one of a first start; as one that
		// was emptied it counts for nothing until the others have told what stands.
		klog.ErrorS(err, "the disk cannot be read; this controller joins as one whose disk is empty")
		start.Bootstrap = false
		os.Remove(statestore.Path(s.DataDir))
	}
	start.State, start.CommittedRevision, start.List = found.State, found.CommittedRevision, found.List
	klog.InfoS("controller", "ip", s.IP, "bootstrap", s.Bootstrap, "found", found.State != nil, "stood", found.CommittedRevision,
		"replicas", len(found.List))
	t.controller = controller.New(t.now(), start)

	peers, err := peer.Listen(s.Inner(s.IP, settings.PortControllers))
	if err != nil {
		return ErrControlServer.Wrap(err)
	}
	followers, err := peer.Listen(s.Inner(s.IP, settings.PortWatch))
	if err != nil {
		return ErrControlServer.Wrap(err)
	}
	control, err := net.Listen("tcp", s.Bind.Control)
	if err != nil {
		return ErrControlServer.Wrapf(err, "bind-addrs.control")
	}
	inner, end := context.WithCancel(context.Background())
	defer end()
	t.mesh = peer.NewMesh(inner)
	go peer.Serve(peers, t.peer)
	go peer.Serve(followers, t.follower)
	go t.save(box)
	go t.feed.Beats(inner, t.inContact.Load)
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

func (t *Server) now() int64 { return int64(time.Since(t.base)) }

// loop is the one goroutine that calls the controller.
func (t *Server) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			t.carry(t.controller.Leave(t.now()))
			return
		case in := <-t.inputs:
			t.carry(in(t.now()))
			for range min(len(t.inputs), 64) {
				t.carry((<-t.inputs)(t.now()))
			}
		case <-timer.C:
		}
		if now := t.now(); now >= t.controller.Next() {
			t.carry(t.controller.Tick(now))
		}
		timer.Reset(min(max(time.Duration(t.controller.Next()-t.now()), time.Millisecond), pollMost))
	}
}

// carry carries out what the controller asks for.
func (t *Server) carry(o controller.Out) {
	t.inContact.Store(t.controller.InContact())
	for _, l := range o.Log {
		klog.InfoS(l.Text, l.Values...)
	}
	if o.Save != nil {
		t.saves <- *o.Save
	}
	for _, s := range o.Sends {
		frame, err := peer.Encode(s.Message)
		if err != nil {
			klog.ErrorS(err, "a word cannot be encoded")
			continue
		}
		for _, ip := range s.To {
			t.mesh.Send(t.settings.Inner(ip, settings.PortControllers), frame)
		}
	}
	for _, a := range o.Answers {
		t.mu.Lock()
		c := t.calls[a.Call]
		delete(t.calls, a.Call)
		t.mu.Unlock()
		if c != nil {
			c <- a
		}
	}
	if !o.Notice.Empty() {
		n := o.Notice
		t.feed.Publish(&n, t.inContact.Load())
	}
}

// save is the goroutine that waits on the disk.
//
// Danger: a disk that hangs must not hold heartbeats and reads up.
func (t *Server) save(box *statestore.Store) {
	for s := range t.saves {
		var err error
		if box == nil {
			if box, _, err = statestore.Open(t.settings.DataDir); err != nil {
				time.Sleep(reopenWait)
			}
		}
		if err == nil {
			err = box.Save(s)
		}
		t.inputs <- func(now int64) controller.Out { return t.controller.Saved(now, s.Number, err) }
	}
}

func (t *Server) peer(l *peer.Link) {
	for {
		var w controller.Message
		if err := l.Receive(&w, 0); err != nil {
			return
		}
		t.inputs <- func(now int64) controller.Out { return t.controller.Take(now, w) }
	}
}

func (t *Server) follower(l *peer.Link) {
	watch.Attend(l, func(h watch.Report) {
		t.inputs <- func(int64) controller.Out {
			t.feed.Join(l, t.controller.Snapshot(), t.controller.InContact())
			return controller.Out{}
		}
	}, func(h watch.Report) {
		for _, s := range h.All() {
			t.inputs <- func(now int64) controller.Out { return t.controller.Edge(now, s) }
		}
	})
	t.feed.Part(l)
}

// call puts a call to the controller and waits for its answer.
func (t *Server) call(ctx context.Context, in func(now int64, call uint64) controller.Out) (controller.Answer, bool) {
	c := make(chan controller.Answer, 1)
	t.mu.Lock()
	t.last++
	id := t.last
	t.calls[id] = c
	t.mu.Unlock()
	select {
	case t.inputs <- func(now int64) controller.Out { return in(now, id) }:
	case <-ctx.Done():
		return controller.Answer{}, false
	}
	select {
	case a := <-c:
		return a, true
	case <-ctx.Done():
		t.mu.Lock()
		delete(t.calls, id)
		t.mu.Unlock()
		return controller.Answer{}, false
	}
}

// beat hands a replica's call on.
func (t *Server) beat(ctx context.Context, r registry.Record) (controller.Answer, bool) {
	return t.call(ctx, func(now int64, id uint64) controller.Out { return t.controller.Beat(now, id, r) })
}
