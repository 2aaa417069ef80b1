package agentserver

import (
	"time"

	"willowsill/transport/metrics"
)

// figures tells this process's own figures.
func (s *Server) figures(told metrics.Figures) {
	fresh := s.upstream.Freshness()
	told.Flag("willowsill_agent_knowledge_current", fresh.Known)
	if fresh.Known {
		told.Gauge("willowsill_agent_knowledge_age_seconds", time.Duration(fresh.Age).Seconds())
	}
	told.Gauge("willowsill_followers", float64(s.relay.Count()))
	told.Flag("willowsill_agent_proxy_follows", s.proxy.Count() > 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	told.Gauge("willowsill_configuration_revision", float64(s.state.Revision))
	told.Gauge("willowsill_edges_suspected", float64(len(s.suspects)))
	told.Gauge("willowsill_edges", float64(len(s.state.Fleet.Edges)))
}
