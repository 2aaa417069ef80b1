package propagation

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestTreeIsCheap: a tree brings each edge one copy, few of them far, whatever the size; no one sends many.
func TestTreeIsCheap(t *testing.T) {
	for _, f := range []Fleet{{9, 5, 3, 3}, {60, 9, 6, 3}, {1000, 9, 6, 3}} {
		all := Compare(f)
		tree, star, flood := all[0], all[1], all[2]
		must.Eq(t, f.Edges, tree.Copies)
		must.LessEq(t, 2*f.Zones, tree.CrossZone+tree.CrossRegion)
		must.LessEq(t, 8, tree.AtEdge) // four each of the two heads' ranks
		must.LessEq(t, 6, tree.MaxHops)
		must.LessEq(t, star.CrossRegion+star.CrossZone, tree.CrossRegion+tree.CrossZone)
		must.Greater(t, 2*tree.Copies, flood.Copies)
	}
}
