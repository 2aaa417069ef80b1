//go:build !platform

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/internal/healthcheck"
	"willowsill/lab/rehearsal"
	"willowsill/standin"
	"willowsill/standin/ports"
	"willowsill/standin/redis"
	"willowsill/transport/replica"
)

// The demonstration's fleet.
const (
	demoAggregators      = 3
	demoShards           = 4
	demoReplicasPerShard = 3 // of each shard
	demoWork             = 20 * time.Millisecond
	demoClientTimeout    = 1500 * time.Millisecond
	demoClientSlack      = 50 * time.Millisecond // limits on sockets are so much longer
	// An aggregator has so long to come up, is asked so often, and each question may take so long.
	demoStartupTimeout     = 30 * time.Second
	demoHealthPollInterval = 20 * time.Millisecond
	demoHealthTimeout      = time.Second
	demoLatencyGoal        = 800 * time.Millisecond
	systemDemoQueries      = 200 // queries a phase of the whole system
)

// phase is a stretch of the demonstration and what came of it.
type phase struct {
	Name             string         `json:"name"`
	Answers          map[string]int `json:"answers"`
	MedianMS         float64        `json:"median_ms"`
	WorstMS          float64        `json:"worst_ms"`
	FaultyExecutions int64          `json:"executions_at_sick_replica"`
	Store            map[string]any `json:"store,omitempty"`
	latencies        []time.Duration
}

func demonstrating() *cobra.Command {
	var withStore, asJSON, system bool
	var each time.Duration
	var sites int
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet of stand-ins and some queries, and print what happened",
		Long: "demo starts replicas, a discovery and three aggregators on loopback, asks queries of them, makes one\n" +
			"replica fail and mends it. With --store the aggregators share what they find through a stand-in of a\n" +
			"Redis server, which stalls and vanishes on the way.",
		Example: "  willowsill demo\n  willowsill demo --store --json\n  willowsill demo --sites 2\n  willowsill demo --system",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if each < 200*time.Millisecond || each > time.Minute {
				return coded{fmt.Errorf("--each is %v, outside 200ms to 1m", each), 2}
			}
			var phases []phase
			var err error
			switch {
			case system:
				return runSystemDemo(c, asJSON)
			case sites == 1:
				phases, err = runDemo(c.Context(), withStore, each)
			case sites == 2 && !withStore:
				phases, err = runSitesDemo(c.Context(), each)
			default:
				return coded{fmt.Errorf("--sites is 1 or 2, and 2 goes without --store"), 2}
			}
			if err != nil {
				return coded{err, 1}
			}
			if asJSON {
				return writeJSON(c.OutOrStdout(), phases)
			}
			table := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "what\tserved\tdeclined\tfailed\tmedian ms\tworst ms\tsent to the sick one\tstore")
			for _, p := range phases {
				state := "none"
				if p.Store != nil {
					state = fmt.Sprint(p.Store["state"])
				}
				fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%s\n", p.Name, p.Answers["200"], p.Answers["503"],
					p.Answers["failed"], p.MedianMS, p.WorstMS, p.FaultyExecutions, state)
			}
			return table.Flush()
		},
	}
	c.Flags().BoolVar(&withStore, "store", false, "share what is found through a stand-in store")
	c.Flags().BoolVar(&system, "system", false, "the whole system: controllers, proxies and agents as processes, one of each killed")
	c.Flags().IntVar(&sites, "sites", 1, "two: one goes dark, and its queries are carried to the other")
	c.Flags().DurationVar(&each, "each", 2*time.Second, "how long each phase takes")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// part plays one process of the whole system's demonstration, where this process was started for that.
func part() bool { return rehearsal.RunChild() }

// runSystemDemo plays the whole system with copies of this program.
func runSystemDemo(c *cobra.Command, asJSON bool) error {
	phases, err := rehearsal.Run(c.Context(), systemDemoQueries)
	if err != nil {
		return coded{err, 1}
	}
	if asJSON {
		return writeJSON(c.OutOrStdout(), phases)
	}
	rehearsal.Print(c.OutOrStdout(), phases)
	return nil
}

