package statestore

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/decide/controller"
	"willowsill/decide/register"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

func save(n uint64) controller.Save {
	return controller.Save{Number: n, CommittedConfiguration: register.Order{Revision: n, Sum: 100 + n}, RegisterState: register.State{Accepted: register.Ballot{Number: n, Proposer: "a"},
		Value: register.Value{Members: []string{"a"}, Revision: n, Body: make([]byte, 300)}}}
}

// TestTornAnywhere: whatever part of the last save is missing or filled with zeros, the previous save is found.
func TestTornAnywhere(t *testing.T) {
	dir := t.TempDir()
	store, found, err := Open(dir)
	must.NoError(t, err)
	must.Nil(t, found.State)
	must.NoError(t, store.Save(controller.Save{RegisterState: save(1).RegisterState, Replicas: []registry.Record{{ID: "i-1"}}}))
	must.NoError(t, store.Save(save(2)))
	before, err := os.ReadFile(Path(dir))
	must.NoError(t, err)
	must.NoError(t, store.Save(save(3)))
	must.NoError(t, store.Close())
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
			store, found, err := Open(torn)
			must.NoError(t, err)
			must.NotNil(t, found.State)
			must.GreaterEq(t, 2, found.State.Value.Revision)
			must.Eq(t, "i-1", found.Replicas[0].ID)
			must.NoError(t, store.Save(save(4)))
			must.NoError(t, store.Close())
			_, found, err = Open(torn)
			must.NoError(t, err)
			must.Eq(t, 4, found.State.Value.Revision)
			must.Eq(t, save(4).CommittedConfiguration, found.Committed)
		}
	}
}

// TestGrownFile: a file that has grown is compacted, and still holds the last save.
func TestGrownFile(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(dir)
	must.NoError(t, err)
	for n := uint64(1); n < 30; n++ {
		s := save(n)
		s.RegisterState.Value.Body = make([]byte, 1<<20)
		must.NoError(t, store.Save(s))
	}
	must.NoError(t, store.Close())
	info, err := os.Stat(Path(dir))
	must.NoError(t, err)
	must.Less(t, compactMinBytes, int(info.Size()))
	_, found, err := Open(dir)
	must.NoError(t, err)
	must.Eq(t, 29, found.State.Value.Revision)
}

// TestEachBitFlipped: whichever bit of the file is flipped, and wherever the file is cut off, the state found
// is one that was saved, or none. If the last save is complete, it is the one found.
func TestEachBitFlipped(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(dir)
	must.NoError(t, err)
	for n := uint64(1); n <= 3; n++ {
		s := save(n)
		s.RegisterState.Value.Body = bytes.Repeat([]byte{byte(n)}, 40)
		must.NoError(t, store.Save(s))
	}
	must.NoError(t, store.Close())
	text, err := os.ReadFile(Path(dir))
	must.NoError(t, err)
	last := bytes.LastIndex(text, []byte("*3\r\n"))
	folder := t.TempDir()
	check := func(text []byte, minRevision uint64, what string, where int) {
		must.NoError(t, os.WriteFile(Path(folder), text, 0o600))
		store, found, err := Open(folder)
		if err != nil {
			return // then the controller joins as one whose disk is empty
		}
		store.Close()
		if found.State == nil {
			must.Eq(t, 0, minRevision, must.Sprint(what, where))
			return
		}
		n := found.State.Value.Revision
		must.GreaterEq(t, minRevision, n, must.Sprint(what, where))
		must.Eq(t, bytes.Repeat([]byte{byte(n)}, 40), found.State.Value.Body, must.Sprint(what, where))
		must.Eq(t, n, found.State.Accepted.Number)
	}
	for i := range text {
		check(text[:i], 0, "cut at ", i)
		step := 1
		if testing.Short() {
			step = 5
		}
		for bit := i % step; bit < 8; bit += step {
			other := bytes.Clone(text)
			other[i] ^= 1 << bit
			check(other, 0, "flipped at ", i)
		}
	}
	check(text[:last], 2, "without the last save, ", last)
	check(text, 3, "whole, ", 0)
}

// BenchmarkVersions saves a hundred thousand configurations of the packed size of 200 routes, and opens the
// resulting file.
func BenchmarkVersions(b *testing.B) {
	for range b.N {
		dir := b.TempDir()
		store, _, err := Open(dir)
		must.NoError(b, err)
		largest := int64(0)
		for n := uint64(1); n <= 100_000; n++ {
			s := save(n)
			s.RegisterState.Value.Body = make([]byte, 4000)
			must.NoError(b, store.Save(s))
			if n%1000 == 0 {
				info, err := os.Stat(Path(dir))
				must.NoError(b, err)
				largest = max(largest, info.Size())
			}
		}
		must.NoError(b, store.Close())
		start := time.Now()
		_, found, err := Open(dir)
		must.NoError(b, err)
		must.Eq(b, 100_000, found.State.Value.Revision)
		b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "ms/open")
		b.ReportMetric(float64(largest)/1e6, "MB/file")
	}
}

// TestRolloutsAreKept: accepted and committed rollouts are each loaded as they were saved.
func TestRolloutsAreKept(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(dir)
	must.NoError(t, err)
	committed, _, _ := rollout.Set{}.Begin(rollout.Order{Service: "s", Target: "v2", OverMs: 9000})
	accepted, _ := committed.Abort("s", "an operator's word")
	next := save(3)
	next.RegisterState.Value.Rollouts, next.Rollouts = accepted, committed
	must.NoError(t, store.Save(next))
	must.NoError(t, store.Close())
	_, found, err := Open(dir)
	must.NoError(t, err)
	must.Eq(t, accepted, found.State.Value.Rollouts)
	must.Eq(t, committed, found.Rollouts)
}

// TestFileThatIsGoneAfterACompaction (LOST): where the compacted file cannot be opened, no save goes to the previous file, which
// has no name any more; the store has to be opened again, and finds the last save.
func TestFileThatIsGoneAfterACompaction(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(dir)
	must.NoError(t, err)
	must.NoError(t, store.Save(save(1)))
	moved := Path(dir) + ".moved"
	store.rename = func(from, to string) error {
		must.NoError(t, os.Rename(from, moved))
		must.NoError(t, os.Remove(to))
		return os.Mkdir(to, 0o700) // a folder in place of the file makes its opening fail
	}
	must.ErrorIs(t, store.compact(), ErrUnusable)
	must.NoError(t, os.Remove(Path(dir)))
	must.NoError(t, os.Rename(moved, Path(dir)))
	must.Error(t, store.Save(save(2)))
	store, found, err := Open(dir)
	must.NoError(t, err)
	must.Eq(t, 1, found.State.Value.Revision)
	must.NoError(t, store.Save(save(3)))
	must.NoError(t, store.Close())
}

// TestPanicOfTheDatabase (FAULT): a panic while saving does not end the process. The store has to be opened again.
func TestPanicOfTheDatabase(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(dir)
	must.NoError(t, err)
	must.NoError(t, store.Save(save(1)))
	store.sync = func(*os.File) error { panic("the write cannot be undone") }
	must.ErrorIs(t, store.Save(save(2)), ErrUnusable)
	store, _, err = Open(dir)
	must.NoError(t, err)
	must.NoError(t, store.Save(save(3)))
	must.NoError(t, store.Close())
}
