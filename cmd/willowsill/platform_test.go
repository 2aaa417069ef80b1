package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"willowsill/deployment/operator"
)

// deployLine returns the value of a key in the deploy file.
func deployLine(t *testing.T, key string) string {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if quoted, found := strings.CutPrefix(line, key+" = "); found {
			value, err := strconv.Unquote(strings.TrimSpace(quoted))
			if err != nil {
				t.Fatal(err)
			}
			return value
		}
	}
	t.Fatalf("the deploy file has no line %q", key)
	return ""
}

// TestPlatform builds the program with the build command of the deploy file and inspects the binary.
//
// Danger: the platform replaces clock and sockets through the C library. A statically linked program bypasses them, and none of
// its aggregators would start.
func TestPlatform(t *testing.T) {
	run, found := strings.CutPrefix(deployLine(t, "run"), "exec ")
	if !found || strings.ContainsAny(run, "&|;$`") {
		t.Fatalf("run is %q: it must be exec of a single process", run)
	}
	words := strings.Fields(run)
	// The operator's script of the run command must be valid, or the program would not start.
	if i := slices.Index(words, "--operator"); i > 0 && i+1 < len(words) {
		if _, err := operator.Read(filepath.Join("../..", words[i+1])); err != nil {
			t.Error(err)
		}
	}
	into := t.TempDir()
	build := deployLine(t, "build")
	line := strings.NewReplacer("mkdir -p bin &&", "", "-o bin/", "-o "+into+"/", "./cmd/...", "./cmd/willowsill").Replace(build)
	if line == build || strings.Contains(line, " bin/") {
		t.Fatalf("build is %q: this test does not know that form", build)
	}
	command := exec.Command("sh", "-ec", line)
	command.Dir = "../.."
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", line, err, out)
	}
	program, err := elf.Open(filepath.Join(into, strings.TrimPrefix(words[0], "bin/")))
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	if !slices.ContainsFunc(program.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program has no ELF interpreter: it is not linked dynamically")
	}
	libraries, err := program.ImportedLibraries()
	if err != nil || !slices.Contains(libraries, "libc.so.6") {
		t.Errorf("imported libraries %v, error %v: the C library is missing", libraries, err)
	}
}
