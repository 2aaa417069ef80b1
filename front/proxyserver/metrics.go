package proxyserver

import (
	"fmt"

	"willowsill/decide/routeconfig"
	"willowsill/internal/counters"
	"willowsill/transport/boundedread"
	"willowsill/transport/metrics"
)

// writeMetrics writes this process's metrics: the configuration, the replicas and edges that it knows, the
// outcomes of executions at replicas, and for each route the outcomes of queries since the route was added.
func (s *Server) writeMetrics(w metrics.Writer) {
	now := s.totals()
	for result, count := range map[string]int64{"fulfilled": now.fulfilled, "errored": now.errored, "full": now.full,
		"timed_out": now.timedOut, "connect_failed": now.connectFailed, "reset": now.reset, "cancelled": now.cancelled, "moot": now.moot} {
		w.Counter(fmt.Sprintf("willowsill_executions_total{result=%q}", result), count)
	}
	w.Counter("willowsill_executions_sent_total", now.sent)
	w.Counter("willowsill_connections_opened_total", now.opened)
	w.Counter("willowsill_queries_crowded_total", now.crowded)
	for _, limit := range boundedread.Limits {
		w.Counter(fmt.Sprintf("willowsill_answers_over_limit_total{limit=%q}", limit), s.pool.LimitsPassed(limit))
	}
	w.Gauge("willowsill_answer_bytes_held", float64(s.pool.Memory.Held()))
	w.Gauge("willowsill_request_body_bytes_held", float64(s.handler.Bodies.Held()))
	w.Gauge("willowsill_request_head_bytes_held", float64(s.servers.Heads.Held()))
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Flag("willowsill_proxy_ready", s.readiness.Ready(s.node.Now()) && !s.leaving.Load())
	w.Flag("willowsill_proxy_knowledge_current", s.freshness.Known)
	w.Gauge("willowsill_configuration_revision", float64(s.state.Revision))
	w.Gauge("willowsill_replicas_ready", float64(s.table.ReadyReplicas()))
	w.Gauge("willowsill_edges", float64(s.table.EdgeCount()))
	w.Gauge("willowsill_retries_free", s.retrySlack)
	w.Gauge("willowsill_retries_lent", s.account.Lent(s.node.Now()))
	w.Gauge("willowsill_retries_borrowed", s.account.Borrowed(s.node.Now()))
	for i := range s.routes {
		writeRouteMetrics(w, &s.routes[i], s.counterRows[s.rowByRoute[s.routes[i].ID()]])
	}
}

// writeRouteMetrics writes the counters of one route. The labels include host and prefix, as several routes may
// have the same name.
func writeRouteMetrics(w metrics.Writer, route *routeconfig.Route, row *counters.Workload) {
	labels := fmt.Sprintf("route=%q,host=%q,prefix=%q", route.Name, route.Host, route.Prefix)
	for outcome, count := range map[string]*counters.Count{"whole": &row.Complete, "partial": &row.Partial, "declined": &row.Declined,
		"forfeited": &row.Forfeited, "left": &row.ClientGone} {
		w.Counter(fmt.Sprintf("willowsill_queries_total{%s,outcome=%q}", labels, outcome), count.Load())
	}
	w.Counter(fmt.Sprintf("willowsill_queries_taken_total{%s}", labels), row.Accepted.Load())
}
