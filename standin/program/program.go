// Package program builds the program for tests that run it as a process.
package program

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// Build builds willowsill into a folder that ends with the test, and returns its file.
func Build(t testing.TB) string {
	t.Helper()
	return BuildCommand(t, "willowsill")
}

// BuildCommand builds a command of cmd, without the race detector, into a folder that ends with the test, and returns its file.
func BuildCommand(t testing.TB, command string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), command)
	if out, err := exec.Command("go", "build", "-o", file, "willowsill/cmd/"+command).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return file
}
