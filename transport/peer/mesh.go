package peer

import (
	"context"
	"sync"
	"time"
)

const (
	maxQueuedFrames = 64                     // frames that wait for a link that is being opened
	redialDelay     = 150 * time.Millisecond // after a dial that failed
	idleTimeout     = 20 * time.Second       // a link that nothing is sent on for so long is closed
)

// Mesh keeps a link to each address that something is sent to. What is sent while a link is down is lost once
// too much waits: its users send again.
type Mesh struct {
	mu           sync.Mutex
	destinations map[string]*destination
	ctx          context.Context
}

type destination struct {
	queue chan Frame
}

// NewMesh makes one that ends with ctx.
func NewMesh(ctx context.Context) *Mesh {
	return &Mesh{destinations: map[string]*destination{}, ctx: ctx}
}

// Send sends a frame to an address, as soon as it can.
func (m *Mesh) Send(address string, f Frame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.destinations[address]
	if l == nil {
		l = &destination{make(chan Frame, maxQueuedFrames)}
		m.destinations[address] = l
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
func (m *Mesh) run(address string, l *destination) {
	defer func() {
		m.mu.Lock()
		delete(m.destinations, address)
		m.mu.Unlock()
	}()
	idle := time.NewTimer(idleTimeout)
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
		idle.Reset(idleTimeout)
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
					case <-time.After(redialDelay):
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
