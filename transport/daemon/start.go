package daemon

import (
	"context"
	"errors"
	"os"
	"reflect"
	"time"

	"k8s.io/klog/v2"

	"willowsill/decide/transient"
	"willowsill/deployment/settings"
	"willowsill/transport/logs"
	"willowsill/transport/logwriter"
	"willowsill/transport/retry"
)

// settingsPoll is the time between two looks at the settings file of a program that has not started yet.
const settingsPoll = time.Second

// errSettingsChanged ends a start whose settings are out of date.
var errSettingsChanged = errors.New("the settings have changed")

// starter starts a program, as often as its settings change before it has started.
type starter struct {
	program Program
	file    string // the settings file
	metrics string // goes before the setting of the same name
	reload  <-chan os.Signal
	log     *logwriter.Writer
}

// run starts the program. It returns an error only if ctx ends.
//
// Danger: a program that waits for what outdated settings name would wait without an end. A new process would have the settings of
// that moment.
func (s *starter) run(ctx context.Context) (Serve, error) {
	for {
		current, err := s.awaitSettings(ctx)
		if err != nil {
			return nil, err
		}
		logs.Setup(s.log, s.program.Name, current.Name)
		applyLimits(current.Limits)
		serve, err := s.start(ctx, current)
		if !errors.Is(err, errSettingsChanged) {
			return serve, err
		}
		klog.InfoS("the settings have changed before the program had started; it starts with the new ones")
	}
}

// awaitSettings reads the settings. It waits for a file that is missing or invalid until ctx ends, and says so in the log.
//
// Danger: the platform may write the file while a process starts, or long after it. Half of a file is invalid, or valid without what
// the program requires.
func (s *starter) awaitSettings(ctx context.Context) (current settings.Settings, err error) {
	logWait := func(err error) { klog.ErrorS(err, "waiting for the settings") }
	err = retry.Do(ctx, transient.ReadSettings, logWait, func() (err error) {
		current, err = s.program.read(s.file)
		return err
	})
	return current, err
}

// start starts the program with some settings. The error is errSettingsChanged if they changed meanwhile, or that of ctx.
func (s *starter) start(ctx context.Context, used settings.Settings) (Serve, error) {
	starting, cancel := context.WithCancelCause(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		s.watchSettings(starting, used, cancel)
	}()
	withMetrics := used
	if s.metrics != "" {
		withMetrics.Metrics = s.metrics
	}
	serve, err := s.program.Start(starting, withMetrics)
	if err != nil && errors.Is(context.Cause(starting), errSettingsChanged) {
		err = errSettingsChanged
	}
	cancel(nil)
	<-watched
	return serve, err
}

// watchSettings cancels with errSettingsChanged once the settings file holds others than those in use, until ctx ends. It looks at each
// SIGHUP and each settingsPoll.
func (s *starter) watchSettings(ctx context.Context, used settings.Settings, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.reload:
			readAgain(s.file)
		case <-ticker.C:
		}
		if written, err := s.program.read(s.file); err == nil && !reflect.DeepEqual(written, used) {
			cancel(errSettingsChanged)
			return
		}
	}
}
