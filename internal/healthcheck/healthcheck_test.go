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
	every = time.Millisecond
	soon  = 50 * time.Millisecond
)

// answering starts a server that answers the first unready checks with 503 and then with 200. It returns the number of checks so far, too.
func answering(t *testing.T, unready int32) (*httptest.Server, *atomic.Int32) {
	asked := &atomic.Int32{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) <= unready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(s.Close)
	return s, asked
}

func TestUntilItServes(t *testing.T) {
	s, asked := answering(t, 3)
	must.NoError(t, Wait{Client: s.Client(), Interval: every, Timeout: 10 * time.Second}.Until(s.URL))
	must.Eq(t, 4, asked.Load())
}

func TestLate(t *testing.T) {
	s, _ := answering(t, 1<<30)
	err := Wait{Client: s.Client(), Interval: every, Timeout: soon}.Until(s.URL)
	var timeout *TimeoutError
	must.True(t, errors.As(err, &timeout))
	must.Eq(t, soon, timeout.Within)
}

func TestEnded(t *testing.T) {
	s, _ := answering(t, 1<<30)
	ended := make(chan error, 1)
	reason := errors.New("the port is taken")
	ended <- reason
	err := Wait{Client: s.Client(), Interval: every, Timeout: 10 * time.Second, Ended: ended}.Until(s.URL)
	must.ErrorIs(t, err, reason)
	var endedError *EndedError
	must.True(t, errors.As(err, &endedError))
}
