package healthcheck

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	pollInterval = time.Millisecond
	shortTimeout = 50 * time.Millisecond
)

// startServer starts a server that answers the first unready checks with 503 and later ones with 200, and counts all checks.
func startServer(t *testing.T, unready int32) (*httptest.Server, *atomic.Int32) {
	checks := &atomic.Int32{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if checks.Add(1) <= unready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(s.Close)
	return s, checks
}

func TestUntilItServes(t *testing.T) {
	s, checks := startServer(t, 3)
	must.NoError(t, Wait{Client: s.Client(), Interval: pollInterval, Timeout: 10 * time.Second}.Until(s.URL))
	must.Eq(t, 4, checks.Load())
}

func TestLate(t *testing.T) {
	s, _ := startServer(t, 1<<30)
	err := Wait{Client: s.Client(), Interval: pollInterval, Timeout: shortTimeout}.Until(s.URL)
	var timeout *TimeoutError
	must.True(t, errors.As(err, &timeout))
	must.Eq(t, shortTimeout, timeout.Within)
}

func TestEnded(t *testing.T) {
	s, _ := startServer(t, 1<<30)
	ended := make(chan error, 1)
	reason := errors.New("the port is taken")
	ended <- reason
	err := Wait{Client: s.Client(), Interval: pollInterval, Timeout: 10 * time.Second, Ended: ended}.Until(s.URL)
	must.ErrorIs(t, err, reason)
	var endedError *EndedError
	must.True(t, errors.As(err, &endedError))
}
