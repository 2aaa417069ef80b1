// Package statestore keeps one controller's part of the register on disk, in buntdb. It decides nothing: it
// saves what it is given, and finds at the start what was saved last.
package statestore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
	"github.com/tidwall/buntdb"

	"willowsill/decide/controller"
	"willowsill/decide/register"
	"willowsill/decide/registry"
	"willowsill/decide/rollout"
)

// ErrStore is the class of this package's errors.
var ErrStore = oops.Code("statestore")

// ErrNewerFormat tells that the file was written by a newer version of the program. Nothing of it was changed;
// whoever meets it must not remove it.
var ErrNewerFormat = errors.New("the state file has a newer format than this program reads")

const (
	fileName      = "register.db"
	compactedName = fileName + ".new" // the file that is to take its place
	listKey       = "list"
	versionKey    = "version"

	// formatVersion is that of the file. One without a version is of the first format, which is read as this one.
	formatVersion = 2

	maxDigits = 10 // of a length in the file

	slots           = 2        // saves go to them by turns, so that a torn one leaves the one before
	compactMinBytes = 24 << 20 // bytes of the file before it is written anew
)

// Store is the open file.
type Store struct {
	db             *buntdb.DB
	file           *os.File // the same file, to sync it
	dir            string
	lastSave       uint64                      // of the last save
	versionWritten bool                        // the file names the format's version
	sync           func(*os.File) error        // of files and of the folder; tests put their own in its place
	rename         func(from, to string) error // likewise
}

// savedState is what a save holds.
type savedState struct {
	State             register.State `cbor:"1,keyasint"`
	CommittedRevision uint64         `cbor:"2,keyasint,omitempty"`
	CommittedSum      uint64         `cbor:"3,keyasint,omitempty"` // of its content; 0 in a file of the former version
	CommittedRollouts rollout.Set    `cbor:"4,keyasint,omitzero"`
}

// Found is what the file held when it was opened.
type Found struct {
	State     *register.State   // nil where none was ever saved
	Committed register.Order    // the configuration last known to be committed
	Rollouts  rollout.Set       // last known to be committed
	Replicas  []registry.Record // as it was last saved
}

// Open opens the file in a folder. Its error is ErrNewerFormat, in a chain, where a newer version of the program
// wrote the file; the file is left as it is then.
func Open(dir string) (b *Store, found Found, err error) {
	path := filepath.Join(dir, fileName)
	if err := truncateTornEnd(path); err != nil {
		return nil, found, ErrStore.Wrapf(err, "opening %s", path)
	}
	// What a shrink left behind that was cut short: the file itself is still the one before.
	os.Remove(filepath.Join(dir, compactedName))
	b = &Store{dir: dir, sync: (*os.File).Sync, rename: os.Rename}
	if err := b.openFile(); err != nil {
		return nil, found, ErrStore.Wrapf(err, "opening %s", path)
	}
	if found, err = b.load(); err != nil {
		b.Close()
		return nil, Found{}, ErrStore.Wrapf(err, "reading %s", path)
	}
	return b, found, nil
}

// openFile opens the file as it is on disk.
func (b *Store) openFile() error {
	path := filepath.Join(b.dir, fileName)
	db, err := openDB(path)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		db.Close()
		return err
	}
	b.db, b.file = db, file
	return nil
}

// openDB opens a database that syncs nothing by itself: it ignores errors of its syncs, so Store does them.
func openDB(path string) (*buntdb.DB, error) {
	db, err := buntdb.Open(path)
	if err != nil {
		return nil, err
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		db.Close()
		return nil, err
	}
	return db, nil
}

