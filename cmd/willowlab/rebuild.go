package main

import (
	"bytes"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"github.com/spf13/cobra"

	"willowsill/lab/experiment"
	"willowsill/lab/experiment/constoverride"
)

const asBuiltFlag = "as-built" // a flag: this program was built with the constants of the variant that it plays

func addSourceFlag(c *cobra.Command, source *string) {
	c.Flags().StringVar(source, "source", ".", "the module's folder, to build variants with other constants from")
}

// runRebuilt runs this program, built with a variant's constants, with the same arguments or others.
func runRebuilt(v experiment.Variant, source string, out io.Writer, args ...string) error {
	dir, err := os.MkdirTemp("", "willowlab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	binary := filepath.Join(dir, "willowlab")
	if err := constoverride.Build(source, "cmd/willowlab", binary, v.Constants); err != nil {
		return err
	}
	run := exec.Command(binary, append(args, "--"+asBuiltFlag)...)
	run.Stdout, run.Stderr = out, os.Stderr
	err = run.Run()
	var ended *exec.ExitError
	if errors.As(err, &ended) && ended.ExitCode() == exitCode(errRuleBroken) {
		return errRuleBroken
	}
	return err
}

// runRebuiltVariant plays a variant with other constants.
func runRebuiltVariant(e *experiment.Experiment, v experiment.Variant, file, source string) (*experiment.Table, error) {
	var out bytes.Buffer
	err := runRebuilt(v, source, &out, "run", file, "--only", v.Name, "--json", "--seeds", strconv.Itoa(e.Seeds))
	if err != nil && !errors.Is(err, errRuleBroken) { // a broken rule stands in the table
		return nil, err
	}
	tables, err := experiment.DecodeAll(out.Bytes(), v.Name)
	if err != nil {
		return nil, err
	}
	return tables[0], nil
}
