package main

import (
	"errors"
	"fmt"
	"os/exec"
	"slices"
	"strings"
)

// packagePrefix is the prefix of each argument of go test that names packages; all other arguments are flags.
const packagePrefix = "./"

// planRounds returns the arguments of each run of go test: one run for all packages together, and, if some packages run apart, a second
// one for these, a single package at a time.
func planRounds(root string, apart, args []string) ([][]string, error) {
	if len(apart) == 0 {
		return [][]string{args}, nil
	}
	var flags, patterns []string
	for _, arg := range args {
		if strings.HasPrefix(arg, packagePrefix) {
			patterns = append(patterns, arg)
		} else {
			flags = append(flags, arg)
		}
	}
	all, err := listPackages(root, patterns)
	if err != nil {
		return nil, err
	}
	alone, err := listPackages(root, apart)
	if err != nil {
		return nil, err
	}
	for _, name := range alone {
		if !slices.Contains(all, name) {
			return nil, fmt.Errorf("%s has to run apart but is not among the packages to test", name)
		}
	}
	oneByOne := slices.Concat(flags, []string{"-p", "1"}, alone)
	together := slices.DeleteFunc(all, func(name string) bool { return slices.Contains(alone, name) })
	if len(together) == 0 {
		return [][]string{oneByOne}, nil
	}
	return [][]string{slices.Concat(flags, together), oneByOne}, nil
}

// listPackages returns the import paths of the packages that match the patterns.
func listPackages(root string, patterns []string) ([]string, error) {
	command := exec.Command("go", append([]string{"list"}, patterns...)...)
	command.Dir = root
	output, err := command.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return nil, fmt.Errorf("go list: %w: %s", err, exit.Stderr)
	}
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	return strings.Fields(string(output)), nil
}
