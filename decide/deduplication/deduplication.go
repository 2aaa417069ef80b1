// Package deduplication remembers, for a while, the ids of queries that came from another site and how they ended, so that a
// repeat joins the one under way or gets the same answer. It does no I/O and reads no clock.
//
// Decides: whether a query with this id is new, is under way, has its answer, or must not run here again.
//
// What is kept is bounded in time and number. Snapshot and Restore carry it over a planned restart; what a restart cut
// off is known as cut off, and is not run a second time.
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

// Verdict is what to do with a query.
type Verdict uint8

const (
	FirstSeen   Verdict = iota // run it, and End it
	InProgress                 // it is under way: its answer is this one's as well
	Answered                   // it has ended so
	Interrupted                // it may have run, and how it ended is not known here
	Full                       // there is no room to remember it
)

// Limits bound what is kept.
type Limits struct {
	MaxIDs         int   // ids
	MaxAnswerBytes int64 // of answers
	Retention      int64 // that an id is remembered after its end, ns
}

type state uint8

const (
	running state = iota
	ended
	interrupted
)

type entry struct {
	id        string
	state     state
	changedAt int64 // it began, or ended
	answer    []byte
}

// Window is the table. Order is the order of what can be forgotten, the oldest first.
type Window struct {
	Limits
	entries     map[string]*entry
	expiryOrder []*entry // that are not running
	answerBytes int64
}

// New makes an empty window.
func New(t Limits) *Window { return &Window{Limits: t, entries: map[string]*entry{}} }

// Begin asks what to do with a query; its answer comes with Answered.
//
// Danger: an id that is forgotten too soon lets a repeat run a second time. So where there is no room a new one is
// turned away unseen, and nothing that may still be repeated is forgotten for it.
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

// End keeps how a query ended. An answer that there is no room for is kept as cut off: it will not run again.
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

// Interrupt keeps that a query may have run and that nobody knows how it ended.
func (w *Window) Interrupt(now int64, id string) {
	if e := w.entries[id]; e != nil && e.state == running {
		e.state, e.changedAt = interrupted, now
		w.expiryOrder = append(w.expiryOrder, e)
	}
}

// Discard forgets a query that is known not to have run, so that it may come again.
func (w *Window) Discard(id string) {
	if e := w.entries[id]; e != nil && e.state == running {
		delete(w.entries, id)
	}
}

// expire drops what is old.
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

// Len is how many ids are remembered.
func (w *Window) Len() int { return len(w.entries) }

// A snapshot is a byte of form, entries and eight bytes of checksum.
const (
	formatVersion = 1
	checksumBytes = 8
	maxIDBytes    = 256

	fieldEntry                                                  = 1
	fieldID, fieldState, fieldAge, fieldAnswer protowire.Number = 1, 2, 3, 4
)

// Snapshot encodes all that is remembered, ages against now.
func (w *Window) Snapshot(now int64) []byte {
	b := []byte{formatVersion}
	var one []byte
	put := func(e *entry) {
		one = protowire.AppendString(protowire.AppendTag(one[:0], fieldID, protowire.BytesType), e.id)
		one = protowire.AppendVarint(protowire.AppendTag(one, fieldState, protowire.VarintType), uint64(e.state))
		one = protowire.AppendVarint(protowire.AppendTag(one, fieldAge, protowire.VarintType), uint64(max(now-e.changedAt, 0)))
		one = protowire.AppendBytes(protowire.AppendTag(one, fieldAnswer, protowire.BytesType), e.answer)
		b = protowire.AppendBytes(protowire.AppendTag(b, fieldEntry, protowire.BytesType), one)
	}
	var under []string
	for id, e := range w.entries {
		if e.state == running {
			under = append(under, id)
		}
	}
	slices.Sort(under)
	for _, e := range w.expiryOrder {
		put(e)
	}
	for _, id := range under {
		put(w.entries[id])
	}
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// ErrDamaged tells that a snapshot cannot be used.
var ErrDamaged = errors.New("the snapshot of ids is damaged")

// Restore takes a snapshot in; what was under way is cut off. away is how long ago it was made, ns. With an error nothing
// has changed.
//
// Danger: half of a snapshot would let what the other half knew run again: it is taken whole or not at all.
func (w *Window) Restore(now, away int64, snapshot []byte) error {
	if len(snapshot) < 1+checksumBytes || snapshot[0] != formatVersion {
		return ErrDamaged
	}
	body := snapshot[:len(snapshot)-checksumBytes]
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(snapshot[len(body):]) {
		return ErrDamaged
	}
	var all []*entry
	for b := body[1:]; len(b) > 0; {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 || field != fieldEntry || kind != protowire.BytesType {
			return ErrDamaged
		}
		inner, m := protowire.ConsumeBytes(b[n:])
		if m < 0 {
			return ErrDamaged
		}
		e, err := decodeEntry(inner, now-max(away, 0))
		if err != nil {
			return err
		}
		all = append(all, e)
		b = b[n+m:]
	}
	slices.SortStableFunc(all, func(a, b *entry) int { return int(min(max(a.changedAt-b.changedAt, -1), 1)) })
	for _, e := range all {
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
	if e.state == running { // it ran when the process ended
		e.state = interrupted
	}
	return e, nil
}
