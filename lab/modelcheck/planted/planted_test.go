package planted

import (
	"flag"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/lab/modelcheck"
)

var long = flag.Bool("long", false, "also try the mutants that only some runs find")

// TestMutants checks that the exploration finds each mutant.
func TestMutants(t *testing.T) {
	for _, m := range Mutants {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			if m.Slow && !*long {
				t.Skip("a run of this length may not find it; use -long to try")
			}
			if m.AnswerBeforeSync {
				s := modelcheck.Scopes[slices.IndexFunc(modelcheck.Scopes, func(s modelcheck.Scope) bool { return s.Name == m.Scope })]
				s.AnswerBeforeSync = true
				r := modelcheck.BreadthFirst(s, 60_000, 0)
				t.Log(r)
				must.NotEq(t, "", r.Broken)
				return
			}
			out, err := m.Run("../../..", t.TempDir(), "^TestScopes$", "lab/modelcheck", "-scope", m.Scope)
			t.Log(out)
			must.Error(t, err)
			must.True(t, strings.Contains(out, "broken: "))
		})
	}
}
