// Package redis is a stand-in for a Redis server in measurements and tests. It speaks the published protocol (RESP2 and RESP3),
// knows the few commands that the shared store uses, keeps all data in memory and can simulate faults.
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
	maxArgumentBytes = 1 << 20
)

// Fault describes how the server misbehaves; the zero value is no fault. All faults but Refuse affect existing connections too. Error,
// BulkLength, ArrayLength and CorruptBulk do not affect the replies to HELLO, AUTH and QUIT.
type Fault struct {
	Refuse       bool          // new connections are closed as soon as they are accepted
	Delay        time.Duration // wait before each command is executed
	DropCommands bool          // commands are read, but neither executed nor answered
	DropReplies  bool          // commands are executed, but not answered
	CutAfter     int           // the connection closes after this many bytes of a reply; 0 for never
	StallAfter   int           // the reply stops after this many bytes and the connection stays open; 0 for never
	ByteInterval time.Duration // wait after each byte of a reply
	Error        string        // reply to every command, such as "LOADING ..."; empty for no fault
	BulkLength   int64         // every bulk string is announced with this length and its data is not sent; 0 for no fault
	ArrayLength  int64         // every reply is the header of an array of this length without elements; 0 for no fault
	CorruptBulk  bool          // the middle byte of every bulk string is changed
	ClockSkew    time.Duration // difference of the clock that TIME returns from the real one
}

// Server is a stand-in Redis server. Its zero value is empty and needs no password.
type Server struct {
	mu           sync.Mutex
	username     string // user name that AUTH expects; empty for the default user
	password     string // password that AUTH expects; empty if clients need no authentication
	fault        Fault
	faultChanged chan struct{} // closed when the fault changes
	data         map[string]value
	snapshot     map[string]value // copy of data that SaveSnapshot made
	conns        map[net.Conn]struct{}
	commandCount int64            // replies made, whether they were written or not
	bytesWritten int64            // length of the replies counted by commandCount, bytes
	countByName  map[string]int64 // commands handled, by name in capitals
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

// trackConnection adds a connection to the open ones or removes it.
func (s *Server) trackConnection(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	if open {
		s.conns[conn] = struct{}{}
	} else {
		delete(s.conns, conn)
	}
}

// SetCredentials makes the server demand a user name and a password from now on, on new and on existing connections.
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

// currentFault returns the fault that was set last.
func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// CloseConnections closes all open connections. Clients may connect again.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Traffic returns the number of replies made, whether they were written or not, and their total length in bytes.
func (s *Server) Traffic() (commands, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commandCount, s.bytesWritten
}

// SaveSnapshot copies all data, for RestoreSnapshot.
func (s *Server) SaveSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = map[string]value{}
	for k, v := range s.data {
		s.snapshot[k] = v.copy()
	}
}

// RestoreSnapshot replaces the data by the last snapshot, as happens when a lagging replica takes over.
func (s *Server) RestoreSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = map[string]value{}
	for k, v := range s.snapshot {
		s.data[k] = v.copy()
	}
}

// Clear deletes the data of all databases, but not the snapshot.
func (s *Server) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = nil
}

// Inject sets a key to a string, or a field of the key's hash if field is not empty, without any checks.
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

// Keys returns all keys that have not expired.
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

// session is the state of one connection.
type session struct {
	resp3         bool // the client has chosen RESP3 over RESP2
	authenticated bool
	database      int // number of the database chosen by SELECT
}

// serveConnection reads, executes and answers commands one after the other until the connection ends or a fault closes it.
func (s *Server) serveConnection(ctx context.Context, conn net.Conn) {
	in := bufio.NewReaderSize(conn, 64<<10) // holds all commands of a round: on an in-memory pipe the client does not read replies while it writes
	client := &session{}
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
		if !s.write(ctx, conn, f, s.execute(client, f, args)) {
			return
		}
	}
}

// wait waits for a time or until the fault changes. It returns false if the context ends before.
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

// write writes a reply as the fault demands. It returns false if the connection must be closed.
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

// readLength reads a line that consists of the type character sign and a length of at most limit.
func readLength(in *bufio.Reader, sign byte, limit int) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != sign {
		return 0, fmt.Errorf("expected '%c'", sign)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 || n > limit {
		return 0, errors.New("invalid length")
	}
	return n, nil
}
