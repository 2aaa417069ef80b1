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
	callWithin = 2 * time.Second
	tryAgain   = 200 * time.Millisecond
	followWait = 3 * time.Second

	mostRedirects = 2 // that one call follows
)

// client sends each request once. Of net/http's own client it keeps neither the idle connections nor the ten redirects.
//
// Danger: net/http sends a request again by itself where a connection that it reuses dies under it. What is sent again is
// for Control alone to say, and what is never reused is never replayed on.
var client = &http.Client{
	Timeout:       callWithin,
	Transport:     &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true},
	CheckRedirect: boundRedirects,
}

// boundRedirects follows a 307 as often as all callers of control do.
func boundRedirects(_ *http.Request, via []*http.Request) error {
	if len(via) > mostRedirects {
		return ErrClient.Errorf("more than %d redirects", mostRedirects)
	}
	return nil
}

// Control calls one controller after the other until one gives a clear answer, or ctx ends. A call without a clear answer
// (no connection, no whole answer within callWithin, a 5xx, 408 or 429) goes out again, the same bytes, to the next address
// after tryAgain: no more than one in each tryAgain, for as long as ctx lasts. Whoever gives a ctx without an end gets tries
// without an end.
type Control struct{ Addresses []string }

func (c *Control) call(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error) {
	err = ErrClient.Errorf("no control address was given")
	for n := 0; ctx.Err() == nil && len(c.Addresses) > 0; n++ {
		address := c.Addresses[n%len(c.Addresses)]
		var req *http.Request
		if req, err = http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body)); err != nil {
			return 0, nil, ErrClient.Wrapf(err, "%s", address)
		}
		req.Header.Set("Content-Type", "application/json")
		var res *http.Response
		if res, err = client.Do(req); err == nil {
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
		case <-time.After(tryAgain):
		}
	}
	return 0, nil, ErrClient.Wrapf(err, "no clear answer")
}

// read asks for the newest configuration; status is 404 where there is none.
func (c *Control) read(ctx context.Context) (status int, body []byte, err error) {
	return c.call(ctx, http.MethodGet, "/v1/configuration/read", nil)
}

// Read is the newest configuration.
func (c *Control) Read(ctx context.Context) ([]byte, error) {
	status, body, err := c.read(ctx)
	if err == nil && status != http.StatusOK {
		err = ErrClient.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
	return body, err
}

// Holds tells whether the system has a configuration at all.
func (c *Control) Holds(ctx context.Context) (bool, error) {
	status, body, err := c.read(ctx)
	if err == nil && status != http.StatusOK && status != http.StatusNotFound {
		err = ErrClient.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
	return status == http.StatusOK, err
}

// Send sends a configuration until it is acknowledged or refused.
func (c *Control) Send(ctx context.Context, body []byte) error {
	status, answer, err := c.call(ctx, http.MethodPost, "/v1/configuration/replace", body)
	if err == nil && status != http.StatusOK {
		err = ErrClient.Errorf("status %d: %s", status, bytes.TrimSpace(answer))
	}
	return err
}

// Follow gives take a snapshot of a feeder and then what changes, until ctx ends or the feeder is silent;
// take returns false to stop.
func Follow(ctx context.Context, address string, take func(clusterstate.Update) bool) error {
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
			l.Say(watch.Report{})
		}
		var p watch.Message
		if err := l.Receive(&p, followWait); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return ErrClient.Wrap(err)
		}
		if p.Update != nil && !take(*p.Update) {
			return nil
		}
	}
	return nil
}
