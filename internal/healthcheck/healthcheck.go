// Package healthcheck waits until a program that was just started answers its health check.
package healthcheck

import (
	"fmt"
	"net/http"
	"time"
)

// path is the path of the health check, which programs answer with status 200 once they serve.
const path = "/healthz"

// Wait configures how long to wait for a program and how often to check it.
type Wait struct {
	Client   *http.Client
	Interval time.Duration // time between two checks
	Timeout  time.Duration // maximum time to wait
	Ended    <-chan error  // receives the reason when the program ends; may be nil
}

// EndedError is the error for a program that ended before it served.
type EndedError struct {
	URL string
	Err error // the reason, nil if the program ended without an error
}

func (e *EndedError) Error() string {
	return fmt.Sprintf("the program at %s ended before it served: %v", e.URL, e.Err)
}

func (e *EndedError) Unwrap() error { return e.Err }

// TimeoutError is the error for a program that did not serve in time.
type TimeoutError struct {
	URL    string
	Within time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("the program at %s did not come up in %v", e.URL, e.Within)
}

// Until waits until the program at a URL serves. It returns an *EndedError or a *TimeoutError if the program does not.
func (w Wait) Until(url string) error {
	poll := time.NewTicker(w.Interval)
	defer poll.Stop()
	timeout := time.After(w.Timeout)
	for {
		if w.isServing(url) {
			return nil
		}
		select {
		case err := <-w.Ended:
			return &EndedError{URL: url, Err: err}
		case <-timeout:
			return &TimeoutError{URL: url, Within: w.Timeout}
		case <-poll.C:
		}
	}
}

// isServing makes one health check.
func (w Wait) isServing(url string) bool {
	r, err := w.Client.Get(url + path)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}
