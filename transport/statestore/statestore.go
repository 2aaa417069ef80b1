// Package statestore keeps one controller's part of the register on disk, in buntdb. It writes each save and
// reads the last one at the start. It makes no decisions of its own.
package statestore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
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

// ErrStore builds this package's errors, which have the code statestore.
var ErrStore = oops.Code("statestore")

// ErrNewerFormat is returned if a newer version of the program wrote the file. The file was not changed, and
// the caller must not remove it.
var ErrNewerFormat = errors.New("the state file has a newer format than this program reads")

const (
	fileName      = "register.db"
	compactedName = fileName + ".new" // the copy that replaces the file at a compaction
	listKey       = "list"            // key of the list of replicas
	knownKey      = "known"           // key of the controllers known to one whose disk is empty
	versionKey    = "version"         // key of the format version

	// formatVersion is the version of the file's format. A file without a version has the first format, which is
	// read in the same way.
	formatVersion = 2

	maxDigits = 10 // most digits of a length in the file

	slots           = 2        // saves alternate between them, so that a torn save leaves the previous one intact
	compactMinBytes = 24 << 20 // size of the file from which it is compacted
)

// ErrDamaged is returned if the content of the file cannot be read, though the system read it without an error.
var ErrDamaged = errors.New("the content of the state file is damaged")

// ErrUnusable is returned if a store can save nothing more. The file holds the last successful save, and can be opened again.
var ErrUnusable = errors.New("the state file has to be opened again")

// Store is the open state file of a controller.
type Store struct {
	db             *buntdb.DB
	file           *os.File // a second handle of db's file, for syncing it
	dir            string
	lastSave       uint64                      // number of the last save
	versionWritten bool                        // the file holds the current format version
	sync           func(*os.File) error        // syncs a file or the folder; replaced in tests
	rename         func(from, to string) error // renames a file; replaced in tests
}

// savedState is what one save holds: the register, and the last configuration and rollouts known to be committed.
type savedState struct {
	State             register.State `cbor:"1,keyasint"`
	CommittedRevision uint64         `cbor:"2,keyasint,omitempty"`
	CommittedSum      uint64         `cbor:"3,keyasint,omitempty"` // checksum of the committed content; 0 in a file of the former version
	CommittedRollouts rollout.Set    `cbor:"4,keyasint,omitzero"`
}

// Found is the content of the file when it was opened.
type Found struct {
	State     *register.State   // state of the register, nil if none was ever saved
	Committed register.Order    // the last configuration known to be committed
	Rollouts  rollout.Set       // the last rollouts known to be committed
	Replicas  []registry.Record // the list of replicas that was saved last

	KnownControllers []string // the controllers known when no state of the register had been saved yet
}

// errNoFolder is returned if the settings name no folder.
var errNoFolder = errors.New("data-dir is not set")

// Open opens the file in a folder, and creates both if they are missing. The error wraps ErrNewerFormat if a newer version of the
// program wrote the file, which then stays unchanged, and ErrDamaged if the content cannot be read. Other errors are those of the
// system; they say nothing about the content.
func Open(dir string) (s *Store, found Found, err error) {
	if dir == "" {
		return nil, found, ErrStore.Wrap(errNoFolder)
	}
	path := Path(dir)
	if err := truncateTornEnd(path); err != nil {
		return nil, found, ErrStore.Wrapf(err, "opening %s", path)
	}
	// Remove the copy of an interrupted compaction: the file itself is still the previous one.
	os.Remove(filepath.Join(dir, compactedName))
	s = &Store{dir: dir, sync: (*os.File).Sync, rename: os.Rename}
	err = s.openFile()
	if errors.Is(err, fs.ErrNotExist) { // the folder is missing
		err = errors.Join(os.MkdirAll(dir, 0o700), s.openFile())
	}
	if err != nil {
		return nil, found, ErrStore.Wrapf(err, "opening %s", path)
	}
	if found, err = s.load(); err != nil {
		s.Close()
		return nil, Found{}, ErrStore.Wrapf(err, "reading %s", path)
	}
	return s, found, nil
}

// Remove removes the file in a folder.
func Remove(dir string) error {
	if err := os.Remove(Path(dir)); err != nil {
		return ErrStore.Wrap(err)
	}
	return nil
}

