// Package program builds this module's commands for tests that run them as processes.
package program

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// Build builds the command willowsill into a temporary folder of the test and returns the binary's path.
func Build(t testing.TB) string {
	t.Helper()
	return BuildCommand(t, "willowsill")
}

// BuildCommand builds a command of the folder cmd, without the race detector, into a temporary folder of the test and returns the
// binary's path.
func BuildCommand(t testing.TB, command string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), command)
	if out, err := exec.Command("go", "build", "-o", file, "willowsill/cmd/"+command).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return file
}
