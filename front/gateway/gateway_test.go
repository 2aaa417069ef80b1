package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/decide/deduplication"
	"willowsill/decide/siterouting"
	"willowsill/deployment"
	"willowsill/front"
	"willowsill/internal/counters"
	"willowsill/internal/pipenet"
	"willowsill/node"
	"willowsill/standin"
	"willowsill/standin/link"
	"willowsill/transport/discovery"
	"willowsill/transport/replica"
	"willowsill/transport/sockets"
)

// site is a complete site: replicas, discovery, an aggregator, and a gateway with its server for peers.
type site struct {
	name       string
	node       *node.Node
	core       *Core
	count      *Counters
	peerServer *PeerServer
	server     *http.Server
	address    string
	runs       map[string]int // number of times that a part ran at the replicas, by its id
	mu         sync.Mutex
	work       time.Duration
	workers    chan struct{} // limits the parts being worked on at a time; nil for no limit
	silent     bool          // replicas accept parts and never answer
	closers    []func()
	stopped    bool
}

type siteGroup struct {
	*testing.T
	policy  siterouting.Policy
	network *pipenet.Network
	sites   map[string]*site
	links   map[string]*link.Link // links between sites, by "FROM>TO"
}

var workloads = map[string]int{"look": 0, "book": 1, "pay": 2}

func testDeployment() deployment.Deployment {
	row := balance.Workload{LatencyGoal: 1500e6, LateShare: 0.3, MinCoverage: 1, FullCoverage: 1, PartialShare: 0.9, DedupWindow: 10e9}
	rows := []balance.Workload{row, row, row}
	rows[1].RetrySafety, rows[2].RetrySafety = balance.Deduplicated, balance.OnceOnly
	return deployment.Deployment{WorkloadRow: workloads, Deployment: balance.Deployment{Aggregators: 1, Tick: 5e6,
		Workloads: rows, Shards: 2, Cells: 1, CellsPerShard: 1, PartsPerCall: 1, MaxExecutions: 3, CanCancel: true, MaxRetryAfter: 2000e6,
		ColdCapacity: 0.2, WarmUpTime: 9000e6, OverloadFactor: 4, OverloadSpan: 1000e6}}
}

var testLimits = deployment.Limits{MaxHeld: 100, CallsPerConnection: 32, ConnectTimeout: 500e6, IdleTimeout: 15e9, LongestClientTimeout: 3e9}

// withSites runs a test with sites on synctest's clock, each with a link to all others.
func withSites(t *testing.T, names []string, test func(*siteGroup)) {
	withSitesAndPolicy(t, siterouting.Planned, names, test)
}

func withSitesAndPolicy(t *testing.T, p siterouting.Policy, names []string, test func(*siteGroup)) {
	synctest.Test(t, func(t *testing.T) {
		if p == noGateway {
			p = siterouting.Planned
		}
		w := &siteGroup{T: t, policy: p, network: &pipenet.Network{}, sites: map[string]*site{}, links: map[string]*link.Link{}}
		for _, from := range names {
			for _, to := range names {
				w.links[from+">"+to] = &link.Link{}
			}
		}
		for _, name := range names {
			w.start(name, names)
		}
		time.Sleep(3 * time.Second) // until the links' delays are known
		test(w)
		for _, s := range w.sites {
			s.stop()
		}
		time.Sleep(time.Minute) // until everything on the links has arrived
	})
}

func (s *site) stop() {
	if s.stopped {
		return
	}
	s.stopped = true
	s.core.Close()
	s.node.Close()
	for _, end := range s.closers {
		end()
	}
}

