package controlserver

import (
	"fmt"
	"time"

	"willowsill/decide/controller"
	"willowsill/decide/registry"
	"willowsill/transport/metrics"
)

// metricsTimeout bounds how long a request for metrics waits for the loop.
const metricsTimeout = time.Second

// writeMetrics writes the controller's metrics. It requests the controller's statistics from the loop, which
// alone may call the controller.
func (s *Server) writeMetrics(w metrics.Writer) {
	answer := make(chan controller.Stats, 1)
	request := func(int64) controller.Effects {
		answer <- s.controller.Stats()
		return controller.Effects{}
	}
	s.callCounts.writeMetrics(w)
	timeout := time.After(metricsTimeout)
	select {
	case s.inputs <- request:
	case <-timeout:
		w.Flag("willowsill_controller_up", false)
		return
	}
	select {
	case stats := <-answer:
		w.Flag("willowsill_controller_up", true)
		writeStats(w, stats)
		w.Gauge("willowsill_followers", float64(s.feed.Count()))
	case <-timeout:
		w.Flag("willowsill_controller_up", false)
	}
}

func writeStats(w metrics.Writer, stats controller.Stats) {
	w.Flag("willowsill_controller_in_contact", stats.InContact)
	w.Flag("willowsill_controller_disk_caught_up", stats.CaughtUp)
	w.Gauge("willowsill_membership_epoch", float64(stats.Epoch))
	w.Gauge("willowsill_configuration_revision", float64(stats.Revision))
	w.Gauge("willowsill_members", float64(stats.Members))
	w.Gauge("willowsill_controllers_known", float64(stats.Controllers))
	w.Gauge("willowsill_edges", float64(stats.Edges))
	w.Gauge("willowsill_calls_waiting", float64(stats.Calls))
	w.Counter("willowsill_saves_total", int64(stats.Saves))
	for _, phase := range []registry.Phase{registry.Ready, registry.Draining, registry.Silent, registry.Gone} {
		w.Gauge(fmt.Sprintf("willowsill_replicas{phase=%q}", phase), float64(stats.Replicas[phase]))
	}
}
