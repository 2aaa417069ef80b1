package controller

import (
	"slices"

	"willowsill/decide/locality"
	"willowsill/decide/registry"
)

// Where the controllers are, and which of them a replica's heartbeats go to.

// controllerZone is the zone of a controller, empty where it has not said so yet.
func (c *Controller) controllerZone(ip string) string {
	if ip == c.IP {
		return c.Zone
	}
	if p := c.peers[ip]; p != nil {
		return p.zone
	}
	return ""
}

// heartbeatTarget is the controller that a replica's later heartbeats are to go to: one in the replica's own zone, or
// else in its region. Empty where there is none, or where the zone is not known: then the replica goes where it likes.
//
// A heartbeat is a whole call, and there are many more of them than of anything else that control sends, so one that
// crosses regions for nothing is what control's bytes between regions consist of. The replicas of a zone spread over its
// controllers by hash, and go back to one that has been away with their next heartbeat.
//
// Danger: one that is cut off, leaves, or has an empty disk would refuse the heartbeat, or acknowledge what nobody else
// hears.
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

// controllerProcesses are this controller and all others that it knows, with their zones.
func (c *Controller) controllerProcesses() []locality.Process {
	all := []locality.Process{{IP: c.IP, Zone: c.Zone}}
	for ip, p := range c.peers {
		all = append(all, locality.Process{IP: ip, Zone: p.zone})
	}
	return all
}

// acceptsReplicaCalls tells whether a controller is known to take the calls of replicas.
func (c *Controller) acceptsReplicaCalls(ip string) bool {
	if c.isShuttingDown(ip) || !c.isLive(ip) {
		return false
	}
	return ip == c.IP || c.peers[ip].heartbeat.CaughtUp
}