// fleet is what the demonstration starts; stop ends all of it.
type fleet struct {
	frontURLs        []string
	oneFails         atomic.Bool // the first replica fails
	allFail          atomic.Bool // all do
	discoveryAddress string      // the discovery's address
	firstReplicaHits atomic.Int64
	store            *redis.Server
	closers          []func()
	queryCount       atomic.Int64
}

func (f *fleet) stop() {
	for _, end := range slices.Backward(f.closers) {
		end()
	}
}

// listen opens a loopback port and serves on it until the end.
func (f *fleet) listen(serve func(net.Listener)) (string, error) {
	address, end, err := ports.Serve(serve)
	if err == nil {
		f.closers = append(f.closers, end)
	}
	return address, err
}

// startReplicas starts replicas and the discovery that names them.
func startReplicas() (*fleet, error) {
	f := &fleet{}
	list := standin.NewDiscovery()
	for i := range demoShards * demoReplicasPerShard {
		toy := &standin.Replica{Answer: func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
			if i == 0 {
				f.firstReplicaHits.Add(1)
				if f.oneFails.Load() {
					return replica.Reply{ID: p.ID, Outcome: replica.Failed}, true
				}
			}
			if f.allFail.Load() {
				return replica.Reply{ID: p.ID, Outcome: replica.Failed}, true
			}
			select {
			case <-time.After(demoWork):
			case <-ctx.Done():
				return replica.Reply{}, false
			}
			return replica.Reply{ID: p.ID, Value: "v" + strconv.Itoa(p.Shard)}, true
		}}
		address, err := f.listen(func(l net.Listener) { toy.Serve(l) })
		if err != nil {
			return f, err
		}
		list.Change(standin.Host{Host: fmt.Sprint("s-", i), Dial: address, Cell: i % demoShards, Health: "active"})
	}
	var err error
	f.discoveryAddress, err = f.listen(func(l net.Listener) { (&http.Server{Handler: list}).Serve(l) })
	return f, err
}

func startFleet(withStore bool) (*fleet, error) {
	f, err := startReplicas()
	if err != nil {
		return f, err
	}
	orders := &operator.Settings{}
	if withStore {
		f.store = &redis.Server{}
		address, err := f.listen(func(l net.Listener) { f.store.Serve(l) })
		if err != nil {
			return f, err
		}
		orders.Store = &operator.SharedStore{Address: address, Prefix: "demo", RoundInterval: 200e6, RoundTimeout: 100e6, SampleSize: 24, Health: true}
	}
	for i := range demoAggregators {
		if err := f.startAggregator(i, orders, (&net.Dialer{}).DialContext); err != nil {
			return f, err
		}
	}
	return f, nil
}

// startAggregator starts the whole program once, but for its process.
func (f *fleet) startAggregator(number int, orders *operator.Settings, dial replica.Dial) error {
	row := balance.Workload{LatencyGoal: int64(demoLatencyGoal), LateShare: 0.3, MinCoverage: 1, FullCoverage: 1, PartialShare: 0.9}
	start := deployment.Config{Name: fmt.Sprint("n", number), Discovery: f.discoveryAddress, Descriptors: 512,
		Deployment: deployment.Deployment{WorkloadRow: map[string]int{"lookup": 0}, Deployment: balance.Deployment{
			Index: number, Aggregators: demoAggregators, Seed: uint64(7 + number), Tick: 5e6,
			Workloads: []balance.Workload{row}, Shards: demoShards, Cells: demoShards, CellsPerShard: 1, PartsPerCall: 1,
			MaxExecutions: 3, CanCancel: true, MaxRetryAfter: 2000e6, ColdCapacity: 0.2, WarmUpTime: 9000e6, OverloadFactor: 4,
			OverloadSpan: 1000e6}},
		Limits: deployment.Limits{MaxHeld: 200, CallsPerConnection: 32, ConnectTimeout: 250e6, IdleTimeout: 15e9,
			LongestClientTimeout: int64(demoClientTimeout)}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	stop, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- run(stop, nil, start, orders, l, dial, zap.NewNop())
	}()
	f.frontURLs = append(f.frontURLs, "http://"+l.Addr().String())
	health := healthcheck.Wait{Client: &http.Client{Timeout: demoHealthTimeout}, Interval: demoHealthPollInterval, Timeout: demoStartupTimeout, Ended: ended}
	if err := health.Until(f.frontURLs[number]); err != nil {
		end()
		l.Close()
		return err
	}
	f.closers = append(f.closers, func() {
		end()
		<-ended
	})
	return nil
}

