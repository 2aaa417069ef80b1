package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Host is one replica's entry in the discovery list.
type Host struct {
	Host        string  `json:"host"`
	Dial        string  `json:"dial"`
	Site        string  `json:"site"`
	Class       string  `json:"class"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"`
	Share       float64 `json:"share"`
	StartedAtMs int64   `json:"born_ms"`
}

// Discovery is a stand-in discovery service: it serves a list of replicas and its changes over HTTP.
type Discovery struct {
	mu       sync.Mutex
	seq      int64
	hosts    []Host
	versions []int64 // list version of each host's last change
	updated  chan struct{}
}

// NewDiscovery creates a discovery service with an initial list.
func NewDiscovery(hosts ...Host) *Discovery {
	d := &Discovery{updated: make(chan struct{})}
	for _, h := range hosts {
		d.Change(h)
	}
	return d
}

// Change adds a host, or replaces the entry with the same name.
func (d *Discovery) Change(h Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	at := slices.IndexFunc(d.hosts, func(was Host) bool { return was.Host == h.Host })
	if at < 0 {
		at = len(d.hosts)
		d.hosts, d.versions = append(d.hosts, h), append(d.versions, d.seq)
	}
	d.hosts[at], d.versions[at] = h, d.seq
	close(d.updated)
	d.updated = make(chan struct{})
}

// ServeHTTP answers requests for the whole list, and long polls for the entries that changed after a version.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	whole := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	d.mu.Lock()
	if news := d.updated; !whole && d.seq <= since {
		d.mu.Unlock()
		select {
		case <-news:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		d.mu.Lock()
	}
	hosts := []Host{}
	for i, h := range d.hosts {
		if whole && h.Health != "left" || !whole && d.versions[i] > since {
			hosts = append(hosts, h)
		}
	}
	answer := map[string]any{"seq": d.seq, "whole": whole, "hosts": hosts}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}
