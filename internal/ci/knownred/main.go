// Command knownred runs go test for CI and judges it by KNOWN-RED.txt: a failed test fails CI unless the file lists
// it. Listed tests that fail are passed over and printed; listed tests that pass are printed as to be taken out.
// What go test prints without -v is printed as it comes, with its closing line for each package.
//
//	go run ./internal/ci/knownred -race ./...
//
// All arguments go to go test. The exit code is 0 where CI passes, else 1.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
)

const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(".", os.Args[1:], os.Stdout); err != nil {
		fmt.Printf("%v\nFAIL\n", err)
		os.Exit(1)
	}
}

// run runs go test in a module's root. The error says why CI fails.
func run(root string, args []string, out io.Writer) error {
	text, err := os.ReadFile(filepath.Join(root, listFile))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	list, err := parseList(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	goTest := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	goTest.Dir, goTest.Stderr = root, out
	events, err := goTest.StdoutPipe()
	if err != nil {
		return err
	}
	if err := goTest.Start(); err != nil {
		return err
	}
	report := newReport(list, out)
	if err := readEvents(events, report, out); err != nil {
		return err
	}
	return report.verdict(goTest.Wait())
}

// readEvents hands the lines that go test -json writes to the report. A line that is no event is printed as it is.
func readEvents(from io.Reader, to *report, out io.Writer) error {
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			takeLine(line, to, out)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func takeLine(line []byte, to *report, out io.Writer) {
	var e event
	if !bytes.HasPrefix(line, []byte("{")) || json.Unmarshal(line, &e) != nil {
		_, _ = out.Write(line)
		return
	}
	to.take(e)
}
