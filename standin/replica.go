// Package standin plays the outside systems that an aggregator meets, for trials and tests: a replica and a
// discovery, each with the published protocol and none of the real thing's work.
package standin

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"willowsill/transport/replica"
)

// Replica serves parts on all connections of a listener.
type Replica struct {
	// Answer makes a part's reply; false leaves the part without one. Its context ends when the part is given
	// up, its time is up, or the connection ends.
	Answer func(context.Context, replica.Part) (replica.Reply, bool)
}

// Serve serves until the listener is closed, and returns when all connections have ended.
func (r *Replica) Serve(l net.Listener) error { return Serve(l, r.serveConnection) }

// Serve hands each connection of a listener to a goroutine of its own until the listener is closed, ends them then, and
// returns when all have.
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

// serveConnection serves one connection until it ends.
func (r *Replica) serveConnection(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	var parts sync.WaitGroup
	defer func() {
		cancel()
		conn.Close()
		parts.Wait()
	}()
	var mu sync.Mutex // guards writes and under
	under := map[string]context.CancelFunc{}
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
			if end := under[string(rest)]; end != nil {
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
				under[p.ID] = cancel
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
