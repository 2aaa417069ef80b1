// Package discovery keeps a watch on the list of replicas. It tells what discovery said and decides nothing.
package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"willowsill/balance"
)

const (
	wait     = 5 * time.Second        // that discovery may hold a call back: short, so that a dead way is seen soon
	spare    = time.Second            // a call is over so long after its wait: before its news counts as told
	again    = 100 * time.Millisecond // between a failed call and the next: discovery answers at no cost
	answer   = 8 << 20                // most bytes of an answer: a list of tens of thousands
	listPath = "/v1/servers"
)

// Entry is one replica as discovery names it.
type Entry struct {
	Host     string
	Dial     string
	Cell     int
	Zone     string // empty where it has none
	Standing balance.Status
	Born     int64 // ms of Unix time, 0 for long ago
	Distance int   // below balance.Distances, 0 for near
	Channels int   // parts that this co-ordinator may have in flight there, 0 for no word
}

// News is one answer of discovery, or word of its failure.
type News struct {
	Sequence int64
	Whole    bool // the entries replace the list; else they are changes
	Entries  []Entry
	Oddities []error // what was left out, and why
	Err      error   // the call failed, and the rest is empty
}

// message is the form on the wire.
type message struct {
	Sequence *int64            `json:"seq"`
	Whole    bool              `json:"whole"`
	Hosts    []json.RawMessage `json:"hosts"`
}

type entry struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Zone   string `json:"site"`
	Cell   *int   `json:"block"`
	Health string `json:"health"`
	Born   int64  `json:"born_ms"`
}

// Decode reads a list. Entries that are malformed are left out and named.
func Decode(text []byte, cells int) (News, error) {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return News{}, fmt.Errorf("the list: %w", err)
	}
	if m.Sequence == nil {
		return News{}, fmt.Errorf("the list: key %q is missing", "seq")
	}
	n := News{Sequence: *m.Sequence, Whole: m.Whole}
	for i, raw := range m.Hosts {
		e, err := decodeEntry(raw, cells)
		if err != nil {
			n.Oddities = append(n.Oddities, fmt.Errorf("entry %d: %w", i, err))
			continue
		}
		n.Entries = append(n.Entries, e)
	}
	return n, nil
}

func decodeEntry(raw json.RawMessage, cells int) (Entry, error) {
	var e entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return Entry{}, err
	}
	out := Entry{Host: e.Host, Dial: e.Dial, Zone: e.Zone, Born: e.Born}
	switch e.Health {
	case "active":
		out.Standing = balance.Up
	case "leaving":
		out.Standing = balance.Draining
	case "left":
		out.Standing = balance.Gone
	default:
		return Entry{}, fmt.Errorf("key %q has the value %.20q", "health", e.Health)
	}
	if e.Host == "" {
		return Entry{}, fmt.Errorf("key %q is missing", "host")
	}
	if out.Standing == balance.Gone { // what has left may have no cell and no address any more
		return out, nil
	}
	if e.Cell == nil || *e.Cell < 0 || *e.Cell >= cells {
		return Entry{}, fmt.Errorf("key %q is missing or no cell of this service", "block")
	}
	out.Cell = *e.Cell
	if _, _, err := net.SplitHostPort(e.Dial); err != nil {
		return Entry{}, fmt.Errorf("key %q: %w", "dial", err)
	}
	return out, nil
}

// Watch asks discovery for news until it is stopped.
type Watch struct {
	cells     int
	sequence  int64
	transport *http.Transport
	tell      func(context.Context, News)
	asked     chan struct{}

	mu      sync.Mutex
	address string
	moved   bool               // since the last call began
	abandon context.CancelFunc // the call that is under way
}

type dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// NewWatch makes a watch that goes on from a list with that sequence number; tell hears each answer, in
// order, and each failure.
func NewWatch(address string, cells int, sequence int64, dial dialer, tell func(context.Context, News)) *Watch {
	return &Watch{address: address, cells: cells, sequence: sequence, tell: tell, asked: make(chan struct{}, 1),
		abandon: func() {},
		transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, DisableCompression: true,
			DialContext: dial}}
}

// Ask starts a watch that waits to be asked.
func (w *Watch) Ask() {
	select {
	case w.asked <- struct{}{}:
	default:
	}
}

// Follow turns the watch to another address. It ends what is under way at the old one and goes on with the
// whole list from the new one, however far the versions of the two are apart; until that is there the old list
// stays in force.
func (w *Watch) Follow(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address != w.address {
		w.address, w.moved = address, true
		w.abandon()
	}
}

// turn begins a call: where it goes, whether that is a new address, and its context, which Follow ends.
func (w *Watch) turn(ctx context.Context) (here context.Context, address string, moved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandon()
	here, w.abandon = context.WithCancel(ctx)
	if moved, w.moved = w.moved, false; moved {
		w.transport.CloseIdleConnections()
	}
	return here, w.address, moved
}

// Run watches until ctx is over. With onAsk it begins when it is asked, and again after each failure;
// otherwise it begins and goes on by itself.
//
// Danger: a watch whose next call comes late is broken and misses what comes in between, so tell must only
// hand the news on.
func (w *Watch) Run(ctx context.Context, onAsk bool) {
	defer w.transport.CloseIdleConnections()
	for first, waits := true, onAsk; ctx.Err() == nil; {
		if waits {
			select {
			case <-w.asked:
			case <-ctx.Done():
				return
			}
		}
		here, address, moved := w.turn(ctx)
		first = first || moved
		n, err := w.call(here, address, first)
		switch {
		case here.Err() != nil: // at an end, or turned to another address
			waits = false
		case err != nil:
			first, waits = true, onAsk
			w.tell(ctx, News{Err: err})
			if !onAsk {
				select {
				case <-time.After(again):
				case <-here.Done():
				}
			}
		default:
			first, waits, w.sequence = false, false, n.Sequence
			w.tell(ctx, n)
		}
	}
}

// call makes one call; the first of a watch asks for the whole list.
func (w *Watch) call(ctx context.Context, address string, first bool) (News, error) {
	limit := spare
	url := "http://" + address + listPath
	if !first {
		limit += wait
		url += "?since=" + strconv.FormatInt(w.sequence, 10) +
			"&timeout_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return News{}, err
	}
	response, err := w.transport.RoundTrip(request)
	if err != nil {
		return News{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, answer))
	if err != nil {
		return News{}, err
	}
	if response.StatusCode != http.StatusOK {
		return News{}, fmt.Errorf("discovery answered %s", response.Status)
	}
	return Decode(text, w.cells)
}
