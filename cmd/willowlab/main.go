// Command willowlab plays experiments on fleets in virtual time, looks for schedules of faults that harm most, and loads a
// running aggregator. Its results are kept as tables and charts.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "willowlab", Short: "Experiments on fleets, and load for a running aggregator",
		SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().Bool(asBuiltFlag, false, "")
	root.PersistentFlags().MarkHidden(asBuiltFlag)
	root.AddCommand(runCommand(), socketsCommand(), checkCommand(), compareCommand(), reportCommand(), huntCommand(), replayCommand(), loadCommand(), growthCommand(), exploreCommand(), exploreControllersCommand(), propagationCommand(), lossesCommand(), controlCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "willowlab:", err)
		os.Exit(exitCode(err))
	}
}
