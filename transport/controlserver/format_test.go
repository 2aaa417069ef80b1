package controlserver

import (
	"context"
	"encoding/binary"
	"hash/crc32"
	"net"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"github.com/tidwall/buntdb"

	"willowsill/decide/controller"
	"willowsill/deployment/settings"
	"willowsill/standin/ports"
	"willowsill/transport/statestore"
)

// TestNewerStateIsWaitedOut (FAULT, LOST): a state file of a newer format ends no program. It stays unchanged while the controller
// waits, and the port between controllers is free again once the wait is ended.
func TestNewerStateIsWaitedOut(t *testing.T) {
	dir := t.TempDir()
	store, _, err := statestore.Open(dir)
	must.NoError(t, err)
	must.NoError(t, store.Save(controller.Save{}))
	must.NoError(t, store.Close())
	const farAhead = 1000
	writeVersion(t, statestore.Path(dir), farAhead)
	before, err := os.ReadFile(statestore.Path(dir))
	must.NoError(t, err)

	address, err := ports.Free()
	must.NoError(t, err)
	_, port, err := net.SplitHostPort(address)
	must.NoError(t, err)
	first, err := strconv.Atoi(port)
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = Start(ctx, settings.Settings{IP: "127.0.0.1", InternalPorts: []settings.Figure{settings.Figure(first), settings.Figure(first)}, DataDir: dir})
	must.ErrorIs(t, err, context.DeadlineExceeded)
	after, err := os.ReadFile(statestore.Path(dir))
	must.NoError(t, err)
	must.Eq(t, before, after)
	free, err := net.Listen("tcp", address)
	must.NoError(t, err)
	must.NoError(t, free.Close())
}

// writeVersion sets the format version in a state file like the program of that version would, with a checksum.
func writeVersion(t *testing.T, path string, version uint64) {
	body, err := cbor.Marshal(version)
	must.NoError(t, err)
	text := append(binary.BigEndian.AppendUint64(nil, 1), body...)
	text = binary.BigEndian.AppendUint32(text, crc32.ChecksumIEEE(text))
	db, err := buntdb.Open(path)
	must.NoError(t, err)
	must.NoError(t, db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set("version", string(text), nil)
		return err
	}))
	must.NoError(t, db.Close())
}
