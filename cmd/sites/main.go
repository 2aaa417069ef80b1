// Command sites measures the gateway between sites on loopback sockets: whole sites of the true program and stand-in
// replicas, with a link between them that is slow and loses packets. Its results go into files.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "sites", Short: "Measure the gateway between sites on loopback sockets",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(darkCommand(), hopCommand(), restartCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sites:", err)
		os.Exit(1)
	}
}