// load finds what was saved last.
func (b *Store) load() (found Found, err error) {
	err = b.db.View(func(tx *buntdb.Tx) error {
		for slot := range slots {
			text, err := tx.Get(strconv.Itoa(slot))
			if errors.Is(err, buntdb.ErrNotFound) {
				continue
			} else if err != nil {
				return err
			}
			var k savedState
			if n, ok := unseal([]byte(text), &k); ok && n > b.lastSave {
				b.lastSave, found.State = n, &k.State
				found.Committed = register.Order{Revision: k.CommittedRevision, Sum: k.CommittedSum}
				found.Rollouts = k.CommittedRollouts
			}
		}
		if text, err := tx.Get(listKey); err == nil {
			unseal([]byte(text), &found.Replicas)
		}
		if text, err := tx.Get(versionKey); err == nil {
			b.versionWritten = parseVersion([]byte(text)) == formatVersion
		}
		return nil
	})
	return found, err
}

// Save returns once what is given is on disk for good, or with an error.
//
// Danger: a new file lasts only once the folder that holds its name is synced as well.
func (b *Store) Save(s controller.Save) error {
	n := b.lastSave + 1
	text, err := seal(n, savedState{s.RegisterState, s.CommittedConfiguration.Revision, s.CommittedConfiguration.Sum, s.Rollouts})
	if err != nil {
		return ErrStore.Wrapf(err, "encoding")
	}
	var list []byte
	if s.Replicas != nil {
		if list, err = seal(n, s.Replicas); err != nil {
			return ErrStore.Wrapf(err, "encoding")
		}
	}
	version, err := seal(n, formatVersion)
	if err != nil {
		return ErrStore.Wrapf(err, "encoding")
	}
	err = b.db.Update(func(tx *buntdb.Tx) error {
		if !b.versionWritten {
			if _, _, err := tx.Set(versionKey, string(version), nil); err != nil {
				return err
			}
		}
		if list != nil {
			if _, _, err := tx.Set(listKey, string(list), nil); err != nil {
				return err
			}
		}
		_, _, err := tx.Set(strconv.FormatUint(n%slots, 10), string(text), nil)
		return err
	})
	if err != nil {
		return ErrStore.Wrapf(err, "saving")
	}
	if err := b.sync(b.file); err != nil {
		return ErrStore.Wrapf(err, "syncing")
	}
	if b.lastSave == 0 {
		if err := b.syncDir(); err != nil {
			return ErrStore.Wrapf(err, "syncing the folder")
		}
	}
	b.lastSave, b.versionWritten = n, true
	return b.compactIfLarge()
}

// compactIfLarge writes the file anew once it has grown.
func (b *Store) compactIfLarge() error {
	info, err := b.file.Stat()
	if err != nil || info.Size() < compactMinBytes {
		return nil
	}
	return b.compact()
}

// compact writes the file anew. What was saved is on disk already, so a disk that refuses the new file, as a
// full one does, costs nothing but room: the next save tries again.
func (b *Store) compact() error {
	next := filepath.Join(b.dir, compactedName)
	if err := b.writeAnew(next); err != nil {
		os.Remove(next)
		return nil
	}
	return b.replaceWith(next)
}

// writeAnew puts what the file holds into a new one and syncs that.
//
// It is synced before it takes the place of the other: all members grow alike and shrink at about the same
// save, and a loss of power right then could leave all of them the new name with nothing behind it.
func (b *Store) writeAnew(path string) error {
	os.Remove(path)
	next, err := openDB(path)
	if err != nil {
		return err
	}
	err = b.db.View(func(from *buntdb.Tx) error {
		return next.Update(func(to *buntdb.Tx) (err error) {
			ascend := from.Ascend("", func(key, value string) bool {
				_, _, err = to.Set(key, value, nil)
				return err == nil
			})
			return errors.Join(ascend, err)
		})
	})
	if err := errors.Join(err, next.Close()); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	return errors.Join(b.sync(file), file.Close())
}

