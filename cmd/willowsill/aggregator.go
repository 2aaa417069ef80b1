package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/front"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/discovery"
	"willowsill/transport/replica"
	"willowsill/transport/sockets"
)

// aggregator is an aggregator with everything that it has opened. It serves once serve is called.
type aggregator struct {
	start     deployment.Config
	count     *counters.Counters
	core      *node.Node
	watch     *discovery.Watch
	unwatch   context.CancelFunc
	watched   chan struct{} // closed when the watch has ended
	sharing   *sharedStore
	overloads *overloadWatch
	zones     *zoneWatch
	sites     *siteGateway
	server    *front.Server
	log       *zap.Logger
}

// run opens an aggregator and serves until stop is cancelled. It returns when every accepted query is answered and all resources are
// released. Each value on reload makes it read its configuration again.
func run(stop context.Context, reload <-chan os.Signal, start deployment.Config, settings *operator.Settings,
	l net.Listener, dial replica.Dial, log *zap.Logger) error {
	a, err := openAggregator(stop, start, settings, l, dial, log)
	if err != nil {
		return err
	}
	return a.serve(stop, reload)
}

// openAggregator opens all that an aggregator needs beside the listener for its clients. After an error everything is closed but that
// listener. A gateway waits for its address until stop ends, beside the serving of clients.
func openAggregator(stop context.Context, start deployment.Config, settings *operator.Settings, l net.Listener, dial replica.Dial,
	log *zap.Logger) (_ *aggregator, err error) {
	a := &aggregator{start: start, count: counters.New(start.WorkloadRow), unwatch: func() {}, watched: make(chan struct{}), log: log}
	budget := sockets.NewBudget(start.Descriptors)
	clock := node.NewClock()
	a.watch = discovery.NewWatch(start.Discovery, start.Cells, start.KnownReplicas.Sequence, dial,
		func(ctx context.Context, n discovery.Update) { a.core.ApplyList(ctx, n) })
	a.core = node.New(node.Options{Clock: clock, Deployment: start.Deployment, Limits: start.Limits, KnownList: start.KnownReplicas,
		Budget: budget, Count: a.count, Log: log, RequestList: a.watch.Request, Dial: dial})
	a.sharing = &sharedStore{start: start, core: a.core, dial: dial, count: a.count, log: log}
	a.overloads = &overloadWatch{start: start, core: a.core, budget: budget, count: a.count, guard: &front.SwitchableGuard{}, log: log}
	a.zones = &zoneWatch{start: start, core: a.core, log: log}
	defer func() {
		if err != nil {
			a.close()
		}
	}()
	if err := a.applySettings(settings); err != nil {
		close(a.watched)
		return nil, err
	}
	watching, unwatch := context.WithCancel(context.Background())
	a.unwatch = unwatch
	go func() {
		defer close(a.watched)
		a.watch.Run(watching, start.AsksForList)
	}()
	serving, sites, err := openSiteGateway(stop, start, settings, a.core, clock, a.count, dial, a.overloads.guard, log)
	if err != nil {
		return nil, err
	}
	a.sites = sites
	a.server = front.NewServer(&front.Front{Core: serving, Clock: clock, WorkloadRow: start.WorkloadRow,
		Shards: start.Shards, Counters: a.count, Guard: a.overloads.guard, Log: log}, l, budget)
	return a, nil
}

// close ends the watch of the list and all that decides, and closes the core.
func (a *aggregator) close() {
	a.unwatch()
	<-a.watched
	a.overloads.stop()
	a.sharing.stop()
	a.core.Close()
}

// serve answers queries until stop is cancelled, and returns when every accepted query is answered and all resources are released.
// Each value on reload makes it read its configuration again.
func (a *aggregator) serve(stop context.Context, reload <-chan os.Signal) error {
	served := make(chan error, 1)
	go func() { served <- a.server.Serve() }()
	a.log.Info("serving", zap.String("listen", a.start.Listen), zap.Int("known", len(a.start.KnownReplicas.Entries)))
	for leaving := false; !leaving; {
		select {
		case err := <-served:
			return err
		case <-reload:
			a.reloadConfiguration()
		case <-stop.Done():
			leaving = true
		}
	}
	a.log.Info("leaving")
	a.sites.announceShutdown()
	err := a.server.Stop(time.Duration(max(a.start.LongestClientTimeout, minDrainTimeNs)))
	a.sites.stop()
	if e := <-served; err == nil && !errors.Is(e, http.ErrServerClosed) {
		err = e
	}
	a.close()
	a.log.Info("ended", zap.Any("counters", a.count))
	return err
}

// reloadConfiguration reads the configuration and the operator's script again, points the watch to the discovery address that
// the configuration names, and enables or disables features as the script says.
//
// Danger: a file that is missing, half-written or invalid must neither end the process nor be applied in part.
func (a *aggregator) reloadConfiguration() {
	a.count.Reloads.Add(1)
	updated, deferred, err := a.start.Reload()
	settings := a.sharing.settings
	if err == nil && settings.File != "" {
		settings, err = operator.Read(settings.File)
	}
	if err == nil {
		err = a.applySettings(settings)
	}
	if err != nil {
		a.count.ReloadsFailed.Add(1)
		a.log.Error("the new configuration is invalid, the previous one stays in force", zap.Error(err))
		return
	}
	if len(deferred) > 0 {
		a.log.Warn("changed keys take effect at the next start", zap.Strings("keys", deferred))
	}
	a.sites.apply(settings)
	a.log.Info("the configuration was read again", zap.String("discovery", updated.Discovery))
	a.watch.SetAddress(updated.Discovery)
}

// applySettings checks the settings of a script against the deployment and applies them.
func (a *aggregator) applySettings(settings *operator.Settings) error {
	if err := errors.Join(a.overloads.validate(settings), a.zones.validate(settings)); err != nil {
		return err
	}
	for _, apply := range []func(*operator.Settings) error{a.sharing.apply, a.overloads.apply, a.zones.apply} {
		if err := apply(settings); err != nil {
			return err
		}
	}
	return nil
}
