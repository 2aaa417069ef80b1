package strongbox

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/lantern"
	"willowsill/decide/muster"
	"willowsill/decide/register"
)

func save(n uint64) lantern.Save {
	return lantern.Save{Number: n, Stood: n, State: register.State{Accepted: register.Ballot{N: n, By: "a"},
		Value: register.Value{Members: []string{"a"}, Revision: n, Body: make([]byte, 300)}}}
}

// TestTornAnywhere: whatever of the last save is missing, or is there as zeros, the one before is found.
func TestTornAnywhere(t *testing.T) {
	dir := t.TempDir()
	b, found, err := Open(dir)
	must.NoError(t, err)
	must.Nil(t, found.State)
	must.NoError(t, b.Save(lantern.Save{State: save(1).State, List: []muster.Record{{ID: "i-1"}}}))
	must.NoError(t, b.Save(save(2)))
	before, err := os.ReadFile(Path(dir))
	must.NoError(t, err)
	must.NoError(t, b.Save(save(3)))
	must.NoError(t, b.Close())
	after, err := os.ReadFile(Path(dir))
	must.NoError(t, err)
	for at := len(before); at <= len(after); at += 7 {
		for _, zeros := range []bool{false, true} {
			text := append([]byte(nil), after[:at]...)
			if zeros {
				text = append(text, make([]byte, len(after)-at)...)
			}
			torn := t.TempDir()
			must.NoError(t, os.WriteFile(Path(torn), text, 0o600))
			b, found, err := Open(torn)
			must.NoError(t, err)
			must.NotNil(t, found.State)
			must.GreaterEq(t, 2, found.State.Value.Revision)
			must.Eq(t, "i-1", found.List[0].ID)
			must.NoError(t, b.Save(save(4)))
			must.NoError(t, b.Close())
			_, found, err = Open(torn)
			must.NoError(t, err)
			must.Eq(t, 4, found.State.Value.Revision)
		}
	}
}

// TestGrownFile: a file that has grown is written anew, and holds what was saved last.
func TestGrownFile(t *testing.T) {
	dir := t.TempDir()
	b, _, err := Open(dir)
	must.NoError(t, err)
	for n := uint64(1); n < 30; n++ {
		s := save(n)
		s.State.Value.Body = make([]byte, 1<<20)
		must.NoError(t, b.Save(s))
	}
	must.NoError(t, b.Close())
	info, err := os.Stat(Path(dir))
	must.NoError(t, err)
	must.Less(t, shrinkMin, int(info.Size()))
	_, found, err := Open(dir)
	must.NoError(t, err)
	must.Eq(t, 29, found.State.Value.Revision)
}
