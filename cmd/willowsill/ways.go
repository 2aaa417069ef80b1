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
	rememberMost  = 1 << 16
	rememberBytes = 64 << 20
	rememberFor   = time.Minute // far longer than any client waits
)

// ways are the ways to other sites and the door that they come in by.
type ways struct {
	orders *operator.Orders
	core   *gateway.Core
	door   *gateway.Door
	server *http.Server
	served chan struct{}
	wait   time.Duration
	log    *zap.Logger
}

// wayCount is what /counters tells of them.
type wayCount struct {
	*gateway.Count
	core *gateway.Core
}

func (c wayCount) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{"queries": c.Count, "ways": c.core.Figures()})
}

// openWays opens the ways that the orders ask for; without any the own site serves alone.
func openWays(start deployment.Start, o *operator.Orders, own *node.Node, clock node.Clock, count *counters.Counters,
	dial replica.Dial, guard *front.Guarded, log *zap.Logger) (front.Core, *ways, error) {
	if o.Site == nil {
		return own, &ways{orders: o, log: log}, nil
	}
	papers := gateway.Papers{CertFile: o.Site.CertFile, KeyFile: o.Site.KeyFile, CAFile: o.Site.CAFile,
		PasswordFile: o.Site.Lock}
	atDoor, outside, err := papers.Secure()
	if err != nil {
		return nil, nil, fmt.Errorf("%s: site: %w", o.File, err)
	}
	plan := gateway.Plan{Clock: clock, Own: o.Site.Name, Deployment: start.Deployment, Terms: start.Terms, Local: own,
		Dial: dial, Secure: outside, Log: log, Revenue: o.Site.Revenue, HTTP2: o.Site.HTTP2,
		Policy: siterouting.Policy(max(slices.Index(siterouting.PolicyNames, o.Site.Policy), 0))}
	for name := range o.Site.Revenue {
		if _, known := start.Workload[name]; !known {
			return nil, nil, fmt.Errorf(`%s: site: key "revenue": %q is no workload of the deployment`, o.File, name)
		}
	}
	var names []string
	for _, l := range o.Links {
		names = append(names, l.To)
		plan.Sites = append(plan.Sites, gateway.Site{Gateways: l.Gateways,
			Link: siterouting.Link{Site: l.To, QueryRate: l.Queries, ByteRate: float64(l.Bytes), Cost: l.Cost}})
	}
	listener, err := net.Listen("tcp", o.Site.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf(`%s: site: key "listen": %w`, o.File, err)
	}
	figures := &gateway.Count{}
	core, err := gateway.New(plan, figures)
	if err != nil {
		listener.Close()
		return nil, nil, err
	}
	w := &ways{orders: o, core: core, served: make(chan struct{}), log: log,
		wait: time.Duration(max(start.LongestCutOff, leastWait))}
	w.door = &gateway.Door{Own: o.Site.Name, Sites: names, Deployment: start.Deployment, Clock: clock, Count: figures, Log: log,
		Secure: true, Willing: core.Willing, Window: deduplication.New(deduplication.Limits{MaxIDs: rememberMost, MaxAnswerBytes: rememberBytes, Retention: int64(rememberFor)}),
		Front: &front.Front{Core: core, Clock: clock, Workload: start.Workload, Shards: start.Shards, Count: count, Guard: guard, Log: log}}
	if o.Site.Remember != "" {
		if err := w.door.Load(o.Site.Remember); err != nil {
			log.Error("the ids of before the restart are not known", zap.Error(err))
		}
	}
	w.server = w.door.Server(nil)
	go func() {
		defer close(w.served)
		w.server.Serve(gateway.Listen(listener, atDoor))
	}()
	core.Evacuate(o.Site.Dark)
	count.Gateway.Put(wayCount{figures, core})
	until, _ := papers.Until()
	log.Info("there are ways to other sites", zap.String("site", o.Site.Name), zap.Strings("to", names), zap.Time("papers_until", until))
	return core, w, nil
}

// follow leaves the site or takes it up again as the orders say now; all else of sites and links waits for a start.
func (w *ways) follow(o *operator.Orders) {
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
		w.core.Evacuate(o.Site.Dark)
	}
}

// leave tells peers that the door is about to close, and waits until they know.
func (w *ways) leave() {
	if w.core != nil {
		w.door.Leave(context.Background())
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
	if file := w.orders.Site.Remember; file != "" {
		if err := w.door.Save(file); err != nil {
			w.log.Error("the ids could not be kept for the next start", zap.Error(err))
		}
	}
	w.core.Close()
}
