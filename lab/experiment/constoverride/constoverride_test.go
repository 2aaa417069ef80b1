package constoverride

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// A command built with changed constants uses them, and names that are not constants are an error.
func TestBuild(t *testing.T) {
	root := t.TempDir()
	for name, text := range map[string]string{
		"go.mod":         "module m\n\ngo 1.24\n",
		"cmd/c/main.go":  "package main\n\nimport (\n\t\"fmt\"\n\t\"m/a\"\n)\n\nfunc main() { fmt.Print(a.Say()) }\n",
		"a/a.go":         "package a\n\nconst ms, second = 1e6, 1000 * ms // two\n\nfunc Say() (float64, int64, int) { return share, span, second }\n",
		"a/b.go":         "package a\n\nconst (\n\tshare = 0.5 // of it\n\tspan  = 4 * ms\n)\n",
		"a/none_test.go": "package a\n\nconst only = 1\n",
	} {
		file := filepath.Join(root, name)
		os.MkdirAll(filepath.Dir(file), 0o755)
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	binary := filepath.Join(root, "out")
	for _, c := range []struct {
		with Constants
		want string
	}{
		{Constants{}, "0.5 4000000 1000000000"},
		{Constants{"a.share": 0.125, "a.span": 7e6}, "0.125 7000000 1000000000"},
		{Constants{"a.ms": 2, "a.share": 3}, "3 8 2000"},
		{Constants{"a.second": 5}, "0.5 4000000 5"},
	} {
		if err := Build(root, "cmd/c", binary, c.with); err != nil {
			t.Fatal(err)
		}
		out, err := exec.Command(binary).CombinedOutput()
		if err != nil || string(out) != c.want {
			t.Errorf("%v: %q %v, want %q", c.with, out, err, c.want)
		}
	}
	for name, want := range map[string]string{"a.only": "no constant", "a.Say": "no constant", "z.share": "no constant", "share": "no constant"} {
		if err := Build(root, "cmd/c", binary, Constants{name: 1}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := Build(root, "cmd/c", binary, Constants{"a.span": 0.5}); err == nil || !strings.Contains(err.Error(), "truncated") {
		t.Errorf("a fraction for a constant that must be an integer: %v", err)
	}
}
