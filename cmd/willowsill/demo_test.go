//go:build !platform

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"willowsill/standin/redis"
	"willowsill/transport/signals"
)

// While one replica fails, the shared store becomes slow, stops answering and recovers. No query may be lost or miss its
// latency goal because of the store.
func TestDemoWithStore(t *testing.T) {
	phases, err := runDemo(t.Context(), true, 400*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if len(phases) != 6 {
		t.Errorf("%d phases, want 6", len(phases))
	}
	for _, p := range phases {
		if p.Answers["200"] == 0 || p.Answers["failed"] != 0 || p.WorstMS > float64(demoLatencyGoal.Milliseconds()) {
			t.Errorf("%s: outcomes %v, maximum latency %.0f ms", p.Name, p.Answers, p.WorstMS)
		}
	}
	if phases[0].Store == nil || phases[2].Store["state"] == "fresh" {
		t.Errorf("store counters %v; with a delay of 2 s %v, which should not be fresh", phases[0].Store, phases[2].Store)
	}
}

func commandOutput(t *testing.T, args ...string) (code int, out, stderr string) {
	var o, c bytes.Buffer
	code = executeCommand(signals.Received{}, args, &o, &c)
	return code, o.String(), c.String()
}

func TestCommands(t *testing.T) {
	wrongScript := filepath.Join(t.TempDir(), "a.star")
	os.WriteFile(wrongScript, []byte("shared_store(adress = 'h:1')"), 0o600)
	for _, c := range []struct {
		args        []string
		code        int
		out, stderr string
	}{
		{[]string{"check", "../../examples/store.star"}, 0, "is right", ""},
		{[]string{"check", "../../examples/config.json"}, 0, "is right", ""},
		{[]string{"check", wrongScript}, 2, "", `"adress" is unknown; is address meant?`},
		{[]string{"check", "no-such.json"}, 2, "", "no-such.json"},
		{[]string{"explain", "../../deploy/operator.star"}, 0, "shared_store is off", ""},
		{[]string{"explain", "../../examples/config.json"}, 2, "", ".star"},
		{[]string{"serve", "--operator", wrongScript}, 2, "", ""},
		{[]string{"demo", "--each", "1ns"}, 2, "", "--each"},
		{[]string{"sevre"}, 2, "", "unknown command"},
		{[]string{"check"}, 2, "", "accepts 1 arg"},
		{[]string{"completion", "bash"}, 0, "bash completion", ""},
		{[]string{"check", "--help"}, 0, "password_file", ""},
	} {
		code, out, stderr := commandOutput(t, c.args...)
		if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(stderr, c.stderr) {
			t.Errorf("%v: exit code %d, stdout %q, stderr %q", c.args, code, out, stderr)
		}
	}
	_, out, _ := commandOutput(t, "explain", "--json", "../../examples/store.star")
	var all struct {
		Holds []struct {
			Function, Key, Value string
			Default              bool
		}
	}
	if err := json.Unmarshal([]byte(out), &all); err != nil || len(all.Holds) != 18 || all.Holds[0].Default {
		t.Errorf("explain --json: error %v, %d settings, want 18 with the first set by the script", err, len(all.Holds))
	}
}

// saturate keeps the given number of queries in flight at each aggregator for a time.
func (f *fleet) saturate(ctx context.Context, inFlight int, each time.Duration) {
	var all sync.WaitGroup
	until := time.Now().Add(each)
	for _, front := range f.frontURLs {
		for range inFlight {
			all.Go(func() {
				for time.Now().Before(until) {
					f.ask(ctx, front)
				}
			})
		}
	}
	all.Wait()
}

// BenchmarkLoopDelay measures how long events wait in the node's event queue (median and 99th percentile) without a shared
// store, with a healthy one and with a faulty one.
func BenchmarkLoopDelay(b *testing.B) {
	for _, c := range []struct {
		name  string
		store bool
		fault redis.Fault
	}{{"none", false, redis.Fault{}}, {"good", true, redis.Fault{}}, {"2s", true, redis.Fault{Delay: 2 * time.Second}},
		{"silent", true, redis.Fault{DropCommands: true}}, {"trickle", true, redis.Fault{ByteInterval: 5 * time.Millisecond}}} {
		b.Run(c.name, func(b *testing.B) {
			f, err := startFleet(c.store)
			defer f.stop()
			if err != nil {
				b.Fatal(err)
			}
			if f.store != nil {
				f.store.SetFault(c.fault)
			}
			for b.Loop() {
				f.saturate(b.Context(), 24, 2*time.Second)
			}
			r, err := http.Get(f.frontURLs[0] + "/counters")
			if err != nil {
				b.Fatal(err)
			}
			defer r.Body.Close()
			var all struct {
				Delay map[string]float64 `json:"delay_ns"`
			}
			json.NewDecoder(r.Body).Decode(&all)
			b.ReportMetric(all.Delay["p50"]/1e3, "p50_us")
			b.ReportMetric(all.Delay["p99"]/1e3, "p99_us")
		})
	}
}
