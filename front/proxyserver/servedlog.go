package proxyserver

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// servedLogInterval is the time between two log lines about what was served.
const servedLogInterval = 5 * time.Second

// totals are counts since the start of the process: executions sent to replicas and their outcomes, connections
// opened, and queries rejected because the node held too many.
type totals struct {
	sent, fulfilled, errored, full, timedOut, connectFailed, reset, cancelled, moot, opened, crowded int64
}

// totals returns the current counts.
func (s *Server) totals() totals {
	e := &s.counters.Executions
	return totals{sent: e.Sent.Load(), fulfilled: e.Fulfilled.Load(), errored: e.Errored.Load(), full: e.Full.Load(),
		timedOut: e.TimedOut.Load(), connectFailed: e.ConnectFailed.Load(), reset: e.Reset.Load(), cancelled: e.Cancelled.Load(),
		moot: e.Unsent.Load(), opened: s.pool.Opened.Load(), crowded: s.counters.Rejected.Load()}
}

// logServed logs what was served since the previous line, unless it was nothing, until ctx ends.
func (s *Server) logServed(ctx context.Context) {
	ticker := time.NewTicker(servedLogInterval)
	defer ticker.Stop()
	var before totals
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := s.totals()
		if now.sent != before.sent || now.crowded != before.crowded {
			s.logTotals(now, before)
		}
		before = now
	}
}

func (s *Server) logTotals(after, before totals) {
	s.mu.Lock()
	now, replicas, edges, free := s.node.Now(), s.table.ReadyReplicas(), s.table.EdgeCount(), s.retrySlack
	lent, borrowed := s.account.Lent(now), s.account.Borrowed(now)
	s.mu.Unlock()
	klog.InfoS("served", "sent", after.sent-before.sent, "fulfilled", after.fulfilled-before.fulfilled,
		"errored", after.errored-before.errored, "full", after.full-before.full, "timedOut", after.timedOut-before.timedOut,
		"connectFailed", after.connectFailed-before.connectFailed, "reset", after.reset-before.reset,
		"cancelled", after.cancelled-before.cancelled, "moot", after.moot-before.moot, "opened", after.opened-before.opened,
		"crowded", after.crowded-before.crowded, "replicas", replicas, "edges", edges, "furtherFree", free, "lent", lent, "borrowed", borrowed,
		"delayMaxMs", s.counters.DelayMaximum.Load()/int64(time.Millisecond))
}
