package agentserver

import (
	"time"

	"willowsill/transport/metrics"
)

func (s *Server) writeMetrics(w metrics.Writer) {
	fresh := s.upstream.Freshness()
	w.Flag("willowsill_agent_knowledge_current", fresh.Known)
	if fresh.Known {
		w.Gauge("willowsill_agent_knowledge_age_seconds", time.Duration(fresh.Age).Seconds())
	}
	w.Gauge("willowsill_followers", float64(s.relayFeed.Count()))
	w.Flag("willowsill_agent_proxy_follows", s.proxyFeed.Count() > 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Gauge("willowsill_configuration_revision", float64(s.state.Revision))
	w.Gauge("willowsill_edges_suspected", float64(len(s.suspects)))
	w.Gauge("willowsill_edges", float64(len(s.state.Fleet.Edges)))
}
