// Command sites measures the gateway between sites on loopback sockets. It runs whole sites of the real program with stand-in
// replicas, joined by a simulated link that delays and loses packets, and prints the results or writes them to files.
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
