package controlserver

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"k8s.io/klog/v2"

	"willowsill/transport/metrics"
)

// callKey is a kind of call and the status of its answer.
type callKey struct {
	call   string
	status int
}

// callCounts counts the calls answered since the start. The zero value is empty.
type callCounts struct {
	mu     sync.Mutex
	counts map[callKey]int64
}

func (c *callCounts) add(key callKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[callKey]int64{}
	}
	c.counts[key]++
}

// writeMetrics writes each count as a metric.
func (c *callCounts) writeMetrics(w metrics.Writer) {
	c.mu.Lock()
	counts := maps.Clone(c.counts)
	c.mu.Unlock()
	for key, count := range counts {
		w.Counter(fmt.Sprintf("willowsill_control_calls_total{call=%q,status=\"%d\"}", key.call, key.status), count)
	}
}

// The resources and calls that are counted by name. All others count as callUnknown, so that callers cannot
// create an unlimited number of labels.
var (
	knownResources = []string{"replicas", "configuration", "rollouts"}
	knownCalls     = []string{"heartbeat", "departure", "replace", "read", "begin", "abort"}
)

const (
	callUnknown   = "unknown"
	callHeartbeat = "replicas/heartbeat"
)

// callKind returns the kind of a call by its path: the resource and the path's last part, as in
// configuration/read.
func callKind(path string) string {
	resource, rest, _ := strings.Cut(strings.TrimPrefix(path, "/v1/"), "/")
	call := rest[strings.LastIndexByte(rest, '/')+1:]
	if !slices.Contains(knownResources, resource) || !slices.Contains(knownCalls, call) {
		return callUnknown
	}
	return resource + "/" + call
}

// statusRecorder passes an answer on and records its status.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// serve serves a call, counts it, and logs it if it was rejected. Heartbeats are counted but not logged,
// because each replica sends one a second.
func (c *callCounts) serve(w http.ResponseWriter, r *http.Request, handler func(http.ResponseWriter)) {
	recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
	handler(recorder)
	key := callKey{callKind(r.URL.Path), recorder.status}
	c.add(key)
	if key.status >= http.StatusBadRequest && key.call != callHeartbeat {
		klog.InfoS("a call is turned down", "method", r.Method, "path", r.URL.Path, "status", key.status)
	}
}
