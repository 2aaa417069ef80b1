package main

import (
	"fmt"
	"regexp"
	"strings"
)

// maxListed is the maximum number of tests that may be listed at a time.
const maxListed = 3

// testName identifies a top-level test by its package's import path and its name.
type testName struct{ Package, Test string }

func (n testName) String() string { return n.Package + "." + n.Test }

// knownTest is a line of KNOWN-RED.txt: a test that fails for a known cause, and the issue for its fix.
type knownTest struct {
	Name  testName
	Cause string
	Issue string
}

// listLine matches "import/path.TestName, cause, issue 12"; the cause may contain commas. Subtests cannot be listed: the output does
// not show whether a test fails only because of its subtests.
var listLine = regexp.MustCompile(`^(\S+)\.((?:Test|Fuzz|Example)\w*), *(\S.*?), *(issue \d+)$`)

// parseList parses the text of KNOWN-RED.txt. Empty lines are ignored.
func parseList(text string) ([]knownTest, error) {
	var list []knownTest
	seen := map[testName]bool{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		fields := listLine.FindStringSubmatch(line)
		if fields == nil {
			return nil, fmt.Errorf("line %d is %q; wanted: import/path.TestName, cause, issue 12", i+1, line)
		}
		known := knownTest{Name: testName{fields[1], fields[2]}, Cause: fields[3], Issue: fields[4]}
		if seen[known.Name] {
			return nil, fmt.Errorf("line %d lists %s again", i+1, known.Name)
		}
		seen[known.Name] = true
		list = append(list, known)
	}
	if len(list) > maxListed {
		return nil, fmt.Errorf("%d tests are listed, %d may be", len(list), maxListed)
	}
	return list, nil
}