// openFile opens the database, and its file a second time for syncing.
func (s *Store) openFile() error {
	path := Path(s.dir)
	db, err := openDB(path)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		db.Close()
		return err
	}
	s.db, s.file = db, file
	return nil
}

// openDB opens the database without its automatic syncs, whose errors it ignores. Store syncs the file itself.
func openDB(path string) (*buntdb.DB, error) {
	db, err := buntdb.Open(path)
	var refused *fs.PathError
	if errors.As(err, &refused) {
		return nil, err
	} else if err != nil {
		return nil, errors.Join(ErrDamaged, err)
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		db.Close()
		return nil, err
	}
	return db, nil
}

// load reads the last complete save.
func (s *Store) load() (found Found, err error) {
	err = s.db.View(func(tx *buntdb.Tx) error {
		for slot := range slots {
			text, err := tx.Get(strconv.Itoa(slot))
			if errors.Is(err, buntdb.ErrNotFound) {
				continue
			} else if err != nil {
				return err
			}
			var state savedState
			if n, ok := unseal([]byte(text), &state); ok && n > s.lastSave {
				s.lastSave, found.State = n, &state.State
				found.Committed = register.Order{Revision: state.CommittedRevision, Sum: state.CommittedSum}
				found.Rollouts = state.CommittedRollouts
			}
		}
		if text, err := tx.Get(listKey); err == nil {
			unseal([]byte(text), &found.Replicas)
		}
		if text, err := tx.Get(knownKey); err == nil && found.State == nil {
			unseal([]byte(text), &found.KnownControllers)
		}
		if text, err := tx.Get(versionKey); err == nil {
			s.versionWritten = parseVersion([]byte(text)) == formatVersion
		}
		return nil
	})
	return found, err
}

// Save returns nil once the state is synced to disk. After an error that wraps ErrUnusable no other method may be called.
//
// Danger: the database panics where it cannot undo a write that the disk has refused, and would end the process with it.
func (s *Store) Save(save controller.Save) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			s.file.Close() // the database stays locked and cannot be closed
			err = ErrStore.Wrapf(ErrUnusable, "saving: %v", reason)
		}
	}()
	if save.KnownControllers != nil {
		return s.writeKnown(save.KnownControllers)
	}
	return s.write(save)
}

// writeKnown writes the controllers known to one whose disk is empty, and syncs them.
func (s *Store) writeKnown(known []string) error {
	text, err := seal(0, known)
	if err != nil {
		return ErrStore.Wrapf(err, "encoding")
	}
	err = s.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(knownKey, string(text), nil)
		return err
	})
	if err != nil {
		return ErrStore.Wrapf(err, "saving")
	}
	return s.syncAll()
}

// syncAll syncs the file and, until it holds a state of the register, its folder.
//
// Danger: a new file is only durable once its folder is synced as well.
func (s *Store) syncAll() error {
	if err := s.sync(s.file); err != nil {
		return ErrStore.Wrapf(err, "syncing")
	}
	if s.lastSave > 0 {
		return nil
	}
	if err := s.syncDir(); err != nil {
		return ErrStore.Wrapf(err, "syncing the folder")
	}
	return nil
}

