package main

import (
	"os"
	"path/filepath"
	"testing"

	"willowsill/lab/experiment"
)

// A variant with changed constants must run in a program that is built with them: with at most one call per replica it does worse
// than the unchanged module, and with the value that the source has too its results are equal.
func TestConstants(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.star")
	if err := os.WriteFile(file, []byte(`experiment(name = "a", question = "b?", span = "6s", count_from = "1s", count_until = "5s", seeds = 2)
fleet(aggregators = 1, replicas = 4, holders = 2)
queries(rate = 90, parts = 2)
variant(name = "one", constants = {"balance.maxCalls": 1, "balance.admitShare": 0.05})
variant(name = "module")
variant(name = "same", constants = {"balance.maxCalls": 32})
`), 0o600); err != nil {
		t.Fatal(err)
	}
	e, err := experiment.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	table, err := runVariants(e, experiment.EmulatorRunner(), file, "../..", true)
	if err != nil {
		t.Fatal(err)
	}
	one, module, same := table.Rows[0], table.Rows[1], table.Rows[2]
	if one.Name != "one" || module.Name != "module" || module.Verdict != "more" || same.Mean != module.Mean ||
		same.Events != module.Events {
		t.Errorf("%+v", table.Rows)
	}
}
