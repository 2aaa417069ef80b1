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

// overloadWatch has the process watch its own load as the operator's script says.
type overloadWatch struct {
	start      deployment.Config
	core       *node.Node
	budget     *sockets.Budget
	count      *counters.Counters
	guard      *front.SwitchableGuard
	log        *zap.Logger
	orders     *operator.Settings
	background *background // nil while it is off
}

// validate tells what the orders cannot be here.
func (s *overloadWatch) validate(o *operator.Settings) error {
	if o.Overload == nil {
		return nil
	}
	if _, err := s.config(o.Overload); err != nil {
		return fmt.Errorf("%s: strain: %w", o.File, err)
	}
	return nil
}

// apply makes what runs what the orders say. With an error nothing has changed.
func (s *overloadWatch) apply(o *operator.Settings) error {
	if s.orders != nil && reflect.DeepEqual(s.orders.Overload, o.Overload) {
		s.orders = o
		return nil
	}
	if err := s.validate(o); err != nil {
		return err
	}
	var watch *machine.Monitor
	if o.Overload != nil {
		terms, _ := s.config(o.Overload)
		watch = machine.New(terms, machine.Sources{Now: s.core.Now, QueueFill: s.core.QueueFill,
			Events: func() (n, waited int64) { return s.count.Facts.Load(), s.count.DelayTotal.Load() },
			ClientDescriptors: func() float64 {
				return float64(s.budget.InUse(sockets.Clients)) / float64(s.budget.Limit(sockets.Clients))
			}, MemoryLimit: int64(heapShare * float64(s.start.MemoryBytes))}, s.log)
	}
	s.stop()
	s.orders = o
	if watch == nil {
		return nil
	}
	rhythm := &node.Schedule{OnWait: watch.RecordWait, OnStall: func(ns int64) { watch.Stalled.Add(ns) }}
	if o.Overload.Immediate {
		rhythm.Pace = &overload.Pacer{MaxGap: s.start.Tick}
	}
	s.core.SetSchedule(rhythm)
	if o.Overload.Shed {
		guard := front.Guard(watch)
		s.guard.Store(&guard)
	}
	s.count.Overload.Set(json.Marshaler(watch))
	s.background = startBackground(watch.Run)
	s.log.Info("the process watches its own strain", zap.Bool("shed", o.Overload.Shed), zap.Bool("at_once", o.Overload.Immediate))
	return nil
}

// config are what the orders and the deployment ask for.
func (s *overloadWatch) config(o *operator.Overload) (overload.Config, error) {
	t := overload.Config{Cores: s.start.Cores, LimitKind: o.LimitKind, FixedRate: o.FixedRate, WaitTarget: o.MaxLateness, MaxRetryAfter: s.start.MaxRetryAfter,
		CustomerFloor: o.CustomerFloor, Seed: s.start.Seed, Workloads: make([]overload.Workload, len(s.start.Workloads))}
	for name := range o.Revenue {
		if _, known := s.start.WorkloadRow[name]; !known {
			return t, fmt.Errorf(`key "revenue": %q is no workload of the deployment`, name)
		}
	}
	for name, row := range s.start.WorkloadRow {
		revenue, stated := o.Revenue[name]
		if !stated {
			revenue = 1
		}
		t.Workloads[row] = overload.Workload{Revenue: revenue, LatencyGoal: s.start.Workloads[row].LatencyGoal}
	}
	return t, t.Validate()
}

// stop ends it; queries are taken on as they come again, and rounds wait for the tick.
func (s *overloadWatch) stop() {
	if s.background == nil {
		return
	}
	s.guard.Store(nil)
	s.background.stop()
	s.background = nil
	s.core.SetSchedule(nil)
	s.count.Overload.Set(nil)
	s.log.Info("the process no longer watches its own strain")
}
