package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Host is one replica on the list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// Discovery serves a list and its changes.
type Discovery struct {
	mu      sync.Mutex
	seq     int64
	hosts   []Host
	changed []int64 // the version of each host's last change
	news    chan struct{}
}

// NewDiscovery makes a discovery with a list.
func NewDiscovery(hosts ...Host) *Discovery {
	d := &Discovery{news: make(chan struct{})}
	for _, h := range hosts {
		d.Change(h)
	}
	return d
}

// Change adds a host or replaces the entry of that name.
func (d *Discovery) Change(h Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	at := slices.IndexFunc(d.hosts, func(was Host) bool { return was.Host == h.Host })
	if at < 0 {
		at = len(d.hosts)
		d.hosts, d.changed = append(d.hosts, h), append(d.changed, d.seq)
	}
	d.hosts[at], d.changed[at] = h, d.seq
	close(d.news)
	d.news = make(chan struct{})
}

// ServeHTTP answers calls for the whole list and for what is new since a version.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	whole := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	d.mu.Lock()
	if news := d.news; !whole && d.seq <= since {
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
		if whole && h.Health != "left" || !whole && d.changed[i] > since {
			hosts = append(hosts, h)
		}
	}
	answer := map[string]any{"seq": d.seq, "whole": whole, "hosts": hosts}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}
