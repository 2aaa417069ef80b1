// Package gateway forwards queries to aggregators at other sites over HTTP with mutual TLS, and serves the
// queries that they forward. It makes no policy decisions. Which gateway of a site gets a query, and whether it is
// retried, is decided by package balance through a node of its own, for which each site is a shard and its
// gateways are the replicas. Whether a query is forwarded at all is decided by decide/gateway and
// decide/siterouting, and whether a received one may run by decide/deduplication.
package gateway

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json"

	"willowsill/balance"
	"willowsill/front"
	"willowsill/node"
	"willowsill/transport/boundedread"
	"willowsill/transport/replica"
)

// Paths, headers and limits of the protocol between gateways, which otherwise is that between clients and package
// front.
const (
	pathPing             = "/gateway/ping"
	headerVisited        = "X-Visited-Sites" // names of the sites that a query has passed through, oldest first
	headerTry            = "X-Try"
	headerMayHaveRun     = "X-May-Have-Run" // on an error: 0 if the query surely has not run
	headerAdvertisedRate = "X-Willing"      // queries per second that the site would accept in addition
	headerLeaving        = "X-Leaving"      // on a ping's answer: the gateway is about to shut down

	maxAnswerBytes    = 8 << 20
	maxHeadBytes      = 64 << 10 // of an answer
	answerMemory      = 64 << 20 // for the answers that are being read from all sites
	maxIdlePerGateway = 64       // idle connections kept open to one gateway

	handshakeTimeout = 5 * time.Second
	nsPerMs          = int64(time.Millisecond)
)

// forwardedQuery is a query on its way to another site, the payload of the node's query.
type forwardedQuery struct {
	workload string
	customer string
	retry    bool // the client marked the query as a retry
	visited  []string
	body     []byte
	link     int
}

type bodySegment struct {
	Segment int     `json:"segment"`
	Boost   float64 `json:"boost"`
}

type queryBody struct {
	Segments []bodySegment `json:"segments"`
	Text     string        `json:"text"`
}

type answerBody struct {
	AllIn   bool `json:"all_in"`
	Matches []struct {
		Segment int    `json:"segment"`
		Payload string `json:"payload"`
	} `json:"matches"`
}

// encodeQuery returns the JSON body of a query, as clients send it to package front.
func encodeQuery(q node.Query) ([]byte, error) {
	b := queryBody{Text: string(q.Text)}
	for _, p := range q.Parts {
		b.Segments = append(b.Segments, bodySegment{p.Shard, p.Weight})
	}
	return json.Marshal(b)
}

var errAnswerMismatch = errors.New("answer does not match its query")

// decodeAnswer decodes the answer to a query.
//
// Danger: a peer may be faulty or of another version. An answer with a part that was not asked for, or with one
// part twice, would be passed on to the client as correct.
func decodeAnswer(q node.Query, text string) (node.Answer, error) {
	var b answerBody
	if err := json.Unmarshal([]byte(text), &b); err != nil {
		return node.Answer{}, fmt.Errorf("%w: %w", errAnswerMismatch, err)
	}
	a := node.Answer{Outcome: balance.Partial}
	asked := map[int]bool{}
	for _, p := range q.Parts {
		asked[p.Shard] = true
	}
	for _, m := range b.Matches {
		if !asked[m.Segment] {
			return node.Answer{}, errAnswerMismatch
		}
		asked[m.Segment] = false
		a.Values = append(a.Values, node.Value{Shard: m.Segment, Value: m.Payload})
	}
	if b.AllIn {
		a.Outcome = balance.Whole
	}
	if len(a.Values) == 0 {
		return node.Answer{}, errAnswerMismatch
	}
	return a, nil
}

// attempt is one query sent to one gateway.
type attempt struct {
	ticket  *replica.Ticket
	gateway int
	started atomic.Bool // set by run before it sends the request, or by Withdraw to prevent that
	cancel  context.CancelFunc
	since   int64 // time of Send, ns
}

// attemptEnd is passed to notify when an attempt has ended.
type attemptEnd struct {
	attempt *attempt
	result  balance.Result
	value   string
	at      int64
	err     error
}

// pool sends queries to gateways over HTTP. It implements node.Transport.
type pool struct {
	notify           func(any)
	now              func() int64
	client           *http.Transport
	answers          *boundedread.Budget
	useTLS           bool
	ownSite          string                       // name of this site
	minDelay         func(link int) int64         // lowest round-trip time measured to a site, ns
	onAdvertisedRate func(link int, rate float64) // called when a site advertises how many queries it would accept
	addresses        []string                     // HOST:PORT of the gateways, by index
	retired          []bool
	inFlight         map[*replica.Ticket]*attempt
	maxRunning       int // limit of running
	running          int // goroutines that have not reported an attemptEnd
}

// newPool returns a pool that connects with dial, and with TLS if tlsConfig is not nil; siteOf maps an address to the
// site whose gateway it is.
func newPool(dial replica.Dial, tlsConfig *tls.Config, siteOf map[string]string, http2 bool, maxRunning int, notify func(any),
	now func() int64) *pool {
	p := &pool{notify: notify, now: now, inFlight: map[*replica.Ticket]*attempt{}, maxRunning: maxRunning, useTLS: tlsConfig != nil,
		answers: boundedread.NewBudget(answerMemory),
		client: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdlePerGateway, IdleConnTimeout: 30 * time.Second,
			DisableCompression: true, ForceAttemptHTTP2: http2, MaxResponseHeaderBytes: maxHeadBytes}}
	if tlsConfig != nil {
		p.client.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
			defer cancel()
			plain, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c := tls.Client(plain, requireSite(tlsConfig, siteOf[address], http2))
			if err := c.HandshakeContext(ctx); err != nil {
				plain.Close()
				return nil, err
			}
			return c, nil
		}
	}
	return p
}

