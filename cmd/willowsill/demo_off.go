//go:build platform

package main

import (
	"errors"

	"github.com/spf13/cobra"
)

// demoCommand returns a hidden stub: builds with the tag platform contain no stand-ins to run a demonstration with.
func demoCommand() *cobra.Command {
	return &cobra.Command{Use: "demo", Short: "Not in this build", Hidden: true,
		RunE: func(*cobra.Command, []string) error {
			return exitError{errors.New("this build has no demonstration; it needs one without the tag platform"), 2}
		}}
}

func runSystemDemoPart() bool { return false }
