package modelcheck

import (
	"flag"
	"testing"

	"github.com/shoenig/test/must"
)

var only = flag.String("scope", "", "the only scope that TestScopes explores, with more states; without it all scopes with the states that CI has time for")

const (
	ciStates     = 15_000 // states of each scope that CI explores
	mutantStates = 60_000 // states within which the tests of lab/modelcheck/planted must find their mutants, breadth-first
)

// TestScopes checks that no explored order of events breaks an invariant.
func TestScopes(t *testing.T) {
	for _, s := range Scopes {
		if *only == "" || s.Name == *only {
			maxStates := int64(ciStates)
			if *only != "" {
				maxStates = mutantStates
			}
			r := BreadthFirst(s, maxStates, 0)
			t.Log(r)
			must.Eq(t, "", r.Broken)
			if *only != "" { // faults that need many events are found sooner by a depth-first search
				r = DepthFirst(s, 5*mutantStates, 0, nil)
				t.Log(r)
				must.Eq(t, "", r.Broken)
			}
		}
	}
}
