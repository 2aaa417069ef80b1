package rolloutcheck

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAllOrders checks that in no order of events a rollout completes while an edge uses the old version, a reverted version is open,
// an ended rollout becomes active again, or a rollout never ends.
func TestAllOrders(t *testing.T) {
	result := Explore()
	t.Log(result.States, "states")
	must.Eq(t, "", result.Broken, must.Sprint(strings.Join(result.Trace, "\n")))
	must.Greater(t, 1000, result.States)
}
