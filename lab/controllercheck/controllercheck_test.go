package controllercheck

import (
	"flag"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/lab/modelcheck/planted"
)

var pairs = flag.Int("pairs", 400, "number of schedules with two deviations in each scope")

// TestScopes checks that no schedule with one deviation breaks an invariant, nor one of the chosen schedules with two.
func TestScopes(t *testing.T) {
	for _, s := range Scopes {
		t.Run(s.Name, func(t *testing.T) {
			r := Explore(s, *pairs, runtime.NumCPU())
			t.Log(r)
			must.Nil(t, r.First, must.Sprint(r))
			must.Greater(t, 100, r.Runs)
		})
	}
}

const (
	membersFile    = "decide/controller/members.go"
	diskFile       = "decide/controller/disk.go"
	departuresFile = "decide/controller/departures.go"
	callersFile    = "decide/controller/callers.go"
)

// TestMutants checks that the search finds known faults: controllers with one safeguard removed break an invariant in the named scope.
func TestMutants(t *testing.T) {
	edit := func(file, old, replacement string) []planted.Edit {
		return []planted.Edit{{File: file, Old: old, New: replacement}}
	}
	for _, m := range []planted.Mutant{
		{Name: "a change of members that others overtook is made all the same", Scope: "two_at_the_duty",
			Edits: edit(membersFile, "if v.Epoch != epoch || len(v.Prior) > 0 {", "if false {")},
		{Name: "a place that is free is given to nobody", Scope: "replacement",
			Edits: edit(membersFile, "case len(replaceable) > 0 && len(newcomers) > 0:", "case len(replaceable) > 1 && len(newcomers) > 0:")},
		{Name: "who leaves is waited for until it is silent, and then for ever", Scope: "planned_replacement",
			Edits: edit(membersFile, "			silent = append(silent, ip)\n", "")},
		{Name: "answers leave before the sync", Scope: "two_contents", Edits: edit(diskFile, "	if after == 0 {\n", "	if after >= 0 {\n")},
		{Name: "a drain is acknowledged before it is saved", Scope: "drain_and_power",
			Edits: edit(departuresFile, "	return !unsaved && !saving\n", "	return !unsaved && !saving || true\n")},
		{Name: "a drain is acknowledged by one alone", Scope: "drain_and_power",
			Edits: edit(callersFile, "if 2*n > len(c.members()) {", "if n > 0 {")},
		{Name: "what is told need not stand", Scope: "two_contents",
			Edits: edit(diskFile, "	c.dirty = c.dirty || save\n", "	c.dirty = c.dirty || save\n	c.addUpdate(c.state.Apply(clusterstate.Update{Revision: c.disk.Value.Revision, Body: c.disk.Value.Body}))\n")},
	} {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			printed, err := m.Run("../..", t.TempDir(), "^TestScopes$/^"+m.Scope+"$", "lab/controllercheck")
			must.Error(t, err)
			must.True(t, strings.Contains(printed, "broken: "), must.Sprint(printed))
		})
	}
}
