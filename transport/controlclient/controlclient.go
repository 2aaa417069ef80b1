// Package controlclient is the operators' client: it calls the controllers' HTTP resources, and follows updates as an
// edge does without being counted as one. It decides nothing.
package controlclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"willowsill/decide/clusterstate"
	"willowsill/transport/peer"
	"willowsill/transport/watch"
)

// ErrClient is the class of this package's errors.
var ErrClient = oops.Code("willowctl")

const (
	callTimeout    = 2 * time.Second
	retryDelay     = 200 * time.Millisecond
	receiveTimeout = 3 * time.Second

	maxRedirects = 2 // that one call follows
)

// httpClient sends each request once. Of net/http's own client it keeps neither the idle connections nor the ten redirects.
//
// Danger: net/http sends a request again by itself where a connection that it reuses dies under it. What is sent again is
// for Control alone to say, and what is never reused is never replayed on.
var httpClient = &http.Client{
	Timeout:       callTimeout,
	Transport:     &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true},
	CheckRedirect: limitRedirects,
}

// limitRedirects follows a 307 as often as all callers of control do.
func limitRedirects(_ *http.Request, via []*http.Request) error {
	if len(via) > maxRedirects {
		return ErrClient.Errorf("more than %d redirects", maxRedirects)
	}
	return nil
}

// Client calls one controller after the other until one gives a clear answer, or ctx ends. A call without a clear answer
// (no connection, no whole answer within callWithin, a 5xx, 408 or 429) goes out again, the same bytes, to the next address
// after tryAgain: no more than one in each tryAgain, for as long as ctx lasts. Whoever gives a ctx without an end gets tries
// without an end.
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
			answer, err = io.ReadAll(res.Body)
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

// readConfiguration asks for the newest configuration; status is 404 where there is none.
func (c *Client) readConfiguration(ctx context.Context) (status int, body []byte, err error) {
	return c.call(ctx, http.MethodGet, "/v1/configuration/read", nil)
}

// ReadConfiguration is the newest configuration.
func (c *Client) ReadConfiguration(ctx context.Context) ([]byte, error) {
	status, body, err := c.readConfiguration(ctx)
	if err == nil && status != http.StatusOK {
		err = ErrClient.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
	return body, err
}

// HasConfiguration tells whether the system has a configuration at all.
func (c *Client) HasConfiguration(ctx context.Context) (bool, error) {
	status, body, err := c.readConfiguration(ctx)
	if err == nil && status != http.StatusOK && status != http.StatusNotFound {
		err = ErrClient.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
	return status == http.StatusOK, err
}

// SendConfiguration sends a configuration until it is acknowledged or refused.
func (c *Client) SendConfiguration(ctx context.Context, body []byte) error {
	status, answer, err := c.call(ctx, http.MethodPost, "/v1/configuration/replace", body)
	if err == nil && status != http.StatusOK {
		err = ErrClient.Errorf("status %d: %s", status, bytes.TrimSpace(answer))
	}
	return err
}

// Watch gives take a snapshot of a feeder and then what changes, until ctx ends or the feeder is silent;
// take returns false to stop.
func Watch(ctx context.Context, address string, apply func(clusterstate.Update) bool) error {
	l, err := peer.Dial(ctx, address)
	if err != nil {
		return ErrClient.Wrap(err)
	}
	defer l.Close()
	defer context.AfterFunc(ctx, l.Close)()
	said := time.Time{}
	for ctx.Err() == nil {
		if time.Since(said) > time.Second {
			said = time.Now()
			l.SendMessage(watch.Report{})
		}
		var p watch.Message
		if err := l.Receive(&p, receiveTimeout); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return ErrClient.Wrap(err)
		}
		if p.Update != nil && !apply(*p.Update) {
			return nil
		}
	}
	return nil
}
