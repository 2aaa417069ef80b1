// Package routeconfig reads and validates the operator's configuration of routes and services, and finds the route of a
// request. It does no I/O. What is stored and sent to other machines is not a Configuration but the bytes that it was read
// from.
//
// Decides: which configurations are valid, and which route and services a request belongs to.
package routeconfig

import (
	"slices"
	"strings"

	"github.com/samber/oops"
)

// Configuration is one revision of the configuration.
type Configuration struct {
	Revision     uint64
	Routes       []Route
	Services     map[string]Service
	Limits       Limits
	routesByHost map[string][]*Route // by host in lower case, the longest prefix first
}

// MaxDurationMs is the longest time that a configuration or a request can state, ms. It is a year.
const MaxDurationMs = 366 * 24 * 60 * 60 * 1000

// Route says which requests go to which services, and on which terms. Times are in ms.
type Route struct {
	Name, Host, Prefix string
	Unsafe             bool // the requests are not repeatable, so each is executed at most once
	DeadlineMs         int64
	TargetMs           int64 // latency goal; at most DeadlineMs
	Rank               int64 // priority; 0 is the highest
	Tries              int   // how many replicas one request, or one part of it, may be sent to
	Targets            []Target
	Fanout             []string // services that each get a part of a request; Targets is then empty
	ResultCount        int      // number of records in a gathered answer
	MinCoverage        float64  // share of the parts that a gathered answer needs
}

// RouteID identifies a route, within a configuration and across revisions: no two routes share host and prefix. Names are
// labels for operators; several routes may have the same name, or none.
type RouteID struct {
	Host   string // in lower case
	Prefix string
}

// ID returns the route's identity.
func (r *Route) ID() RouteID { return RouteID{strings.ToLower(r.Host), r.Prefix} }

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service has the settings of one service.
type Service struct {
	Name, Health string // Health is the path for health checks
	MaxConns     int    // connections that a replica accepts from all edges together; 0 for no limit
}

// Limits bound what a client may send and how long it may take. 0 stands for a limit that the configuration does not set.
type Limits struct {
	HeaderBytes, BodyBytes      int
	HeaderReadMs, IdleTimeoutMs int64
}

// ErrInvalid is the class of all errors about an invalid configuration.
var ErrInvalid = oops.Code("configuration_invalid")

// indexRoutes builds routesByHost.
func (c *Configuration) indexRoutes() {
	c.routesByHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Find returns the route of a request: among the routes of its host, the one with the longest prefix that matches the path, or
// nil.
func (c *Configuration) Find(host, path string) *Route {
	routes, ok := c.routesByHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			host = host[:i]
		}
		routes = c.routesByHost[strings.ToLower(host)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service whose share of the weights contains position, which is in [0, 1). It returns an empty name for a
// fanout.
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

// validate returns an error for the first invalid route.
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
