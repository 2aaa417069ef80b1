//go:build platform

package main

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/front"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/replica"
)

// siteGateway does nothing in builds with the tag platform: the platform offers no listener for other sites, and the
// gateway's dependencies would take memory.
type siteGateway struct{}

func openSiteGateway(_ context.Context, _ deployment.Config, o *operator.Settings, own *node.Node, _ node.Clock, _ *counters.Counters, _ replica.Dial,
	_ *front.SwitchableGuard, _ *zap.Logger) (front.Core, *siteGateway, error) {
	if o.Site != nil {
		return nil, nil, errors.New("this build has no gateway; site and link need one without the tag platform")
	}
	return own, &siteGateway{}, nil
}

func (*siteGateway) apply(*operator.Settings) {}
func (*siteGateway) announceShutdown()        {}
func (*siteGateway) stop()                    {}
