package proxyserver

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"willowsill/decide/clusterstate"
	"willowsill/decide/lending"
	"willowsill/decide/routeconfig"
	"willowsill/decide/routingtable"
	"willowsill/deployment"
	"willowsill/deployment/settings"
	"willowsill/front/clienthttp"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/metrics"
	"willowsill/transport/replicahttp"
)

// idleServer returns a proxy without sockets, agent and replicas.
func idleServer(t *testing.T) *Server {
	set := settings.Settings{IP: "127.0.0.1"}
	clock := node.NewClock()
	s := &Server{settings: set, counters: counters.New(nil), state: clusterstate.NewState(), table: routingtable.New(clock.Now(), set),
		account:  lending.NewAccount(clock.Now(), lending.DefaultTiming(set.Bounds.RetryWindow())),
		evidence: newEvidence(1), servers: &clienthttp.Servers{}, handler: &clienthttp.Handler{}}
	s.node = node.New(node.Options{Clock: clock, Deployment: deployment.Deployment{Deployment: routingtable.Deployment(set, 1)},
		Limits: deployment.Limits{MaxHeld: maxHeld}, Count: s.counters, Log: zap.NewNop(), RequestList: func() {}, Observer: s.evidence,
		NewTransport: func(notify func(any), now func() int64) node.Transport {
			s.pool = replicahttp.NewPool(notify, now)
			return s.pool
		}})
	t.Cleanup(s.node.Close)
	return s
}

func (s *Server) applyRoutes(t *testing.T, revision int, routes string) {
	raw := fmt.Appendf(nil, `{"revision":%d,"routes":[%s],"services":[{"name":"s"}]}`, revision, routes)
	must.True(t, s.applyUpdate(clusterstate.Update{Revision: uint64(revision), Body: clusterstate.Pack(raw)}))
}

func route(name string) string {
	return fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":"/%s/","deadline-ms":1000,"service":"s"}`, name, name)
}

func routeID(name string) routeconfig.RouteID {
	return routeconfig.RouteID{Host: "h", Prefix: "/" + name + "/"}
}

// TestFiguresOfOneName: two routes with the same name have separate counters.
func TestFiguresOfOneName(t *testing.T) {
	s := idleServer(t)
	s.applyRoutes(t, 3, `{"name":"r","host":"h","path-prefix":"/a/","deadline-ms":1000,"service":"s"},{"name":"r","host":"h","path-prefix":"/b/","deadline-ms":1000,"service":"s"}`)
	s.counterRows[s.rowByRoute[routeID("a")]].Complete.Add(2)
	s.counterRows[s.rowByRoute[routeID("b")]].Complete.Add(3)
	recorder := httptest.NewRecorder()
	metrics.Handler("/metrics", s.writeMetrics).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	must.StrContains(t, recorder.Body.String(), "willowsill_queries_total{route=\"r\",host=\"h\",prefix=\"/a/\",outcome=\"whole\"} 2\n")
	must.StrContains(t, recorder.Body.String(), "willowsill_queries_total{route=\"r\",host=\"h\",prefix=\"/b/\",outcome=\"whole\"} 3\n")
}

// TestFiguresByRoute: counters are labelled with their route, and those of a route that takes a removed route's
// row begin at 0.
func TestFiguresByRoute(t *testing.T) {
	s := idleServer(t)
	metricsServer := httptest.NewServer(metrics.Handler("/metrics", s.writeMetrics))
	defer metricsServer.Close()
	read := func() string {
		response, err := http.Get(metricsServer.URL + "/metrics")
		must.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		return string(body)
	}
	must.StrContains(t, read(), "willowsill_configuration_revision 0\n")
	s.applyRoutes(t, 3, route("scan"))
	s.counterRows[s.rowByRoute[routeID("scan")]].Complete.Add(7)
	s.counters.Executions.Sent.Add(9)
	text := read()
	must.StrContains(t, text, "willowsill_queries_total{route=\"scan\",host=\"h\",prefix=\"/scan/\",outcome=\"whole\"} 7\n")
	must.StrContains(t, text, "willowsill_executions_sent_total 9\n")
	must.StrContains(t, text, "willowsill_configuration_revision 3\n")
	row := s.rowByRoute[routeID("scan")]
	s.applyRoutes(t, 4, route("debit"))
	s.updateCounterRows(s.routes, map[routeconfig.RouteID]int{routeID("debit"): row})
	text = read()
	must.StrContains(t, text, "willowsill_queries_total{route=\"debit\",host=\"h\",prefix=\"/debit/\",outcome=\"whole\"} 0\n")
	must.StrNotContains(t, text, "scan")
	s.counterRows[row].Complete.Add(1)
	s.updateCounterRows(s.routes, map[routeconfig.RouteID]int{routeID("debit"): row, routeID("scan"): row + 1})
	must.StrContains(t, read(), "willowsill_queries_total{route=\"debit\",host=\"h\",prefix=\"/debit/\",outcome=\"whole\"} 1\n")
}
