// Package controlclient is the operators' client. It calls the controllers' HTTP resources, and receives
// updates like an edge but isn't counted as one. It makes no decisions of its own.
package controlclient

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/samber/oops"

	"willowsill/decide/clusterstate"
	"willowsill/transport/boundedread"
	"willowsill/transport/peer"
	"willowsill/transport/watch"
)

// ErrClient builds this package's errors, which have the code willowctl.
var ErrClient = oops.Code("willowctl")

const (
	callTimeout    = 2 * time.Second
	retryDelay     = 200 * time.Millisecond
	receiveTimeout = 3 * time.Second

	maxRedirects = 2 // most redirects that one call follows

	maxAnswerBytes = 16 << 20 // largest body of an answer: a configuration
	maxHeadBytes   = 64 << 10 // largest head of an answer
)

// httpClient sends each request once. It differs from net/http's default client in that it keeps no idle
// connections and follows at most maxRedirects redirects.
//
// Danger: net/http resends a request by itself if a reused connection fails before the answer. Only Client may
// decide whether a request is resent, so connections are never reused.
var httpClient = &http.Client{
	Timeout:       callTimeout,
	Transport:     &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes},
	CheckRedirect: limitRedirects,
}

// limitRedirects lets a call follow at most maxRedirects redirects, the limit of all clients of the control
// resources.
func limitRedirects(_ *http.Request, via []*http.Request) error {
	if len(via) > maxRedirects {
		return ErrClient.Errorf("more than %d redirects", maxRedirects)
	}
	return nil
}

// Client calls one controller after another until one gives a definite answer or ctx ends. A call without a
// definite answer (no connection, no complete answer within callTimeout, a 5xx, 408 or 429) is repeated with
// the same bytes at the next address, at most once per retryDelay until ctx ends. If ctx
// never ends, the retries don't end either.
type Client struct{ Addresses []string }

func (c *Client) call(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error) {
	err = ErrClient.Errorf("no control address was given")
	for n := 0; ctx.Err() == nil && len(c.Addresses) > 0; n++ {
		address := c.Addresses[n%len(c.Addresses)]
		var req *http.Request
		if req, err = http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body)); err != nil {
			return 0, nil, ErrClient.Wrapf(err, "%s", address)
		}
		req.Header.Set("Content-Type", "application/json")
		var res *http.Response
		if res, err = httpClient.Do(req); err == nil {
			answer, err = boundedread.AtMost(res.Body, maxAnswerBytes, nil) // one call at a time
			res.Body.Close()
			if err == nil && res.StatusCode < http.StatusInternalServerError && res.StatusCode != http.StatusTooManyRequests &&
				res.StatusCode != http.StatusRequestTimeout {
				return res.StatusCode, answer, nil
			}
			if err == nil {
				err = ErrClient.Errorf("%s answered %s: %s", address, res.Status, bytes.TrimSpace(answer))
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return 0, nil, ErrClient.Wrapf(err, "no clear answer")
}

// readConfiguration requests the newest configuration; status is 404 if there is none.
func (c *Client) readConfiguration(ctx context.Context) (status int, body []byte, err error) {
	return c.call(ctx, http.MethodGet, "/v1/configuration/read", nil)
}

// ReadConfiguration returns the newest configuration.
func (c *Client) ReadConfiguration(ctx context.Context) ([]byte, error) {
	status, body, err := c.readConfiguration(ctx)
	if err == nil && status != http.StatusOK {
		err = ErrClient.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
	return body, err
}

// HasConfiguration reports whether the system has a configuration at all.
func (c *Client) HasConfiguration(ctx context.Context) (bool, error) {
	status, body, err := c.readConfiguration(ctx)
	if err == nil && status != http.StatusOK && status != http.StatusNotFound {
		err = ErrClient.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
	return status == http.StatusOK, err
}

// SendConfiguration sends a configuration until it is acknowledged or rejected.
func (c *Client) SendConfiguration(ctx context.Context, body []byte) error {
	status, answer, err := c.call(ctx, http.MethodPost, "/v1/configuration/replace", body)
	if err == nil && status != http.StatusOK {
		err = ErrClient.Errorf("status %d: %s", status, bytes.TrimSpace(answer))
	}
	return err
}

// Watch passes a snapshot of the cluster's state to apply, and then each change, until apply returns false or
// ctx ends. It returns an error if the controller is silent for receiveTimeout.
func Watch(ctx context.Context, address string, apply func(clusterstate.Update) bool) error {
	link, err := peer.Dial(ctx, address, nil) // one link, whose frames have a limit each
	if err != nil {
		return ErrClient.Wrap(err)
	}
	defer link.Close()
	defer context.AfterFunc(ctx, link.Close)()
	lastReport := time.Time{}
	for ctx.Err() == nil {
		if time.Since(lastReport) > time.Second {
			lastReport = time.Now()
			link.SendMessage(watch.Report{})
		}
		var m watch.Message
		if err := link.Receive(&m, receiveTimeout); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return ErrClient.Wrap(err)
		}
		if m.Update != nil && !apply(*m.Update) {
			return nil
		}
	}
	return nil
}
