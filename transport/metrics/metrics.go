// Package metrics serves a process's metrics over HTTP in the text exposition format of Prometheus. Metrics are
// collected only when they are requested. It makes no decisions of its own.
package metrics

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"
	"golang.org/x/net/netutil"
	"k8s.io/klog/v2"

	"willowsill/transport/listen"
)

// ErrMetrics builds this package's errors, which have the code metrics.
var ErrMetrics = oops.Code("metrics")

const (
	readTimeout = 2 * time.Second // longest time to read a request
	idleTimeout = 15 * time.Second
	maxPort     = 65535

	maxHeadBytes   = 8 << 10
	maxConnections = 16
)

// Endpoint is the port and the path at which metrics are served.
type Endpoint struct {
	Port int
	Path string // begins with a slash
}

// ParseEndpoint parses an endpoint written as PORT/PATH.
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, found := strings.Cut(text, "/")
	number, err := strconv.Atoi(port)
	if !found || err != nil || number < 1 || number > maxPort {
		return Endpoint{}, ErrMetrics.Errorf("%q is not PORT/PATH, as in 9464/metrics", text)
	}
	return Endpoint{Port: number, Path: "/" + path}, nil
}

// Writer collects the metrics of one request.
type Writer struct{ set *metrics.Set }

// Gauge writes a value that may fall. The name may hold labels, as in queue_length{route="scan"}.
func (w Writer) Gauge(name string, value float64) { w.set.GetOrCreateGauge(name, nil).Set(value) }

// Flag writes a gauge of 1 or 0.
func (w Writer) Flag(name string, value bool) {
	number := 0.0
	if value {
		number = 1
	}
	w.Gauge(name, number)
}

// Counter writes a count since the start of the process.
func (w Writer) Counter(name string, value int64) {
	w.set.GetOrCreateCounter(name).Set(uint64(max(value, 0)))
}

// Collector writes the metrics of a process. It is called from any goroutine.
type Collector func(Writer)

// Handler answers GET at the endpoint's path with the metrics that the collector writes.
func Handler(path string, collect Collector) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		// A new set for each request, so that labels that no longer exist, such as removed routes, disappear.
		set := metrics.NewSet()
		collect(Writer{set})
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		set.WritePrometheus(w)
	})
	return mux
}

// Serve serves metrics at an IP of this machine and an endpoint written as PORT/PATH until ctx ends; without an
// endpoint it serves none. It returns at once: a port that cannot be listened on is waited for beside the process's work. An endpoint
// that is not valid is only logged, because the process still serves without its metrics.
func Serve(ctx context.Context, ip, endpoint string, collect Collector) {
	if endpoint == "" {
		return
	}
	parsed, err := ParseEndpoint(endpoint)
	if err != nil {
		klog.ErrorS(err, "no figures are served")
		return
	}
	listener := listen.Later(ctx, klog.ErrorS, listen.Endpoint{Setting: "metrics", Address: net.JoinHostPort(ip, strconv.Itoa(parsed.Port))})
	server := &http.Server{Handler: Handler(parsed.Path, collect), ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes}
	go server.Serve(netutil.LimitListener(listener, maxConnections))
	context.AfterFunc(ctx, func() { server.Close() })
}
