// Package program builds the program for tests that run it as a process.
package program

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// Build builds it into a folder that ends with the test, and returns its file.
func Build(t testing.TB) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "willowsill")
	if out, err := exec.Command("go", "build", "-o", file, "willowsill/cmd/willowsill").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return file
}
