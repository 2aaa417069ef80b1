package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/decide/overload"
	"willowsill/deployment"
	"willowsill/internal/counters"
	"willowsill/internal/pipenet"
	"willowsill/standin"
	"willowsill/transport/discovery"
	"willowsill/transport/replica"
	"willowsill/transport/sockets"
)

// fixture is a node with stand-ins for everything around it: two replicas, which both hold both shards.
type fixture struct {
	*testing.T
	*Node
	network   *pipenet.Network
	discovery *standin.Discovery
	count     *counters.Counters
	listeners []*pipenet.Listener
}

type answerer func(ctx context.Context, p replica.Part) (replica.Reply, bool)

func listed(i int, health string) standin.Host {
	return standin.Host{Host: fmt.Sprint("s-", i), Dial: fmt.Sprint("r:", i), Health: health}
}

// runNode runs a test of a node in a synctest bubble. At the end the node must hold no query, no execution and no
// descriptor.
func runNode(t *testing.T, change func(*Options), answer answerer, run func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		w := &fixture{T: t, network: &pipenet.Network{}, discovery: standin.NewDiscovery(listed(0, "active"), listed(1, "active"))}
		for i := range 2 {
			l := w.network.Listen(fmt.Sprint("r:", i))
			w.listeners = append(w.listeners, l)
			go (&standin.Replica{Answer: answer}).Serve(l)
		}
		discoveryServer := &http.Server{Handler: w.discovery}
		go discoveryServer.Serve(w.network.Listen("d:1"))
		row := balance.Workload{LatencyGoal: 1000e6, LateShare: 0.3, MinCoverage: 1, FullCoverage: 1, PartialShare: 0.9}
		p := Options{Clock: NewClock(), Log: zap.NewNop(), Budget: sockets.NewBudget(64), Dial: w.network.Dial,
			Deployment: deployment.Deployment{WorkloadRow: map[string]int{"lookup": 0}, Deployment: balance.Deployment{
				Aggregators: 1, Tick: 5e6, Workloads: []balance.Workload{row}, Shards: 2, Cells: 1, CellsPerShard: 1,
				PartsPerCall: 1, MaxExecutions: 3, CanCancel: true, MaxRetryAfter: 2000e6, ColdCapacity: 0.2,
				WarmUpTime: 9000e6, OverloadFactor: 4, OverloadSpan: 1000e6}},
			Limits: deployment.Limits{MaxHeld: 30, CallsPerConnection: 32, ConnectTimeout: 250e6, IdleTimeout: 15e9}}
		p.Count = counters.New(p.Deployment.WorkloadRow)
		w.count = p.Count
		watch := discovery.NewWatch("d:1", 1, 0, w.network.Dial, func(ctx context.Context, n discovery.Update) { w.ApplyList(ctx, n) })
		p.RequestList = watch.Request
		change(&p)
		w.Node = New(p)
		ctx, stop := context.WithCancel(t.Context())
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			watch.Run(ctx, p.Deployment.AsksForList)
		}()
		<-w.Ready()
		time.Sleep(10 * time.Millisecond) // the first rounds are over
		run(w)
		stop()
		<-watched
		w.Close()
		discoveryServer.Close()
		for _, l := range w.listeners {
			l.Close()
		}
		if w.held != 0 || len(w.queries) != 0 || len(w.running) != 0 || p.Budget.InUse(sockets.Replicas) != 0 {
			t.Errorf("left over: %d held, %d queries, %d executions, %d descriptors", w.held, len(w.queries), len(w.running),
				p.Budget.InUse(sockets.Replicas))
		}
	})
}

// serve sends a query for both shards and describes the answer and the time that it took.
func (w *fixture) serve(ctx context.Context, id string, timeout time.Duration) string {
	began := time.Now()
	a, ok := w.Serve(ctx, Query{ID: id, Deadline: w.Now() + int64(timeout), Text: []byte("text"),
		Parts: []Part{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}})
	if !ok {
		return "left"
	}
	return fmt.Sprint(a.Outcome, a.Values, a.RetryAfter/1e6, " after ", time.Since(began).Truncate(10*time.Millisecond))
}

