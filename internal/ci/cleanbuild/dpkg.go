package main

import (
	"os/exec"
	"strings"
)

// dpkg is the packageIndex of this machine, read with dpkg-query.
type dpkg struct{}

func (dpkg) essential() ([]string, error) {
	printed, err := exec.Command("dpkg-query", "-W", "-f", "${Essential} ${Package}\n").Output()
	if err != nil {
		return nil, ErrCleanBuild.Wrapf(err, "dpkg-query")
	}
	var names []string
	for _, line := range strings.Split(string(printed), "\n") {
		if name, yes := strings.CutPrefix(line, "yes "); yes {
			names = append(names, name)
		}
	}
	return names, nil
}

func (dpkg) dependencies(name string) ([]string, error) {
	printed, err := exec.Command("dpkg-query", "-W", "-f", "${Status}\n${Pre-Depends},${Depends}", name).Output()
	if err != nil {
		return nil, ErrCleanBuild.Wrapf(err, "dpkg-query knows no package %q", name)
	}
	status, fields, _ := strings.Cut(string(printed), "\n")
	if !strings.HasSuffix(status, " installed") {
		return nil, ErrCleanBuild.Errorf("%q is not installed", name)
	}
	return dependencyNames(fields), nil
}

// dependencyNames returns the package names in a list such as "cpp (= 4:12), gcc-12 | gcc-11, libc6:amd64".
func dependencyNames(fields string) (names []string) {
	for _, alternative := range strings.FieldsFunc(fields, func(r rune) bool { return r == ',' || r == '|' }) {
		words := strings.Fields(alternative)
		if len(words) == 0 {
			continue
		}
		name, _, _ := strings.Cut(words[0], ":")
		names = append(names, name)
	}
	return names
}

func (dpkg) files(names []string) ([]string, error) {
	printed, err := exec.Command("dpkg-query", append([]string{"-L"}, names...)...).Output()
	if err != nil {
		return nil, ErrCleanBuild.Wrapf(err, "dpkg-query -L")
	}
	return strings.Fields(string(printed)), nil
}
