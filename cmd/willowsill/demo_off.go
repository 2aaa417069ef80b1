//go:build platform

package main

import (
	"errors"

	"github.com/spf13/cobra"
)

// demonstrating is left out of the platform's build, with the stand-ins that it starts.
func demonstrating() *cobra.Command {
	return &cobra.Command{Use: "demo", Short: "Not in this build", Hidden: true,
		RunE: func(*cobra.Command, []string) error {
			return coded{errors.New("this build has no demonstration; it needs one without the tag platform"), 2}
		}}
}

func part() bool { return false }
