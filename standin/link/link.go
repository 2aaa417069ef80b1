// Package link plays a link between sites for trials and tests: what crosses it takes a time each way, and it can be cut
// one way or both, silently or with resets. Bytes keep their order, as on TCP; what is lost there shows as a stall.
package link

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"willowsill/standin"
)

// Conditions is how one direction behaves.
type Conditions struct {
	Delay     time.Duration
	Jitter    time.Duration // up to so much more, by chance
	LossDelay time.Duration // that a lost packet costs,
	Loss      float64       // the share of writes that meet it
	ByteRate  float64       // bytes a second; 0 for no limit
	Cut       bool          // nothing comes through, and nobody is told
}

// Link carries connections. Its zero value is a link without delay.
type Link struct {
	mu      sync.Mutex
	forward Conditions
	reverse Conditions
	changed chan struct{}
	conns   map[net.Conn]struct{}
	rng     *rand.Rand
	bytes   int64
}

// Set changes both directions from now on.
func (l *Link) Set(there, back Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forward, l.reverse = there, back
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

// Reset breaks all connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

// Bytes is how many have crossed.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Serve carries each connection of a listener over the link to an address, until the listener is closed; then it breaks
// all of the link's connections.
func (l *Link) Serve(from net.Listener, to string) {
	over := l.Dialer((&net.Dialer{}).DialContext)
	standin.Serve(from, func(ctx context.Context, near net.Conn) {
		defer near.Close()
		far, err := over(ctx, "tcp", to)
		if err != nil {
			if tcp, ok := near.(*net.TCPConn); ok {
				tcp.SetLinger(0)
			}
			return
		}
		stop := context.AfterFunc(ctx, func() { far.Close() })
		defer stop()
		var both sync.WaitGroup
		for _, way := range [][2]net.Conn{{near, far}, {far, near}} {
			both.Go(func() {
				io.Copy(way[0], way[1])
				near.Close()
				far.Close()
			})
		}
		both.Wait()
	})
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer makes a dial function whose connections cross the link. A connection takes a way there and back to come up.
func (l *Link) Dialer(to dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for _, back := range []bool{false, true} {
			if err := l.waitOneWay(ctx, back); err != nil {
				return nil, err
			}
		}
		far, err := to(ctx, network, address)
		if err != nil {
			return nil, err
		}
		near, mid := net.Pipe()
		l.mu.Lock()
		if l.conns == nil {
			l.conns = map[net.Conn]struct{}{}
		}
		l.conns[mid], l.conns[far] = struct{}{}, struct{}{}
		l.mu.Unlock()
		var both sync.WaitGroup
		both.Go(func() { l.relay(far, mid, false) })
		both.Go(func() { l.relay(mid, far, true) })
		go func() {
			both.Wait()
			l.mu.Lock()
			delete(l.conns, mid)
			delete(l.conns, far)
			l.mu.Unlock()
		}()
		return near, nil
	}
}

// packet is what was written at once, and when it arrives.
type packet struct {
	bytes   []byte
	arrival time.Time
}

// relay carries one direction of a connection until one side ends.
func (l *Link) relay(to, from net.Conn, back bool) {
	gone, leave := context.WithCancel(context.Background()) // nothing more is to be read
	defer leave()
	defer to.Close()
	defer from.Close()
	queue := make(chan packet, 1024)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer to.Close()
		defer from.Close()
		for p := range queue {
			time.Sleep(time.Until(p.arrival))
			if !l.waitUntilOpen(gone, back) {
				return
			}
			if _, err := to.Write(p.bytes); err != nil {
				return
			}
		}
	}()
	free := time.Now() // when the link has taken what came before
	for {
		b := make([]byte, 4<<10)
		n, err := from.Read(b)
		if n > 0 {
			l.mu.Lock()
			l.bytes += int64(n)
			l.mu.Unlock()
			w := l.conditions(back)
			if now := time.Now(); free.Before(now) {
				free = now
			}
			if w.ByteRate > 0 {
				free = free.Add(time.Duration(float64(n) / w.ByteRate * 1e9))
			}
			select {
			case queue <- packet{b[:n], free.Add(l.packetDelay(w))}:
			case <-ended:
				return
			}
		}
		if err != nil {
			leave()
			close(queue)
			<-ended
			return
		}
	}
}

func (l *Link) conditions(back bool) Conditions {
	l.mu.Lock()
	defer l.mu.Unlock()
	if back {
		return l.reverse
	}
	return l.forward
}

// packetDelay draws how long a packet takes.
func (l *Link) packetDelay(w Conditions) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rng == nil {
		l.rng = rand.New(rand.NewPCG(1, 2))
	}
	d := w.Delay
	if w.Jitter > 0 {
		d += time.Duration(l.rng.Int64N(int64(w.Jitter)))
	}
	if l.rng.Float64() < w.Loss {
		d += w.LossDelay
	}
	return d
}

// waitUntilOpen waits while a direction is cut; false where the connection ended meanwhile.
func (l *Link) waitUntilOpen(ctx context.Context, back bool) bool {
	for {
		l.mu.Lock()
		cut := l.forward.Cut && !back || l.reverse.Cut && back
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		l.mu.Unlock()
		if !cut {
			return true
		}
		select { // what a cut holds when its connection ends never comes
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// waitOneWay waits for one way of the link.
func (l *Link) waitOneWay(ctx context.Context, back bool) error {
	if !l.waitUntilOpen(ctx, back) {
		return ctx.Err()
	}
	select {
	case <-time.After(l.packetDelay(l.conditions(back))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
