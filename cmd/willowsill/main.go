// Command willowsill runs one aggregator. It is configured by environment variables and a configuration file, which it
// reads again on SIGHUP. On SIGTERM it answers the queries that it has accepted and exits with code 0.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"willowsill/decide/transient"
	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/front"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/discovery"
	"willowsill/transport/listen"
	"willowsill/transport/logwriter"
	"willowsill/transport/replica"
	"willowsill/transport/retry"
	"willowsill/transport/signals"
	_ "willowsill/transport/signals/early"
	"willowsill/transport/sockets"
)

const (
	heapShare           = 0.7                    // share of the memory limit for the heap; the rest is for stacks, sockets and the runtime
	logSampleInterval   = time.Second            // interval in which log lines with the same message are counted for sampling
	logSampleFirst      = 5                      // lines with the same message that are kept in each interval
	logSampleThereafter = 100                    // beyond the first, only every 100th line of a message in an interval is kept
	minDrainTimeNs      = 3 * int64(time.Second) // shortest time that queries in flight get on shutdown
)

func main() {
	if runSystemDemoPart() { // this process was a child of the whole-system demonstration
		return
	}
	received := signals.Catch()
	if len(os.Args) == 1 { // as the platform starts it: skip building the command tree
		os.Exit(serve(received, ""))
	}
	os.Exit(executeCommand(received, os.Args[1:], os.Stdout, os.Stderr))
}

// serve runs the aggregator with the configuration from the environment and, unless empty, the operator's script. It returns
// the exit code.
func serve(received signals.Received, script string) int {
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-received.Stop
		cancel()
	}()
	out := logwriter.New(os.Stderr, missingLines)
	defer out.Sync()
	start, settings, err := awaitConfiguration(stop, script, out)
	if errors.Is(err, context.Canceled) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(out, "willowsill:", err)
		return 2
	}
	runtime.GOMAXPROCS(max(int(math.Ceil(start.Cores)), 1))
	debug.SetMemoryLimit(int64(heapShare * float64(start.MemoryBytes)))
	log := newLog(out).With(zap.String("aggregator", start.Name))
	listener, err := listen.TCP(stop, listenLog(log), listen.Endpoint{Setting: "variable NODE_LISTEN", Address: start.Listen})
	if err == nil {
		// TCP keep-alive is off: it would not notice a machine that vanished, and every part has its own timeout.
		err = run(stop, received.Reload, start, settings, listener, (&net.Dialer{KeepAlive: -1}).DialContext, log)
	}
	if errors.Is(err, context.Canceled) {
		log.Info("ended before the start was complete", zap.Error(err))
		return 0
	}
	if err != nil {
		log.Error("failed", zap.Error(err))
		return 1
	}
	return 0
}

// newLog returns a log of JSON lines, of which the frequent ones are sampled.
func newLog(out zapcore.WriteSyncer) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, zap.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, logSampleInterval, logSampleFirst, logSampleThereafter))
}

// missingLines returns the line that stands in the log for lines that nobody has read in time.
func missingLines(dropped int) []byte {
	line, err := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()).EncodeEntry(
		zapcore.Entry{Level: zap.WarnLevel, Time: time.Now(), Message: "lines of the log are missing, since nobody has read it"},
		[]zapcore.Field{zap.Int("dropped", dropped)})
	if err != nil {
		return nil
	}
	return line.Bytes()
}

// awaitConfiguration reads the configuration from the environment and, unless empty, the operator's script. It waits for a while
// for a file that is missing or invalid, as somebody may be writing it, and says so in the log.
func awaitConfiguration(stop context.Context, script string, log io.Writer) (start deployment.Config, settings *operator.Settings, err error) {
	logWait := func(err error) { fmt.Fprintln(log, "willowsill: the configuration is read again:", err) }
	err = retry.Do(stop, transient.ReadSettings, logWait, func() (err error) {
		settings = &operator.Settings{}
		if start, err = deployment.FromEnvironment(os.Getenv); err == nil && script != "" {
			settings, err = operator.Read(script)
		}
		return err
	})
	return start, settings, err
}

// listenLog returns a function that logs what happens to listeners.
func listenLog(log *zap.Logger) listen.LogError {
	return func(err error, message string, keysAndValues ...any) {
		log.Sugar().Errorw(message, append(keysAndValues, zap.Error(err))...)
	}
}

