package node

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/transport/replica"
)

// What is used is that of the budget with the most of it, whichever shard it is of, and is forgotten after its span.
func TestFurtherUsed(t *testing.T) {
	sent := 0
	failsOnce := func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
		if p.Shard == 1 {
			if sent++; sent < 3 {
				return replica.Reply{ID: p.ID, End: replica.Failed}, true
			}
		}
		return value(ctx, p)
	}
	budgeted := func(p *Plan) {
		p.Deployment.Budgeted, p.Deployment.Accounts, p.Deployment.FurtherFree, p.Deployment.FurtherSpan = true, 2, 9, 10e9
	}
	on(t, budgeted, failsOnce, func(w *world) {
		used, ok := w.FurtherUsed(w.Context())
		must.True(t, ok)
		must.Eq(t, Further{}, used)
		t.Log(w.serve(w.Context(), "a", 2*time.Second))
		used, _ = w.FurtherUsed(w.Context())
		must.Eq(t, Further{2, true}, used)
		time.Sleep(12 * time.Second)
		used, _ = w.FurtherUsed(w.Context())
		must.Eq(t, Further{}, used)
	})
}
