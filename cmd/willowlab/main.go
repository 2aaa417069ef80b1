// Command willowlab runs experiments on emulated fleets in virtual time, simulates and model-checks the controllers, searches for the
// most harmful faults, and sends load to a running aggregator. It can save results as tables and charts.
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
