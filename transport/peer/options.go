package peer

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// option is a socket option that a connection can do without.
type option struct {
	name                 string
	level, number, value int
	reported             sync.Once
}

var (
	// Danger: a machine that has lost power sends no reset, and without this option data written to it stays pending for many
	// minutes. Links then fail only by the timeouts of their reads and writes.
	userTimeoutOption = option{name: "TCP_USER_TIMEOUT", level: unix.IPPROTO_TCP, number: unix.TCP_USER_TIMEOUT, value: int(userTimeout / time.Millisecond)}
	// Danger: where a program's own ports lie in the range of ephemeral ports, an outgoing connection may hold one of them, and
	// without this option no process could listen there until it is closed.
	shareLocalPortOption = option{name: "SO_REUSEADDR", level: unix.SOL_SOCKET, number: unix.SO_REUSEADDR, value: 1}
)

// PrepareOutgoing sets the options of the socket of an outgoing connection. A net.Dialer calls it as its Control. It never fails: a
// connection whose options the system refuses is used without them.
func PrepareOutgoing(_, _ string, raw syscall.RawConn) error {
	userTimeoutOption.set(raw)
	shareLocalPortOption.set(raw)
	return nil
}

// set sets the option, and logs the first refusal of the process.
func (o *option) set(raw syscall.RawConn) {
	var err error
	controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), o.level, o.number, o.value) })
	if err = errors.Join(controlErr, err); err == nil {
		return
	}
	o.reported.Do(func() {
		klog.ErrorS(err, "a socket option is refused, and connections are used without it", "option", o.name)
	})
}
