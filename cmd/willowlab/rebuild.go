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

const asBuiltFlag = "as-built" // hidden flag: this program was built with the constants of the variant that it runs

func addSourceFlag(c *cobra.Command, source *string) {
	c.Flags().StringVar(source, "source", ".", "folder of the module's source, from which variants with changed constants are built")
}

// runRebuilt builds this program with a variant's constants and runs it with the given arguments.
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
	child := exec.Command(binary, append(args, "--"+asBuiltFlag)...)
	child.Stdout, child.Stderr = out, os.Stderr
	err = child.Run()
	var exitError *exec.ExitError
	if errors.As(err, &exitError) && exitError.ExitCode() == exitCode(errRuleBroken) {
		return errRuleBroken
	}
	return err
}

// runRebuiltVariant runs a variant with changed constants in a copy of this program and returns its table.
func runRebuiltVariant(e *experiment.Experiment, v experiment.Variant, file, source string) (*experiment.Table, error) {
	var out bytes.Buffer
	err := runRebuilt(v, source, &out, "run", file, "--only", v.Name, "--json", "--seeds", strconv.Itoa(e.Seeds))
	if err != nil && !errors.Is(err, errRuleBroken) { // the table contains the broken rule
		return nil, err
	}
	tables, err := experiment.DecodeAll(out.Bytes(), v.Name)
	if err != nil {
		return nil, err
	}
	return tables[0], nil
}
