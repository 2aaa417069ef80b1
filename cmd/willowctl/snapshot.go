package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"willowsill/decide/routeconfig"
)

const (
	snapshotKind   = "willowsill-snapshot"
	snapshotFormat = 1
)

// snapshotFile is the content of a snapshot file: the newest configuration, with a checksum that detects changes. Replicas and
// edges are not part of it, because they register themselves.
type snapshotFile struct {
	Kind          string          `json:"kind"`
	Format        int             `json:"format"`
	At            time.Time       `json:"at"`
	Revision      uint64          `json:"revision"`
	SHA256        string          `json:"sha256"` // checksum of the configuration's bytes, in hex
	Configuration json.RawMessage `json:"configuration,omitempty"`
}

// snapshot runs an action of the snapshot command: it saves the newest configuration to a file, verifies a file, or restores one in
// a system that has no configuration.
func snapshot(ctx context.Context, f *flags, args []string) error {
	switch action, file := args[0], args[1]; action {
	case "save":
		return saveSnapshot(ctx, f, file)
	case "verify":
		k, err := readSnapshot(file)
		if err != nil {
			return asUsageError(err)
		}
		return f.printSnapshot(k.summary(file, "is whole"), k)
	case "restore":
		return restoreSnapshot(ctx, f, file)
	}
	return asUsageError(fmt.Errorf("snapshot: %q is none of save, verify and restore", args[0]))
}

// summary describes the snapshot in one line; state is a phrase such as "is saved".
func (k snapshotFile) summary(file, state string) string {
	return fmt.Sprintf("%s %s: revision %d of %s, %d bytes", file, state, k.Revision, k.At.UTC().Format(time.RFC3339), len(k.Configuration))
}

// printSnapshot prints the line, or with -json the snapshot without the configuration itself.
func (f *flags) printSnapshot(line string, k snapshotFile) error {
	if f.json {
		k.Configuration = nil
		return json.NewEncoder(f.out).Encode(k)
	}
	_, err := fmt.Fprintln(f.out, line)
	return err
}

// saveSnapshot saves the newest configuration to a temporary file and then renames it.
//
// Danger: if the snapshot were written to the file directly and the machine stopped midway, the previous snapshot would be lost too.
func saveSnapshot(ctx context.Context, f *flags, file string) error {
	c, body, err := loadConfiguration(ctx, f, "-")
	if err != nil {
		return err
	}
	var compact bytes.Buffer // the encoder writes RawMessage compacted, so the checksum has to cover that form
	if err := json.Compact(&compact, body); err != nil {
		return err
	}
	sum := sha256.Sum256(compact.Bytes())
	k := snapshotFile{snapshotKind, snapshotFormat, time.Now().UTC().Truncate(time.Second), c.Revision, hex.EncodeToString(sum[:]), compact.Bytes()}
	var text bytes.Buffer
	e := json.NewEncoder(&text)
	e.SetEscapeHTML(false)
	if err := e.Encode(k); err != nil {
		return err
	}
	temporary, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(text.Bytes())
	if err = errors.Join(err, temporary.Sync(), temporary.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporary.Name(), file); err != nil {
		return err
	}
	return f.printSnapshot(k.summary(file, "is saved"), k)
}

// readSnapshot reads a snapshot file and verifies that it is what was saved.
func readSnapshot(file string) (k snapshotFile, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return k, err
	}
	if err := json.Unmarshal(text, &k); err != nil {
		return k, fmt.Errorf("%s: no snapshot: %w", file, err)
	}
	if k.Kind != snapshotKind {
		return k, fmt.Errorf("%s: key \"kind\" is %q, a snapshot has %q", file, k.Kind, snapshotKind)
	}
	if k.Format != snapshotFormat {
		return k, fmt.Errorf("%s: key \"format\" is %d, this willowctl reads %d", file, k.Format, snapshotFormat)
	}
	if sum := sha256.Sum256(k.Configuration); hex.EncodeToString(sum[:]) != k.SHA256 {
		return k, fmt.Errorf("%s: key \"configuration\" is not what was saved: its sum is %x, key \"sha256\" has %s", file, sum, k.SHA256)
	}
	c, err := routeconfig.Read(k.Configuration)
	if err != nil {
		return k, fmt.Errorf("%s: key \"configuration\": %w", file, err)
	}
	if c.Revision != k.Revision {
		return k, fmt.Errorf("%s: key \"revision\" is %d, the configuration's is %d", file, k.Revision, c.Revision)
	}
	return k, nil
}

// restoreSnapshot sends the configuration of a snapshot, with its own revision, to a system that has no configuration.
//
// Danger: a system that has a configuration would ignore the old revision or silently return to it. To change its configuration
// operators must use `send` with a new revision.
func restoreSnapshot(ctx context.Context, f *flags, file string) error {
	k, err := readSnapshot(file)
	if err != nil {
		return asUsageError(err)
	}
	configured, err := f.controlClient().HasConfiguration(ctx)
	if err != nil {
		return err
	}
	if configured {
		return asUsageError(errors.New("the system has a configuration already; `willowctl -revision auto send` gives it another"))
	}
	if err := f.controlClient().SendConfiguration(ctx, k.Configuration); err != nil {
		return err
	}
	return f.printSnapshot(k.summary(file, "is restored"), k)
}
