// Package signals receives the signals that would otherwise end a process. It makes no decisions of its own.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// exitInterrupted is the exit code of a process that a stop signal ends before its work is done.
const exitInterrupted = 130

// Received holds the channels on which a process receives its signals.
type Received struct {
	Stop   <-chan os.Signal // SIGTERM and SIGINT: drain and exit
	Reload <-chan os.Signal // SIGHUP: read the settings again
}

// Catch handles the signals that would end the process, from its start to its exit. An earlier SIGHUP has no effect if the program imports
// transport/signals/early.
//
// Danger: a signal without a handler ends the process at once, and with it the queries in progress. A rolling
// restart or a change of the settings file may send SIGHUP to a daemon that is still starting or already
// draining, and SIGTERM twice. So the handlers are never removed.
func Catch() Received {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // otherwise the process ends when the reader of its logs does
	return Received{Stop: stop, Reload: reload}
}

// ExitOnStop ends the process at the first stop signal, for commands that have nothing to finish.
func (r Received) ExitOnStop() {
	go func() {
		<-r.Stop
		os.Exit(exitInterrupted)
	}()
}
