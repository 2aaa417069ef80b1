package node

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/transport/replica"
)

// The reported use is that of the budget with the highest use, whichever shard it belongs to, and it expires after the
// retry window.
func TestFurtherUsed(t *testing.T) {
	sent := 0
	failsOnce := func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
		if p.Shard == 1 {
			if sent++; sent < 3 {
				return replica.Reply{ID: p.ID, Outcome: replica.Failed}, true
			}
		}
		return value(ctx, p)
	}
	budgeted := func(p *Options) {
		p.Deployment.Budgeted, p.Deployment.ShardBudgets, p.Deployment.RetrySlack, p.Deployment.RetryWindow = true, 2, 9, 10e9
	}
	runNode(t, budgeted, failsOnce, func(w *fixture) {
		used, ok := w.RetriesUsed(w.Context())
		must.True(t, ok)
		must.Eq(t, RetryUse{}, used)
		t.Log(w.serve(w.Context(), "a", 2*time.Second))
		used, _ = w.RetriesUsed(w.Context())
		must.Eq(t, RetryUse{2, true}, used)
		time.Sleep(12 * time.Second)
		used, _ = w.RetriesUsed(w.Context())
		must.Eq(t, RetryUse{}, used)
	})
}
