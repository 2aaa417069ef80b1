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
	formNow     = 1
	sumBytes    = 4
	recordMost  = 4 << 10 // bytes: what is longer was not written by this program
	findingMost = 64      // in one record, the gravest first
	nameMost    = 128     // bytes of an aggregator's name

	fieldIncarnation, fieldSequence, fieldAt, fieldReplicas, fieldAccused, fieldFinding = 1, 2, 3, 4, 5, 6
	fieldKey, fieldVerdict, fieldPace, fieldOld                                         = 1, 2, 3, 4

	paceUnit = 16 // a pace travels in sixteenths
	paceMost = 64 // times the typical
)

// Verdict is what an aggregator found of a replica.
type Verdict uint8

const (
	FoundSlow    Verdict = iota + 1 // it serves, and takes long
	FoundFailing                    // one failure since it last served
	FoundAside                      // set aside for failures
	FoundWell                       // it served lately, and nothing has failed since
	verdictEnd
)

// Testimony is one aggregator's finding on one replica, as it travels.
type Testimony struct {
	Key     uint64 // of the replica's incarnation: see Key
	Verdict Verdict
	Pace    float64 // its time for a call over the typical one, 0 where not known
	Old     int64   // since it was found, at the time of writing, ns
}

// Record is what one aggregator tells. Incarnation and Sequence fence it: what an earlier process of that name left
// behind has a lower incarnation, and an older state of the store a lower sequence.
type Record struct {
	Incarnation uint64
	Sequence    uint64
	At          int64 // the store's clock when it was written, as its writer reckons it, ns
	Replicas    int   // how many it knows
	Accused     int   // on how many of them it has a failure to tell, be they in the record or not
	Testimonies []Testimony
}

// Key names a replica's incarnation to all aggregators alike: its host and when it started, ms of Unix time.
func Key(host string, born int64) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(host)
	d.Write(binary.LittleEndian.AppendUint64(nil, uint64(born)))
	return d.Sum64()
}

// Append encodes a record behind b.
func (r Record) Append(b []byte) []byte {
	from := len(b)
	b = append(b, formNow)
	number := func(field protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
		}
	}
	number(fieldIncarnation, r.Incarnation)
	number(fieldSequence, r.Sequence)
	number(fieldAt, uint64(max(r.At, 0)))
	number(fieldReplicas, uint64(r.Replicas))
	number(fieldAccused, uint64(r.Accused))
	var one []byte
	for _, t := range r.Testimonies[:min(len(r.Testimonies), findingMost)] {
		one = protowire.AppendTag(one[:0], fieldKey, protowire.Fixed64Type)
		one = protowire.AppendFixed64(one, t.Key)
		one = protowire.AppendVarint(protowire.AppendTag(one, fieldVerdict, protowire.VarintType), uint64(t.Verdict))
		if pace := uint64(math.Round(min(max(t.Pace, 0), paceMost) * paceUnit)); pace > 0 {
			one = protowire.AppendVarint(protowire.AppendTag(one, fieldPace, protowire.VarintType), pace)
		}
		if old := uint64(max(t.Old, 0) / ms); old > 0 {
			one = protowire.AppendVarint(protowire.AppendTag(one, fieldOld, protowire.VarintType), old)
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, fieldFinding, protowire.BytesType), one)
	}
	return binary.LittleEndian.AppendUint32(b, uint32(xxhash.Sum64(b[from:])))
}

var (
	errLong  = fmt.Errorf("a record is over %d bytes", recordMost)
	errShort = errors.New("a record is cut short")
	errSum   = errors.New("a record's checksum does not fit")
	errForm  = errors.New("a record is of a form that is not known here")
	errField = errors.New("a record's fields are malformed")
)

// Decode reads a record.
//
// Danger: whatever the store gives back may be cut, old, of another program or hostile: what does not fit in every way
// is refused whole, and nothing is made room for before its length is known to be there.
func Decode(b []byte) (r Record, err error) {
	switch {
	case len(b) > recordMost:
		return r, errLong
	case len(b) < 1+sumBytes:
		return r, errShort
	}
	body, sum := b[:len(b)-sumBytes], binary.LittleEndian.Uint32(b[len(b)-sumBytes:])
	switch {
	case uint32(xxhash.Sum64(body)) != sum:
		return r, errSum
	case body[0] != formNow:
		return r, errForm
	}
	err = fields(body[1:], func(field protowire.Number, v uint64, inner []byte) error {
		switch field {
		case fieldIncarnation:
			r.Incarnation = v
		case fieldSequence:
			r.Sequence = v
		case fieldAt:
			r.At = int64(v)
		case fieldReplicas:
			r.Replicas = int(min(v, math.MaxInt32))
		case fieldAccused:
			r.Accused = int(min(v, math.MaxInt32))
		case fieldFinding:
			if len(r.Testimonies) == findingMost {
				return errField
			}
			t, err := testimony(inner)
			if t.Verdict > 0 && t.Verdict < verdictEnd { // a later version may have more
				r.Testimonies = append(r.Testimonies, t)
			}
			return err
		}
		return nil
	})
	if err == nil && (r.At < 0 || r.Incarnation == 0) {
		err = errField
	}
	return r, err
}

func testimony(b []byte) (t Testimony, err error) {
	err = fields(b, func(field protowire.Number, v uint64, _ []byte) error {
		switch field {
		case fieldKey:
			t.Key = v
		case fieldVerdict:
			t.Verdict = Verdict(min(v, math.MaxUint8))
		case fieldPace:
			t.Pace = float64(min(v, paceMost*paceUnit)) / paceUnit
		case fieldOld:
			t.Old = int64(min(v, 1<<32)) * ms
		}
		return nil
	})
	return t, err
}

// fields walks over the fields of a message; numbers of any width come as v, bytes as inner.
func fields(b []byte, each func(field protowire.Number, v uint64, inner []byte) error) error {
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
