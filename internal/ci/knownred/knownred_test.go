package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Test files of the module that these tests generate.
const (
	greenTest = "func TestGreen(t *testing.T) { t.Log(\"unseen\") }\n"
	redTest   = "func TestRed(t *testing.T) { t.Run(\"case\", func(t *testing.T) { t.Error(\"wrong sum\") }) }\n"
	otherTest = "func TestOther(t *testing.T) { t.Error(\"wrong product\") }\n"
)

// module writes a module with test files and KNOWN-RED.txt to a temporary folder, and returns its root.
func module(t *testing.T, list string, packages map[string]string) string {
	root := t.TempDir()
	write := func(name, text string) {
		file := filepath.Join(root, name)
		must.NoError(t, os.MkdirAll(filepath.Dir(file), 0o700))
		must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	write("go.mod", "module m\n\ngo 1.26\n")
	if list != "" {
		write(listFile, list)
	}
	for name, text := range packages {
		write(filepath.Join(name, name+"_test.go"), "package "+name+"\n\nimport \"testing\"\n\n"+text)
	}
	return root
}

// TestVerdicts checks the error and the output for failures with and without an entry in the list.
func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		list     string
		packages map[string]string
		fails    string   // part of the error, empty if CI passes
		prints   []string // parts of the output
	}{
		"all pass, no list": {
			packages: map[string]string{"a": greenTest},
			prints:   []string{"ok  \tm/a"},
		},
		"a failed test that is not listed": {
			packages: map[string]string{"a": greenTest, "b": redTest},
			fails:    "m/b.TestRed",
			prints:   []string{"ok  \tm/a", "wrong sum", "FAIL\tm/b"},
		},
		"a failed test that is listed": {
			list:     "m/b.TestRed, sums, products too, are wrong, issue 12\n",
			packages: map[string]string{"a": greenTest, "b": redTest + greenTest},
			prints: []string{"ok  \tm/a", "wrong sum", "FAIL\tm/b",
				"known red, passed over: m/b.TestRed, sums, products too, are wrong, issue 12"},
		},
		"one listed, one not, in one package": {
			list:     "m/b.TestRed, sums, issue 12\n",
			packages: map[string]string{"b": redTest + otherTest},
			fails:    "m/b.TestOther",
			prints:   []string{"wrong product", "known red, passed over: m/b.TestRed"},
		},
		"a test of the same name elsewhere": {
			list:     "m/b.TestRed, sums, issue 12\n",
			packages: map[string]string{"a": redTest, "b": redTest},
			fails:    "m/a.TestRed",
		},
		"a listed test that passes": {
			list:     "m/a.TestGreen, sums, issue 12\n",
			packages: map[string]string{"a": greenTest},
			prints:   []string{"passes, to be taken out: m/a.TestGreen"},
		},
		"a listed test that is not there": {
			list:     "m/a.TestGone, sums, issue 12\n",
			packages: map[string]string{"a": greenTest},
			prints:   []string{"was not run: m/a.TestGone"},
		},
		"a listed test that panics": {
			list:     "m/a.TestPanics, sums, issue 12\n",
			packages: map[string]string{"a": "func TestPanics(t *testing.T) { panic(\"out of sums\") }\n" + greenTest},
			fails:    "m/a did not come to its end",
			prints:   []string{"panic: out of sums", "FAIL\tm/a"},
		},
		"a panic in a goroutine": {
			list: "m/a.TestPanics, sums, issue 12\n",
			packages: map[string]string{"a": "func TestPanics(t *testing.T) { t.Error(1); go func() { panic(\"apart\") }(); select {} }\n" +
				greenTest},
			fails:  "m/a: without result: TestPanics",
			prints: []string{"panic: apart"},
		},
		"an exit in a listed test": {
			list:     "m/a.TestExits, sums, issue 12\n",
			packages: map[string]string{"a": "func TestExits(t *testing.T) { t.Error(1); exit(1) }\nvar exit = os.Exit\n"},
			fails:    "m/a: without result: TestExits",
		},
		"a failure of no test": {
			packages: map[string]string{"a": greenTest + "func TestMain(m *testing.M) { m.Run(); print(\"no bench\\n\"); os.Exit(1) }\n"},
			fails:    "m/a did not come to its end",
			prints:   []string{"no bench"},
		},
		"a package that cannot be built": {
			list:     "m/a.TestRed, sums, issue 12\n",
			packages: map[string]string{"a": "func TestRed(t *testing.T) { t.Error(undefined) }\n", "b": greenTest},
			fails:    "m/a cannot be built",
			prints:   []string{"undefined: undefined", "ok  \tm/b"},
		},
		"a data race in a listed test": {
			list:     "m/a.TestRed, sums, issue 12\n",
			packages: map[string]string{"a": "func TestRed(t *testing.T) { t.Error(\"" + dataRace + "\") }\n"},
			fails:    "m/a has a data race",
		},
		"four lines": {
			list:  "m/a.Test1, sums, issue 1\nm/a.Test2, sums, issue 1\nm/a.Test3, sums, issue 1\nm/a.Test4, sums, issue 1\n",
			fails: "4 tests are listed, 3 may be",
		},
		"a line without an issue": {list: "m/a.TestRed, sums\n", fails: `line 1 is "m/a.TestRed, sums"`},
		"a subtest":               {list: "m/a.TestRed/case, sums, issue 1\n", fails: "line 1"},
		"a line twice":            {list: "m/a.TestRed, sums, issue 1\n\nm/a.TestRed, sums, issue 1\n", fails: "line 3 lists m/a.TestRed again"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for p, text := range c.packages {
				if strings.Contains(text, "os.Exit") {
					c.packages[p] = "import \"os\"\n\n" + text
				}
			}
			out := &strings.Builder{}
			err := run(module(t, c.list, c.packages), nil, []string{"./..."}, out)
			if c.fails == "" {
				must.NoError(t, err, must.Sprint(out))
			} else {
				must.ErrorContains(t, err, c.fails, must.Sprint(out))
			}
			for _, text := range c.prints {
				must.StrContains(t, out.String(), text)
			}
			must.StrNotContains(t, out.String(), "unseen")
		})
	}
}

