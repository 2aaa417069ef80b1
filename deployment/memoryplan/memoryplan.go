// Package memoryplan divides the memory limit of a process among the places that read what peers send. docs/memory.md has the same table
// for operators.
package memoryplan

import (
	"willowsill/deployment/settings"
	"willowsill/transport/boundedread"
)

// Place is what a program reads from sockets and holds in memory.
type Place struct {
	Name  string
	Share float64 // of memory-mb
}

// The places.
var (
	RequestBodies = Place{"bodies of requests", 0.15}
	RequestHeads  = Place{"heads of requests", 0.04}
	Answers       = Place{"answers of replicas, head and body", 0.18}
	Frames        = Place{"frames of the system's own processes", 0.12}
	Calls         = Place{"calls of replicas and operators, head and body", 0.18}
)

// Programs lists the places of each program.
var Programs = map[string][]Place{
	"proxy":      {RequestBodies, RequestHeads, Answers, Frames},
	"agent":      {Frames},
	"controller": {Calls, Frames},
}

const (
	// OwnShare is what a program takes without anything that a peer determines: its code, its state and the buffers of its connections.
	OwnShare = 0.1
	// GrowthFactor is how much memory is in use for what a place has taken, while all of its buffers grow: what a buffer held is copied,
	// and dropped afterwards.
	GrowthFactor = 1.6

	defaultMemoryMB = 1024 // where the settings have no limit
)

// Budget returns the budget of a place under a process's limits.
func (p Place) Budget(limits settings.Limits) *boundedread.Budget {
	memory := limits.MemoryBytes()
	if memory == 0 {
		memory = (settings.Limits{MemoryMB: defaultMemoryMB}).MemoryBytes()
	}
	return boundedread.NewBudget(int64(p.Share * float64(memory)))
}
