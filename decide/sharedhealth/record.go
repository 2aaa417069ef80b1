package sharedhealth

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
)

// An encoded record is a byte for the format, fields in the wire format of protocol buffers, and a checksum of four
// bytes over all of that. A reader skips fields that it does not know, and rejects a record of a format that it does
// not know.
const (
	currentFormat  = 1
	checksumBytes  = 4
	maxRecordBytes = 4 << 10 // maximum length of an encoded record; a longer value was not written by this program
	maxFindings    = 64      // maximum number of findings in one record; the most severe ones are kept
	maxNameBytes   = 128     // maximum length of an aggregator's name

	fieldIncarnation, fieldSequence, fieldWrittenAt, fieldReplicas, fieldFailingReplicas, fieldFinding = 1, 2, 3, 4, 5, 6
	fieldKey, fieldVerdict, fieldSlowdown, fieldAge                                                    = 1, 2, 3, 4

	slowdownScale      = 16 // a slowdown is encoded in sixteenths
	maxEncodedSlowdown = 64 // the highest slowdown that can be encoded
)

// Verdict is an aggregator's assessment of a replica.
type Verdict uint8

const (
	FoundSlow    Verdict = iota + 1 // the replica answers, but slowly
	FoundFailing                    // the replica has failed since it last answered
	FoundEjected                    // the replica is ejected for failures
	FoundHealthy                    // the replica answered recently and has not failed since
	verdictEnd
)

// Finding is one aggregator's assessment of one replica in a record.
type Finding struct {
	Key      uint64 // identifies the replica's incarnation: see ReplicaKey
	Verdict  Verdict
	Slowdown float64 // the replica's time for a call relative to the typical one; 0 if not known
	Age      int64   // how long before the record was written this was observed, ns
}

// Record is what one aggregator publishes. Incarnation and Sequence tell which of two records is newer: one left by an
// earlier process of that name has a lower incarnation, and one from an older state of the store has a lower sequence.
type Record struct {
	Incarnation     uint64
	Sequence        uint64
	WrittenAt       int64 // the store's time when the record was written, as its writer estimates it, ns
	Replicas        int   // number of replicas that the writer knows
	FailingReplicas int   // how many of them are ejected or failed last, including those left out of Findings
	Findings        []Finding
}

// ReplicaKey identifies a replica's incarnation in the same way for all aggregators: by its host and its start time in
// ms of Unix time.
func ReplicaKey(host string, startedMs int64) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(host)
	d.Write(binary.LittleEndian.AppendUint64(nil, uint64(startedMs)))
	return d.Sum64()
}

// Append encodes the record and appends it to b.
func (r Record) Append(b []byte) []byte {
	from := len(b)
	b = append(b, currentFormat)
	appendNumber := func(field protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
		}
	}
	appendNumber(fieldIncarnation, r.Incarnation)
	appendNumber(fieldSequence, r.Sequence)
	appendNumber(fieldWrittenAt, uint64(max(r.WrittenAt, 0)))
	appendNumber(fieldReplicas, uint64(r.Replicas))
	appendNumber(fieldFailingReplicas, uint64(r.FailingReplicas))
	var encoded []byte
	for _, t := range r.Findings[:min(len(r.Findings), maxFindings)] {
		encoded = protowire.AppendTag(encoded[:0], fieldKey, protowire.Fixed64Type)
		encoded = protowire.AppendFixed64(encoded, t.Key)
		encoded = protowire.AppendVarint(protowire.AppendTag(encoded, fieldVerdict, protowire.VarintType), uint64(t.Verdict))
		if scaled := uint64(math.Round(min(max(t.Slowdown, 0), maxEncodedSlowdown) * slowdownScale)); scaled > 0 {
			encoded = protowire.AppendVarint(protowire.AppendTag(encoded, fieldSlowdown, protowire.VarintType), scaled)
		}
		if ageMs := uint64(max(t.Age, 0) / ms); ageMs > 0 {
			encoded = protowire.AppendVarint(protowire.AppendTag(encoded, fieldAge, protowire.VarintType), ageMs)
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, fieldFinding, protowire.BytesType), encoded)
	}
	return binary.LittleEndian.AppendUint32(b, uint32(xxhash.Sum64(b[from:])))
}

var (
	errTooLong   = fmt.Errorf("the record is longer than %d bytes", maxRecordBytes)
	errTruncated = errors.New("the record is truncated")
	errChecksum  = errors.New("the record's checksum does not match")
	errFormat    = errors.New("the record has an unknown format")
	errField     = errors.New("the record's fields are malformed")
)

// Decode decodes a record.
//
// Danger: a value from the store may be truncated, outdated, written by another program or hostile. Decode rejects a
// record that is malformed anywhere, and allocates nothing for data whose length it has not checked.
func Decode(b []byte) (r Record, err error) {
	switch {
	case len(b) > maxRecordBytes:
		return r, errTooLong
	case len(b) < 1+checksumBytes:
		return r, errTruncated
	}
	body, sum := b[:len(b)-checksumBytes], binary.LittleEndian.Uint32(b[len(b)-checksumBytes:])
	switch {
	case uint32(xxhash.Sum64(body)) != sum:
		return r, errChecksum
	case body[0] != currentFormat:
		return r, errFormat
	}
	err = eachField(body[1:], func(field protowire.Number, v uint64, inner []byte) error {
		switch field {
		case fieldIncarnation:
			r.Incarnation = v
		case fieldSequence:
			r.Sequence = v
		case fieldWrittenAt:
			r.WrittenAt = int64(v)
		case fieldReplicas:
			r.Replicas = int(min(v, math.MaxInt32))
		case fieldFailingReplicas:
			r.FailingReplicas = int(min(v, math.MaxInt32))
		case fieldFinding:
			if len(r.Findings) == maxFindings {
				return errField
			}
			t, err := decodeFinding(inner)
			if t.Verdict > 0 && t.Verdict < verdictEnd { // a later version may have more verdicts
				r.Findings = append(r.Findings, t)
			}
			return err
		}
		return nil
	})
	if err == nil && (r.WrittenAt < 0 || r.Incarnation == 0) {
		err = errField
	}
	return r, err
}

func decodeFinding(b []byte) (t Finding, err error) {
	err = eachField(b, func(field protowire.Number, v uint64, _ []byte) error {
		switch field {
		case fieldKey:
			t.Key = v
		case fieldVerdict:
			t.Verdict = Verdict(min(v, math.MaxUint8))
		case fieldSlowdown:
			t.Slowdown = float64(min(v, maxEncodedSlowdown*slowdownScale)) / slowdownScale
		case fieldAge:
			t.Age = int64(min(v, 1<<32)) * ms
		}
		return nil
	})
	return t, err
}

// eachField calls each for every field of an encoded message. v holds a number of any width, inner holds bytes.
func eachField(b []byte, each func(field protowire.Number, v uint64, inner []byte) error) error {
	for len(b) > 0 {
		field, form, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errField
		}
		b = b[n:]
		var v uint64
		var inner []byte
		switch form {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			inner, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(field, form, b)
		}
		if n < 0 {
			return errField
		}
		if err := each(field, v, inner); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
