package replicahttp

import (
	"context"
	"sync"
	"time"

	"willowsill/decide/reconnect"
)

// gate holds back new connections to a replica that has sent more than it may. decide/reconnect decides for how long.
//
// Danger: each answer that passes a limit is read up to that limit. Without a pause before the next one, a faulty replica takes all the
// processor time of its callers.
type gate struct {
	mu    sync.Mutex
	pacer reconnect.Pacer
}

// await waits until a connection may be opened or ctx ends, whose error it returns.
func (g *gate) await(ctx context.Context, now func() int64) error {
	for {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		wait := g.open(now())
		if wait == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(wait)):
		}
	}
}

func (g *gate) open(now int64) (wait int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pacer.Open(now)
}

func (g *gate) limitPassed(now int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pacer.LimitPassed(now)
}

func (g *gate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pacer.Answered()
}
