// Package daemon holds what the system's daemons have in common: arguments, settings, logs, and signals at
// start and end. It makes no decisions of its own.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"

	"k8s.io/klog/v2"

	"willowsill/deployment/settings"
	"willowsill/transport/logs"
	"willowsill/transport/metrics"
	"willowsill/transport/signals"
)

// Exit codes of a daemon.
const (
	exitStopped = 0 // the daemon was stopped by a signal
	exitInvalid = 2 // the arguments are invalid, or the settings that were to be checked
)

// arguments are the values of a daemon's flags.
type arguments struct {
	check   string // a settings file that is only to be checked
	metrics string // goes before the setting of the same name
}

// Serve runs a daemon that has started. It must return once ctx ends, which SIGTERM brings about.
type Serve func(ctx context.Context)

// Program is a daemon.
type Program struct {
	Name     string
	Purpose  string         // what it does, for the usage text
	Required []settings.Key // settings without which it cannot run
	// Start opens what the daemon cannot serve without, and waits for it as long as it takes. It returns an error only where ctx has
	// ended, and has released everything then.
	Start func(ctx context.Context, s settings.Settings) (Serve, error)
}

// Main runs a daemon and exits. The exit code is 2 if the arguments are invalid.
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
		return exitInvalid
	}
	if parsed.check != "" {
		if _, err := p.read(parsed.check); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitInvalid
		}
		return exitStopped
	}
	log := logs.Open()
	defer log.Sync()
	logs.Setup(log, p.Name, "")
	start := starter{program: p, file: settings.FileName(os.Getenv), metrics: parsed.metrics, reload: received.Reload, log: log}
	serve, err := start.run(ctx)
	if err != nil {
		klog.InfoS("the program ends; it was stopped before it had started", "waitedFor", err.Error())
		return exitStopped
	}
	go rereadSettings(received.Reload, start.file)
	serve(ctx)
	klog.InfoS("the program ends")
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
		readAgain(file)
	}
}

// readAgain reads the settings file of a process that has settings already, and logs the result.
func readAgain(file string) {
	if _, err := settings.Read(file); err != nil {
		klog.ErrorS(err, "the settings file cannot be read; the settings from the start stay in use")
		return
	}
	klog.InfoS("the settings file was read again")
}
