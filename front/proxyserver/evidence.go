package proxyserver

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"willowsill/balance"
	"willowsill/decide/rollout"
	"willowsill/decide/routeconfig"
	"willowsill/node"
)

// rolloutEvidence counts the outcomes of executions at replicas of services with an active rollout. It implements
// node.Observer, whose methods the node's loop calls; the other methods are called from other goroutines.
type rolloutEvidence struct {
	mu       sync.Mutex
	recorder *rollout.Recorder
	routes   map[int]uint32 // hash by which all edges identify a route, by the route's row
}

func newEvidence(incarnation uint64) *rolloutEvidence {
	return &rolloutEvidence{recorder: rollout.NewRecorder(incarnation)}
}

// setRoutes sets the rows of the routes that are served.
func (e *rolloutEvidence) setRoutes(rows map[routeconfig.RouteID]int) {
	routes := make(map[int]uint32, len(rows))
	for id, row := range rows {
		routes[row] = uint32(xxhash.Sum64String(id.Host + id.Prefix))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.routes = routes
}

// watch sets the rollouts and the replicas whose executions are counted.
func (e *rolloutEvidence) watch(set rollout.Set, replicas []rollout.Replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorder.Watch(set, replicas)
}

// report returns the counts so far.
func (e *rolloutEvidence) report() []rollout.Evidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recorder.Evidence()
}

// Sent records that an execution is sent to a replica.
func (e *rolloutEvidence) Sent(host string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recorder.Sent(host)
}

// Ended records the outcome of an execution.
func (e *rolloutEvidence) Ended(host string, end node.Execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorder.Ended(host, e.routes[end.Workload], outcomeOf(end), end.Took)
}

// outcomeOf returns what an execution's result says about the replica's version.
func outcomeOf(end node.Execution) rollout.Outcome {
	switch end.Result {
	case balance.Fulfilled, balance.Cancelled:
		switch {
		case end.Took == 0:
			return rollout.Unknown
		case end.NewConnection:
			return rollout.AnsweredOnNewConnection
		}
		return rollout.Answered
	case balance.Errored, balance.TimedOut, balance.Reset:
		return rollout.Failed
	}
	return rollout.Unknown
}
