package main

import (
	"errors"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"willowsill/lab/emulator"
	"willowsill/lab/experiment"
	"willowsill/standin/lab"
)

// socketVariants removes from the experiment the variants that the real program cannot run, and returns a runner that runs the
// others on sockets.
func socketVariants(e *experiment.Experiment, binary string, atOnce int) (experiment.Runner, error) {
	e.Variants = slices.DeleteFunc(e.Variants, func(v experiment.Variant) bool { return !v.RunsOnSockets })
	if len(e.Variants) == 0 {
		return experiment.Runner{}, errors.New("the experiment has no variant of the decision module")
	}
	return experiment.Runner{Parallel: atOnce, Run: func(p emulator.Plan, _ int) (*emulator.Result, error) { return lab.Run(binary, p) }}, nil
}

func socketsCommand() *cobra.Command {
	var binary string
	var seeds, atOnce int
	var asJSON bool
	c := &cobra.Command{
		Use:   "sockets FILE...",
		Short: "Run experiments in the emulator and on loopback sockets, and compare the results",
		Long: "sockets runs the variants of the decision module a second time in real time, with the real program, stand-in replicas\n" +
			"and exactly the queries of the emulator. A run takes as long as the experiment's span.",
		Example: "  go build -o bin/ ./cmd/... && bin/willowlab sockets experiments/hang.star experiments/slow.star",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var pairs [][2]*experiment.Table
			for _, file := range files {
				e, err := experiment.Read(file)
				if err != nil {
					return err
				}
				e.Seeds = seeds
				socketRunner, err := socketVariants(e, binary, atOnce)
				if err != nil {
					return fmt.Errorf("%s: %w", file, err)
				}
				var pair [2]*experiment.Table
				for i, runner := range []experiment.Runner{experiment.EmulatorRunner(), socketRunner} {
					if pair[i], err = runExperiment(e, runner, asJSON); err != nil {
						return fmt.Errorf("%s: %w", file, err)
					}
				}
				pairs = append(pairs, pair)
			}
			if asJSON {
				return writeJSON(c.OutOrStdout(), pairs)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 1, ' ', 0)
			fmt.Fprintln(w, "| experiment\t| variant\t| emulator\t| sockets\t| difference\t| p50 ms\t| sockets\t| p99 ms\t| sockets\t| executions a query\t| sockets\t|")
			fmt.Fprintln(w, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
			for _, pair := range pairs {
				for i, a := range pair[0].Rows {
					b := pair[1].Rows[i]
					fmt.Fprintf(w, "| %s\t| %s\t| %.4f\t| %.4f\t| %+.4f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.2f\t| %.2f\t|\n", pair[0].Name, a.Name,
						a.Mean, b.Mean, b.Mean-a.Mean, float64(a.P50)/1e6, float64(b.P50)/1e6, float64(a.P99)/1e6, float64(b.P99)/1e6,
						a.Executions, b.Executions)
				}
			}
			return w.Flush()
		},
	}
	c.Flags().StringVar(&binary, "program", "bin/willowsill", "the program")
	c.Flags().IntVar(&seeds, "seeds", 1, "runs of each variant")
	c.Flags().IntVar(&atOnce, "at-once", 1, "concurrent runs on sockets")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
