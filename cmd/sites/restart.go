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

func restarts() *cobra.Command {
	var binary string
	var whole time.Duration
	c := &cobra.Command{
		Use:     "restart",
		Short:   "Gateways of the other site are killed and restarted as planned while queries are carried to it",
		Example: "  bin/sites restart --for 1m",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			t := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
			fmt.Fprintln(t, "| what\t| asked\t| in goal\t| late\t| declined\t| failed\t| lost\t| wrong\t| doubled\t|")
			for _, killed := range []bool{false, true} {
				line, err := Restart(binary, whole, killed)
				if err != nil {
					return err
				}
				var sum sites.Tally
				for i := range line.Rows {
					sum.Add(&line.Rows[i])
				}
				fmt.Fprintf(t, "| %s\t| %d\t", map[bool]string{false: "planned", true: "killed"}[killed], sum.Asked)
				for _, n := range sum.Ends {
					fmt.Fprintf(t, "| %d\t", n)
				}
				fmt.Fprintf(t, "| %d\t|\n", line.Doubled)
			}
			return t.Flush()
		},
	}
	c.Flags().DurationVar(&whole, "for", time.Minute, "how long each")
	c.Flags().StringVar(&binary, "program", "bin/willowsill", "the program")
	return c
}

// Restart has one site left and its queries carried, while the other's processes are restarted one by one, as planned or by
// killing them.
func Restart(binary string, whole time.Duration, killed bool) (*sites.Line, error) {
	dir, err := os.MkdirTemp("", "sites")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	w, err := sites.Start(sites.Shape{Binary: binary, Dir: dir, Names: []string{"east", "west"}, Gateways: 2, Policy: "plan",
		Work: 50 * time.Millisecond, Workers: 4, Holders: 2, Queries: 100, Bytes: 1 << 20, Left: []string{"east"},
		Way: link.Way{Delay: 20 * time.Millisecond}})
	defer w.Stop()
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	west := w.Sites["west"]
	each := whole / 4
	failed := make(chan error, 1)
	line := w.Play(sites.Load{Rate: 20, Seed: 11, For: whole, Each: each, Only: "east"}, func(span int) {
		if span == 0 {
			return
		}
		i := span % 2
		if killed {
			west.Kill(i)
			time.Sleep(each / 4)
		} else if err := west.Leave(i); err != nil {
			failed <- err
			return
		}
		err := west.Start(i)
		if err == nil {
			err = west.Ready(i)
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
		return line, err
	default:
		return line, nil
	}
}
