package controller

import (
	"fmt"
	"slices"
	"strings"

	"willowsill/decide/register"
)

// This file brings a controller whose disk is empty to the state from which its disk counts in majorities, and says what a controller
// without a majority waits for.

const (
	// formationWait is the time from the start of the process until controllers that are all empty form the register. One that is
	// not empty and comes up together with them, or is cut off for a moment, is heard in time.
	formationWait = 3000 * ms

	waitLogInterval = 10_000 * ms // time between two lines about what this controller waits for
)

// FaultBudget is what may be lost at the same time while the system keeps all its promises.
type FaultBudget struct {
	Machines int // controllers
	Zones    int
	Regions  int
}

// askToJoin asks the other controllers for their states.
func (c *Controller) askToJoin() {
	c.joinAt = c.now + joinInterval
	c.learnControllers(c.peerIPs())
	if state, ok := c.form(); ok {
		c.finishJoining(state)
		return
	}
	m := c.joiner.Request()
	c.send(Message{Register: &m}, c.joiner.Targets(c.members())...)
}

// learnControllers adds controllers to those that the joiner knows. They are saved before anybody is told of them.
func (c *Controller) learnControllers(ips []string) {
	before := len(c.joiner.Known())
	c.joiner.Learn(ips)
	if len(c.joiner.Known()) > before {
		c.knownUnsaved = true
	}
}

// answerJoiner answers the joiner of another controller, whose disk is empty like this one's. It returns false if the request came from
// elsewhere.
func (c *Controller) answerJoiner(from string, m register.Message) bool {
	c.learnControllers([]string{from})
	answer, ok := c.joiner.HandleRequest(from, m)
	if !ok {
		return false
	}
	c.dirty = c.dirty || c.knownUnsaved
	c.knownUnsaved = false
	c.answerWhenSaved(from, answer)
	return true
}

// handleJoinAnswer handles another controller's answer to the request of this one, whose disk is empty, to catch up.
// Once a majority has answered, the disk holds the newest value and counts in majorities.
func (c *Controller) handleJoinAnswer(from string, m register.Message) {
	asked, known := c.joiner.Request().Ballot, len(c.joiner.Known())
	state, ok := c.joiner.HandleAnswer(from, m)
	c.knownUnsaved = c.knownUnsaved || len(c.joiner.Known()) > known
	if ok {
		c.finishJoining(state)
		c.log("the disk has caught up with a majority", "epoch", state.Value.Epoch, "revision", state.Value.Revision)
		return
	}
	if state, ok = c.form(); ok {
		c.finishJoining(state)
		return
	}
	if c.joiner.Request().Ballot != asked {
		c.joinAt = c.now // the former request is void; send it again at once under the higher ballot
	}
}

// finishJoining lets the disk count with a state.
func (c *Controller) finishJoining(state register.State) {
	c.disk = register.Acceptor{State: state, CaughtUp: true}
	c.dirty, c.joiner = true, nil
	c.lease.RecordAccepted(c.now, state.Accepted)
	c.proposer.Learn(state.Value)
	c.proposer.ObserveBallot(state.Promised)
	// All members get a heartbeat at once. So far this controller may know only the seeds; without the heartbeat the
	// member that changes the membership would learn seconds later that this one can be added.
	for _, m := range state.Value.AllMembers() {
		c.addPeer(m)
	}
	c.heartbeatAt = c.now
}

// form returns the state with which the disk counts if the register was never formed.
func (c *Controller) form() (state register.State, ok bool) {
	if c.FaultBudget == nil || len(c.Seeds) == 0 {
		return register.State{}, false
	}
	alone := c.now-c.startedAt >= formationWait
	vacant := c.joiner.Vacant()
	if state, ok = c.joiner.Form(c.mostLost, alone); ok {
		c.log("the register was never formed and is formed now", "members", state.Value.Members, "empty", vacant)
	}
	return state, ok
}

// mostLost returns the largest number of these controllers that may be lost at the same time. It is all of them where zones count and
// that of some controller is not known.
func (c *Controller) mostLost(ips []string) int {
	zones, regions := map[string]int{}, map[string]int{}
	for _, ip := range ips {
		zone := c.Zone
		if p := c.peers[ip]; p != nil {
			zone = p.zone
		}
		if zone == "" && c.FaultBudget.Zones+c.FaultBudget.Regions > 0 {
			return len(ips)
		}
		zones[zone]++
		regions[c.Regions[zone]]++
	}
	return c.FaultBudget.Machines + largest(zones, c.FaultBudget.Zones) + largest(regions, c.FaultBudget.Regions)
}

// largest returns the sum of the n largest counts.
func largest(counts map[string]int, n int) (sum int) {
	var sorted []int
	for _, count := range counts {
		sorted = append(sorted, count)
	}
	slices.Sort(sorted)
	for _, count := range sorted[max(len(sorted)-n, 0):] {
		sum += count
	}
	return sum
}

// waitsFor says in a few words what this controller waits for, empty if it is in contact with a majority.
func (c *Controller) waitsFor() string {
	switch {
	case c.joiner != nil:
		return describeWait("the disk of this controller is empty", c.joiner.Silent(), c.joiner.Vacant())
	case c.inContact:
		return ""
	}
	silent := slices.DeleteFunc(c.quorumValue().AllMembers(), c.isLive)
	return describeWait("no majority of the controllers is heard", silent, nil)
}

// describeWait joins the state of a controller with the controllers that do not answer and those whose disks are empty too.
func describeWait(state string, silent, empty []string) string {
	if len(silent) > 0 {
		state += fmt.Sprintf("; no answer from %s", strings.Join(silent, ", "))
	}
	if len(empty) > 0 {
		state += fmt.Sprintf("; empty too: %s", strings.Join(empty, ", "))
	}
	return state
}

// unavailableReason returns the reason of an answer, with what this controller waits for.
func (c *Controller) unavailableReason(reason string) string {
	if wait := c.waitsFor(); wait != "" {
		return reason + ": " + wait
	}
	return reason
}

// logWait logs what this controller waits for, once it has waited for formationWait and then every waitLogInterval.
func (c *Controller) logWait() {
	if c.now < c.waitLogAt || c.now-c.startedAt < formationWait {
		return
	}
	if wait := c.waitsFor(); wait != "" {
		c.waitLogAt = c.now + waitLogInterval
		c.log("waiting for other controllers", "why", wait)
	}
}