func (w *fixture) expect(got, want string) {
	w.Helper()
	if got != want {
		w.Errorf("got %q, want %q", got, want)
	}
}

func value(_ context.Context, p replica.Part) (replica.Reply, bool) {
	time.Sleep(50 * time.Millisecond)
	return replica.Reply{ID: p.ID, Value: fmt.Sprint(p.ID, string(p.Text))}, true
}

func silent(ctx context.Context, _ replica.Part) (replica.Reply, bool) {
	<-ctx.Done()
	return replica.Reply{}, false
}

func asIs(*Options) {}

func TestQuery(t *testing.T) {
	runNode(t, asIs, value, func(w *fixture) {
		w.expect(w.serve(w.Context(), "q", 2*time.Second), "0 [{0 q.0text} {1 q.1text}] 0 after 50ms")
		if x := &w.count.Executions; x.Sent.Load() != 2 || x.Fulfilled.Load() != 2 {
			w.Errorf("%d sent, %d fulfilled", x.Sent.Load(), x.Fulfilled.Load())
		}
	})
}

// With a schedule, a query that comes just after a round does not wait for the next tick, neither at its arrival nor
// for its answer.
func TestRhythm(t *testing.T) {
	for _, scheduled := range []bool{false, true} {
		runNode(t, asIs, value, func(w *fixture) {
			waited := 0
			if scheduled {
				w.SetSchedule(&Schedule{Pace: &overload.Pacer{MaxGap: 5e6}, OnWait: func(int64) { waited++ }, OnStall: func(ns int64) { w.Errorf("a stall of %d ns was reported", ns) }})
			}
			time.Sleep(20 * time.Millisecond)
			for i := range 3 {
				go w.serve(w.Context(), fmt.Sprint("p", i), 2*time.Second)
				time.Sleep(time.Millisecond)
				began := time.Now()
				got := w.serve(w.Context(), fmt.Sprint("q", i), 2*time.Second)
				if took := time.Since(began); (took == 50*time.Millisecond) != scheduled || !strings.HasPrefix(got, "0 ") {
					w.Errorf("with a schedule %v: %s, %v", scheduled, got, took)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if scheduled {
				if waited != 6 {
					w.Errorf("OnWait was called for %d queries", waited)
				}
				w.SetSchedule(nil)
				time.Sleep(time.Millisecond)
			}
		})
	}
}

func TestSharedCall(t *testing.T) {
	runNode(t, func(p *Options) { p.Deployment.PartsPerCall = 8 }, value, func(w *fixture) {
		w.discovery.Change(listed(1, "leaving"))
		time.Sleep(10 * time.Millisecond)
		w.expect(w.serve(w.Context(), "q", 2*time.Second), "0 [{0 q.0text} {1 q.1text}] 0 after 50ms")
		if n := w.count.ConnectionsOpened.Load(); n != 1 {
			w.Errorf("%d connections were opened, although one of two replicas is leaving", n)
		}
	})
}

// A query must be answered before its client's deadline even if replicas never answer, with and without cancels.
func TestSilentReplicas(t *testing.T) {
	for _, cancels := range []bool{true, false} {
		runNode(t, func(p *Options) { p.Deployment.CanCancel = cancels }, silent, func(w *fixture) {
			got := w.serve(w.Context(), "q", 500*time.Millisecond)
			if !strings.HasPrefix(got, "2 []") || !strings.HasSuffix(got, "after 480ms") {
				w.Errorf("got %q", got)
			}
			time.Sleep(time.Second)
		})
	}
}

func TestErrorThenPeer(t *testing.T) {
	first := true
	runNode(t, asIs, func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
		if p.Shard == 0 && first {
			first = false
			return replica.Reply{ID: p.ID, Outcome: replica.Failed}, true
		}
		return value(ctx, p)
	}, func(w *fixture) {
		w.expect(w.serve(w.Context(), "q", 2*time.Second), "0 [{0 q.0text} {1 q.1text}] 0 after 50ms")
	})
}

func TestClientLeaves(t *testing.T) {
	cancelled := make(chan string, 8)
	runNode(t, asIs, func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
		<-ctx.Done()
		cancelled <- p.ID
		return replica.Reply{}, false
	}, func(w *fixture) {
		ctx, leave := context.WithTimeout(w.Context(), 100*time.Millisecond)
		defer leave()
		w.expect(w.serve(ctx, "q", 2*time.Second), "left")
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if len(cancelled) != 2 {
			w.Errorf("%d parts were cancelled at replicas", len(cancelled))
		}
	})
}

