// Package ports finds loopback addresses: for processes that must be told theirs before they start, and for
// stand-ins inside this one.
package ports

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// Ports that processes are given lie below those that systems hand out by themselves, so that nobody takes one between
// its choice and its use.
const (
	firstPort = 18000
	endPort   = 30000
)

var nextPort atomic.Int64

func init() { nextPort.Store(firstPort + int64(os.Getpid()*131%(endPort-firstPort))) }

// Free is a loopback address that nobody listens on now.
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

// Serve serves on a loopback port of the system's choice until end is called, which waits for serve to return.
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