// TestNoPackages checks that CI fails if go test cannot start.
func TestNoPackages(t *testing.T) {
	must.Error(t, run(module(t, "", nil), nil, []string{"./nowhere"}, &strings.Builder{}))
}

// TestApart checks that packages that run apart do not overlap with any other: each records when it begins and ends.
func TestApart(t *testing.T) {
	t.Parallel()
	const noted = "import (\"os\"; \"time\")\n\nfunc note(what string) { f, _ := os.OpenFile(\"../notes\", " +
		"os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); f.WriteString(what + \" \"); f.Close() }\n" +
		"func TestNoted(t *testing.T) { note(\"begin\"); time.Sleep(50 * time.Millisecond); note(\"end\") }\n"
	packages := map[string]string{"a": noted, "b": noted, "c": noted}
	root := module(t, "", packages)
	out := &strings.Builder{}
	must.NoError(t, run(root, []string{"./a", "./b", "./c"}, []string{"-count=1", "./..."}, out), must.Sprint(out))
	notes, err := os.ReadFile(filepath.Join(root, "notes"))
	must.NoError(t, err)
	must.EqOp(t, strings.Repeat("begin end ", len(packages)), string(notes))
}

// TestApartIsJudged checks that failures of packages that run apart count like all others, and that an unknown package fails CI.
func TestApartIsJudged(t *testing.T) {
	t.Parallel()
	out := &strings.Builder{}
	root := module(t, "m/b.TestRed, sums, issue 12\n", map[string]string{"a": greenTest, "b": redTest, "c": otherTest})
	must.ErrorContains(t, run(root, []string{"./b", "./c"}, []string{"./..."}, out), "m/c.TestOther", must.Sprint(out))
	must.StrContains(t, out.String(), "known red, passed over: m/b.TestRed")
	must.ErrorContains(t, run(root, []string{"./gone"}, []string{"./..."}, out), "gone")
}
