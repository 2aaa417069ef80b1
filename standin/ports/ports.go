// Package ports finds free loopback addresses, for child processes that need their address before they start and for stand-ins
// inside this process.
package ports

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// The port range for child processes. It lies below the range of ephemeral ports, so that no outgoing connection takes a port
// between its choice and its use.
const (
	firstPort = 18000
	endPort   = 30000
)

var nextPort atomic.Int64

func init() { nextPort.Store(firstPort + int64(os.Getpid()*131%(endPort-firstPort))) }

// Free returns a loopback address on which nobody listens at the moment.
func Free() (string, error) {
	for range endPort - firstPort {
		n := firstPort + (nextPort.Add(1)-firstPort)%(endPort-firstPort)
		address := "127.0.0.1:" + strconv.FormatInt(n, 10)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

// Serve calls serve in a goroutine with a listener on a loopback port that the system chooses. The returned end closes the
// listener and waits for serve to return.
func Serve(serve func(net.Listener)) (address string, end func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		serve(l)
	}()
	return l.Addr().String(), func() {
		l.Close()
		<-ended
	}, nil
}
