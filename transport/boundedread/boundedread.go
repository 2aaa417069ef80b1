// Package boundedread reads what peers send, heads and bodies, within limits and within a budget of memory for all peers together. It
// makes no decisions of its own: decide/memoryshare decides how much of a budget a peer may take.
package boundedread

import (
	"bytes"
	"errors"
	"io"
)

const (
	firstBytes = 4 << 10 // what is allocated before anything has arrived

	// How much larger a body's buffer is than the former one. Where the length is stated, fewer buffers are dropped on the way.
	statedGrowth   = 8
	unstatedGrowth = 2
)

// Exactly reads length bytes, whose memory it takes from the account. It returns io.ErrUnexpectedEOF if there are fewer. After an error the
// account is as before.
//
// Danger: a peer may state any length, and a process that allocated it at once would end for want of memory. So the memory in use grows
// with what has arrived.
func Exactly(r io.Reader, length int64, account *Account) (body []byte, err error) {
	for have := int64(0); have < length; have = int64(len(body)) {
		body, err = readMore(r, body, min(length, nextSize(have, statedGrowth)), account)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			account.Release(int64(len(body)))
			return nil, err
		}
	}
	return body, nil
}

// All reads until the end, and takes the memory of what it reads from the account. After an error the account is as before.
func All(r io.Reader, account *Account) (body []byte, err error) {
	for err == nil {
		body, err = readMore(r, body, nextSize(int64(len(body)), unstatedGrowth), account)
	}
	if !errors.Is(err, io.EOF) {
		account.Release(int64(len(body)))
		return nil, err
	}
	if len(body) < cap(body) { // what the account got back must not stay in use
		body = bytes.Clone(body)
	}
	return body, nil
}

func nextSize(have, growth int64) int64 { return max(growth*have, firstBytes) }

// readMore reads until a body has a size or reading fails. It returns what there is, whose memory is taken.
//
// Danger: only io.EOF is the end of a body. A body that was cut off ends with another error, and must not look whole.
func readMore(r io.Reader, body []byte, size int64, account *Account) ([]byte, error) {
	missing := size - int64(len(body))
	if err := account.take(missing); err != nil {
		return body, err
	}
	body = append(make([]byte, 0, size), body...) // slices.Grow would allocate more than was taken
	for int64(len(body)) < size {
		n, err := r.Read(body[len(body):size])
		body = body[:len(body)+n]
		if err != nil && int64(len(body)) < size {
			account.Release(size - int64(len(body)))
			return body, err
		}
	}
	return body, nil
}

// AtMost reads until the end like All, and returns a LimitError if there are more bytes than a limit.
func AtMost(r io.Reader, limit int64, account *Account) ([]byte, error) {
	body, err := All(io.LimitReader(r, limit+1), account)
	if err == nil && int64(len(body)) > limit {
		account.Release(int64(len(body)))
		return nil, &LimitError{BodyBytes}
	}
	return body, err
}
