package proxyserver

import (
	"fmt"

	"willowsill/decide/routeconfig"
	"willowsill/internal/counters"
	"willowsill/transport/metrics"
)

// writeMetrics tells this process's own figures: what it knows, how executions at replicas ended, and by route what became of
// clients' queries since the route was there.
func (s *Server) writeMetrics(told metrics.Writer) {
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
	told.Flag("willowsill_proxy_knowledge_current", s.freshness.Known)
	told.Gauge("willowsill_configuration_revision", float64(s.state.Revision))
	told.Gauge("willowsill_replicas_ready", float64(s.table.ReadyReplicas()))
	told.Gauge("willowsill_edges", float64(s.table.EdgeCount()))
	told.Gauge("willowsill_retries_free", s.retrySlack)
	told.Gauge("willowsill_retries_lent", s.account.Lent(s.node.Now()))
	told.Gauge("willowsill_retries_borrowed", s.account.Borrowed(s.node.Now()))
	for i := range s.routes {
		writeRouteMetrics(told, &s.routes[i], s.counterRows[s.rowByRoute[s.routes[i].ID()]])
	}
}

// writeRouteMetrics tells the counts of one route. Host and prefix are there because several routes may have one name.
func writeRouteMetrics(told metrics.Writer, route *routeconfig.Route, row *counters.Workload) {
	labels := fmt.Sprintf("route=%q,host=%q,prefix=%q", route.Name, route.Host, route.Prefix)
	for outcome, count := range map[string]*counters.Count{"whole": &row.Complete, "partial": &row.Partial, "declined": &row.Declined,
		"forfeited": &row.Forfeited, "left": &row.ClientGone} {
		told.Counter(fmt.Sprintf("willowsill_queries_total{%s,outcome=%q}", labels, outcome), count.Load())
	}
	told.Counter(fmt.Sprintf("willowsill_queries_taken_total{%s}", labels), row.Accepted.Load())
}
