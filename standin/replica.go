// Package standin has stand-ins for the external systems of an aggregator, for measurements and tests: a replica and a discovery
// service. They speak the published protocols without doing the real work.
package standin

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"willowsill/transport/replica"
)

// Replica is a stand-in replica: it answers parts on all connections of a listener.
type Replica struct {
	// Answer returns the reply to a part, or false to send none. Its context ends when the part is cancelled or times out, or
	// when the connection closes.
	Answer func(context.Context, replica.Part) (replica.Reply, bool)
}

// Serve serves until the listener is closed, and returns when all connections have ended.
func (r *Replica) Serve(l net.Listener) error { return Serve(l, r.serveConnection) }

// Serve runs connection in a goroutine for each connection of a listener. When the listener is closed, it closes all
// connections and returns when their goroutines have returned.
func Serve(l net.Listener, connection func(context.Context, net.Conn)) error {
	var all sync.WaitGroup
	defer all.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		all.Go(func() {
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			defer stop()
			connection(ctx, conn)
		})
	}
}

// serveConnection reads frames until the connection ends, and answers the parts of each call concurrently.
func (r *Replica) serveConnection(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	var parts sync.WaitGroup
	defer func() {
		cancel()
		conn.Close()
		parts.Wait()
	}()
	var mu sync.Mutex // guards writes and cancels
	cancels := map[string]context.CancelFunc{}
	write := func(frame []byte) {
		mu.Lock()
		defer mu.Unlock()
		conn.Write(frame)
	}
	in := bufio.NewReader(conn)
	for {
		letter, rest, err := replica.ReadFrame(in)
		if err != nil {
			return
		}
		switch letter {
		case replica.LetterProbe:
			write(replica.AppendFrame(nil, letter, "OK"))
		case replica.LetterLoad:
			write(replica.AppendFrame(nil, letter, "-"))
		case replica.LetterAbandon:
			mu.Lock()
			if end := cancels[string(rest)]; end != nil {
				end()
			}
			mu.Unlock()
		case replica.LetterCall:
			call, err := replica.ParseCall(rest)
			if err != nil {
				write(replica.AppendFrame(nil, replica.LetterUnusable, err.Error()))
				return
			}
			for _, p := range call {
				ctx, cancel := context.WithTimeout(ctx, time.Duration(p.WaitMs)*time.Millisecond)
				mu.Lock()
				cancels[p.ID] = cancel
				mu.Unlock()
				parts.Go(func() {
					defer cancel()
					reply, ok := r.Answer(ctx, p)
					if ok && ctx.Err() == nil {
						write(replica.AppendReply(nil, reply, "-"))
					}
				})
			}
		default:
			write(replica.AppendFrame(nil, replica.LetterUnusable, "unknown letter"))
			return
		}
	}
}