func (w *siteGroup) start(name string, names []string) {
	s := &site{name: name, count: &Counters{}, address: "g-" + name + ":1", runs: map[string]int{}, work: 50 * time.Millisecond}
	list := standin.NewDiscovery()
	for i := range 2 {
		l := w.network.Listen(fmt.Sprint("r-", name, ":", i))
		replicaServer := &standin.Replica{Answer: func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
			s.mu.Lock()
			s.runs[p.ID]++
			work, workers, silent := s.work, s.workers, s.silent
			s.mu.Unlock()
			if silent {
				<-ctx.Done()
				return replica.Reply{}, false
			}
			if workers != nil {
				select {
				case workers <- struct{}{}:
					defer func() { <-workers }()
				case <-ctx.Done():
					return replica.Reply{}, false
				}
			}
			select {
			case <-time.After(work):
			case <-ctx.Done():
				return replica.Reply{}, false
			}
			return replica.Reply{ID: p.ID, Value: name + p.ID}, true
		}}
		go replicaServer.Serve(l)
		s.closers = append(s.closers, func() { l.Close() })
		list.Change(standin.Host{Host: fmt.Sprint("s-", i), Dial: l.String(), Health: "active"})
	}
	lists := &http.Server{Handler: list}
	go lists.Serve(w.network.Listen("d-" + name + ":1"))
	d, count := testDeployment(), counters.New(workloads)
	watch := discovery.NewWatch("d-"+name+":1", 1, 0, w.network.Dial, func(ctx context.Context, n discovery.Update) { s.node.ApplyList(ctx, n) })
	clock := node.NewClock()
	if name == "b" { // Danger: a time of day sent to another site would be an hour off here; only the time left may be sent
		clock = clock.Shifted(time.Hour)
	}
	s.node = node.New(node.Options{Clock: clock, Deployment: d, Limits: testLimits, Budget: sockets.NewBudget(256),
		Count: count, Log: zap.NewNop(), RequestList: watch.Request, Dial: w.network.Dial})
	ctx, stop := context.WithCancel(w.Context())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		watch.Run(ctx, false)
	}()
	s.closers = append(s.closers, func() {
		stop()
		<-watched
		lists.Close()
	})
	p := Options{Clock: s.node.Clock, Site: name, Deployment: d, Limits: testLimits, Local: s.node, Policy: w.policy, Log: zap.NewNop()}
	for _, other := range names {
		if other != name {
			p.Sites = append(p.Sites, Site{Link: siterouting.Link{Site: other, QueryRate: 200, ByteRate: 1e7, Cost: 0.01},
				Gateways: []string{"g-" + other + ":1"}})
		}
	}
	p.Dial = func(ctx context.Context, n, address string) (net.Conn, error) {
		other := strings.TrimSuffix(strings.TrimPrefix(address, "g-"), ":1")
		return w.links[name+">"+other].Dialer(w.network.Dial)(ctx, n, address)
	}
	core, err := New(p, s.count)
	if err != nil {
		w.Fatal(err)
	}
	s.core = core
	f := &front.Front{Core: core, Clock: s.node.Clock, WorkloadRow: workloads, Shards: 2, Counters: count, Log: zap.NewNop()}
	s.peerServer = &PeerServer{AdvertisedRate: core.AdvertisedRate, Site: name, Front: f, Deployment: d, Clock: s.node.Clock, Counters: s.count, Log: zap.NewNop(),
		Window: deduplication.New(deduplication.Limits{MaxIDs: 1000, MaxAnswerBytes: 1 << 20, Retention: 10e9})}
	s.server = s.peerServer.HTTPServer(nil)
	if len(names) > 2 { // evacuated sites advertise a rate of 0 and would get no queries, so tests of loops advertise none
		s.peerServer.AdvertisedRate = nil
	}
	l := w.network.Listen(s.address)
	go s.server.Serve(l)
	s.closers = append(s.closers, func() { s.server.Close(); l.Close() })
	w.sites[name] = s
}

// kill closes a site's gateway at once, as if its machine had crashed.
func (s *site) kill() { s.server.Close() }

// ask sends a site one query as a client, and returns the outcome.
func (s *site) ask(ctx context.Context, id, workload string, timeout time.Duration) string {
	began := time.Now()
	a, ok := s.core.Serve(ctx, node.Query{ID: id, Workload: workloads[workload], Deadline: s.node.Clock.Now() + int64(timeout),
		Text: []byte("t"), Parts: []node.Part{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}})
	if took := time.Since(began); took > timeout {
		return fmt.Sprint("late: ", took)
	}
	if !ok {
		return "left"
	}
	text := [...]string{"whole", "partial", "declined", "forfeited"}[a.Outcome]
	for _, v := range a.Values {
		text += " " + v.Value
	}
	return text
}

