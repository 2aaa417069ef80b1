package planted

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestMutants: each defence that is taken out shows in a check that stands for it.
func TestMutants(t *testing.T) {
	for _, m := range Mutants {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			overlay, err := m.Overlay("../../..", t.TempDir())
			must.NoError(t, err)
			// A program of its own, for this one is built of the true text.
			out, err := exec.Command("go", "test", "-count=1", "-overlay", overlay, "-run", "^TestDays$/^point"+string(m.Point)+"$",
				"willowsill/lab/controlsim").CombinedOutput()
			t.Log(string(out))
			must.Error(t, err)
			found := false
			for _, check := range m.Checks {
				found = found || strings.Contains(string(out), "broken: "+check)
			}
			must.True(t, found, must.Sprint("none of ", m.Checks))
		})
	}
}
