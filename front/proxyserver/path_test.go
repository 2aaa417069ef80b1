package proxyserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
	"willowsill/decide/registry"
	"willowsill/front/clienthttp"
	"willowsill/internal/pipenet"
	"willowsill/transport/replicahttp"
)

// Tests of the whole path of a request through a proxy: the client's connection, handler, node, decision module,
// connection pool and replica. They run on synctest's clock.

// receivedRequest is a request as a replica received it.
type receivedRequest struct {
	replica     string
	attempt     string
	deadline    time.Duration // deadline that the proxy sent
	at          time.Time
	withdrawnAt time.Time // when the proxy closed the connection of the request; zero if it did not
}

// replicaBehaviour handles a request at a replica. It returns a status and a body of records; status 0 closes the
// connection without an answer.
type replicaBehaviour func(r *http.Request) (status int, body string)

// proxyBubble is a proxy with its replicas on in-memory connections, on synctest's clock.
type proxyBubble struct {
	*Server
	t        *testing.T
	network  *pipenet.Network
	front    *pipenet.Listener
	replicas []string
	closers  []func()

	mu       sync.Mutex
	arrivals []*receivedRequest
}

const frontAddress = "front:1"

// withProxy runs a test with a proxy that serves the routes, and with a replica per entry.
func withProxy(t *testing.T, routes string, replicas map[string]replicaBehaviour, test func(b *proxyBubble)) {
	synctest.Test(t, func(t *testing.T) {
		b := &proxyBubble{t: t, network: &pipenet.Network{}}
		b.Server = idleServer(t)
		b.settings.Bounds.GraceS = 6
		b.pool.Dial = b.network.Dial
		b.front = b.network.Listen(frontAddress)
		b.handler.Core, b.handler.Now = b.node, b.node.Now
		b.servers, b.address = &clienthttp.Servers{Handler: b.handler}, b.front.Addr()
		for service, answer := range replicas {
			b.listen(service, answer)
		}
		b.configure(1, routes)
		go b.servers.Accept(b.front)
		defer b.end()
		b.settle()
		test(b)
	})
}

func (b *proxyBubble) end() {
	b.front.Close()
	for _, server := range b.servers.All() {
		server.Close()
	}
	for _, end := range b.closers {
		end()
	}
	b.settle()
}

// settle waits until everything in progress has ended.
func (b *proxyBubble) settle() { time.Sleep(50 * time.Millisecond); synctest.Wait() }

// listen starts a replica. Its name is that of its service, or the service's with a dash and a number.
func (b *proxyBubble) listen(name string, answer replicaBehaviour) {
	b.replicas = append(b.replicas, name)
	l := b.network.Listen(name + ":80")
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		milliseconds, _ := strconv.Atoi(r.Header.Get(replicahttp.HeaderDeadline))
		a := &receivedRequest{replica: name, attempt: r.Header.Get(replicahttp.HeaderAttempt), deadline: time.Duration(milliseconds) * time.Millisecond, at: time.Now()}
		b.mu.Lock()
		b.arrivals = append(b.arrivals, a)
		b.mu.Unlock()
		io.Copy(io.Discard, r.Body)
		status, body := answer(r)
		if r.Context().Err() != nil {
			b.mu.Lock()
			a.withdrawnAt = time.Now()
			b.mu.Unlock()
		}
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(replicahttp.HeaderAttempt, a.attempt)
		w.Header().Set(replicahttp.HeaderSeal, "seal-"+name)
		w.WriteHeader(status)
		io.WriteString(w, body)
	})}
	go server.Serve(l)
	b.closers = append(b.closers, func() { server.Close() })
}

// configure applies a configuration with the routes, and the list of the replicas that were started.
func (b *proxyBubble) configure(revision int, routes string) {
	raw := fmt.Appendf(nil, `{"revision":%d,"routes":[%s],"services":[{"name":"s1"},{"name":"s2"},{"name":"s3"}],"limits":{"idle-timeout-ms":10000}}`,
		revision, routes)
	u := clusterstate.Update{Revision: uint64(revision), Body: clusterstate.Pack(raw), Fleet: clusterstate.Fleet{Most: 1}}
	for _, name := range b.replicas {
		service, _, _ := strings.Cut(name, "-")
		u.Replicas = append(u.Replicas, registry.Record{ID: name, Service: service, Address: name + ":80", Seq: uint64(revision), Capacity: 4})
	}
	must.True(b.t, b.applyUpdate(u))
}

// dial opens a client's connection.
func (b *proxyBubble) dial() (net.Conn, *bufio.Reader) {
	c, err := b.network.Dial(context.Background(), "", frontAddress)
	must.NoError(b.t, err)
	return c, bufio.NewReader(c)
}

