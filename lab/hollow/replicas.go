package hollow

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	callWithin   = 2 * time.Second
	replicaSpace = 512 // bytes of a hollow replica's read buffer
	services     = 150 // that replicas are spread over
)

// Beats is what became of heartbeats.
type Beats struct {
	Acknowledged int     `json:"acknowledged"`
	Refused      int     `json:"refused"`
	Lost         int     `json:"lost"`
	Seconds      float64 `json:"seconds"` // that they were sent for
	MedianMS     float64 `json:"median_ms"`
	P99MS        float64 `json:"p99_ms"` // of the process where it was the longest
	MostMS       float64 `json:"most_ms"`
}

func (b *Beats) add(o Beats) {
	b.Acknowledged += o.Acknowledged
	b.Refused += o.Refused
	b.Lost += o.Lost
	b.Seconds = max(b.Seconds, o.Seconds)
	b.MedianMS = max(b.MedianMS, o.MedianMS)
	b.P99MS = max(b.P99MS, o.P99MS)
	b.MostMS = max(b.MostMS, o.MostMS)
}

// tally collects what replicas see.
type tally struct {
	mu    sync.Mutex
	beats Beats
	took  []time.Duration
}

// playReplicas sends the heartbeats of a part's replicas until ctx ends.
func playReplicas(ctx context.Context, p part) Beats {
	var seen tally
	began := time.Now()
	var all sync.WaitGroup
	for i := range p.Replicas {
		all.Go(func() { seen.replica(ctx, p, p.FirstReplica+i) })
	}
	all.Wait()
	b := seen.beats
	b.Seconds = time.Since(began).Seconds()
	slices.Sort(seen.took)
	if n := len(seen.took); n > 0 {
		ms := func(at int) float64 { return float64(seen.took[at].Microseconds()) / 1000 }
		b.MedianMS, b.P99MS, b.MostMS = ms(n/2), ms(n*99/100), ms(n-1)
	}
	return b
}

// replica plays one: a heartbeat at each beat, and now and then it leaves and is replaced.
func (t *tally) replica(ctx context.Context, p part, i int) {
	share := time.Duration(int64(p.Options.Beat) * int64(i%p.Replicas) / int64(p.Replicas))
	if pause(ctx, share) != nil {
		return
	}
	life, seq, at := 0, 0, i
	var link *replicaLink
	defer func() { link.close() }()
	tick := time.NewTicker(p.Options.Beat)
	defer tick.Stop()
	leave := leaving(p.Options, i)
	for {
		seq++
		began := time.Now()
		status, err := 0, error(nil)
		if link == nil {
			link, err = dialControl(p.Control[at%len(p.Control)])
		}
		if err == nil {
			status, err = link.call(heartbeat(p.Options, i, life, seq, "ready"))
		}
		t.note(status, err, time.Since(began))
		if err != nil || status != http.StatusOK {
			link.close()
			link, at = nil, at+1
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if leave > 0 && seq >= leave && link != nil {
			link.call(heartbeat(p.Options, i, life, seq+1, "draining"))
			link.call(departure(p.Options, i, life))
			life, seq, leave = life+1, 0, int(60*float64(p.Options.Replicas)/p.Options.ChurnPerMinute/p.Options.Beat.Seconds())
		}
	}
}

// leaving is after how many heartbeats a replica leaves first, so that all together leave evenly; 0 for never.
func leaving(o Options, i int) int {
	if o.ChurnPerMinute <= 0 {
		return 0
	}
	return 1 + int(60*float64(i)/o.ChurnPerMinute/o.Beat.Seconds())
}

func (t *tally) note(status int, err error, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.beats.Lost++
	case status != http.StatusOK:
		t.beats.Refused++
	default:
		t.beats.Acknowledged++
		t.took = append(t.took, took)
	}
}

func replicaID(i, life int) string { return fmt.Sprintf("replica-%06d-%d", i, life) }

// heartbeat is the text of one.
func heartbeat(o Options, i, life, seq int, phase string) string {
	body := fmt.Sprintf(`{"service":"shard-%d","address":"127.8.%d.%d:9000","zone":"zone-%d","revision":"v1","capacity":4,"phase":%q,"warmup-left-ms":0,"call-seq":%d}`,
		i%services, i/250%250, i%250+1, i%o.Zones, phase, seq)
	return request(replicaID(i, life), "heartbeat", body)
}

func departure(_ Options, i, life int) string { return request(replicaID(i, life), "departure", "") }

func request(id, call, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /v1/replicas/%s/%s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		id, call, len(body), body)
	return b.String()
}

// replicaLink is a replica's connection to a controller.
type replicaLink struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialControl(address string) (*replicaLink, error) {
	conn, err := net.DialTimeout("tcp", address, callWithin)
	if err != nil {
		return nil, err
	}
	return &replicaLink{conn, bufio.NewReaderSize(conn, replicaSpace)}, nil
}

// call sends a request and returns the status of its answer.
func (l *replicaLink) call(text string) (int, error) {
	l.conn.SetDeadline(time.Now().Add(callWithin))
	if _, err := io.WriteString(l.conn, text); err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(l.r, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, errors.Join(err, answer.Body.Close())
}

func (l *replicaLink) close() {
	if l != nil {
		l.conn.Close()
	}
}
