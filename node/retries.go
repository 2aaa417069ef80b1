package node

import "context"

// RetryUse is what a node has used of its further executions in the span that they are counted over, in the budget of
// which it has used most.
type RetryUse struct {
	Slack float64 // beyond the share of what was handed over; below 0 where that share is not used up
	Any   bool    // there was one at all
}

// retryUseRequest asks for it.
type retryUseRequest struct{ reply chan RetryUse } // has room for one

// RetriesUsed returns what is used now, after all that was given to Serving before took effect; false where the node has
// no time for that.
func (n *Node) RetriesUsed(ctx context.Context) (used RetryUse, ok bool) {
	asked := retryUseRequest{make(chan RetryUse, 1)}
	return request(ctx, n, asked, asked.reply)
}

// retryUse looks at the budgets in which there was a further execution of late.
//
// Danger: each of them has the same limit. A limit that is lowered by what one has left would be below what another has
// used already.
func (n *Node) retryUse(now int64) (used RetryUse) {
	for budget, last := range n.lastRetryAt {
		if now-last >= n.RetryWindow {
			delete(n.lastRetryAt, budget)
			continue
		}
		if free := n.agg.SlackUsed(now, budget); !used.Any || free > used.Slack {
			used = RetryUse{free, true}
		}
	}
	return used
}