// Danger: a part that still waits for its connection must not be sent once its query is answered or its client has left.
func TestNothingAfterTheAnswer(t *testing.T) {
	runNode(t, func(p *Options) { p.Limits.ConnectTimeout, p.Deployment.CanCancel = 5e9, false }, value, func(w *fixture) {
		w.network.Blackhole("r:0")
		w.network.Blackhole("r:1")
		w.serve(w.Context(), "q", 300*time.Millisecond)
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		if len(w.running) != 0 {
			w.Errorf("%d executions wait to be sent", len(w.running))
		}
		ctx, leave := context.WithTimeout(w.Context(), 100*time.Millisecond)
		defer leave()
		w.expect(w.serve(ctx, "r", 2*time.Second), "left")
		time.Sleep(10 * time.Millisecond) // long before their deadline
		synctest.Wait()
		if len(w.running) != 0 {
			w.Errorf("%d executions wait to be sent for a client that has left", len(w.running))
		}
	})
}

// Danger: queries beyond the limit of held queries are declined at once, and those that are held are still served.
func TestFlood(t *testing.T) {
	runNode(t, asIs, value, func(w *fixture) {
		answers := make(chan string, 40)
		for i := range cap(answers) {
			go func() { answers <- w.serve(w.Context(), fmt.Sprint("q", i), 2*time.Second) }()
		}
		served := 0
		for range cap(answers) {
			switch a := <-answers; a {
			case "2 [] 1000 after 0s": // declined by the node or by the module, each with a retry-after
			default:
				served++
				if !strings.HasPrefix(a, "0 [{0 ") {
					w.Errorf("answered %s", a)
				}
			}
		}
		if rejected := w.count.Rejected.Load(); rejected == 0 || served == 0 {
			w.Errorf("%d declined because the node holds too much, %d served", rejected, served)
		}
	})
}

func TestTimeIsUp(t *testing.T) {
	runNode(t, asIs, value, func(w *fixture) {
		w.expect(w.serve(w.Context(), "q", 0), "2 [] 1000 after 0s")
	})
}

func TestNoReplicas(t *testing.T) {
	runNode(t, asIs, value, func(w *fixture) {
		w.discovery.Change(listed(0, "left"))
		w.discovery.Change(listed(1, "leaving"))
		synctest.Wait()
		got := w.serve(w.Context(), "q", time.Second)
		if !strings.HasPrefix(got, "2 [] 1000") || w.count.Executions.Sent.Load() != 0 {
			w.Errorf("got %q", got)
		}
	})
}

// Danger: a machine that has vanished accepts no bytes and answers nothing. Its part must run at the peer in time, and
// the part of the next query must not wait there again.
func TestReplicaVanishes(t *testing.T) {
	runNode(t, asIs, value, func(w *fixture) {
		w.listeners = append(w.listeners, w.network.Listen("r:0")) // nothing accepts connections there any more
		for i, limit := range []time.Duration{time.Second, 100 * time.Millisecond} {
			id, began := fmt.Sprint("q", i), time.Now()
			got := w.serve(w.Context(), id, 3*time.Second)
			if !strings.HasPrefix(got, fmt.Sprintf("0 [{0 %[1]s.0text} {1 %[1]s.1text}]", id)) || time.Since(began) > limit {
				w.Errorf("query %s: got %q", id, got)
			}
		}
	})
}

// A list saved by an earlier process is used until discovery answers, and the list is requested where that is required.
func TestAskedList(t *testing.T) {
	runNode(t, func(p *Options) {
		p.Deployment.AsksForList, p.Deployment.AskWithin = true, 10e9
		p.KnownList = discovery.Update{Entries: []discovery.Entry{{Host: "s-0", Dial: "r:9"}}}
	}, value, func(w *fixture) {
		time.Sleep(10 * time.Millisecond)
		w.expect(w.serve(w.Context(), "q", 2*time.Second), "0 [{0 q.0text} {1 q.1text}] 0 after 50ms")
		if w.count.ListUpdates.Load() < 2 || w.count.ListFailures.Load() != 0 {
			w.Errorf("%d list updates, %d failures", w.count.ListUpdates.Load(), w.count.ListFailures.Load())
		}
	})
}