// write writes a save and syncs it.
func (s *Store) write(save controller.Save) error {
	n := s.lastSave + 1
	text, err := seal(n, savedState{save.RegisterState, save.CommittedConfiguration.Revision, save.CommittedConfiguration.Sum, save.Rollouts})
	if err != nil {
		return ErrStore.Wrapf(err, "encoding")
	}
	var list []byte
	if save.Replicas != nil {
		if list, err = seal(n, save.Replicas); err != nil {
			return ErrStore.Wrapf(err, "encoding")
		}
	}
	version, err := seal(n, formatVersion)
	if err != nil {
		return ErrStore.Wrapf(err, "encoding")
	}
	err = s.db.Update(func(tx *buntdb.Tx) error {
		if !s.versionWritten {
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
	if err := s.syncAll(); err != nil {
		return err
	}
	s.lastSave, s.versionWritten = n, true
	return s.compactIfLarge()
}

// compactIfLarge compacts the file once it has grown to compactMinBytes.
func (s *Store) compactIfLarge() error {
	info, err := s.file.Stat()
	if err != nil || info.Size() < compactMinBytes {
		return nil
	}
	return s.compact()
}

// compact replaces the file by a copy of its current content. The state is on disk already, so if the new file cannot be written, for example
// on a full disk, only space is lost and the next save tries again.
func (s *Store) compact() error {
	copyPath := filepath.Join(s.dir, compactedName)
	if err := s.writeCopy(copyPath); err != nil {
		os.Remove(copyPath)
		return nil
	}
	return s.replaceWith(copyPath)
}

// writeCopy writes the current content of the file to a new one and syncs it.
//
// It must be synced before it replaces the file: the files of all members grow alike and are compacted at about
// the same save, so a power failure at that time could leave all members with a renamed file without content.
func (s *Store) writeCopy(path string) error {
	os.Remove(path)
	copyDB, err := openDB(path)
	if err != nil {
		return err
	}
	err = s.db.View(func(from *buntdb.Tx) error {
		return copyDB.Update(func(to *buntdb.Tx) (err error) {
			ascend := from.Ascend("", func(key, value string) bool {
				_, _, err = to.Set(key, value, nil)
				return err == nil
			})
			return errors.Join(ascend, err)
		})
	})
	if err := errors.Join(err, copyDB.Close()); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	return errors.Join(s.sync(file), file.Close())
}

// replaceWith renames a new file to the name of the open one, and opens it.
//
// Danger: once the file is renamed, a save to the previous one would be lost, as it has no name any more.
func (s *Store) replaceWith(path string) error {
	if err := s.rename(path, Path(s.dir)); err != nil {
		os.Remove(path)
		return nil
	}
	s.Close()
	if err := s.openFile(); err != nil {
		return ErrStore.Wrapf(errors.Join(ErrUnusable, err), "opening the compacted file")
	}
	if err := s.syncDir(); err != nil {
		return ErrStore.Wrapf(err, "syncing the folder")
	}
	return nil
}

// Close closes the database and its file.
func (s *Store) Close() error { return errors.Join(s.db.Close(), s.file.Close()) }

func (s *Store) syncDir() error {
	folder, err := os.Open(s.dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	return s.sync(folder)
}

// seal encodes a value, with the number of the save before it and a checksum after it.
func seal(n uint64, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	text := binary.BigEndian.AppendUint64(nil, n)
	text = append(text, body...)
	return binary.BigEndian.AppendUint32(text, crc32.ChecksumIEEE(text)), nil
}

// unseal decodes what seal has encoded, and reports whether it is complete.
//
// Danger: a value that was being written during a power failure may be incomplete.
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

// parseVersion returns the version in a sealed text, 0 if the text is damaged. In that case the slots, each
// with its own checksum, determine what can be read.
func parseVersion(text []byte) (version uint64) {
	if _, ok := unseal(text, &version); !ok {
		return 0
	}
	return version
}

// truncateTornEnd cuts the file off after its last complete command. It changes nothing in a file of a newer
// format.
//
// The database refuses to open a file with a torn end, although all synced data precedes that end.
func truncateTornEnd(path string) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	complete, version := scanCommands(text)
	if version > formatVersion {
		return fmt.Errorf("%w: it has version %d, this program reads up to %d", ErrNewerFormat, version, formatVersion)
	}
	if complete == len(text) {
		return nil
	}
	f, err := os.OpenFile(path, os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(int64(complete)); err != nil {
		return err
	}
	return f.Sync()
}

// scanCommands returns how many bytes of a file are complete commands, and the highest version that one of them
// sets.
func scanCommands(text []byte) (complete int, version uint64) {
	for {
		words, rest, ok := readCommand(text[complete:])
		if !ok {
			return complete, version
		}
		if len(words) >= 3 && string(words[0]) == "set" && string(words[1]) == versionKey {
			version = max(version, parseVersion(words[2]))
		}
		complete = len(text) - len(rest)
	}
}

// readCommand splits one command off a text: the count of its strings, then each string with its length.
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

// readLength splits a line off a text that consists of the mark and a number.
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

// Path returns the path of the state file in a folder.
func Path(dir string) string { return filepath.Join(dir, fileName) }
