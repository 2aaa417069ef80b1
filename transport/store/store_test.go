package store

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"willowsill/balance"
	"willowsill/decide/sharedhealth"
	"willowsill/internal/pipenet"
	"willowsill/standin/redis"
)

const (
	round    = 500 * time.Millisecond
	deadline = 150 * time.Millisecond
)

// testAggregator is an aggregator whose survey the test sets.
type testAggregator struct {
	mu      sync.Mutex
	survey  sharedhealth.Survey
	applied []sharedhealth.RoundResult
	busy    bool
}

func (a *testAggregator) Survey(context.Context) (sharedhealth.Survey, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.survey, !a.busy
}

func (a *testAggregator) ApplyShared(result sharedhealth.RoundResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	result.Reports = slices.Clone(result.Reports)
	a.applied = append(a.applied, result)
}

func (a *testAggregator) setFinding(finding balance.Finding) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.survey.Findings = slices.Clone(a.survey.Findings)
	a.survey.Findings[finding.Replica] = finding
}

func (a *testAggregator) setBusy() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy = true
}

// passedOver returns the replicas that the last result gave reports against.
func (a *testAggregator) passedOver() (all []int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.applied); n > 0 {
		for _, report := range a.applied[n-1].Reports {
			if report.Weight > 0 {
				all = append(all, report.Replica)
			}
		}
	}
	return all
}

// testClient is a client with its aggregator and its logs.
type testClient struct {
	*Client
	core *testAggregator
	logs *observer.ObservedLogs
}

type fixture struct {
	*testing.T
	server      *redis.Server
	network     *pipenet.Network
	startedAt   time.Time
	aggregators []*testClient
}

func (w *fixture) now() int64 { return int64(time.Since(w.startedAt)) + 1e9 }

// runFixture runs a test with some aggregators at one server, in a synctest bubble.
func runFixture(t *testing.T, aggregators int, change func(*Endpoint, *sharedhealth.Config), test func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		w := &fixture{T: t, server: &redis.Server{}, network: &pipenet.Network{}, startedAt: time.Now()}
		l := w.network.Listen("r:1")
		served := make(chan struct{})
		go func() {
			defer close(served)
			w.server.Serve(l)
		}()
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		for i := range aggregators {
			p := Endpoint{Address: "r:1", Prefix: "t", Dial: w.network.Dial}
			config := sharedhealth.Config{Name: fmt.Sprint("n", i), Incarnation: 7, Seed: uint64(i), RoundInterval: int64(round),
				RoundTimeout: int64(deadline), SampleSize: 24, Aggregators: aggregators, BaseEjection: 1e9, HealthEnabled: true,
				Quotas: []sharedhealth.Quota{{Customer: "acme", Rate: 40}}}
			if change != nil {
				change(&p, &config)
			}
			logCore, logs := observer.New(zap.InfoLevel)
			k := &testClient{core: &testAggregator{survey: survey(20)}, logs: logs}
			client, err := New(p, sharedhealth.New(w.now(), config), k.core, w.now, &Counters{}, zap.New(logCore))
			if err != nil {
				t.Fatal(err)
			}
			k.Client = client
			w.aggregators = append(w.aggregators, k)
			go func() {
				k.Run(ctx)
				ended <- struct{}{}
			}()
		}
		test(w)
		w.server.SetFault(redis.Fault{})
		stop()
		for range aggregators {
			<-ended
		}
		l.Close()
		<-served
	})
}

func survey(replicas int) (result sharedhealth.Survey) {
	for i := range replicas {
		result.Findings = append(result.Findings, balance.Finding{Replica: i, Cell: i / 5})
		result.Keys = append(result.Keys, sharedhealth.ReplicaKey("s", int64(i)))
	}
	result.Demand, result.TokensLeft = []float64{5}, []float64{0}
	return result
}

func (k *testClient) state() string { return k.counters.Stats().State.String() }

func (w *fixture) states() string {
	all := ""
	for _, k := range w.aggregators {
		all += k.state() + " "
	}
	return strings.TrimSpace(all)
}

