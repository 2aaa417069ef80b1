package sharedhealth

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
)

// A record is one byte of form, fields in the wire form of protocol buffers, and four bytes of checksum over all
// before. A reader passes over fields that it does not know; a form that it does not know it refuses whole.
const (
	currentFormat  = 1
	checksumBytes  = 4
	maxRecordBytes = 4 << 10 // bytes: what is longer was not written by this program
	maxFindings    = 64      // in one record, the gravest first
	maxNameBytes   = 128     // bytes of an aggregator's name

	fieldIncarnation, fieldSequence, fieldWrittenAt, fieldReplicas, fieldFailingReplicas, fieldFinding = 1, 2, 3, 4, 5, 6
	fieldKey, fieldVerdict, fieldSlowdown, fieldAge                                                    = 1, 2, 3, 4

	slowdownScale      = 16 // a pace travels in sixteenths
	maxEncodedSlowdown = 64 // times the typical
)

// Verdict is what an aggregator found of a replica.
type Verdict uint8

const (
	FoundSlow    Verdict = iota + 1 // it serves, and takes long
	FoundFailing                    // one failure since it last served
	FoundEjected                    // set aside for failures
	FoundHealthy                    // it served lately, and nothing has failed since
	verdictEnd
)

// Finding is one aggregator's finding on one replica, as it travels.
type Finding struct {
	Key      uint64 // of the replica's incarnation: see Key
	Verdict  Verdict
	Slowdown float64 // its time for a call over the typical one, 0 where not known
	Age      int64   // since it was found, at the time of writing, ns
}

// Record is what one aggregator tells. Incarnation and Sequence fence it: what an earlier process of that name left
// behind has a lower incarnation, and an older state of the store a lower sequence.
type Record struct {
	Incarnation     uint64
	Sequence        uint64
	WrittenAt       int64 // the store's clock when it was written, as its writer reckons it, ns
	Replicas        int   // how many it knows
	FailingReplicas int   // on how many of them it has a failure to tell, be they in the record or not
	Findings        []Finding
}

// ReplicaKey names a replica's incarnation to all aggregators alike: its host and when it started, ms of Unix time.
func ReplicaKey(host string, born int64) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(host)
	d.Write(binary.LittleEndian.AppendUint64(nil, uint64(born)))
	return d.Sum64()
}

// Append encodes a record behind b.
func (r Record) Append(b []byte) []byte {
	from := len(b)
	b = append(b, currentFormat)
	number := func(field protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
		}
	}
	number(fieldIncarnation, r.Incarnation)
	number(fieldSequence, r.Sequence)
	number(fieldWrittenAt, uint64(max(r.WrittenAt, 0)))
	number(fieldReplicas, uint64(r.Replicas))
	number(fieldFailingReplicas, uint64(r.FailingReplicas))
	var one []byte
	for _, t := range r.Findings[:min(len(r.Findings), maxFindings)] {
		one = protowire.AppendTag(one[:0], fieldKey, protowire.Fixed64Type)
		one = protowire.AppendFixed64(one, t.Key)
		one = protowire.AppendVarint(protowire.AppendTag(one, fieldVerdict, protowire.VarintType), uint64(t.Verdict))
		if pace := uint64(math.Round(min(max(t.Slowdown, 0), maxEncodedSlowdown) * slowdownScale)); pace > 0 {
			one = protowire.AppendVarint(protowire.AppendTag(one, fieldSlowdown, protowire.VarintType), pace)
		}
		if old := uint64(max(t.Age, 0) / ms); old > 0 {
			one = protowire.AppendVarint(protowire.AppendTag(one, fieldAge, protowire.VarintType), old)
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, fieldFinding, protowire.BytesType), one)
	}
	return binary.LittleEndian.AppendUint32(b, uint32(xxhash.Sum64(b[from:])))
}

var (
	errTooLong   = fmt.Errorf("a record is over %d bytes", maxRecordBytes)
	errTruncated = errors.New("a record is cut short")
	errChecksum  = errors.New("a record's checksum does not fit")
	errFormat    = errors.New("a record is of a form that is not known here")
	errField     = errors.New("a record's fields are malformed")
)

// Decode reads a record.
//
// Danger: whatever the store gives back may be cut, old, of another program or hostile: what does not fit in every way
// is refused whole, and nothing is made room for before its length is known to be there.
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
			if t.Verdict > 0 && t.Verdict < verdictEnd { // a later version may have more
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

// eachField walks over the fields of a message; numbers of any width come as v, bytes as inner.
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
