// Package daemon holds what the system's daemons have in common: arguments, settings, logs, and signals at
// start and end. It makes no decisions of its own.
package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"k8s.io/klog/v2"

	"willowsill/decide/transient"
	"willowsill/deployment/settings"
	"willowsill/transport/logs"
	"willowsill/transport/metrics"
	"willowsill/transport/retry"
	"willowsill/transport/signals"
)

// Exit codes of a daemon.
const (
	exitStopped  = 0 // the daemon was stopped by a signal
	exitFailed   = 1 // the daemon cannot run
	exitSettings = 2 // the arguments or the settings are invalid
)

// arguments are the values of a daemon's flags.
type arguments struct {
	check   string // a settings file that is only to be checked
	metrics string // goes before the setting of the same name
}

// Program is a daemon.
type Program struct {
	Name     string
	Purpose  string         // what it does, for the usage text
	Required []settings.Key // settings without which it cannot run
	// Run must return once ctx ends, which SIGTERM brings about.
	Run func(ctx context.Context, s settings.Settings) error
}

// Main runs a daemon and exits. The exit code is 2 if the settings are invalid.
func Main(p Program) { os.Exit(Run(p, os.Args[1:])) }

// Run does the same as Main with the given arguments, and returns the exit code. The signal handlers stay
// installed, so the process should exit afterwards.
func Run(p Program, args []string) int {
	received := signals.Catch()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go cancelOnStop(received.Stop, cancel)
	parsed, err := p.parse(args)
	if err != nil {
		return exitSettings
	}
	if parsed.check != "" {
		if _, err := p.read(parsed.check); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitSettings
		}
		return exitStopped
	}
	log := logs.Open()
	defer log.Sync()
	s, err := p.awaitSettings(ctx, settings.FileName(os.Getenv), log)
	if errors.Is(err, context.Canceled) {
		return exitStopped
	}
	if err != nil {
		fmt.Fprintln(log, err)
		return exitSettings
	}
	if parsed.metrics != "" {
		s.Metrics = parsed.metrics
	}
	logs.Setup(log, p.Name, s)
	applyLimits(s.Limits)
	go rereadSettings(received.Reload, s.File)
	return exitCode(p.Run(ctx, s))
}

// exitCode logs why the daemon ends and returns its exit code.
func exitCode(err error) int {
	switch {
	case err == nil:
		klog.InfoS("the program ends")
	case errors.Is(err, context.Canceled):
		klog.InfoS("the program ends; it was stopped before it had started", "waitedFor", err.Error())
	default:
		klog.ErrorS(err, "the program cannot run")
		return exitFailed
	}
	return exitStopped
}

// parse parses the arguments. It has printed the error that it returns.
func (p Program) parse(args []string) (parsed arguments, err error) {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.StringVar(&parsed.check, "check", "", "read this settings `file`, say what is wrong with it and end")
	flags.StringVar(&parsed.metrics, "metrics", "", "tell the process's own figures at `PORT/PATH`, as in 9464/metrics")
	flags.Usage = func() {
		fmt.Fprintf(flags.Output(), "%s %s, as the settings file named by %s says.\n\n  %s\n  %s --check /etc/willowsill/local.toml\n  %s --metrics 9464/metrics\n\n",
			p.Name, p.Purpose, settings.FileVariable, p.Name, p.Name, p.Name)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return parsed, err
	}
	if parsed.metrics != "" {
		if _, err = metrics.ParseEndpoint(parsed.metrics); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	return parsed, err
}

// read reads a settings file and checks that it has what the program requires.
func (p Program) read(file string) (settings.Settings, error) {
	s, err := settings.Read(file)
	if err == nil {
		err = s.Require(p.Required)
	}
	return s, err
}

// awaitSettings reads the settings. It waits for a while for a file that is missing or invalid, and says so in the log.
//
// Danger: the platform may write the file while a process starts. Half of a file is invalid, or valid without what the program
// requires.
func (p Program) awaitSettings(ctx context.Context, file string, log io.Writer) (s settings.Settings, err error) {
	logWait := func(err error) { fmt.Fprintln(log, "the settings are read again:", err) }
	err = retry.Do(ctx, transient.ReadSettings, logWait, func() (err error) {
		s, err = p.read(file)
		return err
	})
	return s, err
}

// cancelOnStop cancels at the first stop signal. Later ones are ignored, because the daemon is already
// draining.
func cancelOnStop(stop <-chan os.Signal, cancel context.CancelFunc) {
	<-stop
	cancel()
}

// rereadSettings checks the settings file at each SIGHUP and logs the result, until the process exits. It
// applies nothing, because a running process needs none of the settings that may change: the list of seeds is
// used only at the start, and members that join later are in the updates.
func rereadSettings(reload <-chan os.Signal, file string) {
	for range reload {
		if _, err := settings.Read(file); err != nil {
			klog.ErrorS(err, "the settings file cannot be read; the settings from the start stay in use")
			continue
		}
		klog.InfoS("the settings file was read again")
	}
}