// TestHeard: a replica that two aggregators have ejected is passed over by a third one, and no longer than they
// report it.
func TestHeard(t *testing.T) {
	runFixture(t, 3, nil, func(w *fixture) {
		time.Sleep(4 * round)
		for _, k := range w.aggregators[:2] {
			k.core.setFinding(balance.Finding{Replica: 3, Ejected: true, LastFailure: w.now()})
		}
		time.Sleep(4 * round)
		synctest.Wait()
		if got := w.aggregators[2].core.passedOver(); len(got) != 1 || got[0] != 3 || w.states() != "fresh fresh fresh" {
			w.Errorf("passed over %v, %s", got, w.states())
		}
		if f := w.aggregators[2].counters.Stats(); f.LiveMembers != 3 || f.RecordsMerged == 0 || f.RecordsRefused != 0 {
			w.Errorf("%+v", f)
		}
		for _, k := range w.aggregators[:2] {
			k.core.setFinding(balance.Finding{Replica: 3})
		}
		time.Sleep(20 * round) // reports fade at different times
		synctest.Wait()
		if got := w.aggregators[2].core.passedOver(); len(got) != 0 {
			w.Errorf("still passes over %v", got)
		}
		if n := w.server.Connections(); n != 3 {
			w.Errorf("%d connections", n)
		}
	})
}

// TestLeased: tokens are leased according to demand, and their sum stays within the quota.
func TestLeased(t *testing.T) {
	runFixture(t, 2, nil, func(w *fixture) {
		time.Sleep(30 * time.Second)
		synctest.Wait()
		tokens := 0.0
		for _, k := range w.aggregators {
			k.core.mu.Lock()
			for _, a := range k.core.applied {
				for _, l := range a.Leases {
					tokens += l.Tokens
				}
			}
			k.core.mu.Unlock()
		}
		if tokens < 300 || tokens > 40*(30+20) {
			w.Errorf("%.0f tokens leased in 30 s, at a quota of 40 and a demand of 20 per second", tokens)
		}
	})
}

// TestFaults: whatever fault the store has, rounds end in time, the aggregator gets the store's state, and the
// state is fresh again soon after the fault.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault redis.Fault
		want  string // the state during the fault; empty if rounds go on
	}{
		"2 s for 2 ms":       {redis.Fault{Delay: 2 * time.Second}, "lost"},
		"silent":             {redis.Fault{DropCommands: true}, "lost"},
		"carried out, mute":  {redis.Fault{DropReplies: true}, "lost"},
		"stalls mid-reply":   {redis.Fault{StallAfter: 3}, "lost"},
		"closes mid-reply":   {redis.Fault{CutAfter: 3}, "lost"},
		"refuses":            {redis.Fault{Refuse: true}, "lost"},
		"a byte at a time":   {redis.Fault{ByteInterval: 50 * time.Millisecond}, "lost"},
		"a gigabyte":         {redis.Fault{BulkLength: 1 << 30}, "lost"},
		"a billion items":    {redis.Fault{ArrayLength: 1 << 30}, "lost"},
		"loading":            {redis.Fault{Error: "LOADING Redis is loading the dataset in memory"}, "lost"},
		"read only":          {redis.Fault{Error: "READONLY You can't write against a read only replica."}, "lost"},
		"out of memory":      {redis.Fault{Error: "OOM command not allowed when used memory > 'maxmemory'."}, "lost"},
		"no permission":      {redis.Fault{Error: "NOPERM this user has no permissions to run this command"}, "lost"},
		"cluster moved":      {redis.Fault{Error: "MOVED 3999 127.0.0.1:6381"}, "lost"},
		"garbled":            {redis.Fault{CorruptBulk: true}, "distrusted"},
		"clock a day onward": {redis.Fault{ClockSkew: 24 * time.Hour}, ""},
		"60 ms a command":    {redis.Fault{Delay: 60 * time.Millisecond}, "lost"},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, 2, nil, func(w *fixture) {
				time.Sleep(5 * round)
				if synctest.Wait(); w.states() != "fresh fresh" {
					w.Fatal(w.states())
				}
				w.server.SetFault(c.fault)
				w.server.CloseConnections()
				time.Sleep(20 * round)
				synctest.Wait()
				if c.want != "" && w.states() != c.want+" "+c.want {
					w.Errorf("during the fault the states are %s", w.states())
				}
				for _, k := range w.aggregators {
					if len(k.core.passedOver()) > 0 {
						w.Error("reports of a failed store are still in use")
					}
				}
				w.server.SetFault(redis.Fault{})
				time.Sleep(80 * time.Second)
				if synctest.Wait(); w.states() != "fresh fresh" {
					w.Errorf("after the fault the states are %s", w.states())
				}
			})
		})
	}
}

// TestOlderState: a store that was emptied, or restored to an older state, is distrusted for a while.
func TestOlderState(t *testing.T) {
	for name, reset := range map[string]func(*redis.Server){"emptied": (*redis.Server).Clear, "older": (*redis.Server).RestoreSnapshot} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, 2, nil, func(w *fixture) {
				time.Sleep(4 * round)
				w.server.SaveSnapshot()
				time.Sleep(4 * round)
				reset(w.server)
				time.Sleep(2 * round)
				if synctest.Wait(); w.states() != "distrusted distrusted" {
					w.Error(w.states())
				}
				time.Sleep(15 * time.Second)
				if synctest.Wait(); w.states() != "fresh fresh" {
					w.Error(w.states())
				}
			})
		})
	}
}

