// Package discovery keeps a watch on the list of replicas by long polling. It passes on the answers of
// discovery, and makes no decisions of its own.
package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"willowsill/balance"
	"willowsill/transport/boundedread"
)

const (
	longPollTime   = 5 * time.Second        // how long discovery may delay its answer; short, so that a failed connection is noticed soon
	callMargin     = time.Second            // added to the poll time to give the timeout of a whole call
	retryDelay     = 100 * time.Millisecond // wait between a failed call and the next; short, because calls cost discovery little
	maxAnswerBytes = 8 << 20                // largest answer that is read: a list of tens of thousands of entries
	maxHeadBytes   = 64 << 10               // largest head of an answer
	listPath       = "/v1/servers"
)

// Entry is one replica as discovery lists it.
type Entry struct {
	Host      string
	Dial      string
	Cell      int
	Zone      string // empty if the replica has none
	Status    balance.Status
	StartedMs int64 // when the replica started, Unix time in ms; 0 for long ago
	Distance  int   // distance class below balance.Distances, 0 for the nearest
	MaxCalls  int   // parts that this aggregator may have in flight at the replica; 0 if not stated
}

// Update is one answer of discovery, or a failed call.
type Update struct {
	Sequence int64
	Full     bool // the entries replace the list; otherwise they are changes
	Entries  []Entry
	Skipped  []error // why entries were left out
	Err      error   // the call failed, and the other fields are empty
}

// message is the JSON form of an answer.
type message struct {
	Sequence *int64            `json:"seq"`
	Full     bool              `json:"whole"`
	Hosts    []json.RawMessage `json:"hosts"`
}

type entry struct {
	Host      string `json:"host"`
	Dial      string `json:"dial"`
	Zone      string `json:"site"`
	Cell      *int   `json:"block"`
	Health    string `json:"health"`
	StartedMs int64  `json:"born_ms"`
}

// Decode reads a list. Malformed entries are left out, and each adds an error to Skipped.
func Decode(text []byte, cells int) (Update, error) {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return Update{}, fmt.Errorf("the list: %w", err)
	}
	if m.Sequence == nil {
		return Update{}, fmt.Errorf("the list: key %q is missing", "seq")
	}
	update := Update{Sequence: *m.Sequence, Full: m.Full}
	for i, raw := range m.Hosts {
		e, err := decodeEntry(raw, cells)
		if err != nil {
			update.Skipped = append(update.Skipped, fmt.Errorf("entry %d: %w", i, err))
			continue
		}
		update.Entries = append(update.Entries, e)
	}
	return update, nil
}

func decodeEntry(raw json.RawMessage, cells int) (Entry, error) {
	var wire entry
	if err := json.Unmarshal(raw, &wire); err != nil {
		return Entry{}, err
	}
	found := Entry{Host: wire.Host, Dial: wire.Dial, Zone: wire.Zone, StartedMs: wire.StartedMs}
	switch wire.Health {
	case "active":
		found.Status = balance.Up
	case "leaving":
		found.Status = balance.Draining
	case "left":
		found.Status = balance.Gone
	default:
		return Entry{}, fmt.Errorf("key %q has the value %.20q", "health", wire.Health)
	}
	if wire.Host == "" {
		return Entry{}, fmt.Errorf("key %q is missing", "host")
	}
	if found.Status == balance.Gone { // a replica that has left may no longer have a cell and an address
		return found, nil
	}
	if wire.Cell == nil || *wire.Cell < 0 || *wire.Cell >= cells {
		return Entry{}, fmt.Errorf("key %q is missing or no cell of this service", "block")
	}
	found.Cell = *wire.Cell
	if _, _, err := net.SplitHostPort(wire.Dial); err != nil {
		return Entry{}, fmt.Errorf("key %q: %w", "dial", err)
	}
	return found, nil
}

// Watch keeps polling discovery for changes of the list.
type Watch struct {
	cells     int
	sequence  int64
	transport *http.Transport
	report    func(context.Context, Update)
	requested chan struct{}

	mu             sync.Mutex
	address        string
	addressChanged bool               // the address has changed since the last call began
	cancelCall     context.CancelFunc // ends the call in progress
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewWatch returns a watch that passes each answer and each failure to report, in order. Its first call requests
// the full list, whose sequence number replaces the given one.
func NewWatch(address string, cells int, sequence int64, dial dialFunc, report func(context.Context, Update)) *Watch {
	return &Watch{address: address, cells: cells, sequence: sequence, report: report, requested: make(chan struct{}, 1),
		cancelCall: func() {},
		transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, DisableCompression: true,
			MaxResponseHeaderBytes: maxHeadBytes, DialContext: dial}}
}

// Request lets a Run with onRequest, which waits at its start and after a failure, make its next call.
func (w *Watch) Request() {
	select {
	case w.requested <- struct{}{}:
	default:
	}
}

// SetAddress moves the watch to another address. It cancels the call in progress at the old address and
// requests the full list from the new one, regardless of the sequence numbers of the two. Until that list
// arrives, the old list stays in force.
func (w *Watch) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address != w.address {
		w.address, w.addressChanged = address, true
		w.cancelCall()
	}
}

// beginCall begins a call. It returns the call's address, whether the address changed since the last call, and
// a context that SetAddress cancels.
func (w *Watch) beginCall(ctx context.Context) (callCtx context.Context, address string, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelCall()
	callCtx, w.cancelCall = context.WithCancel(ctx)
	if changed, w.addressChanged = w.addressChanged, false; changed {
		w.transport.CloseIdleConnections()
	}
	return callCtx, w.address, changed
}

// Run watches until ctx ends. With onRequest it waits for a Request at the start and again after each failure;
// otherwise it starts and continues by itself.
//
// Danger: if the next call starts late, discovery has ended the watch and changes in between are missed, so
// report must only pass the update on and not block.
func (w *Watch) Run(ctx context.Context, onRequest bool) {
	defer w.transport.CloseIdleConnections()
	for full, waitForRequest := true, onRequest; ctx.Err() == nil; {
		if waitForRequest {
			select {
			case <-w.requested:
			case <-ctx.Done():
				return
			}
		}
		callCtx, address, changed := w.beginCall(ctx)
		full = full || changed
		update, err := w.call(callCtx, address, full)
		switch {
		case callCtx.Err() != nil: // ended, or moved to another address
			waitForRequest = false
		case err != nil:
			full, waitForRequest = true, onRequest
			w.report(ctx, Update{Err: err})
			if !onRequest {
				select {
				case <-time.After(retryDelay):
				case <-callCtx.Done():
				}
			}
		default:
			full, waitForRequest, w.sequence = false, false, update.Sequence
			w.report(ctx, update)
		}
	}
}

// call makes one call; the first call of a watch requests the full list.
func (w *Watch) call(ctx context.Context, address string, full bool) (Update, error) {
	timeout := callMargin
	url := "http://" + address + listPath
	if !full {
		timeout += longPollTime
		url += "?since=" + strconv.FormatInt(w.sequence, 10) +
			"&timeout_ms=" + strconv.FormatInt(longPollTime.Milliseconds(), 10)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Update{}, err
	}
	response, err := w.transport.RoundTrip(request)
	if err != nil {
		return Update{}, err
	}
	defer response.Body.Close()
	text, err := boundedread.AtMost(response.Body, maxAnswerBytes, nil) // one call at a time
	if err != nil {
		return Update{}, err
	}
	if response.StatusCode != http.StatusOK {
		return Update{}, fmt.Errorf("discovery answered %s", response.Status)
	}
	return Decode(text, w.cells)
}
