package peer

import (
	"context"
	"sync"
	"time"
)

const (
	maxQueuedFrames = 64                     // most frames that wait for a link to be opened
	redialDelay     = 150 * time.Millisecond // wait after a failed dial
	idleTimeout     = 20 * time.Second       // a link on which no frame is sent for this time is closed
)

// Mesh keeps a link to each address that it sends to. While a link is down, frames queue up to maxQueuedFrames;
// then the oldest are dropped. So its users have to resend.
type Mesh struct {
	mu           sync.Mutex
	destinations map[string]*destination
	ctx          context.Context
}

type destination struct {
	queue chan Frame
}

// NewMesh returns a mesh whose links end with ctx.
func NewMesh(ctx context.Context) *Mesh {
	return &Mesh{destinations: map[string]*destination{}, ctx: ctx}
}

// Send queues a frame for an address.
func (m *Mesh) Send(address string, f Frame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.destinations[address]
	if d == nil {
		d = &destination{make(chan Frame, maxQueuedFrames)}
		m.destinations[address] = d
		go m.run(address, d)
	}
	for {
		select {
		case d.queue <- f:
			return
		default:
		}
		select { // drop the oldest frame
		case <-d.queue:
		default:
		}
	}
}

// run sends the queued frames of a destination, and opens its link again after a failure, until nothing is sent
// for idleTimeout.
func (m *Mesh) run(address string, d *destination) {
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
		case f := <-d.queue:
			if link == nil {
				var err error
				if link, err = Dial(m.ctx, address, nil); err != nil { // no frame is read from it
					link = nil
					select {
					case <-m.ctx.Done():
						return
					case <-time.After(redialDelay):
					}
					continue
				}
				// Danger: the peer sends nothing on this link, and only a read notices that the peer has closed it.
				go func(link *Link) {
					link.AwaitEnd()
					link.Close()
				}(link)
			}
			link.Send(f)
		}
	}
}
