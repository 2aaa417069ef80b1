package discovery

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"willowsill/balance"
	"willowsill/internal/pipenet"
	"willowsill/standin"
)

func TestDecode(t *testing.T) {
	const good = `{"host":"s-1","dial":"10.1.0.18:8081","site":"north","block":3,"health":"active","born_ms":7}`
	for name, c := range map[string]struct {
		in, want string
		skipped  int
	}{
		"entry":       {`{"seq":4,"whole":true,"hosts":[` + good + `]}`, "4 true [{s-1 10.1.0.18:8081 3 north 0 7 0 0}]", 0},
		"draining":    {`{"seq":4,"hosts":[{"host":"s","dial":"a:1","block":0,"health":"leaving"}]}`, "4 false [{s a:1 0  1 0 0 0}]", 0},
		"gone":        {`{"seq":4,"hosts":[{"host":"s","health":"left"}]}`, "4 false [{s  0  2 0 0 0}]", 0},
		"none":        {`{"seq":5}`, "5 false []", 0},
		"odd ones":    {`{"seq":4,"hosts":[7,` + good + `,{"host":"s","dial":"a:1","block":0,"health":"ill"}]}`, "4 false [{s-1 10.1.0.18:8081 3 north 0 7 0 0}]", 2},
		"no host":     {`{"seq":4,"hosts":[{"dial":"a:1","block":0,"health":"active"}]}`, "4 false []", 1},
		"no address":  {`{"seq":4,"hosts":[{"host":"s","dial":"a","block":0,"health":"active"}]}`, "4 false []", 1},
		"other block": {`{"seq":4,"hosts":[{"host":"s","dial":"a:1","block":4,"health":"active"}]}`, "4 false []", 1},
		"no block":    {`{"seq":4,"hosts":[{"host":"s","dial":"a:1","health":"active"}]}`, "4 false []", 1},
		"no version":  {`{"hosts":[]}`, `key "seq" is missing`, 0},
		"no list":     {`[]`, "the list: json", 0},
	} {
		t.Run(name, func(t *testing.T) {
			update, err := Decode([]byte(c.in), 4)
			got := fmt.Sprint(update.Sequence, update.Full, update.Entries)
			if err != nil {
				got = err.Error()
			}
			if !strings.Contains(got, c.want) || len(update.Skipped) != c.skipped {
				t.Errorf("got %s and %d skipped entries", got, len(update.Skipped))
			}
		})
	}
}

// runWatch runs a watch against a simulated discovery; its updates arrive on the channel.
func runWatch(t *testing.T, onRequest bool, run func(w *Watch, d *standin.Discovery, updates chan Update, network *pipenet.Network)) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipenet.Network{}
		d := standin.NewDiscovery(standin.Host{Host: "s-1", Dial: "a:1", Health: "active"})
		server := &http.Server{Handler: d}
		go server.Serve(network.Listen("d:1"))
		updates := make(chan Update, 16)
		w := NewWatch("d:1", 1, 0, network.Dial, func(_ context.Context, n Update) { updates <- n })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx, onRequest)
		}()
		synctest.Wait()
		run(w, d, updates, network)
		cancel()
		<-done
		server.Close()
	})
}

func TestWatch(t *testing.T) {
	runWatch(t, false, func(_ *Watch, d *standin.Discovery, updates chan Update, _ *pipenet.Network) {
		if n := <-updates; !n.Full || len(n.Entries) != 1 {
			t.Fatalf("the first update is %v", n)
		}
		began := time.Now()
		if n := <-updates; n.Err != nil || n.Full || len(n.Entries) != 0 || time.Since(began) != longPollTime {
			t.Errorf("after %v without changes the update is %v", time.Since(began), n)
		}
		d.Change(standin.Host{Host: "s-1", Dial: "a:1", Health: "leaving"})
		if n := <-updates; len(n.Entries) != 1 || n.Entries[0].Status != balance.Draining || n.Sequence != 2 {
			t.Errorf("for the change the update is %v", n)
		}
		d.Change(standin.Host{Host: "s-1", Health: "left"})
		if n := <-updates; n.Entries[0].Status != balance.Gone {
			t.Errorf("for the departure the update is %v", n)
		}
	})
}

// Danger: a discovery that never answers must not block the watch forever.
func TestWatchSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipenet.Network{}
		network.Blackhole("d:1")
		failures := 0
		w := NewWatch("d:1", 1, 0, network.Dial, func(_ context.Context, n Update) {
			if n.Err != nil {
				failures++
			}
		})
		ctx, stop := context.WithTimeout(t.Context(), 3*(callMargin+retryDelay))
		defer stop()
		w.Run(ctx, false)
		if failures != 3 {
			t.Errorf("%d failures were reported", failures)
		}
	})
}

func TestWatchOnAsk(t *testing.T) {
	runWatch(t, true, func(w *Watch, d *standin.Discovery, updates chan Update, _ *pipenet.Network) {
		time.Sleep(time.Minute)
		if len(updates) != 0 {
			t.Fatalf("without a request it reported %v", <-updates)
		}
		w.Request()
		if n := <-updates; !n.Full {
			t.Errorf("after a request it reported %v", n)
		}
	})
}

// Danger: a watch that keeps the address of a discovery that has moved uses an old list forever.
func TestWatchFollows(t *testing.T) {
	for _, onRequest := range []bool{false, true} {
		runWatch(t, onRequest, func(w *Watch, d *standin.Discovery, updates chan Update, network *pipenet.Network) {
			if w.Request(); (<-updates).Err != nil {
				t.Fatal("the first call failed")
			}
			time.Sleep(10 * time.Millisecond) // a call is in progress
			next := standin.NewDiscovery(standin.Host{Host: "s-2", Dial: "b:1", Health: "active"})
			server := &http.Server{Handler: next}
			defer server.Close()
			go server.Serve(network.Listen("d:2"))
			began := time.Now()
			w.SetAddress("d:2")
			w.SetAddress("d:2")
			if n := <-updates; !n.Full || n.Err != nil || n.Entries[0].Host != "s-2" || time.Since(began) > 0 {
				t.Errorf("after %v the update is %v", time.Since(began), n)
			}
			d.Change(standin.Host{Host: "s-1", Dial: "a:1", Health: "leaving"})
			next.Change(standin.Host{Host: "s-2", Dial: "b:1", Health: "leaving"})
			if n := <-updates; n.Err != nil || len(n.Entries) != 1 || n.Entries[0].Host != "s-2" {
				t.Errorf("for a change the update is %v", n)
			}
		})
	}
}
