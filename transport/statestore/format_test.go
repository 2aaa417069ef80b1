package statestore

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tidwall/buntdb"

	"willowsill/decide/controller"
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// formerFile was written by the program when the file had no version yet. It holds three saves; the second one
// includes the list of replicas.
const formerFile = "testdata/without-version.db"

func copyOf(t *testing.T, path string) (dir string, text []byte) {
	text, err := os.ReadFile(path)
	must.NoError(t, err)
	dir = t.TempDir()
	must.NoError(t, os.WriteFile(Path(dir), text, 0o600))
	return dir, text
}

// TestFormerFormat: a file without a version is read, the next save adds the version, and the file is read
// again.
func TestFormerFormat(t *testing.T) {
	dir, _ := copyOf(t, formerFile)
	store, found, err := Open(dir)
	must.NoError(t, err)
	want := register.State{Promised: register.Ballot{Number: 8, Proposer: "10.0.0.1/x"}, Accepted: register.Ballot{Number: 3, Proposer: "10.0.0.2/y"},
		Value: register.Value{Epoch: 2, Members: []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}, Prior: []string{"10.0.0.1", "10.0.0.2"},
			Revision: 3, Body: []byte("body"), Size: 3}}
	must.Eq(t, want, *found.State)
	must.Eq(t, register.Order{Revision: 2}, found.Committed)
	must.Eq(t, []registry.Record{{ID: "i-1", Service: "s", Address: "10.0.2.1:80", Seq: 7}}, found.Replicas)
	must.NoError(t, store.Save(save(4)))
	must.NoError(t, store.Close())
	text, err := os.ReadFile(Path(dir))
	must.NoError(t, err)
	whole, version := scanCommands(text)
	must.Eq(t, len(text), whole)
	must.Eq(t, formatVersion, version)
	store, found, err = Open(dir)
	must.NoError(t, err)
	must.Eq(t, 4, found.State.Value.Revision)
	must.Eq(t, "i-1", found.Replicas[0].ID)
	must.NoError(t, store.Close())
}

// newerFile writes a file of a newer format to a folder, with an incomplete end that this program would cut
// off.
func newerFile(t *testing.T, dir string) []byte {
	store, _, err := Open(dir)
	must.NoError(t, err)
	must.NoError(t, store.Save(save(1)))
	version, err := seal(2, formatVersion+1)
	must.NoError(t, err)
	must.NoError(t, store.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(versionKey, string(version), nil)
		return err
	}))
	must.NoError(t, store.Close())
	text, err := os.ReadFile(Path(dir))
	must.NoError(t, err)
	text = append(text, "*9\r\nan end of another kind"...)
	must.NoError(t, os.WriteFile(Path(dir), text, 0o600))
	return text
}

// TestNewerFormatRefused: a file of a newer format is rejected with ErrNewerFormat, and stays unchanged.
func TestNewerFormatRefused(t *testing.T) {
	dir := t.TempDir()
	text := newerFile(t, dir)
	_, found, err := Open(dir)
	must.True(t, errors.Is(err, ErrNewerFormat))
	must.StrContains(t, err.Error(), "newer format")
	must.Nil(t, found.State)
	after, err := os.ReadFile(Path(dir))
	must.NoError(t, err)
	must.Eq(t, text, after)
}

// TestSizeIsBounded: after 10,000 saves of 20 KB the file, and its copy during compaction, take much less than
// a disk of 128 MB.
func TestSizeIsBounded(t *testing.T) {
	const saves, body, maxBytes = 10_000, 20_000, 32 << 20
	dir := t.TempDir()
	store, _, err := Open(dir)
	must.NoError(t, err)
	largest := int64(0)
	for n := uint64(1); n <= saves; n++ {
		s := save(n)
		s.RegisterState.Value.Body = make([]byte, body)
		must.NoError(t, store.Save(s))
		info, err := os.Stat(Path(dir))
		must.NoError(t, err)
		largest = max(largest, info.Size())
	}
	t.Logf("the largest size was %d bytes", largest)
	must.Less(t, maxBytes, largest)
	must.NoError(t, store.Close())
	_, found, err := Open(dir)
	must.NoError(t, err)
	must.Eq(t, saves, found.State.Value.Revision)
}

