// Package redis plays a Redis server for trials and tests: the published protocol (RESP2 and RESP3) and the few
// commands that the shared store uses, in memory, with faults on demand. It is no store to keep anything in.
package redis

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"willowsill/standin"
)

const (
	maxArguments     = 4096
	maxArgumentBytes = 1 << 20 // of one argument
)

// Fault is how the server misbehaves; the zero value is none. All but Refuse act on connections that are there, too.
type Fault struct {
	Refuse       bool          // connections end as soon as they are accepted
	Delay        time.Duration // before each command is carried out
	DropCommands bool          // commands are read and neither carried out nor answered
	DropReplies  bool          // commands are carried out and not answered
	CutAfter     int           // bytes of a reply after which the connection closes; 0 for never
	StallAfter   int           // bytes of a reply after which nothing more comes; 0 for never
	ByteInterval time.Duration // between two bytes of a reply
	Error        string        // the reply to every command but HELLO and AUTH, such as "LOADING ..."
	BulkLength   int64         // bulk strings are announced with this length and never come
	ArrayLength  int64         // replies are announced as arrays of so many
	CorruptBulk  bool          // a byte in the middle of every bulk string is another
	ClockSkew    time.Duration // of the clock that TIME tells
}

// Server serves on listeners. Its zero value has no password and is empty.
type Server struct {
	mu           sync.Mutex
	username     string // for AUTH
	password     string // empty: nobody is asked
	fault        Fault
	faultChanged chan struct{} // closed when the fault changes
	data         map[string]value
	snapshot     map[string]value
	conns        map[net.Conn]struct{}
	commandCount int64
	bytesWritten int64
	countByName  map[string]int64
}

// Serve serves until the listener is closed, and returns when all connections have ended.
func (s *Server) Serve(l net.Listener) error {
	return standin.Serve(l, func(ctx context.Context, conn net.Conn) {
		defer conn.Close()
		if s.currentFault().Refuse {
			return
		}
		s.trackConnection(conn, true)
		defer s.trackConnection(conn, false)
		s.serveConnection(ctx, conn)
	})
}

func (s *Server) trackConnection(conn net.Conn, is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	if is {
		s.conns[conn] = struct{}{}
	} else {
		delete(s.conns, conn)
	}
}

// SetCredentials asks for a name and a password from now on, of those who come and of those who are there.
func (s *Server) SetCredentials(name, password string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.username, s.password = name, password
}

// SetFault sets the fault from now on; the zero Fault ends it.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	if s.faultChanged != nil {
		close(s.faultChanged)
	}
	s.faultChanged = make(chan struct{})
}

func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// CloseConnections closes all connections.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Connections is how many are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Traffic is how many commands were carried out, and how many bytes were written.
func (s *Server) Traffic() (commands, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commandCount, s.bytesWritten
}

// SaveSnapshot saves all that is held, for Return.
func (s *Server) SaveSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = map[string]value{}
	for k, v := range s.data {
		s.snapshot[k] = v.copy()
	}
}

// RestoreSnapshot brings back what Keep saved, as a replica that was behind and took over would.
func (s *Server) RestoreSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = map[string]value{}
	for k, v := range s.snapshot {
		s.data[k] = v.copy()
	}
}

// Clear forgets all that is held.
func (s *Server) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = nil
}

// Inject sets a key to a string, or a field of a hash where field is not empty, past all checks.
func (s *Server) Inject(key, field, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ensureData()
	if field == "" {
		s.data[key] = value{text: text}
		return
	}
	v := s.data[key]
	if v.hash == nil {
		v = value{hash: map[string]string{}}
	}
	v.hash[field] = text
	s.data[key] = v
}

// Keys are the names of all that is held and has not expired.
func (s *Server) Keys() (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.data {
		if !v.expired(time.Now()) {
			keys = append(keys, k)
		}
	}
	return keys
}

// session is what a connection has said of itself.
type session struct {
	resp3         bool // RESP3
	authenticated bool // it has given the password
	database      int
}

// serveConnection serves one connection until it ends.
func (s *Server) serveConnection(ctx context.Context, conn net.Conn) {
	in := bufio.NewReaderSize(conn, 64<<10) // a whole round: on a pipe the client does not read while it writes
	me := &session{}
	for {
		args, err := readCommand(in)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				conn.Write([]byte("-ERR Protocol error: " + err.Error() + "\r\n"))
			}
			return
		}
		f := s.currentFault()
		if f.Delay > 0 && !s.wait(ctx, f.Delay) {
			return
		}
		if f.DropCommands {
			continue
		}
		if !s.write(ctx, conn, f, s.execute(me, f, args)) {
			return
		}
	}
}

// wait waits out a time, or until the fault changes; false where the server ends.
func (s *Server) wait(ctx context.Context, d time.Duration) bool {
	s.mu.Lock()
	if s.faultChanged == nil {
		s.faultChanged = make(chan struct{})
	}
	changed := s.faultChanged
	s.mu.Unlock()
	select {
	case <-time.After(d):
	case <-changed:
	case <-ctx.Done():
		return false
	}
	return true
}

// write writes a reply as the fault has it; false where the connection is at its end.
func (s *Server) write(ctx context.Context, conn net.Conn, f Fault, reply []byte) bool {
	s.mu.Lock()
	s.commandCount++
	s.bytesWritten += int64(len(reply))
	s.mu.Unlock()
	switch {
	case f.DropReplies:
		return true
	case f.CutAfter > 0 && len(reply) > f.CutAfter:
		conn.Write(reply[:f.CutAfter])
		return false
	case f.StallAfter > 0 && len(reply) > f.StallAfter:
		conn.Write(reply[:f.StallAfter])
		s.wait(ctx, time.Hour)
		return false
	case f.ByteInterval > 0:
		for i := range reply {
			if _, err := conn.Write(reply[i : i+1]); err != nil || !s.wait(ctx, f.ByteInterval) {
				return false
			}
		}
		return true
	}
	_, err := conn.Write(reply)
	return err == nil
}

// readCommand reads one command, an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	n, err := readLength(in, '*', maxArguments)
	if err != nil {
		return nil, err
	}
	args := make([]string, 0, n)
	for range n {
		size, err := readLength(in, '$', maxArgumentBytes)
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, err
		}
		args = append(args, string(text[:size]))
	}
	if len(args) == 0 {
		return nil, errors.New("an empty command")
	}
	return args, nil
}

func readLength(in *bufio.Reader, sign byte, most int) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != sign {
		return 0, fmt.Errorf("expected '%c'", sign)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 || n > most {
		return 0, errors.New("invalid length")
	}
	return n, nil
}
