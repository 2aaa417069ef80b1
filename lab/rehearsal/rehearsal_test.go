package rehearsal

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/internal/refusals"
)

func TestMain(m *testing.M) {
	refusals.ApplyFromEnvironment()
	RunChild()
	os.Exit(m.Run())
}

// TestRehearsal checks that clients get nearly all answers while a controller, an agent, a replica and a proxy are killed.
func TestRehearsal(t *testing.T) {
	phases, err := Run(t.Context(), 60)
	must.NoError(t, err)
	must.SliceLen(t, 5, phases)
	for _, p := range phases {
		served := 0
		for a, n := range p.Answers {
			if strings.HasPrefix(a, "200") {
				served += n
			}
		}
		must.GreaterEq(t, 50, served, must.Sprint(p))
	}
}
