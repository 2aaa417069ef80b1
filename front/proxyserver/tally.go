package proxyserver

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const tallyEvery = 5 * time.Second

// tally logs what was served since the last time, where anything was.
func (h *Server) tally(ctx context.Context) {
	t := time.NewTicker(tallyEvery)
	defer t.Stop()
	var was, is [11]int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		x := &h.count.Executions
		is = [...]int64{x.Sent.Load(), x.Fulfilled.Load(), x.Errored.Load(), x.Full.Load(), x.TimedOut.Load(),
			x.ConnectFailed.Load(), x.Reset.Load(), x.Cancelled.Load(), x.Moot.Load(), h.pool.Opened.Load(), h.count.Crowded.Load()}
		var d [len(is)]int64
		for i := range is {
			d[i] = is[i] - was[i]
		}
		was = is
		if d[0] == 0 && d[10] == 0 {
			continue
		}
		h.mu.Lock()
		replicas, edges, free := h.table.Replicas(), h.table.Edges(), h.table.Budget()
		h.mu.Unlock()
		klog.InfoS("served", "sent", d[0], "fulfilled", d[1], "errored", d[2], "full", d[3], "timedOut", d[4], "connectFailed", d[5],
			"reset", d[6], "cancelled", d[7], "moot", d[8], "opened", d[9], "crowded", d[10], "replicas", replicas, "edges", edges,
			"furtherFree", free, "delayMaxMs", h.count.DelayHighest.Load()/1e6)
	}
}
