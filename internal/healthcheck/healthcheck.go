// Package healthcheck waits until a program that was started answers its health check.
package healthcheck

import (
	"fmt"
	"net/http"
	"time"
)

// path is where a program answers 200 once it serves.
const path = "/healthz"

// Wait says how long to wait for a program, and how often to ask it.
type Wait struct {
	Client   *http.Client
	Interval time.Duration // between two questions
	Timeout  time.Duration // the longest wait
	Ended    <-chan error  // tells why the program ended; nil where nobody tells
}

// EndedError tells that a program ended before it served.
type EndedError struct {
	URL string
	Err error // why, nil where it ended without an error
}

func (e *EndedError) Error() string {
	return fmt.Sprintf("the program at %s ended before it served: %v", e.URL, e.Err)
}

func (e *EndedError) Unwrap() error { return e.Err }

// TimeoutError tells that a program did not serve within the longest wait.
type TimeoutError struct {
	URL    string
	Within time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("the program at %s did not come up in %v", e.URL, e.Within)
}

// Until waits until the program at a URL serves. It returns an *EndedError or a *LateError where that does not come.
func (w Wait) Until(url string) error {
	poll := time.NewTicker(w.Interval)
	defer poll.Stop()
	late := time.After(w.Timeout)
	for {
		if w.isServing(url) {
			return nil
		}
		select {
		case err := <-w.Ended:
			return &EndedError{URL: url, Err: err}
		case <-late:
			return &TimeoutError{URL: url, Within: w.Timeout}
		case <-poll.C:
		}
	}
}

// isServing asks once.
func (w Wait) isServing(url string) bool {
	r, err := w.Client.Get(url + path)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}
