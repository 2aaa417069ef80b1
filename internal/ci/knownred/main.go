// Command knownred runs go test for CI and compares the failures with KNOWN-RED.txt: a failed test fails CI unless the file lists
// it. Listed tests that fail are excused and printed; listed tests that pass are printed too, since their lines have to be removed.
// The output of go test without -v is printed as it comes, with its closing line for each package.
//
//	go run ./internal/ci/knownred -apart ./cmd/a,./b -- -race ./...
//
// All arguments after -- are passed to go test. Packages named by -apart run after all others, one at a time: their tests measure
// the times of real processes, which other tests at the same time would distort. The exit code is 0 if CI passes, otherwise 1.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

const listFile = "KNOWN-RED.txt"

func main() {
	apart := flag.String("apart", "", "comma-separated packages that run after all others, one at a time")
	flag.Parse()
	if err := run(".", splitList(*apart), flag.Args(), os.Stdout); err != nil {
		fmt.Printf("%v\nFAIL\n", err)
		os.Exit(1)
	}
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// run runs go test in a module's root. Its error is the reason why CI fails.
func run(root string, apart, args []string, out io.Writer) error {
	text, err := os.ReadFile(filepath.Join(root, listFile))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	list, err := parseList(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	rounds, err := planRounds(root, apart, args)
	if err != nil {
		return err
	}
	report := newReport(list, out)
	var exits []error
	for _, round := range rounds {
		exit, err := goTest(root, round, report, out)
		if err != nil {
			return err
		}
		exits = append(exits, exit)
	}
	return report.result(errors.Join(exits...))
}

// goTest runs go test once and passes its events to the report. exit is the error of the go command, if any.
func goTest(root string, args []string, report *report, out io.Writer) (exit, err error) {
	command := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	command.Dir, command.Stderr = root, out
	events, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	if err := readEvents(events, report, out); err != nil {
		return nil, err
	}
	return command.Wait(), nil
}

// readEvents passes the events that go test -json writes to the report. A line that is not an event is printed unchanged.
func readEvents(from io.Reader, to *report, out io.Writer) error {
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			handleLine(line, to, out)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// handleLine passes one line to the report if it is an event, and prints it otherwise.
func handleLine(line []byte, to *report, out io.Writer) {
	var e event
	if !bytes.HasPrefix(line, []byte("{")) || json.Unmarshal(line, &e) != nil {
		_, _ = out.Write(line)
		return
	}
	to.handle(e)
}
