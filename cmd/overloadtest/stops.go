package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"willowsill/lab/load"
	"willowsill/standin/sites"
)

// StopResult holds the measurements of a process that served while it was stopped by signals or competed for its core.
type StopResult struct {
	Outcome             *load.Outcome
	TimedOut, Cancelled float64 // executions that the process counted as timed out or cancelled
	Stood               float64 // seconds in which the process did not run, as it detected itself
	Further             float64 // executions beyond one per part
}

// measure sends queries at a steady rate for the given time while disturb acts on the process, and returns the measurements.
func measure(ctx context.Context, binary, script string, rate float64, span time.Duration, disturb func(*sites.Site) error) (*StopResult, error) {
	w, end, err := startSingle(binary, script, 2, 40*time.Millisecond)
	defer end()
	if err != nil {
		return nil, err
	}
	clients, err := newClients(w, lowValue, 2, 0)
	if err != nil {
		return nil, err
	}
	defer clients.Close()
	clients.RunOpenLoop(ctx, rate, 4*time.Second, 1)
	site := w.Sites["one"]
	before := site.Counters(0)
	s := &StopResult{}
	var both sync.WaitGroup
	both.Go(func() { s.Outcome = clients.RunOpenLoop(ctx, rate, span, 2) })
	err = disturb(site)
	both.Wait()
	after := site.Counters(0)
	difference := func(path ...string) float64 { return sites.Counter(after, path...) - sites.Counter(before, path...) }
	s.TimedOut, s.Cancelled = difference("executions", "timed_out"), difference("executions", "cancelled")
	s.Stood = sites.Counter(after, "strain", "stood_ns") / 1e9
	s.Further = difference("executions", "sent") - 2*(difference("workloads", lowValue, "taken")-difference("workloads", lowValue, "declined"))
	return s, err
}

// RunNeighbours pins the process to one core. During the middle half of the measurement n busy processes compete with it for that core.
func RunNeighbours(ctx context.Context, binary, script string, rate float64, n int, span time.Duration) (*StopResult, error) {
	return measure(ctx, binary, script, rate, span, func(site *sites.Site) error {
		var core unix.CPUSet
		core.Set(runtime.NumCPU() - 1)
		pin := func(pid int) error {
			threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
			if err != nil {
				return err
			}
			for _, t := range threads {
				id, err := strconv.Atoi(t.Name())
				if err != nil {
					return err
				}
				if err := unix.SchedSetaffinity(id, &core); err != nil {
					return err
				}
			}
			return nil
		}
		if err := pin(site.PID(0)); err != nil {
			return err
		}
		time.Sleep(span / 4)
		for range n {
			busy := exec.Command("sh", "-c", "while :; do :; done")
			if err := busy.Start(); err != nil {
				return err
			}
			defer func() {
				busy.Process.Kill()
				busy.Wait()
			}()
			if err := pin(busy.Process.Pid); err != nil {
				return err
			}
		}
		time.Sleep(span / 2)
		return nil
	})
}

// RunStops measures the process while SIGSTOP suspends it several times: each time it runs for the duration each and is then
// suspended for the duration stopped.
func RunStops(ctx context.Context, binary, script string, rate float64, each, stopped time.Duration, times int) (*StopResult, error) {
	return measure(ctx, binary, script, rate, time.Duration(times+1)*(each+stopped), func(site *sites.Site) (err error) {
		for range times {
			time.Sleep(each)
			if err = site.Signal(0, syscall.SIGSTOP); err != nil {
				return err
			}
			time.Sleep(stopped)
			if err = site.Signal(0, syscall.SIGCONT); err != nil {
				return err
			}
		}
		return nil
	})
}

func stopsCommand() *cobra.Command {
	var binary string
	var rate float64
	var times int
	c := &cobra.Command{
		Use: "stops", Short: "Stop the process by signals while it serves, and count what it attributes to its replicas",
		Example: "  bin/overloadtest stops --times 5", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 1, ' ', 0)
			fmt.Fprintf(t, "%g queries a second of two parts of 40 ms each, stopped %d times, one second between\n", rate, times)
			fmt.Fprintln(t, "| way\t| stopped for\t| asked\t| in goal\t| late\t| declined\t| failed\t| taken back or timed out\t| further executions\t| seen to stand s\t|")
			for _, stopped := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
				for _, v := range []variant{{"former", ""}, {"strain", "strain()\n"}} {
					s, err := RunStops(context.Background(), binary, v.script, rate, time.Second, stopped, times)
					if err != nil {
						return err
					}
					o := s.Outcome
					fmt.Fprintf(t, "| %s\t| %v\t| %d\t| %d\t| %d\t| %d\t| %d\t| %.0f\t| %.0f\t| %.2f\t|\n", v.name, stopped, o.Asked, o.InGoal, o.Late,
						o.Declined, o.Failed, s.TimedOut+s.Cancelled, s.Further, s.Stood)
				}
			}
			for _, n := range []int{2, 4} {
				for _, v := range []variant{{"former", ""}, {"strain", "strain()\n"}} {
					s, err := RunNeighbours(context.Background(), binary, v.script, rate, n, 12*time.Second)
					if err != nil {
						return err
					}
					o := s.Outcome
					fmt.Fprintf(t, "| %s\t| %d neighbours\t| %d\t| %d\t| %d\t| %d\t| %d\t| %.0f\t| %.0f\t| %.2f\t|\n", v.name, n, o.Asked, o.InGoal, o.Late,
						o.Declined, o.Failed, s.TimedOut+s.Cancelled, s.Further, s.Stood)
				}
			}
			return t.Flush()
		},
	}
	c.Flags().Float64Var(&rate, "rate", 200, "queries a second")
	c.Flags().IntVar(&times, "times", 5, "number of times that the process is stopped")
	c.Flags().StringVar(&binary, "program", "bin/willowsill", "the program")
	return c
}
