//go:build platform

package main

import (
	"errors"

	"go.uber.org/zap"

	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/front"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/replica"
)

// ways are the ways to other sites, which the platform's build leaves out: it gives no listener for them, and what they
// need would cost its memory.
type ways struct{}

func openWays(_ deployment.Config, o *operator.Settings, own *node.Node, _ node.Clock, _ *counters.Counters, _ replica.Dial,
	_ *front.SwitchableGuard, _ *zap.Logger) (front.Core, *ways, error) {
	if o.Site != nil {
		return nil, nil, errors.New("this build has no gateway; site and link need one without the tag platform")
	}
	return own, &ways{}, nil
}

func (*ways) follow(*operator.Settings) {}
func (*ways) leave()                    {}
func (*ways) end()                      {}
