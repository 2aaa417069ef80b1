// Package link simulates a network link between sites for measurements and tests. It delays data, and it can be cut in one or both
// directions, silently or by closing connections. Bytes keep their order, as on TCP, so a lost packet shows as a longer delay.
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

// Conditions describes the behaviour of one direction of a link.
type Conditions struct {
	Delay     time.Duration // shortest delay of a packet
	Jitter    time.Duration // upper bound of a random addition to Delay
	LossDelay time.Duration // additional delay of a lost packet, as for its retransmission
	Loss      float64       // probability that a packet is lost
	ByteRate  float64       // bytes per second of each connection; 0 for no limit
	Cut       bool          // data is held back without an error
}

// Link is a simulated link that carries connections. Its zero value is a link without delay.
type Link struct {
	mu      sync.Mutex
	forward Conditions
	reverse Conditions
	changed chan struct{}
	conns   map[net.Conn]struct{}
	rng     *rand.Rand
	bytes   int64
}

// Set changes the conditions of both directions from now on.
func (l *Link) Set(forward, reversed Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forward, l.reverse = forward, reversed
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

// Reset closes all connections that cross the link.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

// Bytes returns the number of bytes that have entered the link, in both directions together.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Serve forwards each connection of a listener over the link to an address. When the listener is closed, it closes the
// connections that it serves and returns.
func (l *Link) Serve(from net.Listener, to string) {
	dial := l.Dialer((&net.Dialer{}).DialContext)
	standin.Serve(from, func(ctx context.Context, near net.Conn) {
		defer near.Close()
		far, err := dial(ctx, "tcp", to)
		if err != nil {
			if tcp, ok := near.(*net.TCPConn); ok {
				tcp.SetLinger(0)
			}
			return
		}
		stop := context.AfterFunc(ctx, func() { far.Close() })
		defer stop()
		var both sync.WaitGroup
		for _, direction := range [][2]net.Conn{{near, far}, {far, near}} {
			both.Go(func() {
				io.Copy(direction[0], direction[1])
				near.Close()
				far.Close()
			})
		}
		both.Wait()
	})
}

// dialFunc has the signature of net.Dialer.DialContext.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dial function whose connections cross the link. Connecting takes one round trip over the link.
func (l *Link) Dialer(to dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for _, reversed := range []bool{false, true} {
			if err := l.waitOneWay(ctx, reversed); err != nil {
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

// packet is the data of one read and the earliest time at which it leaves the link.
type packet struct {
	bytes   []byte
	arrival time.Time
}

// relay carries one direction of a connection until either side closes.
func (l *Link) relay(to, from net.Conn, reversed bool) {
	readEnded, cancel := context.WithCancel(context.Background()) // cancelled when from returns an error
	defer cancel()
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
			if !l.waitUntilOpen(readEnded, reversed) {
				return
			}
			if _, err := to.Write(p.bytes); err != nil {
				return
			}
		}
	}()
	free := time.Now() // time at which all earlier packets of this connection are sent at the byte rate
	for {
		b := make([]byte, 4<<10)
		n, err := from.Read(b)
		if n > 0 {
			l.mu.Lock()
			l.bytes += int64(n)
			l.mu.Unlock()
			w := l.conditions(reversed)
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
			cancel()
			close(queue)
			<-ended
			return
		}
	}
}

// conditions returns the current conditions of a direction.
func (l *Link) conditions(reversed bool) Conditions {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reversed {
		return l.reverse
	}
	return l.forward
}

// packetDelay draws the random delay of one packet.
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

// waitUntilOpen waits while a direction is cut. It returns false if the context ends before.
func (l *Link) waitUntilOpen(ctx context.Context, reversed bool) bool {
	for {
		l.mu.Lock()
		cut := l.forward.Cut && !reversed || l.reverse.Cut && reversed
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		l.mu.Unlock()
		if !cut {
			return true
		}
		select { // data that a cut holds back is dropped when its connection ends
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// waitOneWay waits for the delay of one packet, and before that while the direction is cut.
func (l *Link) waitOneWay(ctx context.Context, reversed bool) error {
	if !l.waitUntilOpen(ctx, reversed) {
		return ctx.Err()
	}
	select {
	case <-time.After(l.packetDelay(l.conditions(reversed))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
