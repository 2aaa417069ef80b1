package planted

import (
	"flag"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/lab/modelcheck"
)

var long = flag.Bool("long", false, "try the mutants that lie deep as well")

// TestMutants: each defence that is taken out shows, with a way there.
func TestMutants(t *testing.T) {
	for _, m := range Mutants {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			if m.Long && !*long {
				t.Skip("it lies too deep for a run of fixed length: -long tries")
			}
			if m.AnswerBeforeSync {
				s := modelcheck.Scopes[slices.IndexFunc(modelcheck.Scopes, func(s modelcheck.Scope) bool { return s.Name == m.Scope })]
				s.AnswerBeforeSync = true
				r := modelcheck.BreadthFirst(s, 60_000, 0)
				t.Log(r)
				must.NotEq(t, "", r.Broken)
				return
			}
			overlay, err := m.Overlay("../../..", t.TempDir())
			must.NoError(t, err)
			// A program of its own, for this one is built of the true text.
			out, err := exec.Command("go", "test", "-count=1", "-overlay", overlay, "-run", "^TestScopes$", "-v", "willowsill/lab/modelcheck",
				"-scope", m.Scope).CombinedOutput()
			t.Log(string(out))
			must.Error(t, err)
			must.True(t, strings.Contains(string(out), "broken: "))
		})
	}
}
