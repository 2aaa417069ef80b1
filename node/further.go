package node

import "context"

// Further is what a node has used of its further executions in the span that they are counted over, in the budget of
// which it has used most.
type Further struct {
	Free float64 // beyond the share of what was handed over; below 0 where that share is not used up
	Any  bool    // there was one at all
}

// furtherAsked asks for it.
type furtherAsked struct{ reply chan Further } // has room for one

// FurtherUsed returns what is used now, after all that was given to Serving before took effect; false where the node has
// no time for that.
func (n *Node) FurtherUsed(ctx context.Context) (used Further, ok bool) {
	asked := furtherAsked{make(chan Further, 1)}
	return ask(ctx, n, asked, asked.reply)
}

// further looks at the budgets in which there was a further execution of late.
//
// Danger: each of them has the same limit. A limit that is lowered by what one has left would be below what another has
// used already.
func (n *Node) further(now int64) (used Further) {
	for budget, last := range n.furtherAt {
		if now-last >= n.FurtherSpan {
			delete(n.furtherAt, budget)
			continue
		}
		if free := n.agg.FreeUsed(now, budget); !used.Any || free > used.Free {
			used = Further{free, true}
		}
	}
	return used
}
