// Command willowsill is one aggregator on sockets. It reads what it is told from the environment and the
// configuration, follows it when it is replaced and SIGHUP says so, serves until SIGTERM, answers what it has
// taken and ends with 0.
package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/front"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/discovery"
	"willowsill/transport/replica"
	"willowsill/transport/sockets"
)

const (
	heapShare           = 0.7                    // of the limit for the heap: the rest is for stacks, sockets and the runtime
	logSampleInterval   = time.Second            // the log is thinned out by text in spans of this,
	logSampleFirst      = 5                      // so many lines of one text are kept, then
	logSampleThereafter = 100                    // one in so many
	minDrainTimeNs      = 3 * int64(time.Second) // for what is under way when it is told to stop
)

func main() {
	if part() { // one process of the demonstration of the whole system
		return
	}
	// Danger: a SIGHUP that nobody hears ends the process, so one is heard from the first to the last.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if len(os.Args) == 1 { // as the platform starts it: nothing else is made ready
		os.Exit(serve(reload, ""))
	}
	os.Exit(executeCommand(reload, os.Args[1:], os.Stdout, os.Stderr))
}

// serve serves from the environment, with the operator's script if there is one, and returns the exit code.
func serve(reload <-chan os.Signal, script string) int {
	start, err := deployment.FromEnvironment(os.Getenv)
	orders := &operator.Settings{}
	if err == nil && script != "" {
		orders, err = operator.Read(script)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "willowsill:", err)
		return 2
	}
	runtime.GOMAXPROCS(max(int(math.Ceil(start.Cores)), 1))
	debug.SetMemoryLimit(int64(heapShare * float64(start.MemoryBytes)))
	out := &zapcore.BufferedWriteSyncer{WS: zapcore.Lock(os.Stderr), FlushInterval: time.Second}
	log := zap.New(zapcore.NewSamplerWithOptions(
		zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, zap.InfoLevel),
		logSampleInterval, logSampleFirst, logSampleThereafter)).With(zap.String("aggregator", start.Name))
	defer out.Stop()
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	cancelOnSignal(cancel)
	listener, err := net.Listen("tcp", start.Listen)
	if err != nil {
		err = fmt.Errorf("variable NODE_LISTEN: %w", err)
	} else {
		// TCP's own keep-alive would not notice a machine that vanished, and parts have limits of their own.
		err = run(stop, reload, start, orders, listener, (&net.Dialer{KeepAlive: -1}).DialContext, log)
	}
	if err != nil {
		log.Error("failed", zap.Error(err))
		return 1
	}
	return 0
}

// cancelOnSignal cancels at the first signal to stop.
//
// Danger: a signal without a handler ends the process at once, with the queries that it answers and the lines of its
// log that wait; so the handlers stay until the process has ended, and a reader of the log that goes away (SIGPIPE) is
// no reason to end.
func cancelOnSignal(cancel context.CancelFunc) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE)
	go func() {
		<-stop
		cancel()
	}()
}

// run serves until stop is over, and ends when all it has taken is answered and all it holds is given back. At
// each word on reload it reads its configuration again.
func run(stop context.Context, reload <-chan os.Signal, start deployment.Config, orders *operator.Settings,
	l net.Listener, dial replica.Dial, log *zap.Logger) error {
	count := counters.New(start.WorkloadRow)
	budget := sockets.NewBudget(start.Descriptors)
	clock := node.NewClock()

	var core *node.Node
	watch := discovery.NewWatch(start.Discovery, start.Cells, start.KnownReplicas.Sequence, dial,
		func(ctx context.Context, n discovery.Update) { core.ApplyList(ctx, n) })
	core = node.New(node.Options{Clock: clock, Deployment: start.Deployment, Limits: start.Limits, KnownList: start.KnownReplicas,
		Budget: budget, Count: count, Log: log, RequestList: watch.Request, Dial: dial})
	shares := &sharedStore{start: start, core: core, dial: dial, count: count, log: log}
	if err := shares.apply(orders); err != nil {
		core.Close()
		return err
	}
	own := &overloadWatch{start: start, core: core, budget: budget, count: count, guard: &front.SwitchableGuard{}, log: log}
	if err := own.apply(orders); err != nil {
		shares.stop()
		core.Close()
		return err
	}
	areas := &zoneWatch{start: start, core: core, log: log}
	if err := areas.apply(orders); err != nil {
		own.stop()
		shares.stop()
		core.Close()
		return err
	}
	watching, unwatch := context.WithCancel(context.Background())
	defer unwatch()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		watch.Run(watching, start.AsksForList)
	}()

	serving, ways, err := openWays(start, orders, core, clock, count, dial, own.guard, log)
	if err != nil {
		own.stop()
		shares.stop()
		core.Close()
		return err
	}
	server := front.NewServer(&front.Front{Core: serving, Clock: clock, WorkloadRow: start.WorkloadRow,
		Shards: start.Shards, Counters: count, Guard: own.guard, Log: log}, l, budget)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	log.Info("serving", zap.String("listen", start.Listen), zap.Int("known", len(start.KnownReplicas.Entries)))

	for leaving := false; !leaving; {
		select {
		case err := <-served:
			return err
		case <-reload:
			reloadConfiguration(&start, watch, shares, own, areas, ways, count, log)
		case <-stop.Done():
			leaving = true
		}
	}
	log.Info("leaving")
	ways.leave()
	err = server.Stop(time.Duration(max(start.LongestClientTimeout, minDrainTimeNs)))
	ways.end()
	if e := <-served; err == nil && !errors.Is(e, http.ErrServerClosed) {
		err = e
	}
	unwatch()
	<-watched
	own.stop()
	shares.stop()
	core.Close()
	log.Info("ended", zap.Any("counters", count))
	return err
}

// reloadConfiguration reads the configuration and the operator's script again, turns the watch to the discovery that is named now,
// and switches on and off what the script says.
//
// Danger: a file that is missing, half-written or wrong must not end what runs well, nor change a part of it.
func reloadConfiguration(start *deployment.Config, watch *discovery.Watch, shares *sharedStore, own *overloadWatch, areas *zoneWatch, ways *ways,
	count *counters.Counters, log *zap.Logger) {
	count.Reloads.Add(1)
	next, odd, err := start.Reload()
	orders := shares.orders
	if err == nil && orders.File != "" {
		orders, err = operator.Read(orders.File)
	}
	if err == nil {
		if err = errors.Join(own.validate(orders), areas.validate(orders)); err == nil {
			err = shares.apply(orders)
		}
		if err == nil {
			err = own.apply(orders)
		}
		if err == nil {
			err = areas.apply(orders)
		}
	}
	if err != nil {
		count.ReloadsFailed.Add(1)
		log.Error("the configuration cannot be used, what was read before stays in force", zap.Error(err))
		return
	}
	if len(odd) > 0 {
		log.Warn("what these keys say now holds from the next start on", zap.Strings("keys", odd))
	}
	ways.follow(orders)
	log.Info("the configuration was read again", zap.String("discovery", next.Discovery))
	watch.SetAddress(next.Discovery)
}
