package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// wire stands where one machine dials another, and hands on what it says. Cut, it resets its connections and refuses new
// ones, as the page's cut with 'reset' does.
type wire struct {
	from, to     *machine // from is nil for all frontends
	listen, lead string
	look         func(frame []byte) bool // false drops a frame

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
	isCut bool
}

// lay puts a wire in place between any two controllers, and from the frontends to each controller.
func (r *rig) lay() error {
	for _, to := range r.cores {
		for _, from := range r.cores {
			if from != to {
				r.wires = append(r.wires, &wire{from: from, to: to, listen: fmt.Sprintf("%s:%d", to.ip, from.first), lead: fmt.Sprintf("%s:%d", to.ip, to.first),
					look: func(frame []byte) bool {
						look := r.look.Load()
						return look == nil || (*look)(from, frame)
					}})
			}
		}
		r.wires = append(r.wires, &wire{to: to, listen: fmt.Sprintf("%s:%d", to.ip, edgePorts+1), lead: fmt.Sprintf("%s:%d", to.ip, to.first+1)})
	}
	for _, w := range r.wires {
		w.conns = map[net.Conn]bool{}
		if err := w.open(); err != nil {
			return err
		}
	}
	return nil
}

func (w *wire) open() error {
	ln, err := net.Listen("tcp", w.listen)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.ln, w.isCut = ln, false
	w.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go w.carry(c)
		}
	}()
	return nil
}

// keep notes a connection; false where the wire is cut.
func (w *wire) keep(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isCut {
		reset(c)
		return false
	}
	w.conns[c] = true
	return true
}

func (w *wire) drop(c net.Conn) {
	w.mu.Lock()
	delete(w.conns, c)
	w.mu.Unlock()
	c.Close()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (w *wire) carry(c net.Conn) {
	if !w.keep(c) {
		return
	}
	defer w.drop(c)
	out, err := net.DialTimeout("tcp", w.lead, time.Second)
	if err != nil {
		reset(c)
		return
	}
	if !w.keep(out) {
		return
	}
	defer w.drop(out)
	go func() {
		io.Copy(c, out)
		w.drop(c)
		w.drop(out)
	}()
	if w.look == nil {
		io.Copy(out, c)
		return
	}
	for {
		frame := make([]byte, 4)
		if _, err := io.ReadFull(c, frame); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(frame))
		if _, err := io.ReadFull(c, body); err != nil {
			return
		}
		if !w.look(body) {
			continue
		}
		if _, err := out.Write(append(frame, body...)); err != nil {
			return
		}
	}
}

func (w *wire) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCut = true
	if w.ln != nil {
		w.ln.Close()
	}
	for c := range w.conns {
		reset(c)
	}
	clear(w.conns)
}

// off cuts a controller off from the other controllers.
func (r *rig) off(m *machine) {
	for _, w := range r.wires {
		if w.from != nil && (w.from == m || w.to == m) {
			w.cut()
		}
	}
}

// heal joins it to the others again.
func (r *rig) heal(m *machine) error {
	for _, w := range r.wires {
		if w.from != nil && (w.from == m || w.to == m) {
			if err := w.open(); err != nil {
				return err
			}
		}
	}
	return nil
}
