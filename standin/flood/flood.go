// Package flood is a stand-in for faulty replicas of the whole system: each answers a request with bytes that have no end, until the
// caller closes the connection.
package flood

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	blockBytes     = 32 << 10 // what is sent at once
	statedBytes    = 16 << 20 // a length that a proxy accepts
	headLine       = "HTTP/1.1 200 OK\r\n"
	continueAnswer = "HTTP/1.1 100 Continue\r\n"
)

// Kind is the place of an answer at which a replica goes on without end.
type Kind struct {
	Name string
	// start returns what is sent first to a request.
	start func(sealed string) string
	block func(n int) []byte // the block of bytes with a number, sent after that
}

func fixed(text string) func(string) string { return func(string) string { return text } }

// sealedHead returns the start of a head that is a good answer to the request, followed by more fields.
func sealedHead(more string) func(string) string {
	return func(sealed string) string { return headLine + sealed + more }
}

// filler returns blocks of a repeated text.
func filler(text string) func(int) []byte {
	block := bytes.Repeat([]byte(text), max(blockBytes/len(text), 1))
	return func(int) []byte { return block }
}

// distinctFields returns blocks of header fields whose names all differ.
func distinctFields(block int) []byte {
	const perBlock = 2000
	var b bytes.Buffer
	for i := range perBlock {
		fmt.Fprintf(&b, "A%x:\r\n", block*perBlock+i)
	}
	return b.Bytes()
}

// Kinds are all kinds of floods.
var Kinds = []Kind{
	{"bytes that are no answer", fixed(""), filler("x")},
	{"a status line", fixed("HTTP/1.1 200 "), filler("x")},
	{"one field", fixed(headLine + "X-Field: "), filler("x")},
	{"a field's name", fixed(headLine), filler("x")},
	{"many fields", fixed(headLine), filler("X-Field: 1\r\n")},
	{"many distinct fields", fixed(headLine), distinctFields},
	{"small interim answers", fixed(""), filler(continueAnswer + "\r\n")},
	{"large interim answers", fixed(""), filler(continueAnswer + "X-Field: " + strings.Repeat("x", blockBytes) + "\r\n\r\n")},
	{"a body without length", sealedHead("\r\n"), filler("x")},
	{"a body in chunks", sealedHead("Transfer-Encoding: chunked\r\n\r\n"), filler("400\r\n" + strings.Repeat("x", 0x400) + "\r\n")},
	{"a body of a stated length", sealedHead(fmt.Sprintf("Content-Length: %d\r\n\r\n", statedBytes)), filler("x")},
	{"a body of an immense stated length", sealedHead("Content-Length: 1000000000000000\r\n\r\n"), filler("x")},
	{"trailers", sealedHead("Transfer-Encoding: chunked\r\n\r\n0\r\n"), filler("X-Field: 1\r\n")},
	{"a chunk's size", sealedHead("Transfer-Encoding: chunked\r\n\r\n"), filler("0")},
	{"a chunk's extension", sealedHead("Transfer-Encoding: chunked\r\n\r\n1;"), filler("x")},
	{"bytes after a whole answer", sealedHead("Content-Length: 0\r\n\r\n"), filler("x")},
}

// Replica answers requests with floods of one kind.
type Replica struct {
	Kind           Kind
	BytesPerSecond int // on each connection; 0 for as fast as the caller reads
}

// Serve answers the requests on a listener's connections until the listener is closed. It can serve for a systemreplica.Replica.
func (r *Replica) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

func (r *Replica) serveConn(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	attempt := request.Header.Get("Willowsill-Attempt-Id")
	sealed := fmt.Sprintf("Willowsill-Attempt-Id: %s\r\nWillowsill-Replica-Seal: seal.%s\r\n", attempt, attempt)
	if _, err := conn.Write([]byte(r.Kind.start(sealed))); err != nil {
		return
	}
	for n := 0; ; n++ {
		block := r.Kind.block(n)
		if _, err := conn.Write(block); err != nil {
			return
		}
		if r.BytesPerSecond > 0 {
			time.Sleep(time.Duration(len(block)) * time.Second / time.Duration(r.BytesPerSecond))
		}
	}
}
