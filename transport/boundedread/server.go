package boundedread

import (
	"context"
	"net"
	"net/http"
)

// Conn returns a connection of a server that BoundHeads has prepared. The heads of its requests take memory from the budget; clients of
// one machine are a group of it.
func (b *Budget) Conn(conn net.Conn) net.Conn {
	if b == nil {
		return conn
	}
	c := &headConn{Conn: conn, head: NewHead(conn, b.RemoteAccount(conn.RemoteAddr().String()))}
	c.head.Begin(HeadLimits{}) // the server limits the bytes
	return c
}

// Listener returns a listener whose connections are those of Conn.
func (b *Budget) Listener(listener net.Listener) net.Listener {
	return &headListener{Listener: listener, budget: b}
}

// BoundHeads lets the heads of a server's requests take memory from the budget, until each request has been answered. A connection whose
// head does not fit is closed. The server has to be given connections of Conn, and its fields must not be set afterwards.
//
// Danger: a server bounds the head of each connection, and nothing bounds all of them together.
func (b *Budget) BoundHeads(server *http.Server) {
	if b == nil {
		return
	}
	handler, onState := server.Handler, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, headKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*headConn); ok && state == http.StateIdle {
			c.head.Begin(HeadLimits{})
		}
		if onState != nil {
			onState(conn, state)
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(headKey{}).(*headConn); ok {
			account, held := c.head.End()
			defer account.Release(held)
		}
		handler.ServeHTTP(w, r)
	})
}

// headKey is the key of a request's connection in its context.
type headKey struct{}

type headListener struct {
	net.Listener
	budget *Budget
}

// Accept returns the next connection.
func (l *headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.budget.Conn(conn), nil
}

type headConn struct {
	net.Conn
	head *Head
}

// Read reads from the connection. The error for a head that does not fit is one for which a server closes the connection without an
// answer.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.head.Read(p)
	if passed, ok := err.(*LimitError); ok {
		err = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: passed}
	}
	return n, err
}

// Close closes the connection and gives back the memory of its head.
func (c *headConn) Close() error {
	c.head.Release()
	return c.Conn.Close()
}

// CloseWrite ends the direction to the client, where the connection can do that.
//
// Danger: a server does so before it closes a connection with unread bytes. Otherwise the client would lose its last answer to a reset.
func (c *headConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
