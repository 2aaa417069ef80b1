// Command knownred runs go test for CI and judges it by KNOWN-RED.txt: a failed test fails CI unless the file lists
// it. Listed tests that fail are passed over and printed; listed tests that pass are printed as to be taken out.
// What go test prints without -v is printed as it comes, with its closing line for each package.
//
//	go run ./internal/ci/knownred -apart ./cmd/a,./b -- -race ./...
//
// All arguments after -- go to go test. Packages named by -apart run after all others, one at a time: their tests hold
// real processes to real times, and beside others would measure their neighbours. The exit code is 0 where CI passes,
// else 1.
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

// run runs go test in a module's root. The error says why CI fails.
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

// goTest runs go test once and hands its events to the report. exit is how it ended.
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

// readEvents hands the lines that go test -json writes to the report. A line that is no event is printed as it is.
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

func handleLine(line []byte, to *report, out io.Writer) {
	var e event
	if !bytes.HasPrefix(line, []byte("{")) || json.Unmarshal(line, &e) != nil {
		_, _ = out.Write(line)
		return
	}
	to.handle(e)
}
