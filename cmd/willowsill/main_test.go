package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/internal/counters"
	"willowsill/internal/pipenet"
	"willowsill/standin"
	"willowsill/transport/replica"
)

// Runs the whole program with stand-in peers on an in-memory network: two invalid configurations are rejected and a third is
// applied; a query is answered before the stop, during it and while the server drains. At the end no goroutine may be left
// and every connection must be closed.
func TestProgram(t *testing.T) {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Error(err)
		}
	}
	writeConfig(string(text))
	env := map[string]string{"NODE_NAME": "n0", "NODE_LISTEN": "127.0.0.1:8081", "NODE_DISCOVERY": "127.0.0.1:8500",
		"NODE_CONFIG": file}
	environment, err := deployment.ReadEnvironment(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	start, err := environment.ReadConfig()
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		network, registry := &pipenet.Network{}, standin.NewDiscovery()
		var replicas []*pipenet.Listener
		for i := range 2 * start.Cells {
			h := standin.Host{Host: fmt.Sprint("s-", i), Dial: fmt.Sprint("r:", i), Cell: i % start.Cells, Health: "active"}
			registry.Change(h)
			replicas = append(replicas, network.Listen(h.Dial))
			standIn := standin.Replica{Answer: func(_ context.Context, p replica.Part) (replica.Reply, bool) {
				time.Sleep(100 * time.Millisecond)
				return replica.Reply{ID: p.ID, Value: "v" + p.ID}, true
			}}
			go standIn.Serve(replicas[i])
		}
		discovery := &http.Server{Handler: registry}
		old, moved := network.Listen(start.Discovery), network.Listen("127.0.0.1:8501")
		go discovery.Serve(old)
		reload := make(chan os.Signal, 1)
		reloadWith := func(text string) {
			writeConfig(text)
			reload <- syscall.SIGHUP
			time.Sleep(10 * time.Millisecond)
		}
		stopContext, stop := context.WithCancel(t.Context())
		core, logs := observer.New(zap.InfoLevel)
		ended := make(chan error, 1)
		listener := network.Listen(start.Listen)
		go func() {
			ended <- run(stopContext, reload, start, &operator.Settings{}, listener, network.Dial, zap.New(core))
		}()
		time.Sleep(10 * time.Millisecond)

		ask := func(id string) string {
			c, err := network.Dial(t.Context(), "", start.Listen)
			if err != nil {
				return err.Error()
			}
			defer c.Close()
			body := `{"segments":[{"segment":1,"boost":0.5},{"segment":2,"boost":0.5}],"text":"t"}`
			fmt.Fprintf(c, "POST /lookup HTTP/1.1\r\nHost: h\r\nX-Qos: lookup\r\nX-Trace-Id: %s\r\nX-Expires-In-Ms: 900\r\n"+
				"Content-Length: %d\r\n\r\n%s", id, len(body), body)
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return err.Error()
			}
			text, _ := io.ReadAll(r.Body)
			return fmt.Sprint(r.StatusCode, string(text))
		}
		want := func(id string) string {
			return fmt.Sprintf(`200{"all_in":true,"matches":[{"segment":1,"payload":"v%[1]s.1"},`+
				`{"segment":2,"payload":"v%[1]s.2"}]}`, id)
		}
		if got := ask("a"); got != want("a") {
			t.Errorf("answer to the first query: %s", got)
		}
		old.Close()
		reloadWith(string(text[:len(text)/2]))
		reloadWith(strings.Replace(string(text), `"seed": "`, `"discovery": "nowhere", "seed": "`, 1))
		go discovery.Serve(moved)
		reloadWith(strings.Replace(string(text), `"seed": "0`, `"discovery": "127.0.0.1:8501", "seed": "b`, 1))
		if wrong := logs.FilterLevelExact(zap.ErrorLevel).All(); len(wrong) != 2 ||
			!strings.Contains(fmt.Sprint(wrong[1].ContextMap()), `"discovery"`) {
			t.Errorf("errors logged for the two invalid configurations: %v", wrong)
		}
		if deferred := logs.FilterField(zap.Strings("keys", []string{"seed"})); deferred.Len() != 1 {
			t.Errorf("%d lines name the key that needs a restart, want 1", deferred.Len())
		}
		for _, l := range replicas[:start.Cells] { // half of the replicas leave, and only the new discovery service lists that
			l.Close()
			registry.Change(standin.Host{Host: "s-" + strings.TrimPrefix(l.String(), "r:"), Health: "left"})
		}
		time.Sleep(10 * time.Millisecond)
		if got := ask("m"); got != want("m") {
			t.Errorf("answer after the list changed: %s", got)
		}
		inFlight := make(chan string, 1)
		go func() { inFlight <- ask("b") }()
		time.Sleep(20 * time.Millisecond)
		stop()
		time.Sleep(400 * time.Millisecond)
		if got := <-inFlight; got != want("b") {
			t.Errorf("answer to the query in flight at the stop: %s", got)
		}
		if got := ask("c"); got != want("c") {
			t.Errorf("answer to the query sent after the stop: %s", got)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if got := ask("d"); got != pipenet.ErrRefused.Error() {
			t.Errorf("connecting after the end: %s", got)
		}
		last := logs.FilterMessage("ended").All()[0].ContextMap()["counters"].(*counters.Counters)
		if failed := last.ConnectionsFailed.Load(); last.Reloads.Load() != 3 || last.ReloadsFailed.Load() != 2 || failed != 0 {
			t.Errorf("%d reloads, %d invalid; %d failed connections to replicas that have left", last.Reloads.Load(), last.ReloadsFailed.Load(), failed)
		}
		if opened, closed := last.ConnectionsOpened.Load(), last.ConnectionsClosed.Load(); opened == 0 || opened != closed {
			t.Errorf("%d connections opened, %d closed", opened, closed)
		}
		discovery.Close()
		for _, l := range replicas {
			l.Close()
		}
	})
}