// askUntilForwarded sends queries until one is not declined, and returns its outcome.
func (w *siteGroup) askUntilForwarded(from, id, workload string) (got string) {
	w.Helper()
	for i := range 60 {
		got = w.sites[from].ask(w.Context(), fmt.Sprint(id, i), workload, 2*time.Second)
		if got != "declined" {
			return got
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.Errorf("no query was forwarded; the last ended %s", got)
	return got
}

// Queries that the site can serve stay there. Those of an evacuated site are forwarded, here over 80 ms each way,
// until it serves again.
func TestCarried(t *testing.T) {
	withSites(t, []string{"a", "b"}, func(w *siteGroup) {
		far := link.Conditions{Delay: 80 * time.Millisecond}
		w.links["a>b"].Set(far, far)
		a := w.sites["a"]
		if got := a.ask(w.Context(), "q", "look", 2*time.Second); got != "whole aq.0 aq.1" || a.count.Carried.Load() != 0 {
			w.Errorf("served locally: %s", got)
		}
		a.core.Evacuate(true)
		if got := w.askUntilForwarded("a", "r", "look"); !strings.HasPrefix(got, "whole br") {
			w.Errorf("forwarded: %s", got)
		}
		time.Sleep(10 * time.Second)
		f := a.core.LinkStats()["b"].(map[string]any)
		if least := f["least_ns"].(int64); least < 1 || f["delay_ns"].(int64) < 150e6 || f["usable"] != true {
			w.Errorf("link statistics: %v", f)
		}
		served := 0
		for i := range 100 {
			if strings.HasPrefix(a.ask(w.Context(), fmt.Sprint("s", i), "look", 2*time.Second), "whole b") {
				served++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if served < 40 {
			w.Errorf("%d of 100 were served at the other site", served)
		}
		a.core.Evacuate(false)
		time.Sleep(25 * time.Second)
		if got := a.ask(w.Context(), "z", "look", 2*time.Second); got != "whole az.0 az.1" {
			w.Errorf("after the evacuation: %s", got)
		}
	})
}

// When a gateway is killed with queries in progress, each query gets one answer in time, and only parts that may
// run twice do.
func TestKilledMidQuery(t *testing.T) {
	for _, workload := range []string{"look", "book", "pay"} {
		t.Run(workload, func(t *testing.T) {
			withSites(t, []string{"a", "b"}, func(w *siteGroup) {
				a, b := w.sites["a"], w.sites["b"]
				a.core.Evacuate(true)
				w.askUntilForwarded("a", "warm", workload)
				time.Sleep(20 * time.Second)
				b.mu.Lock()
				b.work = 300 * time.Millisecond
				b.mu.Unlock()
				var all sync.WaitGroup
				var mu sync.Mutex
				ended := map[string]int{}
				for i := range 4 {
					all.Go(func() {
						got := a.ask(w.Context(), fmt.Sprint("k", i), workload, 2*time.Second)
						mu.Lock()
						defer mu.Unlock()
						ended[strings.Fields(got)[0]]++
					})
				}
				time.Sleep(150 * time.Millisecond)
				b.kill()
				all.Wait()
				time.Sleep(3 * time.Second)
				if n := ended["whole"] + ended["declined"] + ended["forfeited"]; n != 4 || ended["late:"] > 0 {
					w.Errorf("ended %v", ended)
				}
				ran := 0
				b.mu.Lock()
				defer b.mu.Unlock()
				for id, times := range b.runs {
					if strings.HasPrefix(id, "k") {
						ran++
						if workload == "pay" && times > 1 {
							w.Errorf("%s ran %d times", id, times)
						}
					}
				}
				if ran > 0 && workload == "pay" && ended["declined"] == 4 {
					w.Errorf("%d parts ran, and all were declined as if none had: %v", ran, ended)
				}
			})
		})
	}
}

// The planned shutdown of a gateway loses no query, not even one that must run once and was sent while its
// connection was being closed.
func TestLeaves(t *testing.T) {
	withSites(t, []string{"a", "b"}, func(w *siteGroup) {
		far := link.Conditions{Delay: 80 * time.Millisecond}
		w.links["a>b"].Set(far, far)
		a, b := w.sites["a"], w.sites["b"]
		a.core.Evacuate(true)
		var all sync.WaitGroup
		var mu sync.Mutex
		ended := map[string]int{}
		left := false
		for i := range 1000 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				mu.Lock()
				late := left
				mu.Unlock()
				got := strings.Fields(a.ask(w.Context(), fmt.Sprint("k", i), "pay", 2*time.Second))[0]
				mu.Lock()
				defer mu.Unlock()
				if ended[got]++; got == "whole" && late {
					w.Errorf("query %d was answered by a server that is closed", i)
				}
			})
		}
		time.Sleep(15 * time.Second)
		b.peerServer.AnnounceShutdown(w.Context())
		b.server.Shutdown(w.Context())
		mu.Lock()
		left = true
		mu.Unlock()
		all.Wait()
		if ended["forfeited"]+ended["late:"] > 0 || ended["whole"] < 50 || ended["declined"] < 50 {
			w.Errorf("ended %v", ended)
		}
	})
}

// A repeat of a query that must run once waits for the first one or gets its answer; it does not run again.
func TestRepeats(t *testing.T) {
	withSites(t, []string{"a", "b"}, func(w *siteGroup) {
		b := w.sites["b"]
		post := func(id string) (int, string) {
			c := http.Client{Transport: &http.Transport{DialContext: w.network.Dial}}
			defer c.CloseIdleConnections()
			r, _ := http.NewRequest("POST", "http://"+b.address+"/pay", strings.NewReader(
				`{"segments":[{"segment":0,"boost":0.5},{"segment":1,"boost":0.5}],"text":"t"}`))
			for k, v := range map[string]string{"X-Qos": "pay", "X-Trace-Id": id, "X-Expires-In-Ms": "1000", headerVisited: "a"} {
				r.Header.Set(k, v)
			}
			a, err := c.Do(r)
			if err != nil {
				return 0, err.Error()
			}
			defer a.Body.Close()
			text := make([]byte, 1<<10)
			n, _ := a.Body.Read(text)
			return a.StatusCode, string(text[:n])
		}
		var all sync.WaitGroup
		answers := make([]string, 3)
		for i := range answers {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				status, text := post("p1")
				answers[i] = fmt.Sprint(status, text)
			})
		}
		all.Wait()
		if status, text := post("p1"); answers[0] != fmt.Sprint(status, text) || !strings.HasPrefix(answers[0], "200") ||
			answers[1] != answers[0] || answers[2] != answers[0] {
			w.Errorf("%q and %d %s", answers, status, text)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.runs["p1.0"] != 1 || b.count.Joined.Load() != 2 || b.count.Replayed.Load() < 1 {
			w.Errorf("ran %v, %d joined, %d repeated", b.runs, b.count.Joined.Load(), b.count.Replayed.Load())
		}
		time.Sleep(time.Second)
	})
}

