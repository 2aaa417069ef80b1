package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in of a sound replica: it works on three requests at once, queues twelve more, and drops a request whose
// connection closes.
type replica struct {
	run               *run
	id, service, zone string
	controllers       []string
	work              time.Duration
	listener          net.Listener
	slots             chan struct{}
	mu                sync.Mutex
	waiting           int
	seq               int64
	next              int
	stop              context.CancelFunc
}

const (
	slotsOfReplica = 3
	queueOfReplica = 12
)

func startReplica(r *run, f *fleet, id, service string, n int, work time.Duration) (*replica, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.3.%d:0", f.network, n+1))
	if err != nil {
		return nil, err
	}
	s := &replica{run: r, id: id, service: service, zone: zoneNames[n%len(zoneNames)], work: work, listener: ln,
		slots: make(chan struct{}, slotsOfReplica), next: n}
	for i := range f.controllers {
		s.controllers = append(s.controllers, f.control(i))
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go s.serve()
	go s.beat(ctx)
	return s, nil
}

func (s *replica) address() string { return s.listener.Addr().String() }

// beat sends heartbeats until ctx ends.
func (s *replica) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s.call()
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// call tells one controller after another until one acknowledges, and reports whether one did.
func (s *replica) call() bool {
	s.mu.Lock()
	s.seq++
	body, _ := json.Marshal(map[string]any{"service": s.service, "address": s.address(), "zone": s.zone, "revision": "v1",
		"capacity": slotsOfReplica, "phase": "ready", "warmup-left-ms": 0, "call-seq": s.seq})
	s.mu.Unlock()
	for range s.controllers {
		status, _, err := post(s.controllers[s.next%len(s.controllers)], "/v1/replicas/"+s.id+"/heartbeat", body, time.Second)
		if err == nil && status/100 == 2 {
			return true
		}
		s.next++
	}
	return false
}

func (s *replica) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConnection(c)
	}
}

func (s *replica) serveConnection(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		attempt := req.Header.Get("Willowsill-Attempt-Id")
		head := "Willowsill-Attempt-Id: " + attempt + "\r\nWillowsill-Replica-Id: " + s.id + "\r\n"
		if t := req.Header.Get("Willowsill-Target-Replica"); t != "" && t != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
			continue
		}
		if attempt == "" {
			fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\n%sWillowsill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
			continue
		}
		if !s.enter() {
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sWillowsill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
			continue
		}
		s.run.executed(s, attempt, req, body)
		time.Sleep(s.work)
		<-s.slots
		answer := records(attempt, s.id)
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sWillowsill-Replica-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", head, seal(s.id, attempt), len(answer), answer)
		s.run.quiet("replica %s has done %s", s.id, attempt)
		if err != nil {
			return
		}
	}
}

// enter takes a slot, and returns false where the queue is full.
func (s *replica) enter() bool {
	s.mu.Lock()
	if s.waiting >= queueOfReplica {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.slots <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return true
}

// seal returns the stamp of a replica's answer to a try.
func seal(id, attempt string) string {
	h := fnv.New32a()
	io.WriteString(h, id+" "+attempt)
	return fmt.Sprintf("%s.%08x", id, h.Sum32())
}

// records returns the body of a replica's answer: six records, which depend on the replica and the try.
func records(attempt, id string) []byte {
	h := fnv.New64a()
	io.WriteString(h, attempt+id)
	random := rand.New(rand.NewPCG(h.Sum64(), 1))
	var out []byte
	for range 12 {
		out = binary.BigEndian.AppendUint64(out, random.Uint64())
	}
	return out
}
