package clusterstate

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"io"
)

const (
	blockBytes     = 32       // bytes that are looked up; shorter stretches in common are sent anew
	maxBodyBytes   = 64 << 20 // bytes of a configuration
	hashMultiplier = 0x9e3779b1
)

// ContentSum identifies a configuration's content, the bytes that the operator sent: the first 64 bits of their SHA-256.
func ContentSum(content []byte) uint64 {
	sum := sha256.Sum256(content)
	return binary.BigEndian.Uint64(sum[:])
}

// Pack makes a configuration short for the wire and the disk: routes repeat each other's words.
func Pack(body []byte) []byte {
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.DefaultCompression)
	w.Write(body)
	w.Close()
	return b.Bytes()
}

// Unpack is the way back; false where the bytes are no packed configuration.
func Unpack(packed []byte) ([]byte, bool) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBodyBytes))
	return body, err == nil
}

// MakePatch says how to make b of a: stretches of a, by offset and length, and new bytes between them. The blocks
// of a are found again at any offset of b by a sum that rolls.
func MakePatch(a, b []byte) []byte {
	at := make(map[uint32]int, len(a)/blockBytes)
	for i := 0; i+blockBytes <= len(a); i += blockBytes {
		s := blockHash(a[i : i+blockBytes])
		if _, ok := at[s]; !ok {
			at[s] = i
		}
	}
	var out []byte
	literal := 0
	flush := func(end int) {
		out = binary.AppendUvarint(out, uint64(end-literal))
		out = append(out, b[literal:end]...)
	}
	top := uint32(1)
	for range blockBytes {
		top *= hashMultiplier
	}
	s := uint32(0)
	fresh := true
	for i := 0; i+blockBytes <= len(b); {
		if fresh {
			s, fresh = blockHash(b[i:i+blockBytes]), false
		}
		if from, ok := at[s]; ok && bytes.Equal(a[from:from+blockBytes], b[i:i+blockBytes]) {
			n := blockBytes
			for from+n < len(a) && i+n < len(b) && a[from+n] == b[i+n] {
				n++
			}
			for from > 0 && i > literal && a[from-1] == b[i-1] {
				from, i, n = from-1, i-1, n+1
			}
			flush(i)
			out = binary.AppendUvarint(out, uint64(from))
			out = binary.AppendUvarint(out, uint64(n))
			i += n
			literal, fresh = i, true
			continue
		}
		if i+blockBytes < len(b) {
			s = s*hashMultiplier + uint32(b[i+blockBytes]) - top*uint32(b[i])
		}
		i++
	}
	flush(len(b))
	return out
}

func blockHash(b []byte) (s uint32) {
	for _, c := range b {
		s = s*hashMultiplier + uint32(c)
	}
	return s
}

// ApplyPatch makes b of a and a patch; false where the patch is none for a.
func ApplyPatch(a, patch []byte) (b []byte, ok bool) {
	for {
		n, k := binary.Uvarint(patch)
		if k <= 0 || n > uint64(len(patch)-k) {
			return nil, false
		}
		b, patch = append(b, patch[k:k+int(n)]...), patch[k+int(n):]
		if len(patch) == 0 {
			return b, true
		}
		from, k := binary.Uvarint(patch)
		if k <= 0 {
			return nil, false
		}
		patch = patch[k:]
		n, k = binary.Uvarint(patch)
		if k <= 0 || from > uint64(len(a)) || n > uint64(len(a))-from || len(b)+int(n) > maxBodyBytes {
			return nil, false
		}
		b, patch = append(b, a[from:from+n]...), patch[k:]
	}
}