// run serves until stop is cancelled, and returns when every accepted query is answered and all resources are released.
// Each value on reload makes it read its configuration again.
func run(stop context.Context, reload <-chan os.Signal, start deployment.Config, settings *operator.Settings,
	l net.Listener, dial replica.Dial, log *zap.Logger) error {
	count := counters.New(start.WorkloadRow)
	budget := sockets.NewBudget(start.Descriptors)
	clock := node.NewClock()

	var core *node.Node
	watch := discovery.NewWatch(start.Discovery, start.Cells, start.KnownReplicas.Sequence, dial,
		func(ctx context.Context, n discovery.Update) { core.ApplyList(ctx, n) })
	core = node.New(node.Options{Clock: clock, Deployment: start.Deployment, Limits: start.Limits, KnownList: start.KnownReplicas,
		Budget: budget, Count: count, Log: log, RequestList: watch.Request, Dial: dial})
	sharing := &sharedStore{start: start, core: core, dial: dial, count: count, log: log}
	if err := sharing.apply(settings); err != nil {
		core.Close()
		return err
	}
	overloads := &overloadWatch{start: start, core: core, budget: budget, count: count, guard: &front.SwitchableGuard{}, log: log}
	if err := overloads.apply(settings); err != nil {
		sharing.stop()
		core.Close()
		return err
	}
	zones := &zoneWatch{start: start, core: core, log: log}
	if err := zones.apply(settings); err != nil {
		overloads.stop()
		sharing.stop()
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

	serving, sites, err := openSiteGateway(stop, start, settings, core, clock, count, dial, overloads.guard, log)
	if err != nil {
		overloads.stop()
		sharing.stop()
		core.Close()
		return err
	}
	server := front.NewServer(&front.Front{Core: serving, Clock: clock, WorkloadRow: start.WorkloadRow,
		Shards: start.Shards, Counters: count, Guard: overloads.guard, Log: log}, l, budget)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	log.Info("serving", zap.String("listen", start.Listen), zap.Int("known", len(start.KnownReplicas.Entries)))

	for leaving := false; !leaving; {
		select {
		case err := <-served:
			return err
		case <-reload:
			reloadConfiguration(&start, watch, sharing, overloads, zones, sites, count, log)
		case <-stop.Done():
			leaving = true
		}
	}
	log.Info("leaving")
	sites.announceShutdown()
	err = server.Stop(time.Duration(max(start.LongestClientTimeout, minDrainTimeNs)))
	sites.stop()
	if e := <-served; err == nil && !errors.Is(e, http.ErrServerClosed) {
		err = e
	}
	unwatch()
	<-watched
	overloads.stop()
	sharing.stop()
	core.Close()
	log.Info("ended", zap.Any("counters", count))
	return err
}

// reloadConfiguration reads the configuration and the operator's script again, points the watch to the discovery address that
// the configuration names, and enables or disables features as the script says.
//
// Danger: a file that is missing, half-written or invalid must neither end the process nor be applied in part.
func reloadConfiguration(start *deployment.Config, watch *discovery.Watch, sharing *sharedStore, overloads *overloadWatch, zones *zoneWatch, sites *siteGateway,
	count *counters.Counters, log *zap.Logger) {
	count.Reloads.Add(1)
	updated, deferred, err := start.Reload()
	settings := sharing.settings
	if err == nil && settings.File != "" {
		settings, err = operator.Read(settings.File)
	}
	if err == nil {
		if err = errors.Join(overloads.validate(settings), zones.validate(settings)); err == nil {
			err = sharing.apply(settings)
		}
		if err == nil {
			err = overloads.apply(settings)
		}
		if err == nil {
			err = zones.apply(settings)
		}
	}
	if err != nil {
		count.ReloadsFailed.Add(1)
		log.Error("the new configuration is invalid, the previous one stays in force", zap.Error(err))
		return
	}
	if len(deferred) > 0 {
		log.Warn("changed keys take effect at the next start", zap.Strings("keys", deferred))
	}
	sites.apply(settings)
	log.Info("the configuration was read again", zap.String("discovery", updated.Discovery))
	watch.SetAddress(updated.Discovery)
}
