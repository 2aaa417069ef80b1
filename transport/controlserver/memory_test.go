package controlserver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"willowsill/transport/boundedread"
)

// TestCallsTogether (FAULT): the bodies of calls that are read at the same time fit into a budget; one beyond it is answered with 503 and
// one beyond its own limit with 413, and nothing is held afterwards.
func TestCallsTogether(t *testing.T) {
	const memory = 1 << 20
	s := newTestServer(t, "")
	s.callMemory = boundedread.NewBudget(memory)
	handler := s.handler()
	post := func(path string, body io.Reader) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, body))
		return w.Code
	}
	const replacePath, heartbeatPath = "/v1/configuration/replace", "/v1/replicas/i-1/heartbeat"
	must.Eq(t, http.StatusServiceUnavailable, post(replacePath, strings.NewReader(strings.Repeat(" ", memory/2))))
	must.Eq(t, http.StatusRequestEntityTooLarge, post(heartbeatPath, strings.NewReader(strings.Repeat(" ", maxHeartbeatBytes+1))))
	must.Eq(t, http.StatusServiceUnavailable, post(heartbeatPath, iotest.ErrReader(io.ErrUnexpectedEOF)))
	must.Eq(t, 0, s.callMemory.Held())
	must.Eq(t, http.StatusOK, replace(handler, "7", "s"))
	must.Eq(t, 0, s.callMemory.Held())
	s.callMemory = boundedread.NewBudget(16 * maxConfigurationBytes)
	must.Eq(t, http.StatusRequestEntityTooLarge, post(replacePath, strings.NewReader(strings.Repeat(" ", maxConfigurationBytes+1))))
}
