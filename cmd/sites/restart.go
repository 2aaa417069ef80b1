package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"willowsill/standin/link"
	"willowsill/standin/sites"
)

func restartCommand() *cobra.Command {
	var binary string
	var duration time.Duration
	c := &cobra.Command{
		Use:     "restart",
		Short:   "Restart the other site's gateways, gracefully and by killing them, while queries are forwarded to it",
		Example: "  bin/sites restart --for 1m",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			t := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
			fmt.Fprintln(t, "| what\t| asked\t| in goal\t| late\t| declined\t| failed\t| lost\t| wrong\t| doubled\t|")
			for _, killed := range []bool{false, true} {
				timeline, err := RunRestarts(binary, duration, killed)
				if err != nil {
					return err
				}
				var sum sites.Tally
				for i := range timeline.Rows {
					sum.Add(&timeline.Rows[i])
				}
				fmt.Fprintf(t, "| %s\t| %d\t", map[bool]string{false: "planned", true: "killed"}[killed], sum.Asked)
				for _, n := range sum.Outcomes {
					fmt.Fprintf(t, "| %d\t", n)
				}
				fmt.Fprintf(t, "| %d\t|\n", timeline.DuplicateExecutions)
			}
			return t.Flush()
		},
	}
	c.Flags().DurationVar(&duration, "for", time.Minute, "duration of each run")
	c.Flags().StringVar(&binary, "program", "bin/willowsill", "the program")
	return c
}

// RunRestarts evacuates the site east, so that its queries are forwarded to west, and restarts west's processes one after the
// other: gracefully, or by killing them.
func RunRestarts(binary string, duration time.Duration, killed bool) (*sites.Timeline, error) {
	dir, err := os.MkdirTemp("", "sites")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	w, err := sites.Start(sites.Config{Binary: binary, Dir: dir, SiteNames: []string{"east", "west"}, ProcessesPerSite: 2, Policy: "plan",
		PartDuration: 50 * time.Millisecond, WorkersPerReplica: 4, ReplicasPerShard: 2, LinkQueryRate: 100, LinkByteRate: 1 << 20, Evacuated: []string{"east"},
		LinkConditions: link.Conditions{Delay: 20 * time.Millisecond}})
	defer w.Stop()
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	west := w.Sites["west"]
	each := duration / 4
	failed := make(chan error, 1)
	timeline := w.RunLoad(sites.Load{Rate: 20, Seed: 11, Duration: duration, RowDuration: each, OnlySite: "east"}, func(rowIndex int) {
		if rowIndex == 0 {
			return
		}
		i := rowIndex % 2
		if killed {
			west.Kill(i)
			time.Sleep(each / 4)
		} else if err := west.Terminate(i); err != nil {
			failed <- err
			return
		}
		err := west.Start(i)
		if err == nil {
			err = west.WaitReady(i)
		}
		if err != nil {
			select {
			case failed <- err:
			default:
			}
		}
	})
	select {
	case err := <-failed:
		return timeline, err
	default:
		return timeline, nil
	}
}
