package proxyserver

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"willowsill/balance"
	"willowsill/decide/rollout"
	"willowsill/decide/routeconfig"
	"willowsill/node"
)

// rolloutEvidence counts what becomes of executions at replicas of services with an active rollout. The node's loop tells it of
// executions, others have it report.
type rolloutEvidence struct {
	mu       sync.Mutex
	recorder *rollout.Recorder
	routes   map[int]uint32 // by row, what all edges call the route
}

func newEvidence(life uint64) *rolloutEvidence {
	return &rolloutEvidence{recorder: rollout.NewRecorder(life)}
}

// setRoutes takes in which rows the routes have.
func (e *rolloutEvidence) setRoutes(rows map[routeconfig.RouteID]int) {
	routes := make(map[int]uint32, len(rows))
	for id, row := range rows {
		routes[row] = uint32(xxhash.Sum64String(id.Host + id.Prefix))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.routes = routes
}

// watch goes by these rollouts and replicas from now on.
func (e *rolloutEvidence) watch(set rollout.Set, replicas []rollout.Replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorder.Watch(set, replicas)
}

// report returns what was seen so far.
func (e *rolloutEvidence) report() []rollout.Evidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recorder.Evidence()
}

// Sent takes in that an execution goes to a replica.
func (e *rolloutEvidence) Sent(host string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recorder.Sent(host)
}

// Ended takes in how it ended.
func (e *rolloutEvidence) Ended(host string, end node.Execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorder.Ended(host, e.routes[end.Workload], outcomeOf(end), end.Took)
}

// outcomeOf says what an execution's end says of the replica's version.
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
