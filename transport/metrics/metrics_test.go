package metrics

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

func TestParseEndpoint(t *testing.T) {
	for text, want := range map[string]Endpoint{"9464/metrics": {9464, "/metrics"}, "80/": {80, "/"}, "7080/a/b": {7080, "/a/b"}} {
		got, err := ParseEndpoint(text)
		must.NoError(t, err)
		must.Eq(t, want, got)
	}
	for _, text := range []string{"", "metrics", "9464", "/metrics", "0/metrics", "70000/metrics", "x/metrics"} {
		_, err := ParseEndpoint(text)
		must.ErrorContains(t, err, "PORT/PATH", must.Sprint(text))
	}
}

func get(t *testing.T, url string) (int, string) {
	response, err := http.Get(url)
	must.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, string(body)
}

// TestFiguresAreOfTheMoment: each request gets the current values, and a label that no longer exists is left
// out.
func TestFiguresAreOfTheMoment(t *testing.T) {
	route, queries, collected := "scan", int64(3), 0
	server := httptest.NewServer(Handler("/metrics", func(w Writer) {
		collected++
		w.Counter(fmt.Sprintf("queries_total{route=%q}", route), queries)
		w.Flag("ready", queries == 3)
		w.Gauge("free", 0.5)
	}))
	defer server.Close()
	must.Zero(t, collected)
	status, body := get(t, server.URL+"/metrics")
	must.Eq(t, 200, status)
	must.Eq(t, "free 0.5\nqueries_total{route=\"scan\"} 3\nready 1\n", body)
	route, queries = "debit", 4
	_, body = get(t, server.URL+"/metrics")
	must.Eq(t, "free 0.5\nqueries_total{route=\"debit\"} 4\nready 0\n", body)
	status, _ = get(t, server.URL+"/else")
	must.Eq(t, 404, status)
	must.Eq(t, 2, collected)
}

// TestPortThatIsTaken: if the metrics port is in use, the process continues without metrics. Without a valid
// endpoint it doesn't listen at all.
func TestPortThatIsTaken(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer occupied.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	endpoint := fmt.Sprintf("%d/metrics", occupied.Addr().(*net.TCPAddr).Port)
	Serve(ctx, "127.0.0.1", endpoint, func(Writer) { t.Error("metrics were collected") })
	Serve(ctx, "127.0.0.1", "", func(Writer) { t.Error("metrics were collected") })
	Serve(ctx, "127.0.0.1", "nonsense", func(Writer) { t.Error("metrics were collected") })
}
