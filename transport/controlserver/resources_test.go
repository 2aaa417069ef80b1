package controlserver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/controller"
	"willowsill/deployment/settings"
	"willowsill/transport/metrics"
)

// newTestServer returns a server whose controller is the only member. It has no sockets, and its disk saves at
// once.
func newTestServer(t *testing.T, mode string) *Server {
	s := &Server{settings: settings.Settings{ConfigMode: mode}, calls: map[uint64]chan controller.Answer{},
		inputs: make(chan func(int64) controller.Effects, inputQueue), saves: make(chan controller.Save, 1)}
	s.controller = controller.New(0, controller.Options{IP: "10.0.0.1", Incarnation: "1", Seeds: []string{"10.0.0.1"}, Bootstrap: true,
		ReplicaHeartbeatInterval: 1_000_000_000, Random: func() float64 { return 0 }})
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		now := int64(0)
		save := func(effects controller.Effects) {
			for {
				s.applyEffects(effects)
				if effects.Save == nil {
					return
				}
				number := (<-s.saves).Number
				effects = s.controller.SaveFinished(now, number, nil)
			}
		}
		save(s.controller.Tick(now))
		for {
			select {
			case in := <-s.inputs:
				now++
				save(in(now))
			case <-done:
				return
			}
		}
	}()
	return s
}

func replace(handler http.Handler, revision, service string) int {
	body := `{"revision":` + revision + `,"routes":[],"services":[{"name":"` + service + `"}]}`
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/configuration/replace", strings.NewReader(body)))
	return w.Code
}

// TestOrdersByHTTP: an order is acknowledged, acknowledged again when it is repeated, and another content with
// the same revision is rejected.
func TestOrdersByHTTP(t *testing.T) {
	for _, mode := range []string{"", configModeHighest} {
		handler := newTestServer(t, mode).handler()
		must.Eq(t, 200, replace(handler, "7", "one"))
		must.Eq(t, 200, replace(handler, "7", "one"))
		must.Eq(t, 409, replace(handler, "7", "other"))
		must.Eq(t, 200, replace(handler, "9", "two"))
		must.Eq(t, 200, replace(handler, "7", "one"))
		must.Eq(t, 409, replace(handler, "7", "other"))
	}
}

// TestUnknownModeConfirmsNothing: in an unknown mode of ordering configurations, no order is acknowledged, and
// none is rejected for good.
func TestUnknownModeConfirmsNothing(t *testing.T) {
	handler := newTestServer(t, "match").handler()
	must.Eq(t, 501, replace(handler, "7", "one"))
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/configuration/read", nil))
	must.Eq(t, 404, w.Code)
}

// TestFigures: the metrics hold the current state of the controller. If the loop is stuck, the metrics report
// that the controller is down, without blocking.
func TestFigures(t *testing.T) {
	s := newTestServer(t, "")
	must.Eq(t, http.StatusOK, replace(s.handler(), "7", "s"))
	text := func(s *Server) string {
		w := httptest.NewRecorder()
		metrics.Handler("/metrics", s.writeMetrics).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return w.Body.String()
	}
	body := text(s)
	must.StrContains(t, body, "willowsill_controller_up 1\n")
	must.StrContains(t, body, "willowsill_configuration_revision 7\n")
	must.StrContains(t, body, "willowsill_replicas{phase=\"ready\"} 0\n")
	must.StrContains(t, body, "willowsill_control_calls_total{call=\"configuration/replace\",status=\"200\"} 1\n")
	must.Eq(t, "willowsill_controller_up 0\n", text(&Server{inputs: make(chan func(int64) controller.Effects)}))
}

