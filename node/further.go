package node

import "context"

// furtherAsked asks how much of the free further executions is used.
type furtherAsked struct{ reply chan float64 } // has room for one

// FurtherUsed returns how many further executions there were beyond their share of what was handed over, as of now and
// after all that was given to Serving before took effect; false where the node has no time for that.
func (n *Node) FurtherUsed(ctx context.Context) (used float64, ok bool) {
	asked := furtherAsked{make(chan float64, 1)}
	if !n.offer(asked) {
		return 0, false
	}
	select {
	case used = <-asked.reply:
		return used, true
	case <-n.ended:
	case <-ctx.Done():
	}
	return 0, false
}