// When a link silently loses everything in one direction, queries still end in time; the link is closed within
// seconds, and opened again once it works.
func TestCutOneWay(t *testing.T) {
	withSites(t, []string{"a", "b"}, func(w *siteGroup) {
		a := w.sites["a"]
		a.core.Evacuate(true)
		w.askUntilForwarded("a", "warm", "look")
		w.links["a>b"].Set(link.Conditions{}, link.Conditions{Cut: true})
		for i := range 20 {
			if got := a.ask(w.Context(), fmt.Sprint("c", i), "look", 2*time.Second); strings.HasPrefix(got, "late") || got == "left" {
				w.Error(got)
			}
		}
		time.Sleep(5 * time.Second)
		began := time.Now()
		if got := a.ask(w.Context(), "d", "look", 2*time.Second); got != "declined" || time.Since(began) > 0 {
			w.Errorf("with the link closed: %s after %v", got, time.Since(began))
		}
		w.links["a>b"].Set(link.Conditions{}, link.Conditions{})
		time.Sleep(5 * time.Second)
		if got := w.askUntilForwarded("a", "e", "look"); !strings.HasPrefix(got, "whole b") {
			w.Error(got)
		}
	})
}

// Of three sites that all forward what they get, a query crosses at most two links per try and is declined once.
func TestLoop(t *testing.T) {
	withSites(t, []string{"a", "b", "c"}, func(w *siteGroup) {
		for _, s := range w.sites {
			s.core.Evacuate(true)
		}
		for i := range 30 {
			if got := w.sites["a"].ask(w.Context(), fmt.Sprint("l", i), "look", 2*time.Second); got != "declined" {
				w.Errorf("%s", got)
			}
			time.Sleep(300 * time.Millisecond)
		}
		a, b, c := w.sites["a"].count, w.sites["b"].count, w.sites["c"].count
		if a.Carried.Load() == 0 || a.Received.Load() != 0 || b.Received.Load()+c.Received.Load() > 2*maxGatewaysPerQuery*a.Carried.Load() {
			w.Errorf("a forwarded %d and received %d, b received %d, c received %d", a.Carried.Load(), a.Received.Load(), b.Received.Load(), c.Received.Load())
		}
	})
}

