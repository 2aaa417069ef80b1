package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/decide/deduplication"
	"willowsill/deployment"
	"willowsill/node"
)

// oneAnswer models what peers may observe of a PeerServer: the first answer to an id stays its only answer. An
// error, modelled as an empty output, is allowed at any time.
var oneAnswer = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[string][]porcupine.Operation{}
		for _, o := range history {
			byID[o.Input.(string)] = append(byID[o.Input.(string)], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		was, got := state.(string), output.(string)
		if got == "" || got == was {
			return true, state
		}
		return was == "", got
	},
	Equal: func(a, b any) bool { return a == b },
}

// history lets peers send and repeat queries that must run once to a server that is restarted again and again, and
// returns what they observed. With kept, the ids survive restarts; without, they are lost as in a crash.
func history(t *testing.T, seed uint64, kept bool) []porcupine.Operation {
	file := filepath.Join(t.TempDir(), "ids")
	clock := node.NewClock()
	var ran atomic.Int64
	d := deployment.Deployment{WorkloadRow: map[string]int{"pay": 0},
		Deployment: balance.Deployment{Workloads: []balance.Workload{{RetrySafety: balance.OnceOnly}}}}
	open := func() *PeerServer {
		server := &PeerServer{Site: "b", Deployment: d, Clock: clock, Counters: &Counters{}, Log: zap.NewNop(),
			Window: deduplication.New(deduplication.Limits{MaxIDs: 1000, MaxAnswerBytes: 1 << 20, Retention: 3600e9}),
			Front: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				n := ran.Add(1)
				if n%7 == 0 {
					http.Error(w, "declined", http.StatusServiceUnavailable)
					return
				}
				time.Sleep(time.Duration(n%5) * 100 * time.Microsecond)
				fmt.Fprintf(w, "run %d", n)
			})}
		if kept {
			if err := server.Load(file); err != nil {
				t.Error(err)
			}
		}
		return server
	}
	var inProgress sync.RWMutex // held for reading by each request, so that a restart waits for the requests in progress
	server := open()
	var mu sync.Mutex
	var all []porcupine.Operation
	var peers sync.WaitGroup
	for n := range 6 {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		peers.Go(func() {
			for range 150 {
				id := fmt.Sprint("q", rng.IntN(40))
				r := httptest.NewRequest("POST", "/pay", nil)
				r.Header.Set(headerVisited, "a")
				r.Header.Set("X-Trace-Id", id)
				w := httptest.NewRecorder()
				inProgress.RLock()
				began := clock.Now()
				server.ServeHTTP(w, r)
				ended := clock.Now()
				inProgress.RUnlock()
				got := ""
				if w.Code == http.StatusOK {
					got = w.Body.String()
				}
				mu.Lock()
				all = append(all, porcupine.Operation{ClientId: n, Input: id, Call: began, Output: got, Return: ended})
				mu.Unlock()
			}
		})
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			inProgress.Lock()
			if kept {
				if err := server.Save(file); err != nil {
					t.Error(err)
				}
			}
			server = open()
			inProgress.Unlock()
		}
	}()
	peers.Wait()
	close(stop)
	<-stopped
	return all
}

// Over any number of planned restarts, peers see one answer per id. Without saved ids they see several, which
// shows that the check can fail.
func TestHistory(t *testing.T) {
	for seed := range uint64(5) {
		if !porcupine.CheckOperations(oneAnswer, history(t, seed, true)) {
			t.Errorf("seed %d: an id had two answers", seed)
		}
	}
	if porcupine.CheckOperations(oneAnswer, history(t, 1, false)) {
		t.Error("a server that loses the ids at each restart passed the check")
	}
}
