package rules

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	root      = "../.."
	page      = root + "/docs/rules.md"
	tableFrom = "<!-- table: written from lab/rules, go test ./lab/rules -args -write -->\n"
	tableTo   = "<!-- end of the table -->\n"
)

var write = flag.Bool("write", false, "write the table of docs/rules.md instead of comparing it")

// TestPage checks that docs/rules.md has the present table.
func TestPage(t *testing.T) {
	text, err := os.ReadFile(page)
	must.NoError(t, err)
	before, rest, found := strings.Cut(string(text), tableFrom)
	must.True(t, found)
	table, after, found := strings.Cut(rest, tableTo)
	must.True(t, found)
	if *write {
		must.NoError(t, os.WriteFile(page, []byte(before+tableFrom+Table()+tableTo+after), 0o600))
		return
	}
	must.Eq(t, Table(), table)
}

// TestNoEmptyCell checks that each row has a unique name, texts, existing files, a test and scenarios.
func TestNoEmptyCell(t *testing.T) {
	names := map[string]bool{}
	for _, r := range All {
		must.False(t, names[r.Name], must.Sprint(r.Name, " is listed twice"))
		names[r.Name] = true
		for what, cell := range map[string]string{"name": r.Name, "judged": r.Violation, "mechanism": r.Mechanism, "package": r.Mutation.Package, "test": r.Mutation.Test} {
			must.NotEq(t, "", cell, must.Sprint(r.Name, " has no ", what))
			must.StrNotContains(t, cell, "|")
		}
		must.SliceNotEmpty(t, r.Scenarios, must.Sprint(r.Name))
		must.SliceNotEmpty(t, r.Files, must.Sprint(r.Name))
		must.SliceNotEmpty(t, r.Mutation.Edits, must.Sprint(r.Name))
		for _, file := range r.Files {
			_, err := os.Stat(filepath.Join(root, file))
			must.NoError(t, err, must.Sprint(r.Name))
		}
	}
}

// TestBreaks checks for each rule that its test fails when the mechanism is removed.
func TestBreaks(t *testing.T) {
	for _, r := range All {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			printed, err := r.Mutant().Run(root, t.TempDir(), r.Mutation.Pattern(), r.Mutation.Package)
			must.Error(t, err, must.Sprint("the test passes without the mechanism"))
			if !strings.Contains(printed, "--- FAIL: ") {
				t.Errorf("no test failed: %v\n%s", err, printed)
			}
		})
	}
}
