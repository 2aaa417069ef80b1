package gather

import (
	"bytes"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestGreatest compares the result with sorting all records. Some records differ only in their last byte, and some are
// equal.
func TestGreatest(t *testing.T) {
	record := rapid.Custom(func(t *rapid.T) []byte {
		r := make([]byte, RecordBytes)
		r[0], r[RecordBytes-1] = rapid.ByteRange(0, 3).Draw(t, "first"), rapid.ByteRange(0, 3).Draw(t, "last")
		return r
	})
	part := rapid.Custom(func(t *rapid.T) []byte {
		whole := bytes.Join(rapid.SliceOfN(record, 0, 7).Draw(t, "records"), nil)
		return append(whole, rapid.SliceOfN(rapid.Byte(), 0, RecordBytes-1).Draw(t, "rest")...)
	})
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(part, 0, 5).Draw(t, "parts")
		n := rapid.IntRange(0, 12).Draw(t, "n")
		var all [][]byte
		for _, p := range parts {
			for i := 0; i+RecordBytes <= len(p); i += RecordBytes {
				all = append(all, p[i:i+RecordBytes])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(n, len(all))], nil)
		must.Eq(t, string(want), string(Greatest(parts, n)))
	})
}
