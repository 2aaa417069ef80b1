// Command willowsill runs one aggregator. It is configured by environment variables and a configuration file, which it
// reads again on SIGHUP. On SIGTERM it answers the queries that it has accepted and exits with code 0.
package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"willowsill/decide/transient"
	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/transport/listen"
	"willowsill/transport/logwriter"
	"willowsill/transport/retry"
	"willowsill/transport/signals"
	_ "willowsill/transport/signals/early"
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
// the exit code: 2 if the environment is invalid, which cannot change while the process runs, and 0 once it was stopped.
func serve(received signals.Received, script string) int {
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-received.Stop
		cancel()
	}()
	out := logwriter.New(os.Stderr, missingLines)
	defer out.Sync()
	environment, err := deployment.ReadEnvironment(os.Getenv)
	if err != nil {
		fmt.Fprintln(out, "willowsill:", err)
		return 2
	}
	log := newLog(out)
	a, err := awaitAggregator(stop, environment, script, log)
	if err != nil {
		log.Info("ended before the start was complete", zap.Error(err))
		return 0
	}
	if err := a.serve(stop, received.Reload); err != nil {
		a.log.Error("failed", zap.Error(err))
		return 1
	}
	return 0
}

// awaitAggregator opens the aggregator. It waits for whatever stands in the way until stop ends, and says so in the log: a file that
// is missing or invalid, as somebody may be writing it, or an address that cannot be listened on.
func awaitAggregator(stop context.Context, environment deployment.Environment, script string, log *zap.Logger) (a *aggregator, err error) {
	logWait := func(err error) {
		if stop.Err() == nil {
			log.Error("waiting for the configuration and what it names", zap.Error(err))
		}
	}
	err = retry.Do(stop, transient.ReadSettings, logWait, func() (err error) {
		a, err = openFromFiles(stop, environment, script, log)
		return err
	})
	return a, err
}

// openFromFiles opens the aggregator as its configuration file and, unless empty, the operator's script say.
func openFromFiles(stop context.Context, environment deployment.Environment, script string, log *zap.Logger) (*aggregator, error) {
	start, err := environment.ReadConfig()
	if err != nil {
		return nil, err
	}
	settings := &operator.Settings{}
	if script != "" {
		if settings, err = operator.Read(script); err != nil {
			return nil, err
		}
	}
	runtime.GOMAXPROCS(max(int(math.Ceil(start.Cores)), 1))
	debug.SetMemoryLimit(int64(heapShare * float64(start.MemoryBytes)))
	log = log.With(zap.String("aggregator", start.Name))
	listener, err := listen.TCP(stop, listenLog(log), listen.Endpoint{Setting: "variable NODE_LISTEN", Address: start.Listen})
	if err != nil {
		return nil, err
	}
	// TCP keep-alive is off: it would not notice a machine that vanished, and every part has its own timeout.
	a, err := openAggregator(stop, start, settings, listener, (&net.Dialer{KeepAlive: -1}).DialContext, log)
	if err != nil { // clients are not to wait for what may take long
		listener.Close()
	}
	return a, err
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

// listenLog returns a function that logs what happens to listeners.
func listenLog(log *zap.Logger) listen.LogError {
	return func(err error, message string, keysAndValues ...any) {
		log.Sugar().Errorw(message, append(keysAndValues, zap.Error(err))...)
	}
}
