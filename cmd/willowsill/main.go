// Command willowsill is one aggregator on sockets. It reads what it is told from the environment and the
// configuration, serves until SIGTERM, answers what it has taken and ends with 0.
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

	"willowsill/counters"
	"willowsill/deployment"
	"willowsill/front"
	"willowsill/node"
	"willowsill/roster"
	"willowsill/sockets"
)

const (
	memoryShare = 0.7 // of the limit for the heap: the rest is for stacks, sockets and the runtime
	logEach     = time.Second
	logFirst    = 5                      // lines of one text in each logEach, then
	logThen     = 100                    // every so many
	leastWait   = 3 * int64(time.Second) // for what is under way when it is told to stop
)

func main() {
	start, err := deployment.FromEnvironment(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "willowsill:", err)
		os.Exit(2)
	}
	out := &zapcore.BufferedWriteSyncer{WS: zapcore.Lock(os.Stderr), FlushInterval: time.Second}
	log := zap.New(zapcore.NewSamplerWithOptions(
		zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, zap.InfoLevel),
		logEach, logFirst, logThen)).With(zap.String("aggregator", start.Name))
	err = run(start, log)
	if err != nil {
		log.Error("ended", zap.Error(err))
	}
	out.Stop()
	if err != nil {
		os.Exit(1)
	}
}

// run serves until it is told to stop.
func run(start deployment.Start, log *zap.Logger) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(start.Cores)), 1))
	debug.SetMemoryLimit(int64(memoryShare * float64(start.Memory)))
	stop, ignore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer ignore()

	known := roster.News{}
	if start.Known != nil {
		var err error
		if known, err = roster.Decode(start.Known, start.Cells); err != nil {
			return fmt.Errorf("field %q: %w", "known", err)
		}
	}
	count := counters.New(start.Workload)
	budget := sockets.NewBudget(start.Sockets)
	clock := node.NewClock()

	// TCP's own keep-alive would not notice a machine that vanished, and parts have limits of their own.
	dialer := net.Dialer{KeepAlive: -1}
	var core *node.Node
	watch := roster.NewWatch(start.Discovery, start.Cells, known.Sequence,
		(&net.Dialer{}).DialContext, func(ctx context.Context, n roster.News) { core.News(ctx, n) })
	core = node.New(node.Plan{Clock: clock, Deployment: start.Deployment, Terms: start.Terms, Known: known,
		Budget: budget, Count: count, Log: log, Ask: watch.Ask, Dial: dialer.DialContext})
	watching, unwatch := context.WithCancel(context.Background())
	defer unwatch()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		watch.Run(watching, start.AsksForList)
	}()

	listener, err := net.Listen("tcp", start.Listen)
	if err != nil {
		return fmt.Errorf("variable NODE_LISTEN: %w", err)
	}
	server := front.NewServer(&front.Front{Core: core, Clock: clock, Workload: start.Workload,
		Shards: start.Shards, Longest: start.LongestCutOff, Count: count, Log: log}, listener, budget)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	log.Info("serving", zap.String("listen", start.Listen), zap.Int("known", len(known.Entries)))

	select {
	case err := <-served:
		return err
	case <-stop.Done():
	}
	log.Info("leaving")
	err = server.Stop(time.Duration(max(start.LongestCutOff, leastWait)))
	if e := <-served; err == nil && !errors.Is(e, http.ErrServerClosed) {
		err = e
	}
	unwatch()
	<-watched
	core.Close()
	log.Info("ended", zap.Any("counters", count))
	return err
}
