package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/transport/signals"
)

// exitError is an error that carries the exit code of the process.
type exitError struct {
	error
	code int
}

// executeCommand parses the command line, runs the subcommand and returns the exit code. Errors go to stderr.
func executeCommand(received signals.Received, args []string, out, stderr io.Writer) int {
	code := 0
	root := &cobra.Command{
		Use:   "willowsill",
		Short: "An aggregator: one query, many shards, one answer",
		Long: "willowsill takes queries over HTTP, sends one part to a replica of each shard that a query needs, and\n" +
			"ends it with one answer. Without arguments it serves from the environment, as the platform starts it.",
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			code = serve(received, "")
			return nil
		},
	}
	var script string
	serving := &cobra.Command{
		Use:     "serve",
		Short:   "Serve from the environment, with the operator's script",
		Example: "  NODE_NAME=n0 NODE_LISTEN=127.0.0.1:8081 NODE_DISCOVERY=127.0.0.1:8500 NODE_CONFIG=examples/config.json \\\n    willowsill serve --operator examples/store.star",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			code = serve(received, script)
			return nil
		},
	}
	serving.Flags().StringVar(&script, "operator", "", "the operator's script; SIGHUP reads it again")
	serving.MarkFlagFilename("operator", "star")
	root.PersistentPreRun = func(command *cobra.Command, _ []string) {
		if command != root && command != serving {
			received.ExitOnStop()
		}
	}
	root.AddCommand(serving, checkCommand(), explainCommand(), demoCommand())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(stderr, "willowsill:", err)
		var c exitError
		if errors.As(err, &c) {
			return c.code
		}
		return 2
	}
	return code
}

func isScript(file string) bool { return strings.HasSuffix(file, ".star") }

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Report every error in a script or a configuration",
		Long:    "check reads an operator's script (.star) or a configuration (JSON) as a start would.\nErrors are printed to standard error with file, line and key, and the exit code is 2.\n\n" + scriptHelp(),
		Example: "  willowsill check examples/store.star\n  willowsill check examples/config.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var err error
			if isScript(args[0]) {
				_, err = operator.Read(args[0])
			} else {
				_, err = deployment.Check(args[0])
			}
			if err != nil {
				return exitError{err, 2}
			}
			fmt.Fprintln(c.OutOrStdout(), args[0], "is right")
			return nil
		},
	}
}

// scriptHelp describes every function that an operator's script may call, with its keys.
func scriptHelp() string {
	var b strings.Builder
	b.WriteString("What a script may call:\n\n")
	for _, name := range operator.FunctionNames() {
		text, _ := operator.Describe(name)
		b.WriteString(text + "\n")
	}
	return strings.TrimRight(b.String(), "\n")
}

func explainCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:     "explain FILE",
		Short:   "Print the settings that result from a script, defaults marked",
		Example: "  willowsill explain examples/store.star\n  willowsill explain --json examples/store.star",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if !isScript(args[0]) {
				return exitError{errors.New("explain wants an operator's script, a .star file"), 2}
			}
			settings, err := operator.Read(args[0])
			if err != nil {
				return exitError{err, 2}
			}
			lines, off := settings.Explain(), settings.Uncalled()
			if asJSON {
				return writeJSON(c.OutOrStdout(), map[string]any{"holds": lines, "off": off})
			}
			table := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, l := range lines {
				from := "as told at " + l.Position
				if l.Default {
					from = "default"
				}
				fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", l.Function, l.Key, l.Value, from, l.Help)
			}
			table.Flush()
			for _, name := range off {
				fmt.Fprintln(c.OutOrStdout(), name, "is off")
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
