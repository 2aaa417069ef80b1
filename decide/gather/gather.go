// Package gather merges the parts of a gathered answer. It does no I/O, and it copies records only into the answer.
//
// Decides: which records make up an answer, and which parts may contribute to one.
package gather

import (
	"bytes"
	"slices"
)

// RecordBytes is the length of a record in bytes. A shorter rest at the end of a part is ignored.
const RecordBytes = 16

// Greatest returns the n greatest records of all parts, in descending byte order. Equal records are all kept. The memory it takes is
// bounded by the size of the parts, whatever n is.
func Greatest(parts [][]byte, n int) []byte {
	if n <= 0 {
		return nil
	}
	var top [][]byte // descending, at most n
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
	return slices.Concat(top...)
}
