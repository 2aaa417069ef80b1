package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"willowsill/deployment/script"
	"willowsill/lab/experiment"
)

// errRuleBroken is returned by commands whose run broke a rule.
var errRuleBroken = errors.New("a rule was broken")

// exitCode returns the exit code for an error: 2 for an invalid script, 3 for a broken rule, 1 for others.
func exitCode(err error) int {
	var faults script.Faults
	switch {
	case errors.As(err, &faults):
		return 2
	case errors.Is(err, errRuleBroken):
		return 3
	}
	return 1
}

func runCommand() *cobra.Command {
	var seeds int
	var asJSON, quiet, sockets bool
	var results, binary, source, only string
	c := &cobra.Command{
		Use:     "run FILE...",
		Short:   "Run experiments and print the results",
		Example: "  willowlab run experiments/hang.star\n  willowlab run experiments/*.star --seeds 20 --results results/lab",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var tables []*experiment.Table
			broken := false
			for _, file := range files {
				e, err := experiment.Read(file)
				if err != nil {
					return err
				}
				if seeds > 0 {
					e.Seeds = seeds
				}
				runner := experiment.EmulatorRunner()
				if sockets {
					if runner, err = socketVariants(e, binary, 1); err != nil {
						return fmt.Errorf("%s: %w", file, err)
					}
				}
				var t *experiment.Table
				if only != "" { // this program was built with the constants of that variant
					e.Variants = slices.DeleteFunc(e.Variants, func(v experiment.Variant) bool { return v.Name != only })
					t, err = runExperiment(e, runner, true)
				} else {
					t, err = runVariants(e, runner, file, source, quiet || asJSON)
				}
				if err != nil {
					return fmt.Errorf("%s: %w", file, err)
				}
				tables = append(tables, t)
				for _, r := range t.Rows {
					broken = broken || len(r.Broken) > 0
				}
				if !asJSON {
					printTable(c.OutOrStdout(), t)
				}
				if results != "" {
					if err := saveTable(t, results); err != nil {
						return err
					}
				}
			}
			if asJSON {
				if err := writeJSON(c.OutOrStdout(), tables); err != nil {
					return err
				}
			}
			if broken {
				return errRuleBroken
			}
			return nil
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 0, "runs of each variant, overriding the script")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.Flags().BoolVar(&sockets, "sockets", false, "run in real time with the real program; only variants of the decision module")
	c.Flags().StringVar(&binary, "program", "bin/willowsill", "the program, for --sockets")
	c.Flags().BoolVar(&quiet, "quiet", false, "no progress")
	addSourceFlag(c, &source)
	c.Flags().StringVar(&only, "only", "", "run only this variant, with the constants that this program was built with")
	c.Flags().MarkHidden("only")
	c.Flags().StringVar(&results, "results", "", "folder for a table and a chart of each experiment")
	return c
}

// runVariants runs all variants of an experiment. Variants with changed constants run in a copy of this program that is built with
// them.
func runVariants(e *experiment.Experiment, runner experiment.Runner, file, source string, quiet bool) (*experiment.Table, error) {
	unchanged := *e
	unchanged.Variants = nil
	var tables []*experiment.Table
	for _, v := range e.Variants {
		if v.Constants == nil {
			unchanged.Variants = append(unchanged.Variants, v)
			continue
		}
		t, err := runRebuiltVariant(e, v, file, source)
		if err != nil {
			return nil, fmt.Errorf("variant %q: %w", v.Name, err)
		}
		tables = append(tables, t)
	}
	if len(unchanged.Variants) > 0 {
		t, err := runExperiment(&unchanged, runner, quiet)
		if err != nil {
			return nil, err
		}
		tables = append(tables, t)
	}
	return e.JoinTables(tables...)
}

// runExperiment runs an experiment and, unless quiet, shows its progress on standard error.
func runExperiment(e *experiment.Experiment, runner experiment.Runner, quiet bool) (*experiment.Table, error) {
	if quiet {
		return e.Run(runner, nil)
	}
	bars := mpb.New(mpb.WithOutput(os.Stderr), mpb.WithWidth(50))
	bar := bars.AddBar(int64(e.Seeds*len(e.Variants)), mpb.BarRemoveOnComplete(),
		mpb.PrependDecorators(decor.Name(e.Name+" "), decor.CountersNoUnit("%d of %d")),
		mpb.AppendDecorators(decor.Elapsed(decor.ET_STYLE_GO)))
	t, err := e.Run(runner, func() { bar.Increment() })
	if err != nil {
		bar.Abort(true)
	}
	bars.Wait()
	return t, err
}

