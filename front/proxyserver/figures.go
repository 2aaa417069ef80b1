package proxyserver

import (
	"fmt"

	"willowsill/internal/counters"
	"willowsill/transport/metrics"
)

// figures tells this process's own figures: what it knows, how executions at replicas ended, and by route what became of
// clients' queries since the route was there.
func (s *Server) figures(told metrics.Figures) {
	now := s.totals()
	for result, count := range map[string]int64{"fulfilled": now.fulfilled, "errored": now.errored, "full": now.full,
		"timed_out": now.timedOut, "connect_failed": now.connectFailed, "reset": now.reset, "cancelled": now.cancelled, "moot": now.moot} {
		told.Counter(fmt.Sprintf("willowsill_executions_total{result=%q}", result), count)
	}
	told.Counter("willowsill_executions_sent_total", now.sent)
	told.Counter("willowsill_connections_opened_total", now.opened)
	told.Counter("willowsill_queries_crowded_total", now.crowded)
	s.mu.Lock()
	defer s.mu.Unlock()
	told.Flag("willowsill_proxy_ready", s.readiness.Ready(s.node.Now()) && !s.leaving.Load())
	told.Flag("willowsill_proxy_knowledge_current", s.fresh.Known)
	told.Gauge("willowsill_configuration_revision", float64(s.state.Revision))
	told.Gauge("willowsill_replicas_ready", float64(s.table.Replicas()))
	told.Gauge("willowsill_edges", float64(s.table.Edges()))
	told.Gauge("willowsill_retries_free", s.free)
	told.Gauge("willowsill_retries_lent", s.account.Lent(s.node.Now()))
	told.Gauge("willowsill_retries_borrowed", s.account.Borrowed(s.node.Now()))
	for route, row := range s.rowOf {
		tellRoute(told, route, s.rows[row])
	}
}

func tellRoute(told metrics.Figures, route string, row *counters.Workload) {
	for outcome, count := range map[string]*counters.Count{"whole": &row.Whole, "partial": &row.Partial, "declined": &row.Declined,
		"forfeited": &row.Forfeited, "left": &row.Left} {
		told.Counter(fmt.Sprintf("willowsill_queries_total{route=%q,outcome=%q}", route, outcome), count.Load())
	}
	told.Counter(fmt.Sprintf("willowsill_queries_taken_total{route=%q}", route), row.Taken.Load())
}