// send sends one request in a goroutine, as a write to an in-memory connection blocks until it is read.
func send(c net.Conn, path, attempt string, deadlineMs int) {
	go fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\n\r\n", path, replicahttp.HeaderAttempt, attempt, replicahttp.HeaderDeadline, deadlineMs)
}

// receive reads one answer.
func (b *proxyBubble) receive(r *bufio.Reader) (*http.Response, string) {
	res, err := http.ReadResponse(r, nil)
	must.NoError(b.t, err)
	body, err := io.ReadAll(res.Body)
	must.NoError(b.t, err)
	return res, string(body)
}

// served returns the requests with an attempt id that reached replicas.
func (b *proxyBubble) served(attempt string) (found []*receivedRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.arrivals {
		if a.attempt == attempt {
			found = append(found, a)
		}
	}
	return found
}

func answersAfter(d time.Duration) replicaBehaviour {
	return func(*http.Request) (int, string) {
		time.Sleep(d)
		return http.StatusOK, strings.Repeat("r", 16)
	}
}

func failsAfter(d time.Duration) replicaBehaviour {
	return func(*http.Request) (int, string) {
		time.Sleep(d)
		return http.StatusInternalServerError, ""
	}
}

func silent(r *http.Request) (int, string) {
	<-r.Context().Done()
	return 0, ""
}

const (
	safeRoute     = `{"name":"safe","host":"h","path-prefix":"/safe/","deadline-ms":1000,"target-ms":500,"service":"s1","max-tries":2}`
	unsafeRoute   = `{"name":"unsafe","host":"h","path-prefix":"/unsafe/","route-kind":"unsafe","deadline-ms":1000,"service":"s1","max-tries":1}`
	gatheredRoute = `{"name":"all","host":"h","path-prefix":"/all/","deadline-ms":1000,"target-ms":500,"fanout":["s1","s2"],"max-tries":2,"result-count":4,"min-coverage":0.5}`
	slack         = 100 * time.Millisecond
	// An answer, or the withdrawal of a request from its replicas, is required within this time.
	halfSecond = 500 * time.Millisecond
)

// TestDeadlinesHandedOn: each request to a replica carries the time left of the client's deadline, or of the
// route's if that is earlier. A retry ends no later than the first try.
func TestDeadlinesHandedOn(t *testing.T) {
	for _, timeoutMs := range []int{700, 5000} {
		replicas := map[string]replicaBehaviour{"s1": failsAfter(300 * time.Millisecond), "s1-2": failsAfter(300 * time.Millisecond)}
		withProxy(t, safeRoute, replicas, func(b *proxyBubble) {
			c, r := b.dial()
			defer c.Close()
			began := time.Now()
			send(c, "/safe/x", "t1", timeoutMs)
			b.receive(r)
			sends := b.served("t1")
			must.SliceLen(b.t, 2, sends)
			limit := time.Duration(min(timeoutMs, 1000)) * time.Millisecond
			for _, a := range sends {
				must.Positive(b.t, a.deadline)
				must.LessEq(b.t, limit, a.at.Add(a.deadline).Sub(began))
				must.GreaterEq(b.t, limit-slack, a.at.Add(a.deadline).Sub(began))
			}
		})
	}
}

// TestAnsweredByTheRoutesTime: a request whose replicas never answer is answered at the route's deadline, even if
// the client would wait longer. The status of a request that may have run does not say that it has not run.
func TestAnsweredByTheRoutesTime(t *testing.T) {
	for path, want := range map[string]int{"/safe/x": http.StatusServiceUnavailable, "/unsafe/x": http.StatusBadGateway, "/all/x": http.StatusServiceUnavailable} {
		withProxy(t, safeRoute+","+unsafeRoute+","+gatheredRoute, map[string]replicaBehaviour{"s1": silent, "s1-2": silent, "s2": silent}, func(b *proxyBubble) {
			c, r := b.dial()
			defer c.Close()
			began := time.Now()
			send(c, path, "t1", 10_000)
			res, _ := b.receive(r)
			must.Eq(b.t, want, res.StatusCode, must.Sprint(path))
			must.LessEq(b.t, time.Second, time.Since(began))
			must.Eq(b.t, "", res.Header.Get(replicahttp.HeaderSeal))
		})
	}
}

