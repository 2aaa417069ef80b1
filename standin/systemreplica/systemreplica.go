// Package systemreplica is a stand-in for a replica of the whole system that follows the operators' documentation: it serves
// HTTP/1.1, adds a seal header to its answers, sends heartbeats to the controllers and announces its departure. It can also be
// killed without an announcement.
package systemreplica

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	recordsPerPart = 6
	callTimeout    = time.Second // maximum time of a call to a controller
)

// Replica is a stand-in replica of one service. Its settings must not change after Start.
type Replica struct {
	ID, Service, Zone string
	WorkTime          time.Duration // processing time of one request
	HeartbeatInterval time.Duration // time between two heartbeats
	ControlAddresses  []string      // addresses of the controllers; calls begin with the one that answered last

	// ServeConnections serves the connections of a listener until it is closed, in place of the replica itself; nil for the replica.
	ServeConnections func(net.Listener)

	Executions   atomic.Int64 // requests that the replica has begun to process
	callSeq      int64
	controlIndex int
	listener     net.Listener
	server       *http.Server
	stop         context.CancelFunc
}

// Start serves on an address and starts to send heartbeats.
func (r *Replica) Start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	r.listener, r.stop = ln, stop
	r.server = &http.Server{Handler: r}
	if r.ServeConnections != nil {
		go r.ServeConnections(ln)
	} else {
		go r.server.Serve(ln)
	}
	go r.sendHeartbeats(ctx)
	return nil
}

// Kill stops the replica without announcing its departure.
func (r *Replica) Kill() {
	r.stop()
	r.listener.Close()
	r.server.Close()
}

// Leave announces that the replica drains, waits for the drain time, announces its departure and stops. It reports whether both
// announcements were acknowledged.
func (r *Replica) Leave(drain time.Duration) bool {
	r.stop()
	ok := r.callControl("heartbeat", "draining")
	time.Sleep(drain)
	ok = r.callControl("departure", "") && ok
	r.server.Close()
	return ok
}

func (r *Replica) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		r.callControl("heartbeat", "ready")
		select {
		case <-ctx.Done():
		case <-time.After(r.HeartbeatInterval):
		}
	}
}

// callControl sends a heartbeat or departure to one controller after the other until one acknowledges it, and reports whether one
// did.
func (r *Replica) callControl(what, phase string) bool {
	r.callSeq++
	var body []byte
	if phase != "" {
		body, _ = json.Marshal(map[string]any{"service": r.Service, "address": r.listener.Addr().String(), "zone": r.Zone, "revision": "v1",
			"capacity": 4, "phase": phase, "warmup-left-ms": 0, "call-seq": r.callSeq})
	}
	client := http.Client{Timeout: callTimeout}
	for range r.ControlAddresses {
		res, err := client.Post("http://"+r.ControlAddresses[r.controlIndex%len(r.ControlAddresses)]+"/v1/replicas/"+r.ID+"/"+what, "application/json", bytes.NewReader(body))
		if err == nil {
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
			if res.StatusCode/100 == 2 {
				return true
			}
		}
		r.controlIndex++
	}
	return false
}

// ServeHTTP processes a request, and rejects one that names another replica or has no attempt ID.
func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Willowsill-Replica-Id", r.ID)
	attempt := q.Header.Get("Willowsill-Attempt-Id")
	w.Header().Set("Willowsill-Attempt-Id", attempt)
	if q.URL.Path == "/health" {
		return
	}
	if t := q.Header.Get("Willowsill-Target-Replica"); t != "" && t != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		w.Header().Set("Willowsill-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	io.Copy(io.Discard, q.Body)
	r.Executions.Add(1)
	time.Sleep(r.WorkTime)
	body := make([]byte, 0, 16*recordsPerPart)
	for range recordsPerPart {
		body = binary.BigEndian.AppendUint64(body, rand.Uint64())
		body = binary.BigEndian.AppendUint64(body, rand.Uint64())
	}
	w.Header().Set("Willowsill-Replica-Seal", fmt.Sprintf("%s.%s.%x", r.ID, attempt, rand.Uint32()))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}
