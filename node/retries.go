package node

import "context"

// RetryUse is the use, within the retry window, of the retry budget that the node has used most.
type RetryUse struct {
	Slack float64 // retries beyond the ratio of what was handed over; below 0 if that is not used up
	Any   bool    // there was a retry in the window
}

// retryUseRequest asks the loop for the current RetryUse; reply is buffered for one.
type retryUseRequest struct{ reply chan RetryUse }

// RetriesUsed returns the current use, with all workload sets applied that were set before; false if the loop is
// too busy to answer.
func (n *Node) RetriesUsed(ctx context.Context) (used RetryUse, ok bool) {
	asked := retryUseRequest{make(chan RetryUse, 1)}
	return request(ctx, n, asked, asked.reply)
}

// retryUse compares the budgets that had a retry within the window.
//
// Danger: all budgets have the same limit. If it were lowered by what one budget has left, it would be below what
// another has already used.
func (n *Node) retryUse(now int64) (used RetryUse) {
	for budget, last := range n.lastRetryAt {
		if now-last >= n.RetryWindow {
			delete(n.lastRetryAt, budget)
			continue
		}
		if slack := n.agg.SlackUsed(now, budget); !used.Any || slack > used.Slack {
			used = RetryUse{slack, true}
		}
	}
	return used
}
