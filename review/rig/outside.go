package main

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
	"sync"
	"time"
)

// What the pages place outside of the system: replicas, operators and clients.

// run is one request that a replica began to work on.
type run struct {
	attempt string
	replica *replica
	at      time.Time
}

// replica is a stand-in of a replica of one service.
type replica struct {
	rig               *rig
	id, service, zone string
	work              time.Duration
	ln                net.Listener
	http              *http.Server
	stop              context.CancelFunc
	beaten            chan string // the address that acknowledged a beat; nil for nobody
	lose              func() bool // the answer of a request that ran is lost, and its connection reset; nil for never

	mu      sync.Mutex
	seq     int64
	target  string
	at      int
	control []string
	runs    []run
}

// serve starts a replica, and its beats.
func (r *rig) serve(id, service, zone string, host int, work time.Duration) (*replica, error) {
	s := &replica{rig: r, id: id, service: service, zone: zone, work: work, control: r.controls(rand.IntN(len(r.cores)))}
	var err error
	if s.ln, err = net.Listen("tcp", fmt.Sprintf("%s.%d:0", r.net, host)); err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(s.ln)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go s.beats(ctx)
	r.replicas = append(r.replicas, s)
	return s, nil
}

func (s *replica) beats(ctx context.Context) {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		at, ok := s.call(ctx, "heartbeat", "ready")
		if ok && s.beaten != nil {
			select {
			case s.beaten <- at:
			default:
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// call makes one call, at the target first and then at one controller after the other until one acknowledges; an
// acknowledgement has to come within a second.
func (s *replica) call(ctx context.Context, what, phase string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	var body []byte
	if phase != "" {
		body, _ = json.Marshal(map[string]any{"service": s.service, "address": s.ln.Addr().String(), "zone": s.zone, "revision": "v1",
			"capacity": 8, "phase": phase, "warmup-left-ms": 0, "call-seq": s.seq})
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for try := 0; ctx.Err() == nil && try < 2*len(s.control); try++ {
		address := s.target
		if address == "" {
			address = s.control[s.at%len(s.control)]
		}
		res, err := client.Post("http://"+address+"/v1/replicas/"+s.id+"/"+what, "application/json", bytes.NewReader(body))
		if err == nil {
			answer, _ := io.ReadAll(io.LimitReader(res.Body, 4<<10))
			res.Body.Close()
			if res.StatusCode/100 == 2 {
				var told struct {
					Target string `json:"beat-target"`
				}
				if json.Unmarshal(answer, &told) == nil && told.Target != "" {
					s.target = told.Target
				}
				return address, true
			}
			if phase != "ready" {
				s.rig.say("replica %s: %s to %s was answered %d", s.id, what, address, res.StatusCode)
			}
		}
		if s.target == "" || s.target == s.control[s.at%len(s.control)] {
			s.at++
		}
		s.target = ""
	}
	return "", false
}

// end ends it.
func (s *replica) end() {
	s.stop()
	s.http.Close()
}

// ServeHTTP runs a request, unless it is meant for another replica.
func (s *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("Willowsill-Attempt-Id")
	if attempt != "" {
		w.Header().Set("Willowsill-Attempt-Id", attempt)
	}
	if q.URL.Path == "/health" {
		w.Header().Set("Willowsill-Replica-Id", s.id)
		return
	}
	if t := q.Header.Get("Willowsill-Target-Replica"); t != "" && t != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		w.Header().Set("Willowsill-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{attempt, s, time.Now()})
	lose := s.lose
	s.mu.Unlock()
	time.Sleep(s.work)
	if lose != nil && lose() {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(c)
		}
		return
	}
	body := make([]byte, 0, 64)
	for range 4 {
		body = binary.BigEndian.AppendUint64(body, rand.Uint64())
		body = binary.BigEndian.AppendUint64(body, rand.Uint64())
	}
	w.Header().Set("Willowsill-Replica-Seal", fmt.Sprintf("%s.%s.%x", s.id, attempt, rand.Uint32()))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.Write(body)
}

// ran are the runs of a replica so far.
func (s *replica) ran() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// runsOf are all runs by attempt.
func (r *rig) runsOf() map[string][]run {
	all := map[string][]run{}
	for _, s := range r.replicas {
		for _, x := range s.ran() {
			all[x.attempt] = append(all[x.attempt], x)
		}
	}
	return all
}

// order sends a configuration until an answer is clear, as an operator does: to one co-ordinator after the other, unchanged,
// with a pause that grows. It returns the status that ended the call, 0 for none.
func (r *rig) order(name string, addresses []string, body string, within time.Duration) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	pause := 100 * time.Millisecond
	until := time.Now().Add(within)
	for n := 0; time.Now().Before(until); n++ {
		address := addresses[n%len(addresses)]
		r.say("%s: sends it to %s", name, address)
		res, err := client.Post("http://"+address+"/v1/configuration/replace", "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			r.say("%s: no answer from %s (%v)", name, address, err)
		} else {
			answer, _ := io.ReadAll(res.Body)
			res.Body.Close()
			r.say("%s: %s answered %d %s", name, address, res.StatusCode, bytes.TrimSpace(answer))
			if res.StatusCode < 500 && res.StatusCode != 408 && res.StatusCode != 429 {
				return res.StatusCode
			}
		}
		time.Sleep(pause)
		pause = pause * 3 / 2
	}
	return 0
}

// readBack asks for the newest configuration.
func (r *rig) readBack(addresses []string) string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, address := range addresses {
		if res, err := client.Get("http://" + address + "/v1/configuration/read"); err == nil {
			body, _ := io.ReadAll(res.Body)
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return string(body)
			}
		}
	}
	return ""
}

// ready tells whether a frontend answers the platform's question with 200.
func (r *rig) ready(m *machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", m.ip, readinessPort))
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// allReady waits until all frontends are.
func (r *rig) allReady(within time.Duration) bool {
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		n := 0
		for _, m := range r.fronts {
			if r.ready(m) {
				n++
			}
		}
		if n == len(r.fronts) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// ask sends one request of a client to a frontend, on a connection of its own, and returns the status, 0 for none.
func (r *rig) ask(m *machine, method, path string) (attempt string, status int, seal string) {
	attempt = fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(make([]byte, 900))
	}
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, frontPort, path), body)
	if err != nil {
		return attempt, 0, ""
	}
	q.Host = "souq.example"
	q.Header.Set("Willowsill-Attempt-Id", attempt)
	q.Header.Set("Willowsill-Deadline-Ms", "2500")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(q)
	if err != nil {
		return attempt, 0, ""
	}
	_, err = io.Copy(io.Discard, res.Body)
	res.Body.Close()
	if err != nil {
		return attempt, 0, ""
	}
	return attempt, res.StatusCode, res.Header.Get("Willowsill-Replica-Seal")
}
