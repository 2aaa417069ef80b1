// Package statestore keeps one controller's part of the register on disk, in buntdb. It decides nothing: it
// saves what it is given, and finds at the start what was saved last.
package statestore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
	"github.com/tidwall/buntdb"

	"willowsill/decide/controller"
	"willowsill/decide/register"
	"willowsill/decide/registry"
)

// ErrStore is the class of this package's errors.
var ErrStore = oops.Code("statestore")

const (
	fileName  = "register.db"
	listKey   = "list"
	slots     = 2        // saves go to them by turns, so that a torn one leaves the one before
	shrinkMin = 24 << 20 // bytes of the file before it is written anew
)

// Store is the open file.
type Store struct {
	db     *buntdb.DB
	dir    string
	number uint64 // of the last save
}

// kept is what a save holds.
type kept struct {
	State             register.State `cbor:"1,keyasint"`
	CommittedRevision uint64         `cbor:"2,keyasint,omitempty"`
}

// Found is what a box held when it was opened.
type Found struct {
	State             *register.State   // nil where none was ever saved
	CommittedRevision uint64            // the revision last known to stand
	List              []registry.Record // as it was last saved
}

// Open opens the box in a folder.
func Open(dir string) (b *Store, found Found, err error) {
	path := filepath.Join(dir, fileName)
	if err := mend(path); err != nil {
		return nil, found, ErrStore.Wrapf(err, "mending %s", path)
	}
	db, err := buntdb.Open(path)
	if err != nil {
		return nil, found, ErrStore.Wrapf(err, "opening %s", path)
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Always, AutoShrinkDisabled: true}); err != nil {
		return nil, found, ErrStore.Wrapf(err, "opening %s", path)
	}
	b = &Store{db: db, dir: dir}
	err = db.View(func(tx *buntdb.Tx) error {
		for slot := range slots {
			text, err := tx.Get(strconv.Itoa(slot))
			if errors.Is(err, buntdb.ErrNotFound) {
				continue
			} else if err != nil {
				return err
			}
			var k kept
			if n, ok := unseal([]byte(text), &k); ok && n > b.number {
				b.number, found.State, found.CommittedRevision = n, &k.State, k.CommittedRevision
			}
		}
		if text, err := tx.Get(listKey); err == nil {
			unseal([]byte(text), &found.List)
		}
		return nil
	})
	if err != nil {
		return nil, found, ErrStore.Wrapf(err, "reading %s", path)
	}
	return b, found, nil
}

// Save returns once what is given is on disk for good, or with an error.
//
// Danger: a new file lasts only once the folder that holds its name is synced as well.
func (b *Store) Save(s controller.Save) error {
	n := b.number + 1
	text, err := seal(n, kept{s.State, s.CommittedRevision})
	if err != nil {
		return ErrStore.Wrapf(err, "encoding")
	}
	var list []byte
	if s.List != nil {
		if list, err = seal(n, s.List); err != nil {
			return ErrStore.Wrapf(err, "encoding")
		}
	}
	err = b.db.Update(func(tx *buntdb.Tx) error {
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
	if b.number == 0 {
		if err := syncDir(b.dir); err != nil {
			return ErrStore.Wrapf(err, "syncing the folder")
		}
	}
	b.number = n
	return b.shrink()
}

// shrink writes the file anew once it has grown.
func (b *Store) shrink() error {
	info, err := os.Stat(filepath.Join(b.dir, fileName))
	if err != nil || info.Size() < shrinkMin {
		return nil
	}
	if err := b.db.Shrink(); err != nil {
		return ErrStore.Wrapf(err, "shrinking")
	}
	return syncDir(b.dir)
}

// Close closes the box.
func (b *Store) Close() error { return b.db.Close() }

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
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

// mend cuts the file off behind its last whole command.
//
// Danger: the store refuses a file whose end is torn, though all that was ever synced stands before it.
func mend(path string) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	n := wholeLength(text)
	if n == len(text) {
		return nil
	}
	f, err := os.OpenFile(path, os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(int64(n)); err != nil {
		return err
	}
	return f.Sync()
}

// wholeLength is how many bytes of a file are whole commands: an array's count, then each string with its
// length.
func wholeLength(text []byte) int {
	r := bytes.NewReader(text)
	whole := 0
	number := func(mark byte) (int, bool) {
		if c, err := r.ReadByte(); err != nil || c != mark {
			return 0, false
		}
		n, digits := 0, 0
		for {
			c, err := r.ReadByte()
			if err != nil || digits > 9 {
				return 0, false
			}
			if c == '\r' {
				c, err = r.ReadByte()
				return n, err == nil && c == '\n' && digits > 0
			}
			if c < '0' || c > '9' {
				return 0, false
			}
			n, digits = 10*n+int(c-'0'), digits+1
		}
	}
	for {
		words, ok := number('*')
		if !ok || words == 0 {
			return whole
		}
		for range words {
			n, ok := number('$')
			if !ok || n > r.Len() {
				return whole
			}
			r.Seek(int64(n), io.SeekCurrent)
			var end [2]byte
			if _, err := io.ReadFull(r, end[:]); err != nil || string(end[:]) != "\r\n" {
				return whole
			}
		}
		whole = len(text) - r.Len()
	}
}

// Path is the file in a folder.
func Path(dir string) string { return filepath.Join(dir, fileName) }
