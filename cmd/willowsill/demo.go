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

// Size and timing of the demonstration's fleet.
const (
	demoAggregators      = 3
	demoShards           = 4
	demoReplicasPerShard = 3
	demoWork             = 20 * time.Millisecond // a replica's processing time for one part
	demoClientTimeout    = 1500 * time.Millisecond
	demoClientSlack      = 50 * time.Millisecond // tolerance beyond client timeouts, for the delay of real sockets

	demoStartupTimeout     = 30 * time.Second      // limit for an aggregator to pass its first health check
	demoHealthPollInterval = 20 * time.Millisecond // time between two health checks during startup
	demoHealthTimeout      = time.Second           // timeout of one health check

	demoLatencyGoal   = 800 * time.Millisecond
	systemDemoQueries = 200 // queries per phase in the demonstration of the whole system
)

// phase holds the results of one phase of the demonstration. Its JSON keys are printed by demo --json.
type phase struct {
	Name             string         `json:"name"`
	Answers          map[string]int `json:"answers"`
	MedianMS         float64        `json:"median_ms"`
	WorstMS          float64        `json:"worst_ms"`
	FaultyExecutions int64          `json:"executions_at_sick_replica"` // parts sent to replica 0, the one that fails
	Store            map[string]any `json:"store,omitempty"`
	latencies        []time.Duration
}

