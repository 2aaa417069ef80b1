//go:build !platform

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"

	"willowsill/decide/deduplication"
	"willowsill/decide/siterouting"
	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/front"
	"willowsill/front/gateway"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/replica"
)

// What the door remembers of queries that came from other sites.
const (
	maxRememberedIDs   = 1 << 16
	maxRememberedBytes = 64 << 20
	rememberedFor      = time.Minute // far longer than any client waits
)

// ways are the ways to other sites and the door that they come in by.
type ways struct {
	orders      *operator.Settings
	core        *gateway.Core
	gatewayDoor *gateway.PeerServer
	server      *http.Server
	served      chan struct{}
	wait        time.Duration
	log         *zap.Logger
}

// gatewayCounters is what /counters tells of them.
type gatewayCounters struct {
	*gateway.Counters
	core *gateway.Core
}

func (c gatewayCounters) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{"queries": c.Counters, "ways": c.core.LinkStats()})
}

// openWays opens the ways that the orders ask for; without any the own site serves alone.
func openWays(start deployment.Config, o *operator.Settings, own *node.Node, clock node.Clock, count *counters.Counters,
	dial replica.Dial, guard *front.SwitchableGuard, log *zap.Logger) (front.Core, *ways, error) {
	if o.Site == nil {
		return own, &ways{orders: o, log: log}, nil
	}
	papers := gateway.Certificates{CertFile: o.Site.CertFile, KeyFile: o.Site.KeyFile, CAFile: o.Site.CAFile,
		PasswordFile: o.Site.KeyPasswordFile}
	atDoor, outside, err := papers.TLSConfigs()
	if err != nil {
		return nil, nil, fmt.Errorf("%s: site: %w", o.File, err)
	}
	plan := gateway.Options{Clock: clock, Site: o.Site.Name, Deployment: start.Deployment, Limits: start.Limits, Local: own,
		Dial: dial, TLS: outside, Log: log, Revenue: o.Site.Revenue, HTTP2: o.Site.HTTP2,
		Policy: siterouting.Policy(max(slices.Index(siterouting.PolicyNames, o.Site.Policy), 0))}
	for name := range o.Site.Revenue {
		if _, known := start.WorkloadRow[name]; !known {
			return nil, nil, fmt.Errorf(`%s: site: key "revenue": %q is no workload of the deployment`, o.File, name)
		}
	}
	var names []string
	for _, l := range o.Links {
		names = append(names, l.To)
		plan.Sites = append(plan.Sites, gateway.Site{Gateways: l.Gateways,
			Link: siterouting.Link{Site: l.To, QueryRate: l.QueryRate, ByteRate: float64(l.ByteRate), Cost: l.Cost}})
	}
	listener, err := net.Listen("tcp", o.Site.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf(`%s: site: key "listen": %w`, o.File, err)
	}
	figures := &gateway.Counters{}
	core, err := gateway.New(plan, figures)
	if err != nil {
		listener.Close()
		return nil, nil, err
	}
	w := &ways{orders: o, core: core, served: make(chan struct{}), log: log,
		wait: time.Duration(max(start.LongestClientTimeout, minDrainTimeNs))}
	w.gatewayDoor = &gateway.PeerServer{Site: o.Site.Name, PeerSites: names, Deployment: start.Deployment, Clock: clock, Counters: figures, Log: log,
		RequireCertificate: true, AdvertisedRate: core.AdvertisedRate, Window: deduplication.New(deduplication.Limits{MaxIDs: maxRememberedIDs, MaxAnswerBytes: maxRememberedBytes, Retention: int64(rememberedFor)}),
		Front: &front.Front{Core: core, Clock: clock, WorkloadRow: start.WorkloadRow, Shards: start.Shards, Counters: count, Guard: guard, Log: log}}
	if o.Site.IDFile != "" {
		if err := w.gatewayDoor.Load(o.Site.IDFile); err != nil {
			log.Error("the ids of before the restart are not known", zap.Error(err))
		}
	}
	w.server = w.gatewayDoor.HTTPServer(nil)
	go func() {
		defer close(w.served)
		w.server.Serve(gateway.TLSListener(listener, atDoor))
	}()
	core.Evacuate(o.Site.Evacuated)
	count.Gateway.Set(gatewayCounters{figures, core})
	until, _ := papers.Expiry()
	log.Info("there are ways to other sites", zap.String("site", o.Site.Name), zap.Strings("to", names), zap.Time("papers_until", until))
	return core, w, nil
}

// follow leaves the site or takes it up again as the orders say now; all else of sites and links waits for a start.
func (w *ways) follow(o *operator.Settings) {
	if w.core == nil {
		if o.Site != nil {
			w.log.Warn("what the script says of sites and links now holds from the next start on")
		}
		return
	}
	if o.Site == nil || !reflect.DeepEqual(o.Links, w.orders.Links) {
		w.log.Warn("what the script says of sites and links now holds from the next start on")
	}
	if o.Site != nil {
		w.core.Evacuate(o.Site.Evacuated)
	}
}

// leave tells peers that the door is about to close, and waits until they know.
func (w *ways) leave() {
	if w.core != nil {
		w.gatewayDoor.AnnounceShutdown(context.Background())
	}
}

// end closes the door, waits for what is under way there, and keeps the ids for the next start.
func (w *ways) end() {
	if w.core == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.wait)
	defer cancel()
	if err := w.server.Shutdown(ctx); err != nil {
		w.server.Close()
	}
	<-w.served
	if file := w.orders.Site.IDFile; file != "" {
		if err := w.gatewayDoor.Save(file); err != nil {
			w.log.Error("the ids could not be kept for the next start", zap.Error(err))
		}
	}
	w.core.Close()
}
