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
	start  deployment.Start
	core   *node.Node
	budget *sockets.Budget
	count  *counters.Counters
	guard  *front.Guarded
	log    *zap.Logger
	orders *operator.Orders
	runs   *background // nil while it is off
}

// check tells what the orders cannot be here.
func (s *overloadWatch) check(o *operator.Orders) error {
	if o.Strain == nil {
		return nil
	}
	if _, err := s.terms(o.Strain); err != nil {
		return fmt.Errorf("%s: strain: %w", o.File, err)
	}
	return nil
}

// follow makes what runs what the orders say. With an error nothing has changed.
func (s *overloadWatch) follow(o *operator.Orders) error {
	if s.orders != nil && reflect.DeepEqual(s.orders.Strain, o.Strain) {
		s.orders = o
		return nil
	}
	if err := s.check(o); err != nil {
		return err
	}
	var watch *machine.Watch
	if o.Strain != nil {
		terms, _ := s.terms(o.Strain)
		watch = machine.New(terms, machine.Sources{Now: s.core.Now, Queue: s.core.QueueFill,
			Facts: func() (n, waited int64) { return s.count.Facts.Load(), s.count.DelayTotal.Load() },
			Client: func() float64 {
				return float64(s.budget.Taken(sockets.Clients)) / float64(s.budget.Most(sockets.Clients))
			}, Memory: int64(memoryShare * float64(s.start.Memory))}, s.log)
	}
	s.end()
	s.orders = o
	if watch == nil {
		return nil
	}
	rhythm := &node.Schedule{OnWait: watch.Waited, OnStall: func(ns int64) { watch.Stood.Add(ns) }}
	if o.Strain.AtOnce {
		rhythm.Pace = &overload.Pacer{MaxGap: s.start.Tick}
	}
	s.core.SetSchedule(rhythm)
	if o.Strain.Shed {
		guard := front.Guard(watch)
		s.guard.Store(&guard)
	}
	s.count.Strain.Put(json.Marshaler(watch))
	s.runs = begin(watch.Run)
	s.log.Info("the process watches its own strain", zap.Bool("shed", o.Strain.Shed), zap.Bool("at_once", o.Strain.AtOnce))
	return nil
}

// terms are what the orders and the deployment ask for.
func (s *overloadWatch) terms(o *operator.Strain) (overload.Config, error) {
	t := overload.Config{Cores: s.start.Cores, LimitKind: o.Limit, FixedRate: o.Rate, WaitTarget: o.Lateness, MaxRetryAfter: s.start.MaxRetryAfter,
		CustomerFloor: o.Floor, Seed: s.start.Seed, Workloads: make([]overload.Workload, len(s.start.Workloads))}
	for name := range o.Revenue {
		if _, known := s.start.Workload[name]; !known {
			return t, fmt.Errorf(`key "revenue": %q is no workload of the deployment`, name)
		}
	}
	for name, row := range s.start.Workload {
		revenue, stated := o.Revenue[name]
		if !stated {
			revenue = 1
		}
		t.Workloads[row] = overload.Workload{Revenue: revenue, LatencyGoal: s.start.Workloads[row].LatencyGoal}
	}
	return t, t.Validate()
}

// end ends it; queries are taken on as they come again, and rounds wait for the tick.
func (s *overloadWatch) end() {
	if s.runs == nil {
		return
	}
	s.guard.Store(nil)
	s.runs.end()
	s.runs = nil
	s.core.SetSchedule(nil)
	s.count.Strain.Put(nil)
	s.log.Info("the process no longer watches its own strain")
}
