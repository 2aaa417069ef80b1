package propagation

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestTreeIsCheap checks that with the tree each edge gets one copy, few copies leave their zone, and no edge sends many, at any size of
// the fleet.
func TestTreeIsCheap(t *testing.T) {
	for _, f := range []Fleet{{9, 5, 3, 3}, {60, 9, 6, 3}, {1000, 9, 6, 3}} {
		all := Compare(f)
		tree, star, flood := all[0], all[1], all[2]
		must.Eq(t, f.Edges, tree.Copies)
		must.LessEq(t, 2*f.Zones, tree.CrossZone+tree.CrossRegion)
		must.LessEq(t, 8, tree.AtEdge) // four downstream edges for each of the two heads of a zone
		must.LessEq(t, 6, tree.MaxHops)
		must.LessEq(t, star.CrossRegion+star.CrossZone, tree.CrossRegion+tree.CrossZone)
		must.Greater(t, 2*tree.Copies, flood.Copies)
	}
}