// printTable prints a table of results, and the broken rules below it.
func printTable(out io.Writer, t *experiment.Table) {
	fmt.Fprintf(out, "%s: %s (%d seeds, script %s)\n", t.Name, t.Question, t.Seeds, t.Hash)
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(w, "| variant\t| within goal\t| against the first\t| 95%\t| verdict\t| late\t| declined\t| failed\t| executions a query\t| p50 ms\t| p99 ms\t|")
	fmt.Fprintln(w, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, r := range t.Rows {
		fmt.Fprintf(w, "| %s\t| %.4f\t| %+.4f\t| %+.4f to %+.4f\t| %s\t| %.4f\t| %.4f\t| %.4f\t| %.2f\t| %.1f\t| %.1f\t|\n", r.Name, r.Mean,
			r.Against, r.Low, r.High, r.Verdict, r.Late, r.Declined, r.Partial+r.Forfeited, r.Executions, float64(r.P50)/1e6,
			float64(r.P99)/1e6)
	}
	w.Flush()
	if len(t.Rows[0].Workloads) > 1 {
		fmt.Fprintln(out, "\nwithin goal, by kind of query:")
		for _, r := range t.Rows {
			fmt.Fprintf(w, "%s\t", r.Name)
			for _, l := range r.Workloads {
				fmt.Fprintf(w, "%s %.4f\t", l.Name, l.InGoal)
			}
			fmt.Fprintln(w)
		}
		w.Flush()
	}
	for _, r := range t.Rows {
		for _, b := range r.Broken {
			fmt.Fprintf(out, "%s: %s\n", r.Name, b)
		}
	}
	fmt.Fprintln(out)
}

// saveTable writes a table as JSON and its chart as SVG into a folder.
func saveTable(t *experiment.Table, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, t.Name+".json"))
	if err != nil {
		return err
	}
	if err := errors.Join(writeJSON(file, t), file.Close()); err != nil {
		return err
	}
	chart, err := t.RevenueChart()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, t.Name+".svg"), chart, 0o644)
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", " ")
	return e.Encode(v)
}

// readTable reads the JSON file of a table that saveTable has written.
func readTable(file string) (*experiment.Table, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return experiment.Decode(text, file)
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Report every error in experiments", Example: "  willowlab check experiments/*.star",
		Long: "check reads experiments as run does.\n\nWhat an experiment may call:\n\n" + strings.TrimSpace(experiment.DescribeFunctions()),
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			for _, file := range files {
				if _, err := experiment.Read(file); err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), file, "is right")
			}
			return nil
		},
	}
}

func compareCommand() *cobra.Command {
	return &cobra.Command{
		Use: "compare A B", Short: "Compare two saved tables of one experiment, seed by seed",
		Example: "  willowlab compare before/hang.json after/hang.json", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, files []string) error {
			a, err := readTable(files[0])
			if err != nil {
				return err
			}
			b, err := readTable(files[1])
			if err != nil {
				return err
			}
			rows, err := experiment.Compare(a, b)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 1, ' ', 0)
			fmt.Fprintln(w, "| variant\t| first\t| second\t| difference\t| 95%\t| verdict\t|")
			for _, r := range rows {
				fmt.Fprintf(w, "| %s\t| %.4f\t| %.4f\t| %+.4f\t| %+.4f to %+.4f\t| %s\t|\n", r.Name, r.Mean-r.Against, r.Mean, r.Against, r.Low,
					r.High, r.Verdict)
			}
			return w.Flush()
		},
	}
}

func reportCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use: "report DIR", Short: "Write a page with all tables of a folder", Example: "  willowlab report results/lab --out report.html",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			files, _ := filepath.Glob(filepath.Join(args[0], "*.json"))
			var tables []*experiment.Table
			for _, file := range files {
				t, err := readTable(file)
				if err != nil {
					return err
				}
				tables = append(tables, t)
			}
			if len(tables) == 0 {
				return fmt.Errorf("%s contains no tables", args[0])
			}
			file, err := os.Create(out)
			if err != nil {
				return err
			}
			return errors.Join(experiment.Report(file, tables), file.Close())
		},
	}
	c.Flags().StringVar(&out, "out", "report.html", "file of the page")
	return c
}
