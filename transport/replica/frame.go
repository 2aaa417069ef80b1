// Package replica implements the frame protocol with replicas: the codec, and the pool that owns every
// connection to them. It makes no decisions of its own.
package replica

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// The letters that begin frames.
const (
	LetterCall     = 'R'
	LetterAbandon  = 'A'
	LetterReply    = 'Y'
	LetterUnusable = 'N'
	LetterProbe    = 'G'
	LetterLoad     = 'T'
)

const (
	lengthBytes   = 4        // size of the length that begins a frame, most significant byte first
	maxFrameBytes = 72 << 10 // largest incoming frame: its value may hold 64 KiB, like an answer to a client
	minFrameBytes = 1        // a frame holds at least its letter
)

// Outcome is what a replica states about a part.
type Outcome uint8

const (
	Succeeded Outcome = iota // the part was executed; the reply holds its value
	Failed                   // the part may have been executed
	Rejected                 // the part was never executed
)

// Part is one part of a query, as a call requests it.
type Part struct {
	ID     string
	Shard  int
	WaitMs int64 // how long the answer is waited for, ms
	Text   []byte
}

// Reply is what a replica's reply states about one part, without the load report.
type Reply struct {
	ID      string
	Outcome Outcome
	Value   string
}

var outcomeWords = [...]string{Succeeded: "OK", Failed: "ERROR", Rejected: "REJECTED"}

var (
	errUnusableFrame = errors.New("the replica could not use a frame")
	errBadCall       = errors.New("a call that cannot be read")
	errBadReply      = errors.New("an answer that cannot be read")
)

// replyLetters are the letters that a replica's frames may begin with.
const replyLetters = string(rune(LetterReply)) + string(rune(LetterUnusable)) + string(rune(LetterProbe)) + string(rune(LetterLoad))

// AppendFrame appends a frame to buf.
func AppendFrame(buf []byte, letter byte, rest string) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(1+len(rest)))
	return append(append(buf, letter), rest...)
}

// appendCall appends the frame of a call to buf.
func appendCall(buf []byte, parts []Part) []byte {
	start := len(buf)
	buf = AppendFrame(buf, LetterCall, "")
	for _, p := range parts {
		buf = append(append(buf, p.ID...), ' ')
		buf = append(strconv.AppendInt(buf, int64(p.Shard), 10), " d="...)
		buf = append(strconv.AppendInt(buf, p.WaitMs, 10), ' ')
		buf = append(strconv.AppendInt(buf, int64(len(p.Text)), 10), '\n')
		buf = append(buf, p.Text...)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-lengthBytes))
	return buf
}

// ReadFrame returns the letter and the rest of the next frame.
func ReadFrame(r *bufio.Reader) (byte, []byte, error) { return readFrame(r, func() {}) }

// readFrame calls started once the first byte of the frame has arrived.
//
// Danger: no memory may be allocated for a frame whose header announces gigabytes.
func readFrame(r *bufio.Reader, started func()) (byte, []byte, error) {
	var head [lengthBytes + 1]byte
	if _, err := r.Peek(1); err != nil {
		return 0, nil, err
	}
	started()
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < minFrameBytes || n > maxFrameBytes {
		return 0, nil, fmt.Errorf("%w: %d bytes", errBadReply, n)
	}
	rest := make([]byte, n-1)
	if _, err := io.ReadFull(r, rest); err != nil {
		return 0, nil, err
	}
	return head[lengthBytes], rest, nil
}

// readReply returns the next reply on a connection and skips probe and load frames.
func readReply(r *bufio.Reader, started func()) (Reply, error) {
	for {
		letter, rest, err := readFrame(r, started)
		switch {
		case err != nil:
			return Reply{}, err
		case letter == LetterReply:
			return parseReply(rest)
		case letter == LetterUnusable:
			return Reply{}, fmt.Errorf("%w: %.80q", errUnusableFrame, rest)
		case strings.IndexByte(replyLetters, letter) < 0:
			return Reply{}, fmt.Errorf("%w: the letter %q", errBadReply, letter)
		}
	}
}

// parseReply decodes the rest of a reply's frame. It ignores the load report, so a malformed one does no harm.
//
// Danger: a value that is not valid text would reach the client changed. A value that holds the next frame by a
// wrong length contains that frame's length, whose first byte is zero; so zero bytes are refused.
func parseReply(rest []byte) (Reply, error) {
	line, value, ok := strings.Cut(string(rest), "\n")
	words := strings.SplitN(line, " ", 4)
	if !ok || len(words) < 4 || words[0] == "" {
		return Reply{}, fmt.Errorf("%w: a line that opens with %.80q", errBadReply, line)
	}
	outcome := slices.Index(outcomeWords[:], words[1])
	if outcome < 0 {
		return Reply{}, fmt.Errorf("%w: the end %.20q", errBadReply, words[1])
	}
	if _, err := strconv.ParseInt(words[2], 10, 64); err != nil && Outcome(outcome) == Succeeded {
		return Reply{}, fmt.Errorf("%w: the score %.20q", errBadReply, words[2])
	}
	if Outcome(outcome) == Succeeded && (!utf8.ValidString(value) || strings.Contains(value, "\x00")) {
		return Reply{}, fmt.Errorf("%w: a value that is no text", errBadReply)
	}
	return Reply{ID: words[0], Outcome: Outcome(outcome), Value: value}, nil
}

// plausibleFrame reports whether the bytes after a reply can begin another frame.
func plausibleFrame(next []byte) bool {
	var head [lengthBytes]byte
	copy(head[:], next)
	n := binary.BigEndian.Uint32(head[:])
	return n <= maxFrameBytes && (len(next) < lengthBytes || n >= minFrameBytes) &&
		(len(next) <= lengthBytes || strings.IndexByte(replyLetters, next[lengthBytes]) >= 0)
}

// ParseCall decodes the rest of a call's frame, for simulated replicas.
func ParseCall(rest []byte) (parts []Part, err error) {
	for text := string(rest); text != ""; {
		line, after, ok := strings.Cut(text, "\n")
		words := strings.Split(line, " ")
		if !ok || len(words) != 4 || words[0] == "" {
			return nil, fmt.Errorf("%w: %.80q", errBadCall, line)
		}
		p := Part{ID: words[0]}
		if p.Shard, err = strconv.Atoi(words[1]); err != nil {
			return nil, fmt.Errorf("%w: shard: %w", errBadCall, err)
		}
		for _, item := range strings.Split(words[2], ",") {
			if name, v, _ := strings.Cut(item, "="); name == "d" {
				if p.WaitMs, err = strconv.ParseInt(v, 10, 64); err != nil {
					return nil, fmt.Errorf("%w: wait: %w", errBadCall, err)
				}
			}
		}
		n, err := strconv.Atoi(words[3])
		if err != nil || n < 0 || n > len(after) {
			return nil, fmt.Errorf("%w: length %.20q", errBadCall, words[3])
		}
		p.Text, text = []byte(after[:n]), after[n:]
		parts = append(parts, p)
	}
	if len(parts) == 0 {
		return nil, fmt.Errorf("%w: no part", errBadCall)
	}
	return parts, nil
}

// AppendReply appends the frame of a reply to buf, for simulated replicas.
func AppendReply(buf []byte, r Reply, report string) []byte {
	return AppendFrame(buf, LetterReply, r.ID+" "+outcomeWords[r.Outcome]+" 0 "+report+"\n"+r.Value)
}
