package controlserver

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/controller"
	"willowsill/decide/register"
	"willowsill/transport/statestore"
)

// savedFolder returns a folder with a state file that holds revision 7.
func savedFolder(t *testing.T) string {
	dir := filepath.Join(t.TempDir(), "data")
	store, _, err := statestore.Open(dir)
	must.NoError(t, err)
	must.NoError(t, store.Save(controller.Save{RegisterState: register.State{Value: register.Value{Members: []string{"a"}, Revision: 7}}}))
	must.NoError(t, store.Close())
	return dir
}

// TestPassingDiskErrorKeepsTheState (LOST): a disk that refuses for a while is waited for, and its state is found afterwards.
func TestPassingDiskErrorKeepsTheState(t *testing.T) {
	dir := savedFolder(t)
	away := dir + ".away"
	must.NoError(t, os.Rename(dir, away))
	must.NoError(t, os.WriteFile(dir, nil, 0o600)) // a file in place of the folder makes each access fail
	opened, err := openState(t.Context(), dir, func(error) {
		must.NoError(t, os.Remove(dir))
		must.NoError(t, os.Rename(away, dir))
	})
	must.NoError(t, err)
	must.False(t, opened.damaged)
	must.Eq(t, 7, opened.found.State.Value.Revision)
	must.NoError(t, opened.store.Close())
}

// TestWaitForTheDiskEnds: a controller that is stopped while it waits for its disk ends.
func TestWaitForTheDiskEnds(t *testing.T) {
	file := filepath.Join(t.TempDir(), "data")
	must.NoError(t, os.WriteFile(file, nil, 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	_, err := openState(ctx, file, func(error) { cancel() })
	must.ErrorIs(t, err, context.Canceled)
}

// TestDamagedState: content that cannot be read is removed, once, and the controller is not one of a first start.
func TestDamagedState(t *testing.T) {
	dir := t.TempDir()
	// A complete command that the database does not know.
	must.NoError(t, os.WriteFile(statestore.Path(dir), []byte("*1\r\n$4\r\nnone\r\n"), 0o600))
	opened, err := openState(t.Context(), dir, func(error) { t.Error("it waits") })
	must.NoError(t, err)
	must.True(t, opened.damaged)
	must.Nil(t, opened.found.State)
	must.NoError(t, opened.store.Save(controller.Save{}))
	must.NoError(t, opened.store.Close())
}

// TestNoFolder: a controller whose settings name no folder waits, and says which setting is missing.
func TestNoFolder(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	logged := 0
	_, err := openState(ctx, "", func(err error) {
		logged++
		must.ErrorContains(t, err, "data-dir")
		cancel()
	})
	must.ErrorIs(t, err, context.Canceled)
	must.Eq(t, 1, logged)
}

// TestMissingFolder (FAULT): a data folder that is missing is made, and counts as the empty disk of a first start.
func TestMissingFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "disk", "data")
	opened, err := openState(t.Context(), dir, func(error) { t.Error("it waits") })
	must.NoError(t, err)
	must.False(t, opened.damaged)
	must.Nil(t, opened.found.State)
	must.NoError(t, opened.store.Save(controller.Save{}))
	must.NoError(t, opened.store.Close())
}
