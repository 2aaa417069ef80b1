package gather

import (
	"bytes"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestGreatest compares with sorting everything.
func TestGreatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 100), 0, 5).Draw(t, "parts")
		n := rapid.IntRange(0, 12).Draw(t, "n")
		var all [][]byte
		for _, p := range parts {
			for i := 0; i+RecordBytes <= len(p); i += RecordBytes {
				all = append(all, p[i:i+RecordBytes])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(n, len(all))], nil)
		must.Eq(t, string(want), string(Greatest(nil, parts, n)))
	})
}
