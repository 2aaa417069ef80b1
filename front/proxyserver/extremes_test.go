package proxyserver

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
	"willowsill/transport/replicahttp"
)

const (
	extremeSeeds          = 20
	extremeConfigurations = 30 // for each seed
)

// extremes are figures that no operator would write, and some that one would.
var extremes = []string{"-9007199254740992", "-1", "0", "1", "2", "0.5", "1e-300", "1000", "65536", "2147483647", "2147483648", "4294967296", "9e15",
	"9007199254740992", "1e300", "-1e300", "true", "\"x\"", "null", "[]"}

// extremeConfiguration returns a configuration in which some figures are extremes. It may be invalid.
func extremeConfiguration(random *rand.Rand, revision int) []byte {
	figure := func(usual string) string {
		if random.IntN(3) > 0 {
			return usual
		}
		return extremes[random.IntN(len(extremes))]
	}
	route := func(name, target string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":"/%s/","deadline-ms":%s,"target-ms":%s,"rank":%s,"max-tries":%s,"result-count":%s,"min-coverage":%s,%s}`,
			name, name, figure("1200"), figure("200"), figure("1"), figure("2"), figure("5"), figure("0.6"), target)
	}
	split := fmt.Sprintf(`"weighted-split":[{"service":"s1","weight":%s},{"service":"s2","weight":%s}]`, figure("1"), figure("2"))
	routes := []string{route("scan", `"fanout":["s1","s2","s3"]`), route("debit", `"route-kind":"unsafe","service":"s1"`), route("split", split)}
	return fmt.Appendf(nil, `{"revision":%d,"routes":[%s],"services":[{"name":"s1","max-conns":%s},{"name":"s2"},{"name":"s3"}],`+
		`"limits":{"max-header-bytes":%s,"max-body-bytes":%s,"header-read-ms":%s,"idle-timeout-ms":%s}}`, revision, strings.Join(routes, ","),
		figure("64"), figure("16384"), figure("65536"), figure("3000"), figure("15000"))
}

// TestExtremeConfigurations (FAULT): whatever figures a configuration and a request hold, no process ends, and each request gets an answer.
func TestExtremeConfigurations(t *testing.T) {
	for seed := range uint64(extremeSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			answer := func(*http.Request) (int, string) { return http.StatusOK, strings.Repeat("r", 64) }
			withProxy(t, `{"name":"first","host":"h","path-prefix":"/first/","deadline-ms":1000,"service":"s1"}`,
				map[string]replicaBehaviour{"s1": answer, "s2": answer, "s3": answer}, func(b *proxyBubble) {
					random := rand.New(rand.NewPCG(seed, 0))
					for revision := 2; revision < 2+extremeConfigurations; revision++ {
						raw := extremeConfiguration(random, revision)
						must.True(t, b.applyUpdate(clusterstate.Update{Revision: uint64(revision), Body: clusterstate.Pack(raw), Fleet: clusterstate.Fleet{Most: 1}}))
						for _, path := range []string{"/first/x", "/scan/x", "/debit/x", "/split/x"} {
							b.mustAnswer(path, extremes[random.IntN(len(extremes))], string(raw))
						}
					}
				})
		})
	}
}

// mustAnswer sends a request with a body and a deadline, on a connection of its own, and expects any answer.
func (b *proxyBubble) mustAnswer(path, deadline, configuration string) {
	b.t.Helper()
	conn, r := b.dial()
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Minute))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: a1\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", path, replicahttp.HeaderAttempt, replicahttp.HeaderDeadline, deadline)
	response, err := http.ReadResponse(r, nil)
	must.NoError(b.t, err, must.Sprint(path, " with ", deadline, " under ", configuration))
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(b.t, err)
	response.Body.Close()
}