// TestOddKeys: a key may hold another type, data of another program, or too much data. Each is rejected without
// an effect on the others.
func TestOddKeys(t *testing.T) {
	runFixture(t, 1, nil, func(w *fixture) {
		time.Sleep(4 * round)
		for i := range 100_000 {
			w.server.Inject("t:f", fmt.Sprint("x", i), "nonsense")
		}
		time.Sleep(2 * round)
		synctest.Wait()
		f := w.aggregators[0].counters.Stats()
		if f.RecordsRefused == 0 || f.RecordsRefused > 3*24 || f.State != sharedhealth.Fresh {
			w.Errorf("a hash of many fields: %+v", f)
		}
		w.server.Inject("t:f", "", "a string")
		w.server.Inject("t:m", "", "a string")
		unusable := w.aggregators[0].counters.UnusableParts.Load()
		time.Sleep(4 * round)
		synctest.Wait()
		if k := w.aggregators[0]; k.counters.UnusableParts.Load() == unusable || k.state() != "fresh" {
			w.Errorf("of the wrong type: %d odd parts, %s", k.counters.UnusableParts.Load(), k.state())
		}
		w.server.Inject("t:a:n0", "", strings.Repeat("x", 10<<20))
		time.Sleep(4 * round)
		synctest.Wait()
		if k := w.aggregators[0]; k.counters.Stats().FailedRounds == 0 {
			w.Errorf("ten megabytes at its own presence key fail no round: %s", k.state())
		}
	})
}

// TestCrowded: an aggregator without time for surveys still receives shared reports.
func TestCrowded(t *testing.T) {
	runFixture(t, 1, nil, func(w *fixture) {
		w.aggregators[0].core.setBusy()
		time.Sleep(10 * round)
		synctest.Wait()
		if k := w.aggregators[0]; k.counters.SurveysSkipped.Load() == 0 || k.state() != "fresh" {
			w.Errorf("%d surveys skipped, %s", k.counters.SurveysSkipped.Load(), k.state())
		}
	})
}

func write(t *testing.T, text []byte) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestPassword: the password comes from a file and is never logged. With a wrong one the store counts as lost.
func TestPassword(t *testing.T) {
	for _, c := range []struct{ password, state string }{{"open sesame", "fresh"}, {"wrong", "lost"}} {
		file := write(t, []byte(c.password+"\n"))
		runFixture(t, 1, func(p *Endpoint, _ *sharedhealth.Config) { p.User, p.PasswordFile = "willow", file }, func(w *fixture) {
			w.server.SetCredentials("willow", "open sesame")
			time.Sleep(40 * round)
			if synctest.Wait(); w.states() != c.state {
				w.Errorf("with %q: %s", c.password, w.states())
				for _, e := range w.aggregators[0].logs.All()[:5] {
					w.Log(e.Message, e.ContextMap())
				}
			}
			for _, e := range w.aggregators[0].logs.All() {
				if strings.Contains(fmt.Sprint(e), c.password) && c.password != "wrong" {
					w.Errorf("the log holds the password: %v", e)
				}
			}
		})
	}
}

// certificate returns a self-signed certificate for a name.
func certificate(t *testing.T, name string) (tls.Certificate, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

// TestTLS: over TLS the store has to present a certificate of the configured authority for the configured name.
func TestTLS(t *testing.T) {
	good, authority := certificate(t, "store.test")
	_, other := certificate(t, "store.test")
	for _, c := range []struct {
		authority []byte
		name      string
		want      bool
	}{{authority, "store.test", true}, {other, "store.test", false}, {authority, "else.test", false}} {
		server := &redis.Server{}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go server.Serve(tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{good}}))
		endpoint := Endpoint{Address: l.Addr().String(), Prefix: "t", CAFile: write(t, c.authority), ServerName: c.name,
			Dial: (&net.Dialer{}).DialContext}
		client, err := New(endpoint, sharedhealth.New(1, sharedhealth.Config{Name: "a", Incarnation: 1, RoundInterval: int64(round),
			RoundTimeout: int64(deadline)}), &testAggregator{}, func() int64 { return 1 }, &Counters{}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err = client.roundTrip(ctx, &sharedhealth.Request{Presence: []byte("x"), PresenceTTL: 1e9})
		if (err == nil) != c.want {
			t.Errorf("server name %s: %v", c.name, err)
		}
		cancel()
		client.closeConn()
		l.Close()
	}
	if _, err := New(Endpoint{Address: "h:1", CAFile: write(t, []byte("none"))}, nil, nil, nil, nil, nil); err == nil ||
		!strings.Contains(err.Error(), `"ca_file"`) {
		t.Errorf("a file without a certificate: %v", err)
	}
	if _, err := New(Endpoint{Address: "h:1", PasswordFile: "no-such"}, nil, nil, nil, nil, nil); err == nil ||
		!strings.Contains(err.Error(), `"password_file"`) {
		t.Errorf("no password file: %v", err)
	}
}