// On a full link, five customers take turns, although one of them sends sixteen times as many queries as each of the
// others. Each query must be answered within its 3 s, and at the end no query may be waiting or in flight.
func TestTakeTurns(t *testing.T) {
	withSites(t, []string{"a", "b"}, func(w *siteGroup) {
		far := link.Conditions{Delay: 150 * time.Millisecond}
		w.links["a>b"].Set(far, far)
		a := w.sites["a"]
		a.core.Evacuate(true)
		w.askUntilForwarded("a", "warm", "look")
		time.Sleep(20 * time.Second) // until the link's lowest delay has been measured again
		var mu sync.Mutex
		served, asked := map[string]float64{}, map[string]float64{}
		var all sync.WaitGroup
		for i := range 400 {
			customers := []string{"m1", "m2", "m3", "m4"}
			for range 16 {
				customers = append(customers, "greedy")
			}
			for n, c := range customers {
				all.Go(func() {
					began := time.Now()
					answer, ok := a.core.Serve(w.Context(), node.Query{ID: fmt.Sprintf("%s-%d-%d", c, i, n), Customer: c,
						Deadline: a.node.Clock.Now() + 3e9, Text: []byte("t"), Parts: []node.Part{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}})
					mu.Lock()
					defer mu.Unlock()
					asked[c]++
					if took := time.Since(began); !ok || took > 3*time.Second {
						w.Errorf("%v after %v", ok, took)
					}
					if answer.Outcome == balance.Whole {
						served[c]++
					}
				})
			}
			time.Sleep(50 * time.Millisecond)
		}
		all.Wait()
		greedyShare := served["greedy"] / asked["greedy"]
		for _, c := range []string{"m1", "m2", "m3", "m4"} {
			if share := served[c] / asked[c]; share < 2*greedyShare || served[c] == 0 {
				w.Errorf("share served: %.2f of %s's queries, %.2f of the greedy one's", share, c, greedyShare)
			}
		}
		w.Logf("share served: %.2f of a small customer's queries, %.2f of the greedy one's", served["m1"]/asked["m1"], greedyShare)
		c := a.core
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.gateway.Idle() {
			w.Errorf("not idle afterwards: %+v, %d waiting", c.gateway.Links(), c.gateway.Waiting())
		}
	})
}

// Danger: an answer of a peer with a part that was not asked for, or with one part twice, must not be passed on.
func TestDecode(t *testing.T) {
	q := node.Query{Parts: []node.Part{{Shard: 1}, {Shard: 2}}}
	for text, want := range map[string]bool{
		`{"all_in":true,"matches":[{"segment":1,"payload":"x"},{"segment":2,"payload":"y"}]}`: true,
		`{"all_in":false,"matches":[{"segment":1,"payload":"x"}]}`:                            true,
		`{"all_in":true,"matches":[{"segment":1,"payload":"x"},{"segment":1,"payload":"y"}]}`: false,
		`{"all_in":true,"matches":[{"segment":3,"payload":"x"}]}`:                             false,
		`{"all_in":true,"matches":[]}`:                                                        false, `{`: false, `{"matches":[{"segment":1,"segment":2,"payload":"x"}]}`: false,
	} {
		if _, err := decodeAnswer(q, text); (err == nil) != want || err != nil && !errors.Is(err, errAnswerMismatch) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
