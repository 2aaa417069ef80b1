package controlclient

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// Rollout is the state of a rollout as controllers report it.
type Rollout struct {
	Number      uint64 `json:"number"`
	Service     string `json:"service"`
	Target      string `json:"target-revision"`
	Phase       string `json:"phase"` // active, complete or reverted
	Stage       string `json:"stage"`
	Step        uint64 `json:"step"`
	TargetShare int    `json:"target-share"` // thousandths of the (edge, replica) pairs that may route traffic to the target version
	OthersShare int    `json:"others-share"` // thousandths of the (edge, replica) pairs that may route traffic to other versions
	OverMs      int64  `json:"over-ms"`      // time in which the traffic is to be moved, ms
	ElapsedMs   int64  `json:"elapsed-ms"`   // time from the order to the newest step, ms
	Reason      string `json:"reason"`       // why the newest step was taken
}

// Active reports whether the rollout has not ended.
func (r Rollout) Active() bool { return r.Phase == "active" }

// rolloutOrder is the JSON form of an order.
type rolloutOrder struct {
	Service string  `json:"service"`
	Target  string  `json:"target-revision"`
	OverS   float64 `json:"over-s"`
}

// BeginRollout orders a service's traffic to be moved to a version within overS seconds. A repeated order is
// acknowledged again.
func (c *Client) BeginRollout(ctx context.Context, service, target string, overS float64) (r Rollout, err error) {
	body, err := json.Marshal(rolloutOrder{service, target, overS})
	if err != nil {
		return r, ErrClient.Wrap(err)
	}
	return r, c.callJSON(ctx, http.MethodPost, "/v1/rollouts/begin", body, &r)
}

// ReadRollout returns the newest rollout of a service.
func (c *Client) ReadRollout(ctx context.Context, service string) (r Rollout, err error) {
	return r, c.callJSON(ctx, http.MethodGet, "/v1/rollouts/"+url.PathEscape(service)+"/read", nil, &r)
}

// AbortRollout reverts the active rollout of a service and returns its state afterwards.
func (c *Client) AbortRollout(ctx context.Context, service string) (r Rollout, err error) {
	return r, c.callJSON(ctx, http.MethodPost, "/v1/rollouts/"+url.PathEscape(service)+"/abort", nil, &r)
}

// Rollouts returns the rollouts that the controllers keep, the oldest first.
func (c *Client) Rollouts(ctx context.Context) ([]Rollout, error) {
	var all struct {
		Rollouts []Rollout `json:"rollouts"`
	}
	err := c.callJSON(ctx, http.MethodGet, "/v1/rollouts/history", nil, &all)
	return all.Rollouts, err
}

// callJSON makes a call and decodes the JSON answer into the given value.
func (c *Client) callJSON(ctx context.Context, method, path string, body []byte, into any) error {
	status, answer, err := c.call(ctx, method, path, body)
	switch {
	case err != nil:
		return err
	case status != http.StatusOK:
		return ErrClient.Errorf("status %d: %s", status, bytes.TrimSpace(answer))
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return ErrClient.Wrapf(err, "the answer to %s", path)
	}
	return nil
}
