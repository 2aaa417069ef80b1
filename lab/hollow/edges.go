package hollow

import (
	"context"
	"os"
	"sync"
	"time"

	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/deployment/settings"
	"willowsill/transport/watch"
)

// arrivals notes when readers were told of revisions.
type arrivals struct {
	mu      sync.Mutex
	times   map[uint64][]int64
	waiting int    // readers that have no configuration yet
	ready   string // the file that is made once none waits
}

// note notes that a reader which held one revision was told another.
func (a *arrivals) note(held, revision uint64) {
	now := time.Now().UnixNano()
	a.mu.Lock()
	defer a.mu.Unlock()
	for r := held + 1; r <= revision; r++ {
		a.times[r] = append(a.times[r], now)
	}
	if held > 0 {
		return
	}
	if a.waiting--; a.waiting == 0 {
		os.WriteFile(a.ready, nil, 0o600)
	}
}

// read follows a co-ordinator's agent in the place of its proxy, until ctx ends.
func read(ctx context.Context, ip string, a *arrivals) {
	address := settings.Settings{IP: ip, Ports: ports.Internal()}
	var held uint64
	follower := watch.Follower{
		Report: func() watch.Report {
			return watch.Report{Self: controller.EdgeReport{Edge: clusterstate.Edge{IP: ip}}, Revision: held}
		},
		Addresses: func() []string { return []string{address.Inner(ip, settings.PortAgent)} },
		Take: func(u clusterstate.Update) bool {
			if u.Revision > held {
				a.note(held, u.Revision)
				held = u.Revision
			}
			return true
		},
	}
	follower.Run(ctx)
}
