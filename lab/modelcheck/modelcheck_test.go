package modelcheck

import (
	"flag"
	"testing"

	"github.com/shoenig/test/must"
)

var only = flag.String("scope", "", "the scope that TestScopes explores; all that CI has time for where it is not said")

const (
	ciStates     = 15_000 // states of a scope that CI sees
	mutantStates = 60_000 // and that a mutant has to show in
)

// TestScopes: nothing promised is broken in any order of events.
func TestScopes(t *testing.T) {
	for _, s := range Scopes {
		if *only == "" || s.Name == *only {
			most := int64(ciStates)
			if *only != "" {
				most = mutantStates
			}
			r := BreadthFirst(s, most, 0)
			t.Log(r)
			must.Eq(t, "", r.Broken)
			if *only != "" { // what lies deep is found sooner so
				r = DepthFirst(s, 5*mutantStates, 0, nil)
				t.Log(r)
				must.Eq(t, "", r.Broken)
			}
		}
	}
}
