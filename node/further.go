package node

import "context"

// Further is what a node has used of its further executions in the span that they are counted over.
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
	if !n.offer(asked) {
		return Further{}, false
	}
	select {
	case used = <-asked.reply:
		return used, true
	case <-n.ended:
	case <-ctx.Done():
	}
	return Further{}, false
}

func (n *Node) further(now int64) Further {
	return Further{n.agg.FreeUsed(now, 0), n.furtherAt > 0 && now-n.furtherAt < n.FurtherSpan}
}
