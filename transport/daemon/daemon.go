// Package daemon is what the system's daemons have in common at their start and end: arguments, settings, logs
// and signals. It decides nothing.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"willowsill/deployment/settings"
	"willowsill/transport/logs"
)

// Main runs a daemon: run is to return once ctx is over, which SIGTERM ends. The exit code is 2 where the
// settings are wrong.
func Main(program, purpose string, run func(ctx context.Context, s settings.Settings) error) {
	os.Exit(Start(program, purpose, os.Args[1:], run))
}

// Start is Main for a process with arguments of its own; it returns the exit code.
func Start(program, purpose string, args []string, run func(ctx context.Context, s settings.Settings) error) int {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	check := flags.String("check", "", "read this settings `file`, say what is wrong with it and end")
	flags.Usage = func() {
		fmt.Fprintf(flags.Output(), "%s %s, as the settings file named by %s says.\n\n  %s\n  %s --check /etc/willowsill/local.toml\n\n",
			program, purpose, settings.Variable, program, program)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return 2
	}
	if *check != "" {
		if _, err := settings.Read(*check); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		return 0
	}
	s, err := settings.FromEnvironment(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	logs.Begin(program, s)
	defer logs.End()
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go reloads(ctx, s)
	if err := run(ctx, s); err != nil {
		klog.ErrorS(err, "the program cannot run")
		return 1
	}
	return 0
}

// reloads says what it thinks of the settings file at each SIGHUP. Nothing in it changes for a process that
// runs but the list of seeds, and that one serves the start alone: who else is there comes by the news.
func reloads(ctx context.Context, s settings.Settings) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c:
			if _, err := settings.Read(s.File); err != nil {
				klog.ErrorS(err, "the settings file cannot be read; what was read before holds")
			} else {
				klog.InfoS("the settings file was read again")
			}
		}
	}
}