// Danger: if replicas are replaced all day, the state kept of each would grow as long as the process runs.
func TestReplicasReplaced(t *testing.T) {
	runNode(t, asIs, value, func(w *fixture) {
		for i := 2; i < 40; i++ {
			l := w.network.Listen(fmt.Sprint("r:", i))
			w.listeners = append(w.listeners, l)
			go (&standin.Replica{Answer: value}).Serve(l)
			w.discovery.Change(listed(i, "active"))
			w.discovery.Change(listed(i-2, "leaving"))
			time.Sleep(10 * time.Millisecond)
			id := fmt.Sprint("q", i)
			w.expect(w.serve(w.Context(), id, 2*time.Second), fmt.Sprintf("0 [{0 %[1]s.0text} {1 %[1]s.1text}] 0 after 50ms", id))
			w.discovery.Change(listed(i-2, "left"))
			time.Sleep(2 * sweepInterval)
		}
		w.discovery.Change(listed(100, "left")) // it was never listed before
		time.Sleep(10 * time.Millisecond)
		if synctest.Wait(); len(w.hosts) > 4 || len(w.indices) != 2 || w.transport.OpenConnections() > 2 {
			w.Errorf("%d hosts, %d indices and %d connections are kept", len(w.hosts), len(w.indices), w.transport.OpenConnections())
		}
	})
}

// A query is still answered if a replica dies while parts run there.
func TestReplicaDies(t *testing.T) {
	runNode(t, asIs, value, func(w *fixture) {
		go func() {
			time.Sleep(20 * time.Millisecond)
			w.listeners[0].Close()
		}()
		w.expect(w.serve(w.Context(), "q", 2*time.Second), "0 [{0 q.0text} {1 q.1text}] 0 after 70ms")
	})
}

// The later the loop is, the further the module's deadlines are moved ahead of the clients', but one stall is soon
// forgotten.
func TestLateLoop(t *testing.T) {
	n := &Node{count: counters.New(nil)}
	n.recordLateness(20e6)
	n.recordLateness(1e6)
	if n.lateness < 19e6 || n.lateness > 20e6 {
		t.Errorf("lateness %d ns", n.lateness)
	}
	n.recordLateness(3e9)
	if n.lateness != longDelay {
		t.Errorf("lateness %d ns after a stall", n.lateness)
	}
	for range 10 * latenessDecay {
		n.recordLateness(0)
	}
	if n.lateness > 1e6 {
		t.Errorf("lateness %d ns long after the stall", n.lateness)
	}
}

func TestClock(t *testing.T) {
	c := NewClock()
	now, wall := c.Now(), time.Now().UnixMilli()
	if d := c.FromUnixMilli(wall) - now; d < -2e6 || d > 1e9 || c.FromUnixMilli(0) != 0 || c.FromUnixMilli(wall-3_600_000) <= 0 {
		t.Errorf("the present time is converted with an error of %d ns", d)
	}
}

// Danger: a query that comes right after a round, with less than a tick left, would be answered a round too late.
func TestNoRoundInTime(t *testing.T) {
	runNode(t, asIs, value, func(w *fixture) {
		first := make(chan string)
		go func() { first <- w.serve(w.Context(), "q", time.Second) }()
		synctest.Wait() // the round of the first query has just been
		for _, left := range []time.Duration{time.Millisecond, 4 * time.Millisecond} {
			began := time.Now()
			w.expect(w.serve(w.Context(), fmt.Sprint(left), left), "2 [] 1000 after 0s")
			if took := time.Since(began); took > left {
				w.Errorf("answered after %v, although the client waits %v", took, left)
			}
		}
		w.expect(<-first, "0 [{0 q.0text} {1 q.1text}] 0 after 50ms")
	})
}
