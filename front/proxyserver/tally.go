package proxyserver

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// tallyEvery is the time between two lines of the log about what was served.
const tallyEvery = 5 * time.Second

// totals are counts since the start of the process: executions sent to replicas and how they ended, connections opened
// and queries turned away because too many were held.
type totals struct {
	sent, fulfilled, errored, full, timedOut, connectFailed, reset, cancelled, moot, opened, crowded int64
}

// totals reads the counts as they are now.
func (s *Server) totals() totals {
	e := &s.counters.Executions
	return totals{sent: e.Sent.Load(), fulfilled: e.Fulfilled.Load(), errored: e.Errored.Load(), full: e.Full.Load(),
		timedOut: e.TimedOut.Load(), connectFailed: e.ConnectFailed.Load(), reset: e.Reset.Load(), cancelled: e.Cancelled.Load(),
		moot: e.Moot.Load(), opened: s.pool.Opened.Load(), crowded: s.counters.Crowded.Load()}
}

// tally logs what was served since the line before, where anything was, until ctx ends.
func (s *Server) tally(ctx context.Context) {
	ticker := time.NewTicker(tallyEvery)
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

func (s *Server) logTotals(now, before totals) {
	s.mu.Lock()
	replicas, edges, free := s.table.Replicas(), s.table.Edges(), s.table.Budget()
	s.mu.Unlock()
	klog.InfoS("served", "sent", now.sent-before.sent, "fulfilled", now.fulfilled-before.fulfilled,
		"errored", now.errored-before.errored, "full", now.full-before.full, "timedOut", now.timedOut-before.timedOut,
		"connectFailed", now.connectFailed-before.connectFailed, "reset", now.reset-before.reset,
		"cancelled", now.cancelled-before.cancelled, "moot", now.moot-before.moot, "opened", now.opened-before.opened,
		"crowded", now.crowded-before.crowded, "replicas", replicas, "edges", edges, "furtherFree", free,
		"delayMaxMs", s.counters.DelayHighest.Load()/int64(time.Millisecond))
}