// TestInvalidOrders: an invalid order gets 400 and never takes effect; the previous configuration stays in
// force.
func TestInvalidOrders(t *testing.T) {
	handler := newTestServer(t, "").handler()
	must.Eq(t, http.StatusOK, replace(handler, "7", "s"))
	for name, body := range map[string]string{
		"cut short":       `{"revision":8,"routes":[],"services":[{"name":"s"}`,
		"unknown service": `{"revision":8,"routes":[{"name":"r","host":"h","path-prefix":"/","deadline-ms":9,"service":"t"}],"services":[{"name":"s"}]}`,
		"no time":         `{"revision":8,"routes":[{"name":"r","host":"h","path-prefix":"/","deadline-ms":0,"service":"s"}],"services":[{"name":"s"}]}`,
		"no weight":       `{"revision":8,"routes":[{"name":"r","host":"h","path-prefix":"/","deadline-ms":9,"weighted-split":[{"service":"s","weight":0}]}],"services":[{"name":"s"}]}`,
		"same place": `{"revision":8,"routes":[{"name":"r","host":"h","path-prefix":"/","deadline-ms":9,"service":"s"},` +
			`{"name":"q","host":"h","path-prefix":"/","deadline-ms":9,"service":"s"}],"services":[{"name":"s"}]}`,
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/configuration/replace", strings.NewReader(body)))
		must.Eq(t, http.StatusBadRequest, w.Code, must.Sprint(name))
		w = httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/configuration/read", nil))
		must.Eq(t, http.StatusOK, w.Code)
		must.StrHasPrefix(t, `{"revision":7,`, w.Body.String())
	}
}

// TestTurnedDownCallsAreCounted: calls are counted by kind and status, and calls of unknown kinds share one
// count.
func TestTurnedDownCallsAreCounted(t *testing.T) {
	s := newTestServer(t, "")
	for _, path := range []string{"/v1/configuration/read", "/v1/nothing/a", "/v1/nothing/b"} {
		s.handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
	}
	w := httptest.NewRecorder()
	metrics.Handler("/metrics", s.writeMetrics).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	must.StrContains(t, w.Body.String(), "willowsill_control_calls_total{call=\"configuration/read\",status=\"404\"} 1\n")
	must.StrContains(t, w.Body.String(), "willowsill_control_calls_total{call=\"unknown\",status=\"404\"} 2\n")
}

// TestRolloutIsAcknowledged guards against a rollout that begins but is never acknowledged.
func TestRolloutIsAcknowledged(t *testing.T) {
	handler := newTestServer(t, "").handler()
	call := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	must.Eq(t, http.StatusOK, replace(handler, "7", "s"))
	order := `{"service":"s","target-revision":"v2","over-s":12}`
	must.Eq(t, http.StatusOK, call(http.MethodPost, "/v1/rollouts/begin", order).Code)
	must.Eq(t, http.StatusOK, call(http.MethodPost, "/v1/rollouts/begin", order).Code)
	read := call(http.MethodGet, "/v1/rollouts/s/read", "")
	must.Eq(t, http.StatusOK, read.Code)
	must.StrContains(t, read.Body.String(), `"phase":"active"`)
	must.StrContains(t, read.Body.String(), `"target-revision":"v2"`)
}

// TestInvalidRollouts: an invalid order gets a definite rejection and begins no rollout.
func TestInvalidRollouts(t *testing.T) {
	handler := newTestServer(t, "").handler()
	must.Eq(t, http.StatusOK, replace(handler, "7", "s"))
	for body, want := range map[string]int{
		`{"service":"s","target-revision":"v2"}`:                 http.StatusBadRequest,
		`{"service":"s","target-revision":"v2","over-s":0}`:      http.StatusBadRequest,
		`{"service":"s","target-revision":"v2","over-s":-3}`:     http.StatusBadRequest,
		`{"service":"s","target-revision":"v2","over-s":1e9}`:    http.StatusBadRequest,
		`{"service":"s","target-revision":"","over-s":9}`:        http.StatusBadRequest,
		`{"target-revision":"v2","over-s":9}`:                    http.StatusBadRequest,
		`{"service":"s","target-revision":"v2","over-s":9`:       http.StatusBadRequest,
		`{"service":"nobody","target-revision":"v2","over-s":9}`: http.StatusUnprocessableEntity,
		strings.Repeat(" ", maxOrderBytes+1):                     http.StatusRequestEntityTooLarge,
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/rollouts/begin", strings.NewReader(body)))
		must.Eq(t, want, w.Code, must.Sprint(body))
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/rollouts/s/read", nil))
	must.Eq(t, http.StatusNotFound, w.Code)
}
