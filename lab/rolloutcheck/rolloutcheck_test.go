package rolloutcheck

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAllOrders: in no order of events is a rollout complete while an edge uses the old version, a version open that was
// taken back, an end undone, or a rollout stuck.
func TestAllOrders(t *testing.T) {
	result := Explore()
	t.Log(result.States, "states")
	must.Eq(t, "", result.Broken, must.Sprint(strings.Join(result.Trace, "\n")))
	must.Greater(t, 1000, result.States)
}
