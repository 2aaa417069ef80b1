package statestore

import (
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/controller"
)

// TestKnownControllersAreKept: a disk without a state of the register keeps the controllers that were known, and is still empty otherwise.
// Once a state is saved they have no meaning.
func TestKnownControllersAreKept(t *testing.T) {
	dir := t.TempDir()
	reopen := func(store *Store) (*Store, Found) {
		if store != nil {
			must.NoError(t, store.Close())
		}
		store, found, err := Open(dir)
		must.NoError(t, err)
		return store, found
	}
	store, _ := reopen(nil)
	known := []string{"10.0.0.1", "10.0.0.2"}
	must.NoError(t, store.Save(controller.Save{KnownControllers: known[:1]}))
	must.NoError(t, store.Save(controller.Save{KnownControllers: known}))
	store, found := reopen(store)
	must.Nil(t, found.State)
	must.Eq(t, known, found.KnownControllers)
	must.NoError(t, store.Save(save(1)))
	store, found = reopen(store)
	must.NotNil(t, found.State)
	must.SliceEmpty(t, found.KnownControllers)
	must.NoError(t, store.Close())
}
