// Command overloadtest measures what an aggregator does when it is itself what falls behind: on loopback sockets, with the true
// program on one core, stand-in replicas, and clients that ask for more than it can serve. What is held against it in the
// same run is the same program with the operator's script off.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "overloadtest", Short: "Measure an aggregator that is itself what falls behind",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(roundsCommand(), burstCommand(), stopsCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "overloadtest:", err)
		os.Exit(1)
	}
}
