package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is a line of the output of go test -json; see go doc test2json.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	ImportPath  string // package of a build event
	FailedBuild string // the package that could not be built, in the last event of a package's tests
}

// closingFail is the last line that a test binary prints when tests have failed and all have run. A binary that panics, is killed or
// calls os.Exit does not print it.
const closingFail = "FAIL\n"

// dataRace is the first line of a report of the race detector.
const dataRace = "WARNING: DATA RACE"

// packageRun is the state of the run of a package's tests.
type packageRun struct {
	running  map[string]bool             // top-level tests without a result so far
	outputs  map[string]*strings.Builder // output by top-level test; "" is for the package itself
	failed   []string                    // top-level tests that failed
	finished bool                        // the binary has run all tests
	raced    bool                        // the race detector has reported a data race
}

// report prints a run of go test and collects its failures.
type report struct {
	out      io.Writer
	list     []knownTest
	packages map[string]*packageRun
	passed   map[testName]bool
	excused  map[testName]bool
	failures []string // failures that no listed test excuses
}

func newReport(list []knownTest, out io.Writer) *report {
	return &report{out: out, list: list, packages: map[string]*packageRun{}, passed: map[testName]bool{}, excused: map[testName]bool{}}
}

// handle records an event, and prints it if it is output of a build.
func (r *report) handle(e event) {
	switch {
	case e.Action == "build-output":
		fmt.Fprint(r.out, e.Output)
	case e.Action == "build-fail":
		r.failures = append(r.failures, e.ImportPath+" cannot be built")
	case e.Test == "":
		r.handlePackage(e)
	default:
		r.handleTest(e)
	}
}

func (r *report) run(name string) *packageRun {
	p := r.packages[name]
	if p == nil {
		p = &packageRun{running: map[string]bool{}, outputs: map[string]*strings.Builder{}}
		r.packages[name] = p
	}
	return p
}

func (p *packageRun) write(test, text string) {
	if p.outputs[test] == nil {
		p.outputs[test] = &strings.Builder{}
	}
	p.outputs[test].WriteString(text)
	p.raced = p.raced || strings.Contains(text, dataRace)
}

// handleTest handles an event of a test. Subtests count as part of their top-level test.
func (r *report) handleTest(e event) {
	p := r.run(e.Package)
	test, _, sub := strings.Cut(e.Test, "/")
	switch e.Action {
	case "run":
		p.running[test] = true
	case "output":
		if !strings.HasPrefix(e.Output, "=== ") {
			p.write(test, e.Output)
		}
	case "pass", "skip":
		if !sub {
			delete(p.running, test)
			delete(p.outputs, test)
			r.passed[testName{e.Package, test}] = e.Action == "pass"
		}
	case "fail":
		if !sub {
			delete(p.running, test)
			p.failed = append(p.failed, test)
		}
	}
}

// handlePackage handles an event of a package as a whole.
func (r *report) handlePackage(e event) {
	p := r.run(e.Package)
	switch e.Action {
	case "output":
		p.finished = p.finished || e.Output == closingFail
		if isClosingLine(e.Output) {
			if strings.HasPrefix(e.Output, "FAIL") {
				r.printOutputs(p)
			}
			fmt.Fprint(r.out, e.Output)
		} else {
			p.write("", e.Output)
		}
	case "fail":
		r.classifyFailure(e, p)
	}
}

// isClosingLine reports whether a line is the one that go test prints at the end of a package.
func isClosingLine(line string) bool {
	return strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "FAIL\t") || strings.HasPrefix(line, "?   \t")
}

// printOutputs prints the output of a package's failed tests, of its tests without a result, and of the package itself.
func (r *report) printOutputs(p *packageRun) {
	tests := slices.Concat(p.failed, sortedKeys(p.running), []string{""})
	for _, test := range tests {
		if output := p.outputs[test]; output != nil {
			fmt.Fprint(r.out, output.String())
		}
	}
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// classifyFailure decides whether only listed tests of a failed package have failed, or whether the failure fails CI.
//
// Danger: a panic in a listed test ends the package's other tests without a result, and a data race may be in any code, so the list
// excuses neither.
func (r *report) classifyFailure(e event, p *packageRun) {
	switch {
	case e.FailedBuild != "":
		r.failures = append(r.failures, e.Package+" cannot be built")
	case len(p.running) > 0:
		r.failures = append(r.failures, fmt.Sprintf("%s: without result: %s", e.Package, strings.Join(sortedKeys(p.running), ", ")))
	case !p.finished:
		r.failures = append(r.failures, e.Package+" did not come to its end")
	case p.raced:
		r.failures = append(r.failures, e.Package+" has a data race")
	case len(p.failed) == 0:
		r.failures = append(r.failures, e.Package+" failed, and none of its tests")
	}
	for _, test := range p.failed {
		name := testName{e.Package, test}
		if !r.listed(name) {
			r.failures = append(r.failures, name.String())
			continue
		}
		r.excused[name] = true
	}
}

func (r *report) listed(name testName) bool {
	return slices.ContainsFunc(r.list, func(k knownTest) bool { return k.Name == name })
}

// result prints the state of the listed tests and returns an error if CI fails. exit is the error of go test.
func (r *report) result(exit error) error {
	for _, known := range r.list {
		switch {
		case r.excused[known.Name]:
			fmt.Fprintf(r.out, "known red, passed over: %s, %s, %s\n", known.Name, known.Cause, known.Issue)
		case r.passed[known.Name]:
			fmt.Fprintf(r.out, "listed in %s and passes, to be taken out: %s\n", listFile, known.Name)
		default:
			fmt.Fprintf(r.out, "listed in %s and was not run: %s\n", listFile, known.Name)
		}
	}
	if exit != nil && len(r.failures) == 0 && len(r.excused) == 0 {
		return fmt.Errorf("go test: %w", exit)
	}
	if len(r.failures) > 0 {
		slices.Sort(r.failures)
		return errors.New("not in " + listFile + ":\n\t" + strings.Join(slices.Compact(r.failures), "\n\t"))
	}
	return nil
}
