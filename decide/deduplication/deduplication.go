// Package deduplication remembers for some time the ids of queries from other sites and how they ended, so that a repeated
// query joins the one in progress or gets the same answer. It does no I/O and reads no clock.
//
// Decides: whether a query with this id is new, in progress, answered, or must not run here again.
//
// The number of ids, the size of the answers and the time are bounded. Snapshot and Restore keep the table over a planned
// restart. Queries that a restart interrupted are remembered as interrupted and don't run again.
package deduplication

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
)

// Verdict says what to do with a query.
type Verdict uint8

const (
	FirstSeen   Verdict = iota // run the query, then call End, Interrupt or Discard
	InProgress                 // the query is running; its answer is also the answer to this one
	Answered                   // the query has ended with the returned answer
	Interrupted                // the query may have run, and its result isn't known here
	Full                       // the table has no free entry for the query
)

// Limits bound the table.
type Limits struct {
	MaxIDs         int   // maximum number of ids
	MaxAnswerBytes int64 // maximum total size of the stored answers
	Retention      int64 // ns that an id is kept after its query has ended
}

// state says whether a query is running, has ended with a stored answer, or may have run with an unknown result.
type state uint8

const (
	running state = iota
	ended
	interrupted
)

// entry is what the table stores about one query.
type entry struct {
	id        string
	state     state
	changedAt int64 // time at which the query began, or ended if it isn't running
	answer    []byte
}

// Window is the table of remembered ids.
type Window struct {
	Limits
	entries     map[string]*entry
	expiryOrder []*entry // entries that aren't running, in the order in which they expire
	answerBytes int64    // total size of the stored answers
}

// New returns an empty Window.
func New(limits Limits) *Window { return &Window{Limits: limits, entries: map[string]*entry{}} }

// Begin decides what to do with a query. The second result is the answer if the verdict is Answered.
//
// Danger: if an id is dropped too early, a repeated query runs a second time. So when the table is full, a new query gets
// Full and must be rejected without running, and no entry that may still be repeated is dropped for it.
func (w *Window) Begin(now int64, id string) (Verdict, []byte) {
	w.expire(now)
	if e := w.entries[id]; e != nil {
		switch e.state {
		case running:
			return InProgress, nil
		case ended:
			return Answered, e.answer
		}
		return Interrupted, nil
	}
	if len(w.entries) >= w.MaxIDs {
		return Full, nil
	}
	w.entries[id] = &entry{id: id, changedAt: now}
	return FirstSeen, nil
}

// End stores the answer of a query. If the answer is too large for the remaining space, the query is stored as interrupted,
// so that it doesn't run again.
func (w *Window) End(now int64, id string, answer []byte) {
	e := w.entries[id]
	if e == nil || e.state != running {
		return
	}
	w.expire(now)
	e.state, e.changedAt, e.answer = ended, now, answer
	if w.answerBytes+int64(len(answer)) > w.MaxAnswerBytes {
		e.state, e.answer = interrupted, nil
	}
	w.answerBytes += int64(len(e.answer))
	w.expiryOrder = append(w.expiryOrder, e)
}

// Interrupt records that a query may have run with an unknown result.
func (w *Window) Interrupt(now int64, id string) {
	if e := w.entries[id]; e != nil && e.state == running {
		e.state, e.changedAt = interrupted, now
		w.expiryOrder = append(w.expiryOrder, e)
	}
}

// Discard removes a query that certainly hasn't run, so that it may be sent again.
func (w *Window) Discard(id string) {
	if e := w.entries[id]; e != nil && e.state == running {
		delete(w.entries, id)
	}
}

// expire drops the entries that are older than the retention time.
func (w *Window) expire(now int64) {
	n := 0
	for n < len(w.expiryOrder) && now-w.expiryOrder[n].changedAt > w.Retention {
		delete(w.entries, w.expiryOrder[n].id)
		w.answerBytes -= int64(len(w.expiryOrder[n].answer))
		n++
	}
	if n > 0 {
		w.expiryOrder = slices.Delete(w.expiryOrder, 0, n)
	}
}

// Len returns how many ids are stored.
func (w *Window) Len() int { return len(w.entries) }

// Format of a snapshot: one byte for the version, the entries, and a checksum of eight bytes.
const (
	formatVersion = 1
	checksumBytes = 8
	maxIDBytes    = 256

	fieldEntry                                                  = 1
	fieldID, fieldState, fieldAge, fieldAnswer protowire.Number = 1, 2, 3, 4
)

