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

// zoneWatch turns the node's detection of unreachable zones on and off as the operator's script says.
type zoneWatch struct {
	start    deployment.Config
	core     *node.Node
	log      *zap.Logger
	settings *operator.Zones
}

func (z *zoneWatch) config(o *operator.Zones) zonehealth.Config {
	return zonehealth.Config{BaseEjection: z.start.BaseEjection(), MinFailedReplicas: o.MinFailedReplicas, Seed: z.start.Seed}
}

// validate reports settings that don't fit the deployment.
func (z *zoneWatch) validate(o *operator.Settings) error {
	if o.Zones == nil {
		return nil
	}
	if err := z.config(o.Zones).Validate(); err != nil {
		return fmt.Errorf("%s: zones: %w", o.File, err)
	}
	return nil
}

// apply starts, restarts or stops the detection to match the settings. On an error nothing has changed.
func (z *zoneWatch) apply(o *operator.Settings) error {
	if err := z.validate(o); err != nil {
		return err
	}
	if reflect.DeepEqual(z.settings, o.Zones) {
		return nil
	}
	z.settings = o.Zones
	if o.Zones == nil {
		z.core.WatchZones(nil)
		z.log.Info("detection of unreachable zones is off")
		return nil
	}
	z.core.WatchZones(zonehealth.New(z.config(o.Zones)))
	z.log.Info("detection of unreachable zones is on", zap.Int("few", o.Zones.MinFailedReplicas))
	return nil
}
