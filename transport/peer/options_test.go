package peer

import (
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// TestOwnConnectionHoldsNoPort: the local port of an outgoing connection can be listened on.
func TestOwnConnectionHoldsNoPort(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer target.Close()
	dialer := net.Dialer{Control: PrepareOutgoing}
	conn, err := dialer.Dial("tcp", target.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	listener, err := net.Listen("tcp", conn.LocalAddr().String())
	must.NoError(t, err)
	must.NoError(t, listener.Close())
}

// refused is a socket that cannot be reached.
type refused struct{ syscall.RawConn }

func (refused) Control(func(uintptr)) error { return syscall.ENOPROTOOPT }

// TestRefusedOptionsAreDoneWithout (FAULT): a connection whose options the system refuses is used without them.
func TestRefusedOptionsAreDoneWithout(t *testing.T) {
	must.NoError(t, PrepareOutgoing("tcp", "127.0.0.1:1", refused{}))
}