// Snapshot encodes the table. Times are stored as ages relative to now.
func (w *Window) Snapshot(now int64) []byte {
	b := []byte{formatVersion}
	var encoded []byte
	put := func(e *entry) {
		encoded = protowire.AppendString(protowire.AppendTag(encoded[:0], fieldID, protowire.BytesType), e.id)
		encoded = protowire.AppendVarint(protowire.AppendTag(encoded, fieldState, protowire.VarintType), uint64(e.state))
		encoded = protowire.AppendVarint(protowire.AppendTag(encoded, fieldAge, protowire.VarintType), uint64(max(now-e.changedAt, 0)))
		encoded = protowire.AppendBytes(protowire.AppendTag(encoded, fieldAnswer, protowire.BytesType), e.answer)
		b = protowire.AppendBytes(protowire.AppendTag(b, fieldEntry, protowire.BytesType), encoded)
	}
	var runningIDs []string
	for id, e := range w.entries {
		if e.state == running {
			runningIDs = append(runningIDs, id)
		}
	}
	slices.Sort(runningIDs)
	for _, e := range w.expiryOrder {
		put(e)
	}
	for _, id := range runningIDs {
		put(w.entries[id])
	}
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// ErrDamaged says that a snapshot can't be used.
var ErrDamaged = errors.New("the snapshot of ids is damaged")

// Restore adds the entries of a snapshot that was made age ns ago. Queries that were running are interrupted. If Restore
// returns an error, the table is unchanged.
//
// Danger: if only a part of a snapshot were restored, queries from the other part could run again. So it is restored
// completely or not at all.
func (w *Window) Restore(now, age int64, snapshot []byte) error {
	if len(snapshot) < 1+checksumBytes || snapshot[0] != formatVersion {
		return ErrDamaged
	}
	body := snapshot[:len(snapshot)-checksumBytes]
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(snapshot[len(body):]) {
		return ErrDamaged
	}
	var entries []*entry
	for b := body[1:]; len(b) > 0; {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 || field != fieldEntry || kind != protowire.BytesType {
			return ErrDamaged
		}
		inner, m := protowire.ConsumeBytes(b[n:])
		if m < 0 {
			return ErrDamaged
		}
		e, err := decodeEntry(inner, now-max(age, 0))
		if err != nil {
			return err
		}
		entries = append(entries, e)
		b = b[n+m:]
	}
	slices.SortStableFunc(entries, func(a, b *entry) int { return int(min(max(a.changedAt-b.changedAt, -1), 1)) })
	for _, e := range entries {
		if now-e.changedAt > w.Retention || w.entries[e.id] != nil || len(w.entries) >= w.MaxIDs {
			continue
		}
		if w.answerBytes+int64(len(e.answer)) > w.MaxAnswerBytes {
			e.state, e.answer = interrupted, nil
		}
		w.answerBytes += int64(len(e.answer))
		w.entries[e.id] = e
		w.expiryOrder = append(w.expiryOrder, e)
	}
	return nil
}

// decodeEntry decodes one entry of a snapshot that was made at snapshotAt.
func decodeEntry(b []byte, snapshotAt int64) (*entry, error) {
	e := &entry{}
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return nil, ErrDamaged
		}
		b = b[n:]
		switch {
		case kind == protowire.VarintType:
			v, m := protowire.ConsumeVarint(b)
			if n = m; n >= 0 && field == fieldState {
				e.state = state(min(v, uint64(interrupted)))
			} else if field == fieldAge {
				e.changedAt = snapshotAt - int64(min(v, math.MaxInt64/4))
			}
		case kind == protowire.BytesType:
			text, m := protowire.ConsumeBytes(b)
			if n = m; n >= 0 && field == fieldID {
				e.id = string(text)
			} else if field == fieldAnswer {
				e.answer = slices.Clone(text)
			}
		default:
			n = protowire.ConsumeFieldValue(field, kind, b)
		}
		if n < 0 {
			return nil, ErrDamaged
		}
		b = b[n:]
	}
	if e.id == "" || len(e.id) > maxIDBytes {
		return nil, fmt.Errorf("%w: an id of %d bytes", ErrDamaged, len(e.id))
	}
	if e.state == running { // it was running when the process ended
		e.state = interrupted
	}
	return e, nil
}
