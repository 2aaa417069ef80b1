package controller

import (
	"slices"

	"willowsill/decide/locality"
	"willowsill/decide/registry"
)

// This file chooses the controller that a replica sends its heartbeats to.

// controllerZone returns the zone of a controller, or an empty string if it has not reported it yet.
func (c *Controller) controllerZone(ip string) string {
	if ip == c.IP {
		return c.Zone
	}
	if p := c.peers[ip]; p != nil {
		return p.zone
	}
	return ""
}

// heartbeatTarget returns the IP of the controller for a replica's later heartbeats: one in the replica's zone, or else
// in its region. It returns an empty string if there is none or the replica's zone is unknown; the replica then calls
// any controller.
//
// Each heartbeat is an HTTP call, and there are far more of them than of all other control traffic, so heartbeats that
// needlessly cross regions would make up most of that traffic between regions. The replicas of a zone are spread over
// its controllers by hash. A controller that was away gets its replicas back with their next heartbeats.
//
// Danger: a controller that is cut off, shuts down or has an empty disk must not be chosen. It would reject the
// heartbeat, or acknowledge one that no other controller learns of.
func (c *Controller) heartbeatTarget(r registry.Record) string {
	targets := slices.DeleteFunc(c.controllerProcesses(), func(p locality.Process) bool {
		return c.Regions.Distance(r.Zone, p.Zone) == locality.OtherRegion || !c.acceptsReplicaCalls(p.IP)
	})
	if len(targets) == 0 {
		return ""
	}
	c.Regions.Order(r.ID, r.Zone, targets)
	return targets[0].IP
}

// controllerProcesses returns this controller and all others that it knows, with their zones.
func (c *Controller) controllerProcesses() []locality.Process {
	all := []locality.Process{{IP: c.IP, Zone: c.Zone}}
	for ip, p := range c.peers {
		all = append(all, locality.Process{IP: ip, Zone: p.zone})
	}
	return all
}

// acceptsReplicaCalls reports whether a controller is expected to accept calls of replicas.
func (c *Controller) acceptsReplicaCalls(ip string) bool {
	if c.isShuttingDown(ip) || !c.isLive(ip) {
		return false
	}
	return ip == c.IP || c.peers[ip].heartbeat.CaughtUp
}