func demoCommand() *cobra.Command {
	var withStore, asJSON, system bool
	var each time.Duration
	var sites int
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet of stand-ins and some queries, and print what happened",
		Long: "demo starts replicas, a discovery service and three aggregators on loopback, sends queries to them, makes one\n" +
			"replica fail and repairs it. With --store the aggregators share replica health through a stand-in of a\n" +
			"Redis server, which stalls and stops answering during the run.",
		Example: "  willowsill demo\n  willowsill demo --store --json\n  willowsill demo --sites 2\n  willowsill demo --system",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if each < 200*time.Millisecond || each > time.Minute {
				return exitError{fmt.Errorf("--each is %v, outside 200ms to 1m", each), 2}
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
				return exitError{fmt.Errorf("--sites must be 1 or 2, and --store needs --sites 1"), 2}
			}
			if err != nil {
				return exitError{err, 1}
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
	c.Flags().BoolVar(&withStore, "store", false, "share replica health through a stand-in store")
	c.Flags().BoolVar(&system, "system", false, "run the whole system: controllers, proxies and agents as processes; one of each is killed")
	c.Flags().IntVar(&sites, "sites", 1, "number of sites; with 2, the replicas of one fail and its queries are forwarded to the other")
	c.Flags().DurationVar(&each, "each", 2*time.Second, "how long each phase takes")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// runSystemDemoPart runs one process of the whole-system demonstration if this process was started as one, and reports
// whether it was.
func runSystemDemoPart() bool { return rehearsal.RunChild() }

// runSystemDemo runs the demonstration of the whole system, with copies of this program as its processes.
func runSystemDemo(c *cobra.Command, asJSON bool) error {
	phases, err := rehearsal.Run(c.Context(), systemDemoQueries)
	if err != nil {
		return exitError{err, 1}
	}
	if asJSON {
		return writeJSON(c.OutOrStdout(), phases)
	}
	rehearsal.Print(c.OutOrStdout(), phases)
	return nil
}

// fleet holds everything that the demonstration starts; stop shuts all of it down.
type fleet struct {
	frontURLs        []string
	oneFails         atomic.Bool // replica 0 answers every part with an error
	allFail          atomic.Bool // every replica answers every part with an error
	discoveryAddress string
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

// listen opens a loopback port and serves on it until the fleet stops.
func (f *fleet) listen(serve func(net.Listener)) (string, error) {
	address, end, err := ports.Serve(serve)
	if err == nil {
		f.closers = append(f.closers, end)
	}
	return address, err
}

// startReplicas starts the replicas and the discovery service that lists them.
func startReplicas() (*fleet, error) {
	f := &fleet{}
	registry := standin.NewDiscovery()
	for i := range demoShards * demoReplicasPerShard {
		standIn := &standin.Replica{Answer: func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
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
		address, err := f.listen(func(l net.Listener) { standIn.Serve(l) })
		if err != nil {
			return f, err
		}
		registry.Change(standin.Host{Host: fmt.Sprint("s-", i), Dial: address, Cell: i % demoShards, Health: "active"})
	}
	var err error
	f.discoveryAddress, err = f.listen(func(l net.Listener) { (&http.Server{Handler: registry}).Serve(l) })
	return f, err
}

func startFleet(withStore bool) (*fleet, error) {
	f, err := startReplicas()
	if err != nil {
		return f, err
	}
	settings := &operator.Settings{}
	if withStore {
		f.store = &redis.Server{}
		address, err := f.listen(func(l net.Listener) { f.store.Serve(l) })
		if err != nil {
			return f, err
		}
		settings.Store = &operator.SharedStore{Address: address, Prefix: "demo", RoundInterval: 200e6, RoundTimeout: 100e6, SampleSize: 24, Health: true}
	}
	for i := range demoAggregators {
		if err := f.startAggregator(i, settings, (&net.Dialer{}).DialContext); err != nil {
			return f, err
		}
	}
	return f, nil
}

// startAggregator runs the whole aggregator in this process, as main would, and waits until it is healthy.
func (f *fleet) startAggregator(number int, settings *operator.Settings, dial replica.Dial) error {
	workload := balance.Workload{LatencyGoal: int64(demoLatencyGoal), LateShare: 0.3, MinCoverage: 1, FullCoverage: 1, PartialShare: 0.9}
	start := deployment.Config{Environment: deployment.Environment{Name: fmt.Sprint("n", number), Discovery: f.discoveryAddress}, Descriptors: 512,
		Deployment: deployment.Deployment{WorkloadRow: map[string]int{"lookup": 0}, Deployment: balance.Deployment{
			Index: number, Aggregators: demoAggregators, Seed: uint64(7 + number), Tick: 5e6,
			Workloads: []balance.Workload{workload}, Shards: demoShards, Cells: demoShards, CellsPerShard: 1, PartsPerCall: 1,
			MaxExecutions: 3, CanCancel: true, MaxRetryAfter: 2000e6, ColdCapacity: 0.2, WarmUpTime: 9000e6, OverloadFactor: 4,
			OverloadSpan: 1000e6}},
		Limits: deployment.Limits{MaxHeld: 200, CallsPerConnection: 32, ConnectTimeout: 250e6, IdleTimeout: 15e9,
			LongestClientTimeout: int64(demoClientTimeout)}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- run(ctx, nil, start, settings, l, dial, zap.NewNop())
	}()
	f.frontURLs = append(f.frontURLs, "http://"+l.Addr().String())
	health := healthcheck.Wait{Client: &http.Client{Timeout: demoHealthTimeout}, Interval: demoHealthPollInterval, Timeout: demoStartupTimeout, Ended: ended}
	if err := health.Until(f.frontURLs[number]); err != nil {
		cancel()
		l.Close()
		return err
	}
	f.closers = append(f.closers, func() {
		cancel()
		<-ended
	})
	return nil
}

// ask sends one query and returns "200", "503" or "failed".
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

// storeStats returns the first aggregator's counters of the shared store, or nil if it does not answer.
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

// runPhase sends a query to every aggregator each 25 ms for the given time and returns the results.
func (f *fleet) runPhase(ctx context.Context, name string, each time.Duration) phase {
	p := phase{Name: name, Answers: map[string]int{}}
	hitsBefore := f.firstReplicaHits.Load()
	var mu sync.Mutex
	var all sync.WaitGroup
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	for end := time.Now().Add(each); time.Now().Before(end) && ctx.Err() == nil; <-ticker.C {
		for _, front := range f.frontURLs {
			all.Go(func() {
				began := time.Now()
				outcome := f.ask(ctx, front)
				mu.Lock()
				defer mu.Unlock()
				p.Answers[outcome]++
				p.latencies = append(p.latencies, time.Since(began))
			})
		}
	}
	all.Wait()
	slices.Sort(p.latencies)
	if n := len(p.latencies); n > 0 {
		p.MedianMS, p.WorstMS = p.latencies[n/2].Seconds()*1e3, p.latencies[n-1].Seconds()*1e3
	}
	p.FaultyExecutions = f.firstReplicaHits.Load() - hitsBefore
	p.Store = f.storeStats()
	return p
}

// runDemo starts a fleet and runs all phases. ctx is nil if the command was executed without a context.
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