func (p *pool) SetAddress(gateway int, dial string) {
	for len(p.addresses) <= gateway {
		p.addresses, p.retired = append(p.addresses, ""), append(p.retired, false)
	}
	p.addresses[gateway], p.retired[gateway] = dial, false
}

func (p *pool) Retire(gateway int) { p.retired[gateway] = true }

func (p *pool) Drained(gateway int) bool {
	for _, t := range p.inFlight {
		if t.gateway == gateway {
			return false
		}
	}
	return true
}

func (p *pool) Send(gateway int, tickets []*replica.Ticket) bool {
	if p.running+len(tickets) > p.maxRunning {
		return false
	}
	for _, ticket := range tickets {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(ticket.WaitMs*nsPerMs))
		t := &attempt{ticket: ticket, gateway: gateway, cancel: cancel, since: p.now()}
		p.inFlight[ticket] = t
		p.running++
		go p.run(ctx, t, p.addresses[gateway])
	}
	return true
}

// run makes one attempt and reports how it ended.
func (p *pool) run(ctx context.Context, t *attempt, address string) {
	defer t.cancel()
	e := attemptEnd{attempt: t, result: balance.ConnectFailed}
	if t.started.CompareAndSwap(false, true) {
		e.result, e.value, e.err = p.exchange(ctx, t, address)
	}
	e.at = p.now()
	p.notify(e)
}

// url returns the URL of a path at a gateway.
func (p *pool) url(address, path string) string {
	if p.useTLS {
		return "https://" + address + path
	}
	return "http://" + address + path
}

// exchange sends the query and reads the answer.
//
// Danger: once a byte of a query has been sent it may run at the other site, whatever happens to the connection.
// Only a query of which nothing was written is reported as not run.
func (p *pool) exchange(ctx context.Context, t *attempt, address string) (result balance.Result, value string, err error) {
	query := t.ticket.Payload.(*forwardedQuery)
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { written.Store(true) }})
	// Leaves time for the query to reach the other site and for the answer to travel back.
	timeLeft := time.Duration(t.ticket.WaitMs*nsPerMs - p.minDelay(query.link))
	if timeLeft <= 0 {
		return balance.ConnectFailed, "", context.DeadlineExceeded
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url(address, "/"+query.workload), bytes.NewReader(query.body))
	if err != nil {
		return balance.ConnectFailed, "", err
	}
	r.GetBody = nil // Danger: with GetBody set, net/http's transport may send the query a second time by itself
	id, _, _ := strings.Cut(t.ticket.ID, "\x00")
	for key, v := range map[string]string{"X-Qos": query.workload, "X-Trace-Id": id, "X-Customer": query.customer,
		"X-Expires-In-Ms": strconv.FormatInt(timeLeft.Milliseconds(), 10),
		headerVisited:     strings.Join(append(query.visited[:len(query.visited):len(query.visited)], p.ownSite), ",")} {
		r.Header.Set(key, v)
	}
	if query.retry {
		r.Header.Set(front.HeaderRetry, "1")
	}
	a, err := p.client.RoundTrip(r)
	if err != nil {
		if !written.Load() {
			return balance.ConnectFailed, "", err
		}
		return balance.Reset, "", err
	}
	defer a.Body.Close()
	if rate, err := strconv.ParseFloat(a.Header.Get(headerAdvertisedRate), 64); err == nil && rate >= 0 {
		p.onAdvertisedRate(query.link, rate)
	}
	account := p.answers.Account(strconv.Itoa(query.link), address)
	text, err := boundedread.AtMost(a.Body, maxAnswerBytes, account)
	defer account.Release(int64(len(text)))
	switch {
	case err != nil:
		return balance.Reset, "", err
	case a.StatusCode == http.StatusOK:
		return balance.Fulfilled, string(text), nil
	case a.StatusCode == http.StatusServiceUnavailable || a.Header.Get(headerMayHaveRun) == "0":
		return balance.Full, "", nil // rejected before it ran, so a retry is harmless
	}
	return balance.Errored, "", fmt.Errorf("the gateway at %s answered %s", address, a.Status)
}

func (p *pool) Withdraw(ticket *replica.Ticket) bool {
	t := p.inFlight[ticket]
	if t == nil || !t.started.CompareAndSwap(false, true) {
		return false
	}
	delete(p.inFlight, ticket)
	t.cancel()
	return true
}

func (p *pool) Abandon(ticket *replica.Ticket, _ bool) bool {
	if p.Withdraw(ticket) {
		return true
	}
	if t := p.inFlight[ticket]; t != nil { // closing its connection shows the other gateway that the answer is not wanted
		delete(p.inFlight, ticket)
		t.cancel()
	}
	return false
}

func (p *pool) CloseIdle(int) { p.client.CloseIdleConnections() }
func (p *pool) Sweep()        {}

func (p *pool) Handle(v any) ([]replica.Report, error) {
	e := v.(attemptEnd)
	p.running--
	if p.inFlight[e.attempt.ticket] != e.attempt { // the attempt was abandoned
		return nil, nil
	}
	delete(p.inFlight, e.attempt.ticket)
	return []replica.Report{{Ticket: e.attempt.ticket, Result: e.result, Value: e.value, At: e.at}}, e.err
}

func (p *pool) Close() {
	for _, t := range p.inFlight {
		t.cancel()
	}
	p.client.CloseIdleConnections()
}

func (p *pool) OpenConnections() int { return p.running }