// replaceWith gives a new file the name of the one that is open, and opens it.
func (b *Store) replaceWith(path string) error {
	if err := b.rename(path, filepath.Join(b.dir, fileName)); err != nil {
		os.Remove(path)
		return nil
	}
	before := *b
	if err := b.openFile(); err != nil {
		return ErrStore.Wrapf(err, "opening the shrunk file")
	}
	before.Close()
	if err := b.syncDir(); err != nil {
		return ErrStore.Wrapf(err, "syncing the folder")
	}
	return nil
}

// Close closes the file.
func (b *Store) Close() error { return errors.Join(b.db.Close(), b.file.Close()) }

func (b *Store) syncDir() error {
	d, err := os.Open(b.dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return b.sync(d)
}

// seal puts the number of the save before what is saved, and a check sum behind it.
func seal(n uint64, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	text := binary.BigEndian.AppendUint64(nil, n)
	text = append(text, body...)
	return binary.BigEndian.AppendUint32(text, crc32.ChecksumIEEE(text)), nil
}

// unseal is the way back; it tells whether the text is whole.
//
// Danger: what was being written as the power went may be there in part.
func unseal(text []byte, v any) (n uint64, ok bool) {
	if len(text) < 12 {
		return 0, false
	}
	body, sum := text[:len(text)-4], binary.BigEndian.Uint32(text[len(text)-4:])
	if crc32.ChecksumIEEE(body) != sum || cbor.Unmarshal(body[8:], v) != nil {
		return 0, false
	}
	return binary.BigEndian.Uint64(body), true
}

// parseVersion is the version that a sealed text names, 0 where the text is damaged: then the slots, each with a
// check sum of its own, tell what can be read.
func parseVersion(text []byte) (version uint64) {
	if _, ok := unseal(text, &version); !ok {
		return 0
	}
	return version
}

// truncateTornEnd cuts the file off behind its last whole command. It changes nothing in a file of a newer format.
//
// The database refuses a file whose end is torn, though all that was ever synced stands before it.
func truncateTornEnd(path string) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	whole, version := scanCommands(text)
	if version > formatVersion {
		return fmt.Errorf("%w: it has version %d, this program reads up to %d", ErrNewerFormat, version, formatVersion)
	}
	if whole == len(text) {
		return nil
	}
	f, err := os.OpenFile(path, os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(int64(whole)); err != nil {
		return err
	}
	return f.Sync()
}

// scanCommands tells how many bytes of a file are whole commands, and the highest version that one of them sets.
func scanCommands(text []byte) (whole int, version uint64) {
	for {
		words, rest, ok := readCommand(text[whole:])
		if !ok {
			return whole, version
		}
		if len(words) >= 3 && string(words[0]) == "set" && string(words[1]) == versionKey {
			version = max(version, parseVersion(words[2]))
		}
		whole = len(text) - len(rest)
	}
}

// readCommand takes one command off a text: an array's count, then each string with its length.
func readCommand(text []byte) (words [][]byte, rest []byte, ok bool) {
	count, rest, ok := readLength(text, '*')
	if !ok || count == 0 {
		return nil, nil, false
	}
	for range count {
		var length int
		if length, rest, ok = readLength(rest, '$'); !ok || length+2 > len(rest) || string(rest[length:length+2]) != "\r\n" {
			return nil, nil, false
		}
		words, rest = append(words, rest[:length]), rest[length+2:]
	}
	return words, rest, true
}

// readLength takes a line off a text that holds a mark and a number.
func readLength(text []byte, mark byte) (n int, rest []byte, ok bool) {
	if len(text) == 0 || text[0] != mark {
		return 0, nil, false
	}
	end := bytes.Index(text[:min(len(text), maxDigits+3)], []byte("\r\n"))
	if end < 2 {
		return 0, nil, false
	}
	for _, digit := range text[1:end] {
		if digit < '0' || digit > '9' {
			return 0, nil, false
		}
		n = 10*n + int(digit-'0')
	}
	return n, text[end+2:], true
}

// Path is the file in a folder.
func Path(dir string) string { return filepath.Join(dir, fileName) }
