package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"willowsill/lab/controllercheck"
	"willowsill/lab/modelcheck"
	"willowsill/lab/propagation"
)

// selectScopes returns the scopes that the arguments name, or all scopes without arguments.
func selectScopes[S any](all []S, name func(S) string, args []string) (selected []S, err error) {
	for _, a := range args {
		if !slices.ContainsFunc(all, func(s S) bool { return name(s) == a }) {
			return nil, fmt.Errorf("there is no scope %q; --list names them", a)
		}
	}
	for _, s := range all {
		if len(args) == 0 || slices.Contains(args, name(s)) {
			selected = append(selected, s)
		}
	}
	return selected, nil
}

// exploreCommand checks the controllers' register in every order of events of small scopes.
func exploreCommand() *cobra.Command {
	var maxStates int64
	var workers int
	var list, deep bool
	c := &cobra.Command{Use: "explore [SCOPE ...]", Short: "Model-check the controllers' register in every order of events",
		Long: "Runs the register of the controllers in every order of events: each message arrives at any time, repeatedly or never;\n" +
			"timers fire; machines lose power or their disk. The first violated guarantee is printed with a shortest trace to it.",
		Example: "  willowlab explore 'two contents'\n  willowlab explore --deep --states 100000000 replacement",
		RunE: func(c *cobra.Command, args []string) error {
			scopes, err := selectScopes(modelcheck.Scopes, func(s modelcheck.Scope) string { return s.Name }, args)
			if err != nil {
				return err
			}
			for _, s := range scopes {
				if list {
					fmt.Fprintf(c.OutOrStdout(), "%s: members %s, %d operations, %d losses of power, %d of a disk, %d questions or ballots a life\n",
						s.Name, strings.Join(s.Members, " "), len(s.Ops), s.Crashes, s.Wipes, s.Rounds)
					continue
				}
				began := time.Now()
				var r modelcheck.Result
				if deep {
					r = modelcheck.DepthFirst(s, maxStates, workers, func(n int64) { fmt.Fprintf(os.Stderr, "%s: %d states\n", s.Name, n) })
				} else {
					r = modelcheck.BreadthFirst(s, maxStates, workers)
				}
				fmt.Fprintf(c.OutOrStdout(), "%s, %.1f s\n", r, time.Since(began).Seconds())
				if r.Broken != "" {
					return errRuleBroken
				}
			}
			return nil
		}}
	c.Flags().Int64Var(&maxStates, "states", 1_000_000, "maximum number of states to visit")
	c.Flags().IntVar(&workers, "cores", 0, "cores to use, 0 for all")
	c.Flags().BoolVar(&list, "list", false, "list the scopes")
	c.Flags().BoolVar(&deep, "deep", false, "depth first, with less memory per state; a trace that is found is not the shortest")
	return c
}

// exploreControllersCommand runs whole controllers with one or two deviations from the regular order of events.
func exploreControllersCommand() *cobra.Command {
	var pairs, cores int
	var list bool
	c := &cobra.Command{Use: "explore-controllers [SCOPE ...]", Short: "Run whole controllers with late, lost or duplicated messages and failed machines",
		Long: "Runs small systems of whole controllers: membership changes, configuration changes, departures. Each run deviates from the\n" +
			"regular one at one or two events: a message is late, lost or duplicated, a save fails or hangs, the machine is killed, loses\n" +
			"power or its disk. All runs with one deviation are made, and --pairs of those with two. The first violated guarantee is printed.",
		Example: "  willowlab explore-controllers\n  willowlab explore-controllers --pairs 100000 'two at the duty'",
		RunE: func(c *cobra.Command, args []string) error {
			scopes, err := selectScopes(controllercheck.Scopes, func(s controllercheck.Scope) string { return s.Name }, args)
			if err != nil {
				return err
			}
			for _, s := range scopes {
				if list {
					fmt.Fprintf(c.OutOrStdout(), "%s: members %s\n", s.Name, strings.Join(s.Members, " "))
					continue
				}
				began := time.Now()
				r := controllercheck.Explore(s, pairs, cores)
				fmt.Fprintf(c.OutOrStdout(), "%s, %.1f s\n", r, time.Since(began).Seconds())
				if r.First != nil {
					return errRuleBroken
				}
			}
			return nil
		}}
	c.Flags().IntVar(&pairs, "pairs", 1000, "runs with two deviations per scope")
	c.Flags().IntVar(&cores, "cores", runtime.NumCPU(), "cores to use")
	c.Flags().BoolVar(&list, "list", false, "list the scopes")
	return c
}

// propagationCommand compares how many messages three topologies need to bring one update to all edges.
func propagationCommand() *cobra.Command {
	f := propagation.Fleet{Edges: 60, Controllers: 9, Zones: 6, Regions: 3}
	c := &cobra.Command{Use: "propagation", Aliases: []string{"spread"}, Short: "Count the messages that bring one update to all edges, by tree, star and flood",
		Example: "  willowlab propagation --edges 1000", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if f.Edges < 1 || f.Controllers < 1 || f.Zones < 1 || f.Regions < 1 || f.Regions > f.Zones {
				return fmt.Errorf("--edges, --controllers, --zones and --regions must be at least 1, and --regions at most --zones")
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "way\tcopies\tbetween zones\tbetween regions\tmost at a controller\tmost at an edge\thops\treached\t")
			for _, r := range propagation.Compare(f) {
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", r.Strategy, r.Copies, r.CrossZone, r.CrossRegion, r.AtController, r.AtEdge, r.MaxHops, r.ReachedShare)
			}
			return w.Flush()
		}}
	c.Flags().IntVar(&f.Edges, "edges", f.Edges, "edges")
	c.Flags().IntVar(&f.Controllers, "controllers", f.Controllers, "controllers")
	c.Flags().IntVar(&f.Zones, "zones", f.Zones, "zones")
	c.Flags().IntVar(&f.Regions, "regions", f.Regions, "regions")
	return c
}
