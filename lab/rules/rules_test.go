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

var write = flag.Bool("write", false, "write the table of docs/rules.md anew")

// TestPage: docs/rules.md has the table as it is here.
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

// TestNoEmptyCell: each row says what is judged, what keeps it and where, which test fails and on which days it matters.
func TestNoEmptyCell(t *testing.T) {
	names := map[string]bool{}
	for _, r := range All {
		must.False(t, names[r.Name], must.Sprint(r.Name, " stands twice"))
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

// TestBreaks: each mechanism that is taken out is found by its test.
func TestBreaks(t *testing.T) {
	for _, r := range All {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			printed, err := r.Mutant().Run(root, t.TempDir(), r.Mutation.Pattern(), r.Mutation.Package)
			must.Error(t, err, must.Sprint("it passes without what keeps it"))
			if !strings.Contains(printed, "--- FAIL: ") {
				t.Errorf("no test failed: %v\n%s", err, printed)
			}
		})
	}
}
