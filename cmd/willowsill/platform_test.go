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

// deployLine is a line of the deploy file.
func deployLine(t *testing.T, key string) string {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if quoted, is := strings.CutPrefix(line, key+" = "); is {
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

// TestPlatform builds the program by the deploy file's line and looks at what came of it. Danger: without the C library the
// platform's clock and sockets pass the program by, and no aggregator of it comes up.
func TestPlatform(t *testing.T) {
	run, is := strings.CutPrefix(deployLine(t, "run"), "exec ")
	if !is || strings.ContainsAny(run, "&|;$`") {
		t.Fatalf("run is %q: it has to end by exec in one process", run)
	}
	words := strings.Fields(run)
	// What it is started with holds as well, or it would not come up.
	if i := slices.Index(words, "--operator"); i > 0 && i+1 < len(words) {
		if _, err := operator.Read(filepath.Join("../..", words[i+1])); err != nil {
			t.Error(err)
		}
	}
	into := t.TempDir()
	build := deployLine(t, "build")
	line := strings.NewReplacer("mkdir -p bin &&", "", "-o bin/", "-o "+into+"/", "./cmd/...", "./cmd/willowsill").Replace(build)
	if line == build || strings.Contains(line, " bin/") {
		t.Fatalf("build is %q: not as this test knows it", build)
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
		t.Error("the program names no interpreter: it is not linked dynamically")
	}
	libraries, err := program.ImportedLibraries()
	if err != nil || !slices.Contains(libraries, "libc.so.6") {
		t.Errorf("the program wants %v, %v: not the C library", libraries, err)
	}
}
