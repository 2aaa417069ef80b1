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

// zoneWatch has the node know zones out of reach as the operator's script says.
type zoneWatch struct {
	start  deployment.Config
	core   *node.Node
	log    *zap.Logger
	orders *operator.Zones
}

func (z *zoneWatch) config(o *operator.Zones) zonehealth.Config {
	return zonehealth.Config{BaseEjection: z.start.BaseEjection(), MinFailedReplicas: o.MinFailedReplicas, Seed: z.start.Seed}
}

// validate tells what the orders cannot be here.
func (z *zoneWatch) validate(o *operator.Settings) error {
	if o.Zones == nil {
		return nil
	}
	if err := z.config(o.Zones).Validate(); err != nil {
		return fmt.Errorf("%s: zones: %w", o.File, err)
	}
	return nil
}

// apply makes what runs what the orders say. With an error nothing has changed.
func (z *zoneWatch) apply(o *operator.Settings) error {
	if err := z.validate(o); err != nil {
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
	z.core.WatchZones(zonehealth.New(z.config(o.Zones)))
	z.log.Info("zones are watched", zap.Int("few", o.Zones.MinFailedReplicas))
	return nil
}
