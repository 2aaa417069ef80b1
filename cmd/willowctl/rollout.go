package main

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"willowsill/transport/controlclient"
)

// rolloutPollInterval is the interval in which rollout watch reads the rollout's state.
const rolloutPollInterval = 500 * time.Millisecond

// rolloutArgumentCounts holds the number of arguments that each action of the rollout command takes.
var rolloutArgumentCounts = map[string]int{"begin": 2, "watch": 1, "abort": 1, "history": 0}

// rollout runs an action of the rollout command: it begins a rollout, watches or aborts one, or prints the history.
func rollout(ctx context.Context, f *flags, args []string) error {
	if len(args) == 0 {
		return asUsageError(fmt.Errorf("rollout: one of begin, watch, abort and history is missing"))
	}
	count, known := rolloutArgumentCounts[args[0]]
	if !known || len(args)-1 != count {
		return asUsageError(fmt.Errorf("rollout: %q is none of begin SERVICE VERSION, watch SERVICE, abort SERVICE and history", args))
	}
	switch control := f.controlClient(); args[0] {
	case "begin":
		if f.rolloutDuration <= 0 {
			return asUsageError(fmt.Errorf("rollout begin: -over is missing: the time that it may take, as in -over 10m"))
		}
		r, err := control.BeginRollout(ctx, args[1], args[2], f.rolloutDuration.Seconds())
		return f.printRollout(r, err)
	case "abort":
		r, err := control.AbortRollout(ctx, args[1])
		return f.printRollout(r, err)
	case "watch":
		return watchRollout(ctx, f, control, args[1])
	}
	return rolloutHistory(ctx, f)
}

// watchRollout prints each step of a service's newest rollout until it has ended.
func watchRollout(ctx context.Context, f *flags, control *controlclient.Client, service string) error {
	var last controlclient.Rollout
	for {
		within, cancel := context.WithTimeout(ctx, f.timeout)
		r, err := control.ReadRollout(within, service)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if r != last {
			if err := f.printRollout(r, nil); err != nil {
				return err
			}
		}
		if last = r; !r.Active() {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(rolloutPollInterval):
		}
	}
}

func rolloutHistory(ctx context.Context, f *flags) error {
	all, err := f.controlClient().Rollouts(ctx)
	if err != nil {
		return err
	}
	if f.json {
		return json.NewEncoder(f.out).Encode(all)
	}
	w := tabwriter.NewWriter(f.out, 0, 4, 2, ' ', 0)
	for _, r := range all {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", r.Number, r.Service, r.Target, r.Phase, time.Duration(r.ElapsedMs)*time.Millisecond, r.Reason)
	}
	return w.Flush()
}

// printRollout prints the state of a rollout, unless err is not nil, which it returns.
func (f *flags) printRollout(r controlclient.Rollout, err error) error {
	if err != nil {
		return err
	}
	if f.json {
		return json.NewEncoder(f.out).Encode(r)
	}
	fmt.Fprintf(f.out, "rollout %d of %s to %s is %s", r.Number, r.Service, r.Target, r.Phase)
	if r.Active() {
		fmt.Fprintf(f.out, ", stage %s: %.1f%% of the ways to %s are open, %.1f%% of the others", r.Stage, float64(r.TargetShare)/10, r.Target, float64(r.OthersShare)/10)
	}
	fmt.Fprintf(f.out, "; %s of %s: %s\n", time.Duration(r.ElapsedMs)*time.Millisecond, time.Duration(r.OverMs)*time.Millisecond, r.Reason)
	return nil
}
