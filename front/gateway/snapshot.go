package gateway

import (
	"encoding/binary"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

const maxSnapshotBytes = 64 << 20 // bytes of a snapshot's file

// Save writes the door's window to a file, whole or not at all, with the time of it. It is called when the door takes in
// nothing more.
//
// Danger: a file that was cut short by a crash must not stand in the place of a whole one: it is written beside and renamed.
func (d *PeerServer) Save(file string) (err error) {
	d.mu.Lock()
	text := d.Window.Snapshot(d.Clock.Now())
	d.mu.Unlock()
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

// Load takes in what Save wrote, if it is there. A damaged file changes nothing and is an error.
//
// The machine's clock tells how long ago that was. Where it went back, ids are remembered from now on: for longer, and
// never for too short.
func (d *PeerServer) Load(file string) error {
	info, err := os.Stat(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Size() > maxSnapshotBytes || info.Size() < 8 {
		return errors.New("the file of remembered ids has an odd size")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	away := time.Now().UnixNano() - int64(binary.LittleEndian.Uint64(text))
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Window.Restore(d.Clock.Now(), max(away, 0), text[8:])
}
