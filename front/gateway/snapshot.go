package gateway

import (
	"encoding/binary"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

const maxSnapshotBytes = 64 << 20

// Save writes the server's deduplication window to a file, with the time of day. It is called when the server
// accepts no more queries.
//
// Danger: a file truncated by a crash must not replace a complete one, so a temporary file is written and renamed.
func (s *PeerServer) Save(file string) (err error) {
	s.mu.Lock()
	text := s.Window.Snapshot(s.Clock.Now())
	s.mu.Unlock()
	text = append(binary.LittleEndian.AppendUint64(nil, uint64(time.Now().UnixNano())), text...)
	f, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), file)
}

// Load restores the window that Save wrote, if the file exists. A damaged file changes nothing and is an error.
//
// The time between Save and Load is taken from the time of day. If the clock was set back, ids count as seen now,
// so they are remembered longer than needed rather than forgotten too early.
func (s *PeerServer) Load(file string) error {
	info, err := os.Stat(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Size() > maxSnapshotBytes || info.Size() < 8 {
		return errors.New("the file of remembered ids is too short or too long")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	elapsed := time.Now().UnixNano() - int64(binary.LittleEndian.Uint64(text))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Window.Restore(s.Clock.Now(), max(elapsed, 0), text[8:])
}
