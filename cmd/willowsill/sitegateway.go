//go:build !platform

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
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
	"willowsill/transport/listen"
	"willowsill/transport/replica"
)

// Limits of the memory of query IDs by which repeats of once-only queries from other sites are recognised.
const (
	maxRememberedIDs   = 1 << 16
	maxRememberedBytes = 64 << 20
	rememberedFor      = time.Minute // how long an ID is kept; far longer than any client timeout
)

// siteGateway forwards queries to other sites and serves the queries that their gateways forward here.
type siteGateway struct {
	settings     *operator.Settings
	core         *gateway.Core
	peerServer   *gateway.PeerServer
	server       *http.Server
	served       chan struct{}
	drainTimeout time.Duration
	log          *zap.Logger
}

// gatewayCounters is the gateway section of /counters.
type gatewayCounters struct {
	*gateway.Counters
	core *gateway.Core
}

func (c gatewayCounters) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{"queries": c.Counters, "ways": c.core.LinkStats()})
}

// openSiteGateway starts the gateway if the settings define a site, and returns the Core that serves the clients. Without a
// gateway that is the process's own node. A gateway whose address is held waits for it, until stop ends, beside the serving of clients.
func openSiteGateway(stop context.Context, start deployment.Config, o *operator.Settings, own *node.Node, clock node.Clock, count *counters.Counters,
	dial replica.Dial, guard *front.SwitchableGuard, log *zap.Logger) (front.Core, *siteGateway, error) {
	if o.Site == nil {
		return own, &siteGateway{settings: o, log: log}, nil
	}
	certificates := gateway.Certificates{CertFile: o.Site.CertFile, KeyFile: o.Site.KeyFile, CAFile: o.Site.CAFile,
		PasswordFile: o.Site.KeyPasswordFile}
	serverTLS, clientTLS, err := certificates.TLSConfigs()
	if err != nil {
		return nil, nil, fmt.Errorf("%s: site: %w", o.File, err)
	}
	options := gateway.Options{Clock: clock, Site: o.Site.Name, Deployment: start.Deployment, Limits: start.Limits, Local: own,
		Dial: dial, TLS: clientTLS, Log: log, Revenue: o.Site.Revenue, HTTP2: o.Site.HTTP2,
		Policy: siterouting.Policy(max(slices.Index(siterouting.PolicyNames, o.Site.Policy), 0))}
	for name := range o.Site.Revenue {
		if _, known := start.WorkloadRow[name]; !known {
			return nil, nil, fmt.Errorf(`%s: site: key "revenue": %q is no workload of the deployment`, o.File, name)
		}
	}
	var names []string
	for _, l := range o.Links {
		names = append(names, l.To)
		options.Sites = append(options.Sites, gateway.Site{Gateways: l.Gateways,
			Link: siterouting.Link{Site: l.To, QueryRate: l.QueryRate, ByteRate: float64(l.ByteRate), Cost: l.Cost}})
	}
	listener := listen.Later(stop, listenLog(log), listen.Endpoint{Setting: o.File + `: site: key "listen"`, Address: o.Site.Listen})
	counts := &gateway.Counters{}
	core, err := gateway.New(options, counts)
	if err != nil {
		listener.Close()
		return nil, nil, err
	}
	g := &siteGateway{settings: o, core: core, served: make(chan struct{}), log: log,
		drainTimeout: time.Duration(max(start.LongestClientTimeout, minDrainTimeNs))}
	g.peerServer = &gateway.PeerServer{Site: o.Site.Name, PeerSites: names, Deployment: start.Deployment, Clock: clock, Counters: counts, Log: log,
		RequireCertificate: true, AdvertisedRate: core.AdvertisedRate, Window: deduplication.New(deduplication.Limits{MaxIDs: maxRememberedIDs, MaxAnswerBytes: maxRememberedBytes, Retention: int64(rememberedFor)}),
		Front: &front.Front{Core: core, Clock: clock, WorkloadRow: start.WorkloadRow, Shards: start.Shards, Counters: count, Guard: guard, Log: log}}
	if err := g.loadIDs(); err != nil {
		listener.Close()
		core.Close()
		return nil, nil, err
	}
	g.server = g.peerServer.HTTPServer(nil)
	go func() {
		defer close(g.served)
		g.server.Serve(gateway.TLSListener(listener, serverTLS))
	}()
	core.Evacuate(o.Site.Evacuated)
	count.Gateway.Set(gatewayCounters{counts, core})
	expiry, _ := certificates.Expiry()
	log.Info("the gateway to other sites is open", zap.String("site", o.Site.Name), zap.Strings("to", names), zap.Time("papers_until", expiry))
	return core, g, nil
}

// loadIDs loads the query IDs of the previous run. A file that the system refuses to read is an error.
//
// Danger: without these IDs a repeat of a query that another site sends once more is taken for a new one. A refusal says nothing about
// the content, so it is no reason to go on without them.
func (g *siteGateway) loadIDs() error {
	file := g.settings.Site.IDFile
	if file == "" {
		return nil
	}
	err := g.peerServer.Load(file)
	var refused *fs.PathError
	if errors.As(err, &refused) {
		return fmt.Errorf("%s: site: %w", g.settings.File, err)
	}
	if err != nil {
		g.log.Error("cannot load the query IDs of the previous run", zap.Error(err))
	}
	return nil
}

// apply evacuates the own site or ends the evacuation as the settings say. Every other change of site and links takes effect
// at the next start.
func (g *siteGateway) apply(o *operator.Settings) {
	if g.core == nil {
		if o.Site != nil {
			g.log.Warn("changes of site and links in the script take effect at the next start")
		}
		return
	}
	if o.Site == nil || !reflect.DeepEqual(o.Links, g.settings.Links) {
		g.log.Warn("changes of site and links in the script take effect at the next start")
	}
	if o.Site != nil {
		g.core.Evacuate(o.Site.Evacuated)
	}
}

// announceShutdown tells other sites' gateways that this one is about to close, and waits until they know.
func (g *siteGateway) announceShutdown() {
	if g.core != nil {
		g.peerServer.AnnounceShutdown(context.Background())
	}
}

// stop closes the server for other sites after their queries in flight have ended, and saves the query IDs for the next
// start.
func (g *siteGateway) stop() {
	if g.core == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.drainTimeout)
	defer cancel()
	if err := g.server.Shutdown(ctx); err != nil {
		g.server.Close()
	}
	<-g.served
	if file := g.settings.Site.IDFile; file != "" {
		if err := g.peerServer.Save(file); err != nil {
			g.log.Error("cannot save the query IDs for the next start", zap.Error(err))
		}
	}
	g.core.Close()
}
