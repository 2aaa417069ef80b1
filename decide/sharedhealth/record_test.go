package sharedhealth

import (
	"encoding/binary"
	"math"
	"reflect"
	"testing"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

func randomRecord(t *rapid.T) Record {
	r := Record{Incarnation: rapid.Uint64Min(1).Draw(t, "incarnation"), Sequence: rapid.Uint64().Draw(t, "sequence"),
		WrittenAt: rapid.Int64Min(0).Draw(t, "at"), Replicas: rapid.IntRange(0, 1000).Draw(t, "replicas"),
		FailingReplicas: rapid.IntRange(0, 1000).Draw(t, "accused")}
	for range rapid.IntRange(0, maxFindings).Draw(t, "findings") {
		r.Findings = append(r.Findings, Finding{Key: rapid.Uint64().Draw(t, "key"),
			Verdict:  Verdict(rapid.IntRange(1, int(verdictEnd)-1).Draw(t, "verdict")),
			Slowdown: float64(rapid.IntRange(0, maxEncodedSlowdown*slowdownScale).Draw(t, "pace")) / slowdownScale,
			Age:      rapid.Int64Range(0, 1<<31).Draw(t, "old") * ms})
	}
	return r
}

func TestRecordThereAndBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := randomRecord(t)
		text := r.Append(nil)
		if len(text) > maxRecordBytes {
			t.Fatalf("%d bytes", len(text))
		}
		got, err := Decode(text)
		if err != nil || !reflect.DeepEqual(got, r) {
			t.Fatalf("got %+v, %v, want %+v", got, err, r)
		}
	})
}

// Danger: a record that is truncated, has a flipped bit or is too long must be rejected as a whole.
func TestRecordDamaged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := randomRecord(t).Append(nil)
		if _, err := Decode(text[:rapid.IntRange(0, len(text)-1).Draw(t, "cut")]); err == nil {
			t.Fatal("a record cut short was read")
		}
		bit := rapid.IntRange(0, 8*len(text)-1).Draw(t, "bit")
		text[bit/8] ^= 1 << (bit % 8)
		if _, err := Decode(text); err == nil {
			t.Fatal("a record with a flipped bit was read")
		}
	})
	if _, err := Decode(make([]byte, maxRecordBytes+1)); err != errTooLong {
		t.Errorf("a long record: %v", err)
	}
}

func withChecksum(body []byte) []byte {
	return binary.LittleEndian.AppendUint32(body, uint32(xxhash.Sum64(body)))
}

// A later version may have more fields and more verdicts; both are skipped.
func TestRecordOfLaterVersion(t *testing.T) {
	r := Record{Incarnation: 3, Sequence: 9, WrittenAt: 5, Findings: []Finding{{Key: 7, Verdict: FoundEjected}}}
	body := r.Append(nil)
	body = body[:len(body)-checksumBytes]
	body = protowire.AppendString(protowire.AppendTag(body, 40, protowire.BytesType), "what is this")
	body = protowire.AppendFixed32(protowire.AppendTag(body, 41, protowire.Fixed32Type), 8)
	laterVerdict := protowire.AppendVarint(protowire.AppendTag(nil, fieldVerdict, protowire.VarintType), 200)
	body = protowire.AppendBytes(protowire.AppendTag(body, fieldFinding, protowire.BytesType), laterVerdict)
	got, err := Decode(withChecksum(body))
	if err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("got %+v, %v", got, err)
	}
	other := append([]byte{currentFormat + 1}, body[1:]...)
	if _, err := Decode(withChecksum(other)); err != errFormat {
		t.Errorf("another form: %v", err)
	}
	tooMany := Record{Incarnation: 1}.Append(nil)
	tooMany = tooMany[:len(tooMany)-checksumBytes]
	for range maxFindings + 1 {
		one := protowire.AppendVarint(protowire.AppendTag(nil, fieldVerdict, protowire.VarintType), uint64(FoundHealthy))
		tooMany = protowire.AppendBytes(protowire.AppendTag(tooMany, fieldFinding, protowire.BytesType), one)
	}
	if _, err := Decode(withChecksum(tooMany)); err != errField {
		t.Errorf("more findings than a record has: %v", err)
	}
	if _, err := Decode(withChecksum(Record{Sequence: 1}.Append(nil)[:3])); err == nil {
		t.Error("a record without an incarnation was read")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Record{Incarnation: 3, Sequence: 9, WrittenAt: 5, Findings: []Finding{{7, FoundEjected, 2, 5 * ms}}}.Append(nil), true)
	f.Add([]byte{1, 2, 3}, false)
	f.Fuzz(func(t *testing.T, text []byte, sum bool) {
		if sum { // with a valid checksum the decoder gets to the fields
			text = withChecksum(append([]byte{currentFormat}, text...))
		}
		r, err := Decode(text)
		if err != nil {
			return
		}
		if len(r.Findings) > maxFindings || r.Incarnation == 0 || r.WrittenAt < 0 || r.Replicas < 0 || r.FailingReplicas < 0 {
			t.Fatalf("accepted %+v", r)
		}
		for _, e := range r.Findings {
			if e.Verdict == 0 || e.Verdict >= verdictEnd || math.IsNaN(e.Slowdown) || e.Slowdown < 0 || e.Slowdown > maxEncodedSlowdown || e.Age < 0 {
				t.Fatalf("accepted %+v", e)
			}
		}
	})
}

func TestKey(t *testing.T) {
	first, again := ReplicaKey("s-1", 5), ReplicaKey("s-1", 5)
	if first == ReplicaKey("s-1", 6) || first == ReplicaKey("s-2", 5) || first != again {
		t.Error("keys do not tell incarnations apart")
	}
}

func BenchmarkRecord(b *testing.B) {
	r := Record{Incarnation: 3, Sequence: 9, WrittenAt: 1.7e18, Replicas: 300, FailingReplicas: 2}
	for i := range 4 {
		r.Findings = append(r.Findings, Finding{ReplicaKey("s", int64(i)), FoundEjected, 2.5, 1200 * ms})
	}
	b.ReportMetric(float64(len(r.Append(nil))), "bytes")
	for b.Loop() {
		if _, err := Decode(r.Append(nil)); err != nil {
			b.Fatal(err)
		}
	}
}