// ask asks one query and says how it ended.
func (f *fleet) ask(ctx context.Context, front string) string {
	ctx, cancel := context.WithTimeout(ctx, demoClientTimeout+demoClientSlack)
	defer cancel()
	body := `{"segments":[{"segment":0,"boost":0.25},{"segment":1,"boost":0.25},{"segment":2,"boost":0.25},` +
		`{"segment":3,"boost":0.25}],"text":"demo"}`
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, front+"/lookup", bytes.NewReader([]byte(body)))
	if err != nil {
		return "failed"
	}
	for key, v := range map[string]string{"X-Qos": "lookup", "X-Trace-Id": fmt.Sprintf("d%d", f.queryCount.Add(1)),
		"X-Expires-In-Ms": strconv.FormatInt(demoClientTimeout.Milliseconds(), 10)} {
		r.Header.Set(key, v)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return "failed"
	}
	defer a.Body.Close()
	io.Copy(io.Discard, a.Body)
	if a.StatusCode != http.StatusOK && a.StatusCode != http.StatusServiceUnavailable {
		return "failed"
	}
	return strconv.Itoa(a.StatusCode)
}

// storeStats are the first aggregator's figures of the store.
func (f *fleet) storeStats() map[string]any {
	r, err := http.Get(f.frontURLs[0] + "/counters")
	if err != nil {
		return nil
	}
	defer r.Body.Close()
	var all struct {
		Store map[string]any `json:"shared_store"`
	}
	json.NewDecoder(r.Body).Decode(&all)
	return all.Store
}

// runPhase asks queries for a time, from each aggregator's front, and returns what came of it.
func (f *fleet) runPhase(ctx context.Context, name string, each time.Duration) phase {
	p := phase{Name: name, Answers: map[string]int{}}
	met := f.firstReplicaHits.Load()
	var mu sync.Mutex
	var all sync.WaitGroup
	every := time.NewTicker(25 * time.Millisecond)
	defer every.Stop()
	for until := time.Now().Add(each); time.Now().Before(until) && ctx.Err() == nil; <-every.C {
		for _, front := range f.frontURLs {
			all.Go(func() {
				began := time.Now()
				how := f.ask(ctx, front)
				mu.Lock()
				defer mu.Unlock()
				p.Answers[how]++
				p.latencies = append(p.latencies, time.Since(began))
			})
		}
	}
	all.Wait()
	slices.Sort(p.latencies)
	if n := len(p.latencies); n > 0 {
		p.MedianMS, p.WorstMS = p.latencies[n/2].Seconds()*1e3, p.latencies[n-1].Seconds()*1e3
	}
	p.FaultyExecutions = f.firstReplicaHits.Load() - met
	p.Store = f.storeStats()
	return p
}

// runDemo plays all phases.
func runDemo(ctx context.Context, withStore bool, each time.Duration) (phases []phase, err error) {
	if ctx == nil {
		ctx = context.Background()
	}
	f, err := startFleet(withStore)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	play := func(name string) { phases = append(phases, f.runPhase(ctx, name, each)) }
	play("all well")
	f.oneFails.Store(true)
	play("one replica fails")
	if withStore {
		f.store.SetFault(redis.Fault{Delay: 2 * time.Second})
		play("and the store takes 2 s")
		f.store.SetFault(redis.Fault{DropCommands: true})
		play("and the store is silent")
		f.store.SetFault(redis.Fault{})
		play("and the store is back")
	}
	f.oneFails.Store(false)
	play("the replica is mended")
	return phases, nil
}
