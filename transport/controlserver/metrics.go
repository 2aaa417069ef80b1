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
func (s *Server) writeMetrics(told metrics.Writer) {
	answer := make(chan controller.Stats, 1)
	ask := func(int64) controller.Effects {
		answer <- s.controller.Stats()
		return controller.Effects{}
	}
	s.callCounts.writeMetrics(told)
	timeout := time.After(metricsTimeout)
	select {
	case s.inputs <- ask:
	case <-timeout:
		told.Flag("willowsill_controller_up", false)
		return
	}
	select {
	case f := <-answer:
		told.Flag("willowsill_controller_up", true)
		writeStats(told, f)
		told.Gauge("willowsill_followers", float64(s.feed.Count()))
	case <-timeout:
		told.Flag("willowsill_controller_up", false)
	}
}

func writeStats(told metrics.Writer, f controller.Stats) {
	told.Flag("willowsill_controller_in_contact", f.InContact)
	told.Flag("willowsill_controller_disk_caught_up", f.CaughtUp)
	told.Gauge("willowsill_membership_epoch", float64(f.Epoch))
	told.Gauge("willowsill_configuration_revision", float64(f.Revision))
	told.Gauge("willowsill_members", float64(f.Members))
	told.Gauge("willowsill_controllers_known", float64(f.Controllers))
	told.Gauge("willowsill_edges", float64(f.Edges))
	told.Gauge("willowsill_calls_waiting", float64(f.Calls))
	told.Counter("willowsill_saves_total", int64(f.Saves))
	for _, phase := range []registry.Phase{registry.Ready, registry.Draining, registry.Silent, registry.Gone} {
		told.Gauge(fmt.Sprintf("willowsill_replicas{phase=%q}", phase), float64(f.Replicas[phase]))
	}
}
