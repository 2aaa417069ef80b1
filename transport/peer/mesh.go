package peer

import (
	"context"
	"sync"
	"time"
)

const (
	meshQueue   = 64                     // frames that wait for a link that is being opened
	redialAfter = 150 * time.Millisecond // after a dial that failed
	meshIdle    = 20 * time.Second       // a link that nothing is sent on for so long is closed
)

// Mesh keeps a link to each address that something is sent to. What is sent while a link is down is lost once
// too much waits: its users send again.
type Mesh struct {
	mu    sync.Mutex
	lines map[string]*line
	ctx   context.Context
}

type line struct {
	queue chan Frame
}

// NewMesh makes one that ends with ctx.
func NewMesh(ctx context.Context) *Mesh { return &Mesh{lines: map[string]*line{}, ctx: ctx} }

// Send sends a frame to an address, as soon as it can.
func (m *Mesh) Send(address string, f Frame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.lines[address]
	if l == nil {
		l = &line{make(chan Frame, meshQueue)}
		m.lines[address] = l
		go m.run(address, l)
	}
	for {
		select {
		case l.queue <- f:
			return
		default:
		}
		select { // the oldest makes room
		case <-l.queue:
		default:
		}
	}
}

// run opens the link again and again while something is to be sent.
func (m *Mesh) run(address string, l *line) {
	defer func() {
		m.mu.Lock()
		delete(m.lines, address)
		m.mu.Unlock()
	}()
	idle := time.NewTimer(meshIdle)
	defer idle.Stop()
	var link *Link
	defer func() {
		if link != nil {
			link.Close()
		}
	}()
	for {
		var ended <-chan struct{}
		if link != nil {
			ended = link.Ended()
		}
		idle.Reset(meshIdle)
		select {
		case <-m.ctx.Done():
			return
		case <-idle.C:
			return
		case <-ended:
			link = nil
		case f := <-l.queue:
			if link == nil {
				var err error
				if link, err = Dial(m.ctx, address); err != nil {
					link = nil
					select {
					case <-m.ctx.Done():
						return
					case <-time.After(redialAfter):
					}
					continue
				}
				// Danger: the peer says nothing on this link; that it went away shows only to one who reads.
				go func(k *Link) {
					var none any
					for k.Receive(&none, 0) == nil {
					}
					k.Close()
				}(link)
			}
			link.Send(f)
		}
	}
}
