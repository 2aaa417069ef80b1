// Package routeconfig is the operator's configuration: it reads one, says what is wrong with it, and finds the
// route that takes a request. It does no I/O, and keeps the bytes that it was read from, since those are what
// is stored and handed on.
//
// Decides: which configurations are valid, and which route and services a request belongs to.
package routeconfig

import (
	"slices"
	"strings"

	"github.com/samber/oops"
)

// Configuration is one version of the configuration.
type Configuration struct {
	Revision     uint64
	Routes       []Route
	Services     map[string]Service
	Limits       Limits
	routesByHost map[string][]*Route // by host, the longest prefix first
}

// Route says which requests go where. Times in ms.
type Route struct {
	Name, Host, Prefix string
	Unsafe             bool // at most one run for each try
	DeadlineMs         int64
	TargetMs           int64
	Rank               int64 // 0 is highest
	Tries              int   // replicas that one try may be sent to
	Targets            []Target
	Fanout             []string // the shards, for a gathered answer; Targets is then empty
	ResultCount        int
	MinCoverage        float64
}

// RouteID identifies a route, within a configuration and from one to the next: no two routes share host and prefix. Names
// are for people; several routes may have the same one, or none.
type RouteID struct {
	Host   string // in lower case
	Prefix string
}

// ID returns what identifies the route.
func (r *Route) ID() RouteID { return RouteID{strings.ToLower(r.Host), r.Prefix} }

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is what is stated of a service.
type Service struct {
	Name, Health string
	MaxConns     int
}

// Limits bound what a client may send and how long it may take. 0 for no word.
type Limits struct {
	HeaderBytes, BodyBytes      int
	HeaderReadMs, IdleTimeoutMs int64
}

// ErrInvalid is the class of all that is wrong with a configuration.
var ErrInvalid = oops.Code("configuration_invalid")

// indexRoutes sorts the routes by host, longest prefix first.
func (c *Configuration) indexRoutes() {
	c.routesByHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, rs := range c.routesByHost {
		slices.SortFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Find is the route of a request: the longest prefix of its host that begins the path, nil where there is
// none.
func (c *Configuration) Find(host, path string) *Route {
	rs, ok := c.routesByHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			host = host[:i]
		}
		rs = c.routesByHost[strings.ToLower(host)]
	}
	for _, r := range rs {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick is the service on whose share of the weights a position, 0 up to 1, falls; a fanout has none to pick.
func (r *Route) Pick(position float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	position *= total
	for _, t := range r.Targets {
		if t.Weight > 0 && position < t.Weight {
			return t.Service
		}
		position -= t.Weight
	}
	for _, t := range slices.Backward(r.Targets) {
		if t.Weight > 0 {
			return t.Service
		}
	}
	return ""
}

// validate says what is wrong with a configuration that could be read.
func (c *Configuration) validate() error {
	seen := map[RouteID]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		at := ErrInvalid.With("route", r.Name)
		services := slices.Clone(r.Fanout)
		total := 0.0
		for _, t := range r.Targets {
			services, total = append(services, t.Service), total+t.Weight
		}
		for _, s := range services {
			if _, ok := c.Services[s]; !ok {
				return at.Errorf("routes[%d] %q: the service %q is unknown", i, r.Name, s)
			}
		}
		if other, ok := seen[r.ID()]; ok {
			return at.Errorf("routes[%d] %q: shares host and path-prefix with %q", i, r.Name, other)
		}
		seen[r.ID()] = r.Name
		switch {
		case len(services) == 0:
			return at.Errorf("routes[%d] %q: names no service", i, r.Name)
		case len(r.Fanout) > 0 && len(r.Targets) > 0:
			return at.Errorf("routes[%d] %q: has both fanout and a service", i, r.Name)
		case len(r.Targets) > 0 && total <= 0:
			return at.Errorf("routes[%d] %q: its weights add up to 0", i, r.Name)
		case r.DeadlineMs <= 0:
			return at.Errorf("routes[%d] %q: deadline-ms is %d", i, r.Name, r.DeadlineMs)
		case len(r.Fanout) > 0 && r.Unsafe:
			return at.Errorf("routes[%d] %q: a gathered route cannot be unsafe", i, r.Name)
		case slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Weight < 0 }):
			return at.Errorf("routes[%d] %q: a weight is below 0", i, r.Name)
		case !strings.HasPrefix(r.Prefix, "/"):
			return at.Errorf("routes[%d] %q: path-prefix %q begins with no slash", i, r.Name, r.Prefix)
		}
		fanout := slices.Clone(r.Fanout)
		slices.Sort(fanout)
		if len(slices.Compact(fanout)) != len(r.Fanout) {
			return at.Errorf("routes[%d] %q: a shard stands twice in fanout", i, r.Name)
		}
	}
	return nil
}