// TestTriesOfARoute: a request runs at no more than max-tries replicas; of a fan-out, each shard counts
// separately.
func TestTriesOfARoute(t *testing.T) {
	failing := map[string]replicaBehaviour{}
	for _, name := range []string{"s1", "s1-2", "s1-3", "s1-4", "s2"} {
		failing[name] = failsAfter(10 * time.Millisecond)
	}
	withProxy(t, safeRoute+","+unsafeRoute+","+gatheredRoute, failing, func(b *proxyBubble) {
		for path, most := range map[string]map[string]int{"/safe/x": {"s1": 2}, "/unsafe/x": {"s1": 1}, "/all/x": {"s1": 2, "s2": 2}} {
			c, r := b.dial()
			defer c.Close()
			send(c, path, path, 1000)
			b.receive(r)
			runs := map[string]int{}
			for _, a := range b.served(path) {
				service, _, _ := strings.Cut(a.replica, "-")
				runs[service]++
			}
			for service, n := range runs {
				must.LessEq(b.t, most[service], n, must.Sprint(path, " at ", service))
			}
			must.MapNotEmpty(b.t, runs)
			c.Close()
		}
	})
}

// TestWithdrawnWhenTheClientLeaves: when a client disconnects, its requests are withdrawn from the replicas within
// half a second, and no further ones are sent.
func TestWithdrawnWhenTheClientLeaves(t *testing.T) {
	for _, path := range []string{"/safe/x", "/all/x"} {
		withProxy(t, safeRoute+","+gatheredRoute, map[string]replicaBehaviour{"s1": silent, "s1-2": silent, "s2": silent}, func(b *proxyBubble) {
			c, _ := b.dial()
			defer c.Close()
			send(c, path, "t1", 5000)
			b.settle()
			sent := len(b.served("t1"))
			must.Positive(b.t, sent)
			left := time.Now()
			c.Close()
			time.Sleep(2 * time.Second)
			must.SliceLen(b.t, sent, b.served("t1"))
			for _, a := range b.served("t1") {
				must.False(b.t, a.withdrawnAt.IsZero(), must.Sprint("never withdrawn"))
				must.LessEq(b.t, halfSecond, a.withdrawnAt.Sub(left))
			}
		})
	}
}

// TestRestedConnections: a client's connection that has been idle for four fifths of idle-timeout-ms is still
// usable.
func TestRestedConnections(t *testing.T) {
	withProxy(t, safeRoute, map[string]replicaBehaviour{"s1": answersAfter(10 * time.Millisecond)}, func(b *proxyBubble) {
		c, r := b.dial()
		defer c.Close()
		for n := range 3 {
			send(c, "/safe/x", fmt.Sprint("t", n), 900)
			res, _ := b.receive(r)
			must.Eq(b.t, http.StatusOK, res.StatusCode)
			must.False(b.t, res.Close)
			time.Sleep(8 * time.Second)
		}
	})
}

// TestLeavingInOrder: after SIGTERM a proxy reports that it is not ready. Requests in progress are answered, later
// ones are served with an answer that closes the connection, and the proxy ends within its grace period.
func TestLeavingInOrder(t *testing.T) {
	well := answersAfter(200 * time.Millisecond)
	withProxy(t, safeRoute, map[string]replicaBehaviour{"s1": well, "s1-2": well, "s1-3": well, "s1-4": well}, func(b *proxyBubble) {
		inProgress, inProgressReader := b.dial()
		defer inProgress.Close()
		idle, idleReader := b.dial()
		defer idle.Close()
		send(idle, "/safe/x", "first", 900)
		res, _ := b.receive(idleReader)
		must.False(b.t, res.Close)
		send(inProgress, "/safe/x", "under way", 900)
		b.settle()
		began := time.Now()
		b.handleFreshness(clusterstate.Freshness{Known: true, Revision: 1})
		must.Eq(b.t, http.StatusOK, b.readinessStatus())
		ended := make(chan time.Time, 1)
		go func() {
			b.drain(b.front)
			ended <- time.Now()
		}()
		synctest.Wait()
		must.Eq(b.t, http.StatusServiceUnavailable, b.readinessStatus())
		fresh, freshReader := b.dial()
		defer fresh.Close()
		send(fresh, "/safe/x", "new", 900)
		send(idle, "/safe/x", "kept", 900)
		for name, r := range map[string]*bufio.Reader{"under way": inProgressReader, "new": freshReader, "kept": idleReader} {
			res, _ := b.receive(r)
			must.Eq(b.t, http.StatusOK, res.StatusCode, must.Sprint(name))
			must.True(b.t, res.Close || name == "under way", must.Sprint(name))
		}
		late, lateReader := b.dial()
		defer late.Close()
		time.Sleep(time.Until(began.Add(stayOpen - slack)))
		send(late, "/safe/x", "late", 900) // still in progress when the listener closes
		res, _ = b.receive(lateReader)
		must.Eq(b.t, http.StatusOK, res.StatusCode)
		end := <-ended
		must.GreaterEq(b.t, stayOpen, end.Sub(began))
		must.LessEq(b.t, 6*time.Second, end.Sub(began))
		_, err := b.network.Dial(context.Background(), "", frontAddress)
		must.ErrorIs(b.t, err, pipenet.ErrRefused)
	})
}

