package main

import (
	"encoding/json"
	"fmt"
	"reflect"

	"go.uber.org/zap"

	"willowsill/decide/overload"
	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/front"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/machine"
	"willowsill/transport/sockets"
)

// overloadWatch runs the overload detection and load shedding of this process as the operator's script configures them.
type overloadWatch struct {
	start      deployment.Config
	core       *node.Node
	budget     *sockets.Budget
	count      *counters.Counters
	guard      *front.SwitchableGuard
	log        *zap.Logger
	settings   *operator.Settings
	background *background // nil while overload detection is off
}

// validate reports settings that don't fit the deployment.
func (s *overloadWatch) validate(o *operator.Settings) error {
	if o.Overload == nil {
		return nil
	}
	if _, err := s.config(o.Overload); err != nil {
		return fmt.Errorf("%s: strain: %w", o.File, err)
	}
	return nil
}

// apply starts, restarts or stops overload detection to match the settings. On an error nothing has changed.
func (s *overloadWatch) apply(o *operator.Settings) error {
	if s.settings != nil && reflect.DeepEqual(s.settings.Overload, o.Overload) {
		s.settings = o
		return nil
	}
	if err := s.validate(o); err != nil {
		return err
	}
	var monitor *machine.Monitor
	if o.Overload != nil {
		config, _ := s.config(o.Overload)
		monitor = machine.New(config, machine.Sources{Now: s.core.Now, QueueFill: s.core.QueueFill,
			Events: func() (n, waited int64) { return s.count.Facts.Load(), s.count.DelayTotal.Load() },
			ClientDescriptors: func() float64 {
				return float64(s.budget.InUse(sockets.Clients)) / float64(s.budget.Limit(sockets.Clients))
			}, MemoryLimit: int64(heapShare * float64(s.start.MemoryBytes))}, s.log)
	}
	s.stop()
	s.settings = o
	if monitor == nil {
		return nil
	}
	schedule := &node.Schedule{OnWait: monitor.RecordWait, OnStall: func(ns int64) { monitor.Stalled.Add(ns) }}
	if o.Overload.Immediate {
		schedule.Pace = &overload.Pacer{MaxGap: s.start.Tick}
	}
	s.core.SetSchedule(schedule)
	if o.Overload.Shed {
		guard := front.Guard(monitor)
		s.guard.Store(&guard)
	}
	s.count.Overload.Set(json.Marshaler(monitor))
	s.background = startBackground(monitor.Run)
	s.log.Info("overload detection is on", zap.Bool("shed", o.Overload.Shed), zap.Bool("at_once", o.Overload.Immediate))
	return nil
}

// config combines the settings with the deployment's values. A workload without a stated revenue has revenue 1.
func (s *overloadWatch) config(o *operator.Overload) (overload.Config, error) {
	config := overload.Config{Cores: s.start.Cores, LimitKind: o.LimitKind, FixedRate: o.FixedRate, WaitTarget: o.MaxLateness, MaxRetryAfter: s.start.MaxRetryAfter,
		CustomerFloor: o.CustomerFloor, Seed: s.start.Seed, Workloads: make([]overload.Workload, len(s.start.Workloads))}
	for name := range o.Revenue {
		if _, known := s.start.WorkloadRow[name]; !known {
			return config, fmt.Errorf(`key "revenue": %q is no workload of the deployment`, name)
		}
	}
	for name, row := range s.start.WorkloadRow {
		revenue, stated := o.Revenue[name]
		if !stated {
			revenue = 1
		}
		config.Workloads[row] = overload.Workload{Revenue: revenue, LatencyGoal: s.start.Workloads[row].LatencyGoal}
	}
	return config, config.Validate()
}

// stop stops overload detection. Afterwards no query is shed, and decision rounds wait for the next tick again.
func (s *overloadWatch) stop() {
	if s.background == nil {
		return
	}
	s.guard.Store(nil)
	s.background.stop()
	s.background = nil
	s.core.SetSchedule(nil)
	s.count.Overload.Set(nil)
	s.log.Info("overload detection is off")
}
