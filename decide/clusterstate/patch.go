package clusterstate

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"io"
)

const (
	blockBytes     = 32         // bytes of a block that MakePatch looks up; shorter common stretches are sent as literals
	maxBodyBytes   = 64 << 20   // limit for the bytes of an unpacked or patched configuration
	hashMultiplier = 0x9e3779b1 // multiplier of the rolling hash of a block
)

// ContentSum identifies the content of a configuration by the first 64 bits of the SHA-256 of the bytes that the operator
// sent.
func ContentSum(content []byte) uint64 {
	sum := sha256.Sum256(content)
	return binary.BigEndian.Uint64(sum[:])
}

// Pack compresses a configuration with DEFLATE for the wire and the disk. Routes repeat much of each
// other's text.
func Pack(body []byte) []byte {
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.DefaultCompression)
	w.Write(body)
	w.Close()
	return b.Bytes()
}

// Unpack reverses Pack, and returns false where the bytes are not a packed configuration. It unpacks at most maxBodyBytes.
func Unpack(packed []byte) ([]byte, bool) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBodyBytes))
	return body, err == nil
}

// MakePatch returns a patch that turns a into b. Literals, each preceded by its length, alternate with copies from
// a, each an offset and a length; all of these numbers are varints. A rolling hash finds the blocks of a at any offset of
// b.
func MakePatch(a, b []byte) []byte {
	at := make(map[uint32]int, len(a)/blockBytes)
	for i := 0; i+blockBytes <= len(a); i += blockBytes {
		hash := blockHash(a[i : i+blockBytes])
		if _, ok := at[hash]; !ok {
			at[hash] = i
		}
	}
	var out []byte
	literal := 0
	flush := func(end int) {
		out = binary.AppendUvarint(out, uint64(end-literal))
		out = append(out, b[literal:end]...)
	}
	outgoing := uint32(1) // factor of the byte that leaves the rolling hash
	for range blockBytes {
		outgoing *= hashMultiplier
	}
	hash := uint32(0)
	rehash := true // the hash does not belong to the block at i and is computed from scratch
	for i := 0; i+blockBytes <= len(b); {
		if rehash {
			hash, rehash = blockHash(b[i:i+blockBytes]), false
		}
		if from, ok := at[hash]; ok && bytes.Equal(a[from:from+blockBytes], b[i:i+blockBytes]) {
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
			literal, rehash = i, true
			continue
		}
		if i+blockBytes < len(b) {
			hash = hash*hashMultiplier + uint32(b[i+blockBytes]) - outgoing*uint32(b[i])
		}
		i++
	}
	flush(len(b))
	return out
}

func blockHash(block []byte) (hash uint32) {
	for _, c := range block {
		hash = hash*hashMultiplier + uint32(c)
	}
	return hash
}

// ApplyPatch applies a patch of MakePatch to a. It returns false where the patch is malformed, reaches beyond a, or makes
// more than maxBodyBytes.
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