func (b *proxyBubble) readinessStatus() int {
	w := httptest.NewRecorder()
	b.serveReadiness(w, httptest.NewRequest(http.MethodGet, "/v1/readiness", nil))
	return w.Code
}

// TestOneConfigurationAnAnswer: the parts of an answer, and the number of missing ones, follow the configuration
// under which the request began, even if the shards change meanwhile.
func TestOneConfigurationAnAnswer(t *testing.T) {
	slow := answersAfter(150 * time.Millisecond)
	withProxy(t, gatheredRoute, map[string]replicaBehaviour{"s1": slow, "s2": failsAfter(0), "s3": slow}, func(b *proxyBubble) {
		c, r := b.dial()
		defer c.Close()
		send(c, "/all/x", "t1", 5000)
		b.settle()
		b.configure(2, strings.Replace(gatheredRoute, `["s1","s2"]`, `["s3"]`, 1))
		res, _ := b.receive(r)
		must.Eq(b.t, http.StatusOK, res.StatusCode)
		must.Eq(b.t, "seal-s1", res.Header.Get("Willowsill-Part-Seals"))
		must.Eq(b.t, "1", res.Header.Get("Willowsill-Missing-Parts"))
		send(c, "/all/x", "t2", 5000)
		res, _ = b.receive(r)
		must.Eq(b.t, "seal-s3", res.Header.Get("Willowsill-Part-Seals"))
		must.Eq(b.t, "", res.Header.Get("Willowsill-Missing-Parts"))
	})
}

// TestLeastCoverage: an answer with less than min-coverage of the shards is an error.
func TestLeastCoverage(t *testing.T) {
	route := strings.Replace(gatheredRoute, `"min-coverage":0.5`, `"min-coverage":0.9`, 1)
	withProxy(t, route, map[string]replicaBehaviour{"s1": answersAfter(0), "s2": failsAfter(0)}, func(b *proxyBubble) {
		c, r := b.dial()
		defer c.Close()
		send(c, "/all/x", "t1", 5000)
		res, _ := b.receive(r)
		must.Eq(b.t, http.StatusServiceUnavailable, res.StatusCode)
	})
}

// TestRoutesAddedLater: requests on a route that was just added are served like those on the first route.
func TestRoutesAddedLater(t *testing.T) {
	withProxy(t, safeRoute, map[string]replicaBehaviour{"s1": answersAfter(20 * time.Millisecond), "s2": answersAfter(20 * time.Millisecond)}, func(b *proxyBubble) {
		c, r := b.dial()
		defer c.Close()
		for n := range 50 {
			send(c, "/safe/x", fmt.Sprint("t", n), 900)
			b.receive(r)
		}
		added := `{"name":"added","host":"h","path-prefix":"/added/","deadline-ms":1000,"target-ms":500,"service":"s2","max-tries":2}`
		b.configure(2, safeRoute+","+added)
		for n := range 50 {
			send(c, "/added/x", fmt.Sprint("a", n), 900)
			res, _ := b.receive(r)
			must.Eq(b.t, http.StatusOK, res.StatusCode, must.Sprint(n))
		}
	})
}

// TestKeptConnectionsOverAChange: a configuration with other limits closes no open connection. A request in
// progress on it is answered, and so is the next.
func TestKeptConnectionsOverAChange(t *testing.T) {
	withProxy(t, safeRoute, map[string]replicaBehaviour{"s1": answersAfter(150 * time.Millisecond)}, func(b *proxyBubble) {
		c, r := b.dial()
		defer c.Close()
		send(c, "/safe/x", "t1", 900)
		b.settle()
		raw := fmt.Appendf(nil, `{"revision":2,"routes":[%s],"services":[{"name":"s1"}],"limits":{"idle-timeout-ms":3000}}`, safeRoute)
		must.True(b.t, b.applyUpdate(clusterstate.Update{Revision: 2, Body: clusterstate.Pack(raw)}))
		for _, attempt := range []string{"t2", ""} {
			res, _ := b.receive(r)
			must.Eq(b.t, http.StatusOK, res.StatusCode)
			must.False(b.t, res.Close)
			if attempt != "" {
				send(c, "/safe/x", attempt, 900)
			}
		}
	})
}
