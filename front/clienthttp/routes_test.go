package clienthttp

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"willowsill/decide/clusterstate"
	"willowsill/decide/routingtable"
	"willowsill/deployment/settings"
)

// drawnConfiguration draws a valid configuration whose routes share a few names or have none.
func drawnConfiguration(t *rapid.T, revision int) []byte {
	type entry map[string]any
	var routes []entry
	for _, host := range []string{"h", "i.example"} {
		for _, prefix := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"/", "/a/", "/a/b/", "/c/"}), rapid.ID).Draw(t, "prefixes") {
			deadline := rapid.IntRange(100, 9000).Draw(t, "deadline")
			routes = append(routes, entry{"name": rapid.SampledFrom([]string{"", "r", "s"}).Draw(t, "name"), "host": host, "path-prefix": prefix,
				"route-kind": rapid.SampledFrom([]string{"safe", "unsafe"}).Draw(t, "kind"), "deadline-ms": deadline,
				"target-ms": rapid.IntRange(1, deadline).Draw(t, "target"), "service": "s1", "max-tries": rapid.IntRange(1, 3).Draw(t, "tries")})
		}
	}
	body, err := json.Marshal(entry{"revision": revision, "routes": append([]entry{}, routes...), "services": []entry{{"name": "s1"}}})
	must.NoError(t, err)
	return body
}

// TestRoutesOfOneName guards against an unsafe request that runs twice because another route's settings are
// applied to it: each request is served by its own route, whatever the routes' names and the configurations
// before.
func TestRoutesOfOneName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := &recordingCore{}
		handler := &Handler{Core: asked, Now: func() int64 { return 0 }}
		table := routingtable.New(0, settings.Settings{IP: "10.0.0.1"})
		now := int64(0)
		for revision := range rapid.IntRange(1, 4).Draw(t, "configurations") {
			now += int64(rapid.IntRange(1, 100_000).Draw(t, "ms until the next")) * millisecond
			change := table.Apply(now, clusterstate.Update{Revision: uint64(revision + 1), Raw: drawnConfiguration(t, revision+1)})
			must.NoError(t, change.Err)
			handler.SetState(change.State)
			taken := map[int]bool{}
			for i := range change.State.Config.Routes {
				route := &change.State.Config.Routes[i]
				r := request(http.MethodPost, route.Prefix+"x", "")
				r.Host = route.Host
				handler.ServeHTTP(httptest.NewRecorder(), r)
				must.Eq(t, routingtable.Workload(route), change.Workloads[asked.asked.Workload], must.Sprint(*route))
				must.False(t, taken[asked.asked.Workload], must.Sprint("two routes have one workload"))
				taken[asked.asked.Workload] = true
			}
		}
	})
}

// TestSplitsOfOneName guards against shares that differ from the weights: a route's requests advance only its own
// split.
func TestSplitsOfOneName(t *testing.T) {
	const raw = `{"revision":1,"routes":[
{"name":"r","host":"h","path-prefix":"/a/","deadline-ms":1000,"weighted-split":[{"service":"s1","weight":1},{"service":"s2","weight":1}]},
{"name":"r","host":"h","path-prefix":"/b/","deadline-ms":1000,"weighted-split":[{"service":"s1","weight":9},{"service":"s2","weight":1}]}],
"services":[{"name":"s1"},{"name":"s2"}]}`
	services := func(between int) (chosen []string) {
		change := routingtable.New(0, settings.Settings{IP: "10.0.0.1"}).Apply(0, clusterstate.Update{Revision: 1, Raw: []byte(raw)})
		must.NoError(t, change.Err)
		own, other := &change.State.Config.Routes[0], &change.State.Config.Routes[1]
		for range 30 {
			chosen = append(chosen, change.State.Service(own))
			for range between {
				change.State.Service(other)
			}
		}
		return chosen
	}
	must.Eq(t, services(0), services(1))
	must.Eq(t, services(0), services(2))
}
