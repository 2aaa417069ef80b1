// Package replica speaks with replicas: the frame codec, and the pool that owns every connection to them.
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

// The letters that open frames.
const (
	LetterCall   = 'R'
	LetterGiveUp = 'A'
	LetterReply  = 'Y'
	LetterNoUse  = 'N'
	LetterProbe  = 'G'
	LetterLoad   = 'T'
)

const (
	lengthBytes = 4        // of a frame, most significant first
	frameMost   = 72 << 10 // bytes of an incoming frame: an answer to a client holds 64 KiB, and so may a value
	frameLeast  = 1        // the letter
)

// End is how a replica says that it is done with a part.
type End uint8

const (
	Ran        End = iota // with a value
	Failed                // it may have run
	TurnedAway            // it never ran
)

// Part is what a call asks for: one part of a query.
type Part struct {
	ID    string
	Shard int
	Wait  int64 // ms that the answer will be waited for
	Text  []byte
}

// Reply is one part's answer.
type Reply struct {
	ID    string
	End   End
	Value string
}

var endWords = [...]string{Ran: "OK", Failed: "ERROR", TurnedAway: "REJECTED"}

var (
	errNoUse  = errors.New("the replica could not use a frame")
	errCall   = errors.New("a call that cannot be read")
	errSpoilt = errors.New("an answer that cannot be read")
)

// letters are those that a replica's frames may open with.
const letters = string(rune(LetterReply)) + string(rune(LetterNoUse)) + string(rune(LetterProbe)) + string(rune(LetterLoad))

// AppendFrame adds a frame to buf.
func AppendFrame(buf []byte, letter byte, rest string) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(1+len(rest)))
	return append(append(buf, letter), rest...)
}

// appendCall adds the frame of one call to buf.
func appendCall(buf []byte, parts []Part) []byte {
	start := len(buf)
	buf = AppendFrame(buf, LetterCall, "")
	for _, p := range parts {
		buf = append(append(buf, p.ID...), ' ')
		buf = append(strconv.AppendInt(buf, int64(p.Shard), 10), " d="...)
		buf = append(strconv.AppendInt(buf, p.Wait, 10), ' ')
		buf = append(strconv.AppendInt(buf, int64(len(p.Text)), 10), '\n')
		buf = append(buf, p.Text...)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-lengthBytes))
	return buf
}

// ReadFrame returns the letter and the rest of the next frame.
func ReadFrame(r *bufio.Reader) (byte, []byte, error) { return readFrame(r, func() {}) }

// readFrame calls begun once the first byte of the frame is there.
//
// Danger: a frame that announces gigabytes must not be given room for them.
func readFrame(r *bufio.Reader, begun func()) (byte, []byte, error) {
	var head [lengthBytes + 1]byte
	if _, err := r.Peek(1); err != nil {
		return 0, nil, err
	}
	begun()
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < frameLeast || n > frameMost {
		return 0, nil, fmt.Errorf("%w: %d bytes", errSpoilt, n)
	}
	rest := make([]byte, n-1)
	if _, err := io.ReadFull(r, rest); err != nil {
		return 0, nil, err
	}
	return head[lengthBytes], rest, nil
}

// readReply returns the next reply of a connection, passing over frames that tell nothing here.
func readReply(r *bufio.Reader, begun func()) (Reply, error) {
	for {
		letter, rest, err := readFrame(r, begun)
		switch {
		case err != nil:
			return Reply{}, err
		case letter == LetterReply:
			return parseReply(rest)
		case letter == LetterNoUse:
			return Reply{}, fmt.Errorf("%w: %.80q", errNoUse, rest)
		case strings.IndexByte(letters, letter) < 0:
			return Reply{}, fmt.Errorf("%w: the letter %q", errSpoilt, letter)
		}
	}
}

// parseReply decodes the rest of a reply's frame. Its report is not read: one that can't be spoils nothing.
//
// Danger: a value that is no text would reach the client changed, and one that has swallowed the next frame, whose
// length opens with a zero, is longer than the replica gave it.
func parseReply(rest []byte) (Reply, error) {
	line, value, ok := strings.Cut(string(rest), "\n")
	words := strings.SplitN(line, " ", 4)
	if !ok || len(words) < 4 || words[0] == "" {
		return Reply{}, fmt.Errorf("%w: a line that opens with %.80q", errSpoilt, line)
	}
	end := slices.Index(endWords[:], words[1])
	if end < 0 {
		return Reply{}, fmt.Errorf("%w: the end %.20q", errSpoilt, words[1])
	}
	if _, err := strconv.ParseInt(words[2], 10, 64); err != nil && End(end) == Ran {
		return Reply{}, fmt.Errorf("%w: the score %.20q", errSpoilt, words[2])
	}
	if End(end) == Ran && (!utf8.ValidString(value) || strings.Contains(value, "\x00")) {
		return Reply{}, fmt.Errorf("%w: a value that is no text", errSpoilt)
	}
	return Reply{ID: words[0], End: End(end), Value: value}, nil
}

// framed tells whether bytes that follow a reply can be the next one's first.
func framed(next []byte) bool {
	var head [lengthBytes]byte
	copy(head[:], next)
	n := binary.BigEndian.Uint32(head[:])
	return n <= frameMost && (len(next) < lengthBytes || n >= frameLeast) &&
		(len(next) <= lengthBytes || strings.IndexByte(letters, next[lengthBytes]) >= 0)
}

// ParseCall, for stand-ins, decodes the rest of a call's frame.
func ParseCall(rest []byte) (parts []Part, err error) {
	for text := string(rest); text != ""; {
		line, after, ok := strings.Cut(text, "\n")
		words := strings.Split(line, " ")
		if !ok || len(words) != 4 || words[0] == "" {
			return nil, fmt.Errorf("%w: %.80q", errCall, line)
		}
		p := Part{ID: words[0]}
		if p.Shard, err = strconv.Atoi(words[1]); err != nil {
			return nil, fmt.Errorf("%w: shard: %w", errCall, err)
		}
		for _, item := range strings.Split(words[2], ",") {
			if name, v, _ := strings.Cut(item, "="); name == "d" {
				if p.Wait, err = strconv.ParseInt(v, 10, 64); err != nil {
					return nil, fmt.Errorf("%w: wait: %w", errCall, err)
				}
			}
		}
		n, err := strconv.Atoi(words[3])
		if err != nil || n < 0 || n > len(after) {
			return nil, fmt.Errorf("%w: length %.20q", errCall, words[3])
		}
		p.Text, text = []byte(after[:n]), after[n:]
		parts = append(parts, p)
	}
	if len(parts) == 0 {
		return nil, fmt.Errorf("%w: no part", errCall)
	}
	return parts, nil
}

// AppendReply, for stand-ins, adds the frame of a reply to buf.
func AppendReply(buf []byte, r Reply, report string) []byte {
	return AppendFrame(buf, LetterReply, r.ID+" "+endWords[r.End]+" 0 "+report+"\n"+r.Value)
}
