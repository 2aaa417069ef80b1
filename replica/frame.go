// Package replica speaks with replicas: the frame codec, and the pool that owns every connection to them.
package replica

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// The letters that open frames of this service.
const (
	letterCall   = 'R'
	letterGiveUp = 'A'
	letterReply  = 'Y'
	letterNoUse  = 'N'
)

const (
	lengthBytes = 4         // of a frame, most significant first
	frameMost   = 256 << 10 // bytes of an incoming frame: four times what an answer to a client may hold
	frameLeast  = 1         // the letter
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

var errNoUse = errors.New("the replica could not use a frame")

// appendCall adds the frame of one call to buf.
func appendCall(buf []byte, parts []Part) []byte {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0, letterCall)
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

// appendGiveUp adds the frame that gives a part up.
func appendGiveUp(buf []byte, id string) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(1+len(id)))
	return append(append(buf, letterGiveUp), id...)
}

// readFrame returns the letter and the rest of the next frame.
func readFrame(r *bufio.Reader) (byte, []byte, error) {
	var head [lengthBytes + 1]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < frameLeast || n > frameMost {
		return 0, nil, fmt.Errorf("a frame of %d bytes", n)
	}
	rest := make([]byte, n-1)
	if _, err := io.ReadFull(r, rest); err != nil {
		return 0, nil, err
	}
	return head[lengthBytes], rest, nil
}

// readReply returns the next reply of a connection, passing over frames that tell nothing here.
func readReply(r *bufio.Reader) (Reply, error) {
	for {
		letter, rest, err := readFrame(r)
		switch {
		case err != nil:
			return Reply{}, err
		case letter == letterReply:
			return parseReply(rest)
		case letter == letterNoUse:
			return Reply{}, fmt.Errorf("%w: %.80q", errNoUse, rest)
		case letter != 'G' && letter != 'T':
			return Reply{}, fmt.Errorf("a frame with the letter %q", letter)
		}
	}
}

// parseReply decodes the rest of a reply's frame.
func parseReply(rest []byte) (Reply, error) {
	line, value, ok := strings.Cut(string(rest), "\n")
	words := strings.Split(line, " ")
	if !ok || len(words) != 4 || words[0] == "" {
		return Reply{}, fmt.Errorf("a reply that opens with %.80q", line)
	}
	reply := Reply{ID: words[0], Value: value}
	switch words[1] {
	case "OK":
		reply.End = Ran
	case "ERROR":
		reply.End = Failed
	case "REJECTED":
		reply.End = TurnedAway
	default:
		return Reply{}, fmt.Errorf("a reply that ends in %.20q", words[1])
	}
	// Danger: a value that is no text would reach the client changed, as an answer that no replica gave.
	if reply.End == Ran && !utf8.ValidString(value) {
		reply.End, reply.Value = Failed, ""
	}
	return reply, nil
}
