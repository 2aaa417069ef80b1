// Command overloadtest measures how an aggregator behaves when it is itself the bottleneck: it runs the real program on one core,
// on loopback sockets, with stand-in replicas and with clients that send more than it can serve. The baseline in the same run is
// the same program without the operator's script, that is without overload detection.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "overloadtest", Short: "Measure an aggregator that is itself the bottleneck",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(roundsCommand(), burstCommand(), stopsCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "overloadtest:", err)
		os.Exit(1)
	}
}