// Danger: one short line may announce a gigabyte, which libraries allocate before the data arrives.
func TestGuard(t *testing.T) {
	for _, c := range []struct {
		text string
		want error
	}{
		{"+OK\r\n:5\r\n$3\r\nabc\r\n*2\r\n$1\r\na\r\n$-1\r\n_\r\n,1.5\r\n#t\r\n%1\r\n+a\r\n+b\r\n", nil},
		{"$16385\r\n", errStringTooLong}, {"$1073741824\r\n", errStringTooLong}, {"*1073741824\r\n", errTooManyItems}, {"%5000\r\n", errTooManyItems},
		{"$x\r\n", errNotReply}, {"?\r\n", errNotReply}, {"\r\n", errNotReply}, {"$-7\r\n", errNotReply},
		{"-" + strings.Repeat("e", maxLineBytes+1), errLineTooLong}, {"$12\r\n$999999999\r\n\r\n", nil},
		{"$9999999999999999999999\r\n", errNotReply},
	} {
		for _, step := range []int{1, 3, 1 << 20} { // however the bytes are split
			conn, err := &limitedConn{}, error(nil)
			for rest := c.text; rest != "" && err == nil; {
				n := min(step, len(rest))
				err, rest = conn.scan([]byte(rest[:n])), rest[n:]
			}
			if err != c.want {
				t.Errorf("%.20q by %d: %v, want %v", c.text, step, err, c.want)
			}
		}
	}
}

func FuzzGuard(f *testing.F) {
	f.Add([]byte("$3\r\nabc\r\n*1\r\n:1\r\n"), 2)
	f.Fuzz(func(t *testing.T, text []byte, step int) {
		complete, parts := &limitedConn{}, &limitedConn{}
		a := complete.scan(text)
		step = max(step, 1)
		var b error
		for rest := text; len(rest) > 0 && b == nil; {
			n := min(step, len(rest))
			b, rest = parts.scan(rest[:n]), rest[n:]
		}
		if a != b || complete.skipBytes > maxStringBytes+2 || len(complete.header) > maxLineBytes+1 {
			t.Errorf("%v and %v, %d to skip", a, b, complete.skipBytes)
		}
	})
}

func BenchmarkRound(b *testing.B) {
	for _, n := range []int{0, 24, 1000} {
		b.Run(fmt.Sprint(n, " witnesses"), func(b *testing.B) {
			server := &redis.Server{}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			go server.Serve(l)
			client, err := New(Endpoint{Address: l.Addr().String(), Prefix: "t", Dial: (&net.Dialer{}).DialContext},
				sharedhealth.New(1, sharedhealth.Config{Name: "a", Incarnation: 1, RoundInterval: int64(round), RoundTimeout: int64(deadline)}),
				&testAggregator{}, func() int64 { return 1 }, &Counters{}, zap.NewNop())
			if err != nil {
				b.Fatal(err)
			}
			defer client.closeConn()
			record := sharedhealth.Record{Incarnation: 1, Sequence: 1, WrittenAt: 1}
			for i := range 4 {
				record.Findings = append(record.Findings, sharedhealth.Finding{Key: uint64(i), Verdict: sharedhealth.FoundEjected})
			}
			text := record.Append(nil)
			for i := range n {
				server.Inject("t:f", fmt.Sprint("n", i), string(text))
			}
			commandsBefore, bytesBefore := server.Traffic()
			rounds := 0
			for b.Loop() {
				rounds++
				r := &sharedhealth.Request{Presence: text, PresenceTTL: 1e9, Findings: text, SampleSize: 24, HeartbeatScore: 5, MinLiveScore: 1}
				if _, err := client.roundTrip(b.Context(), r); err != nil {
					b.Fatal(err)
				}
			}
			commands, bytes := server.Traffic()
			b.ReportMetric(float64(commands-commandsBefore)/float64(rounds), "commands/round")
			b.ReportMetric(float64(bytes-bytesBefore)/float64(rounds), "bytes/round")
		})
	}
}
