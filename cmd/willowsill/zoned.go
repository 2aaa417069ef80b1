package main

import (
	"fmt"
	"reflect"

	"go.uber.org/zap"

	"willowsill/decide/zonehealth"
	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/node"
)

// zoned has the node know zones out of reach as the operator's script says.
type zoned struct {
	start  deployment.Start
	core   *node.Node
	log    *zap.Logger
	orders *operator.Zones
}

func (z *zoned) terms(o *operator.Zones) zonehealth.Config {
	return zonehealth.Config{BaseEjection: z.start.BaseEjection(), MinFailedReplicas: o.Few, Seed: z.start.Seed}
}

// check tells what the orders cannot be here.
func (z *zoned) check(o *operator.Orders) error {
	if o.Zones == nil {
		return nil
	}
	if err := z.terms(o.Zones).Validate(); err != nil {
		return fmt.Errorf("%s: zones: %w", o.File, err)
	}
	return nil
}

// follow makes what runs what the orders say. With an error nothing has changed.
func (z *zoned) follow(o *operator.Orders) error {
	if err := z.check(o); err != nil {
		return err
	}
	if reflect.DeepEqual(z.orders, o.Zones) {
		return nil
	}
	z.orders = o.Zones
	if o.Zones == nil {
		z.core.WatchZones(nil)
		z.log.Info("zones are no longer watched")
		return nil
	}
	z.core.WatchZones(zonehealth.New(z.terms(o.Zones)))
	z.log.Info("zones are watched", zap.Int("few", o.Zones.Few))
	return nil
}
