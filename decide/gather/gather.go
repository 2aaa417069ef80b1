// Package gather merges the parts of a gathered answer. It does no I/O and copies a record only into the
// answer.
//
// Decides: which records make up an answer, and which parts may stand in one.
package gather

import (
	"bytes"
	"slices"
)

// RecordBytes is the length of a record; a rest that is shorter is none.
const RecordBytes = 16

// Greatest appends the n greatest records of the parts to out, falling byte by byte; equal ones all count.
func Greatest(out []byte, parts [][]byte, n int) []byte {
	if n <= 0 {
		return out
	}
	var top [][]byte // falling, n at most
	for _, p := range parts {
		for ; len(p) >= RecordBytes; p = p[RecordBytes:] {
			r := p[:RecordBytes]
			if len(top) == n && bytes.Compare(r, top[n-1]) <= 0 {
				continue
			}
			at, _ := slices.BinarySearchFunc(top, r, func(a, b []byte) int { return bytes.Compare(b, a) })
			if len(top) == n {
				top = top[:n-1]
			}
			top = slices.Insert(top, at, r)
		}
	}
	for _, r := range top {
		out = append(out, r...)
	}
	return out
}