// TestShrinkCutShort: if a kill or a power failure interrupts a compaction at any point, the last save is
// found: the new file may be incomplete beside the old one, complete beside it, or in its place.
func TestShrinkCutShort(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(dir)
	must.NoError(t, err)
	must.NoError(t, store.Save(controller.Save{RegisterState: save(1).RegisterState, Replicas: []registry.Record{{ID: "i-1"}}}))
	for n := uint64(2); n <= 9; n++ {
		must.NoError(t, store.Save(save(n)))
	}
	next := filepath.Join(dir, compactedName)
	must.NoError(t, store.writeCopy(next))
	must.NoError(t, store.Close())
	shrunk, err := os.ReadFile(next)
	must.NoError(t, err)
	before, err := os.ReadFile(Path(dir))
	must.NoError(t, err)
	must.Less(t, len(before), len(shrunk))
	check := func(text, copyText []byte, what string) {
		folder := t.TempDir()
		must.NoError(t, os.WriteFile(Path(folder), text, 0o600))
		if copyText != nil {
			must.NoError(t, os.WriteFile(filepath.Join(folder, compactedName), copyText, 0o600))
		}
		store, found, err := Open(folder)
		must.NoError(t, err, must.Sprint(what))
		must.NotNil(t, found.State, must.Sprint(what))
		must.Eq(t, 9, found.State.Value.Revision, must.Sprint(what))
		must.Eq(t, "i-1", found.Replicas[0].ID, must.Sprint(what))
		must.NoError(t, store.Save(save(10)))
		must.NoError(t, store.Close())
		_, err = os.Stat(filepath.Join(folder, compactedName))
		must.ErrorIs(t, err, os.ErrNotExist, must.Sprint(what))
	}
	for cut := 0; cut <= len(shrunk); cut += 13 {
		check(before, shrunk[:cut], "part of the new file beside the old")
	}
	check(before, shrunk, "renamed, and the name lost")
	check(shrunk, nil, "renamed")
}

// TestNewFileIsSyncedBeforeItsName: a compaction renames the new file only after its content was synced to
// disk.
func TestNewFileIsSyncedBeforeItsName(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(dir)
	must.NoError(t, err)
	must.NoError(t, store.Save(save(1)))
	var steps []string
	store.sync = func(f *os.File) error {
		steps = append(steps, "sync "+filepath.Base(f.Name()))
		return f.Sync()
	}
	store.rename = func(from, to string) error {
		steps = append(steps, "rename "+filepath.Base(from))
		return os.Rename(from, to)
	}
	must.NoError(t, store.compact())
	must.Eq(t, []string{"sync " + compactedName, "rename " + compactedName, "sync " + filepath.Base(dir)}, steps)
	steps = nil
	must.NoError(t, store.Save(save(2)))
	must.Eq(t, []string{"sync " + fileName}, steps)
	must.NoError(t, store.Close())
	_, found, err := Open(dir)
	must.NoError(t, err)
	must.Eq(t, 2, found.State.Value.Revision)
}

// TestDiskThatRefuses: a compaction that fails for lack of space does no harm, and a failed save leaves the
// previous one intact.
func TestDiskThatRefuses(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(dir)
	must.NoError(t, err)
	must.NoError(t, store.Save(save(1)))
	blocked := filepath.Join(dir, compactedName)
	must.NoError(t, os.MkdirAll(filepath.Join(blocked, "in the way"), 0o700))
	must.NoError(t, store.compact())
	must.NoError(t, store.Save(save(2)))
	must.NoError(t, os.RemoveAll(blocked))

	store.sync = func(*os.File) error { return syscall.EIO }
	must.ErrorIs(t, store.Save(save(3)), syscall.EIO)
	must.ErrorIs(t, store.Save(save(3)), syscall.EIO)
	store.sync = (*os.File).Sync
	must.NoError(t, store.Save(save(4)))
	must.NoError(t, store.Close())
	_, found, err := Open(dir)
	must.NoError(t, err)
	must.Eq(t, 4, found.State.Value.Revision)
}
