// Package gateway carries queries to co-ordinators at other sites over HTTP with mutual TLS, and takes in theirs. It
// picks, retries and refuses nothing: which gateway of a site takes a query, and whether it is tried again, is decided by
// balance through a node of its own, for which a site is a shard and its gateways are the replicas; whether a query leaves at
// all is decided by routes, and whether one that came may run by window.
package gateway

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
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
	"willowsill/transport/replica"
)

// The words on the wire between gateways, beside those of the platform's front.
const (
	pathPing      = "/gateway/ping"
	headerVisited = "X-Visited-Sites" // sites that a query came through, the first first
	headerTry     = "X-Try"
	headerRan     = "X-May-Have-Run" // on what is no answer: 0 for surely not
	headerWilling = "X-Willing"      // queries a second that the site would take more
	headerLeaving = "X-Leaving"      // on a ping's answer: the gateway is about to close

	answerMost = 8 << 20 // bytes of an answer
	perGateway = 64      // idle connections kept to one gateway

	handshakeWait = 5 * time.Second
	milli         = int64(time.Millisecond)
)

// load is a query on its way to another site.
type load struct {
	workload string
	customer string
	again    bool // its client marked it as a retry
	visited  []string
	body     []byte
	link     int
}

type bodySegment struct {
	Segment int     `json:"segment"`
	Boost   float64 `json:"boost"`
}

type body struct {
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

// encode makes a query's body, as the platform's clients write it.
func encode(q node.Query) ([]byte, error) {
	b := body{Text: string(q.Text)}
	for _, p := range q.Parts {
		b.Segments = append(b.Segments, bodySegment{p.Shard, p.Weight})
	}
	return json.Marshal(b)
}

var errAnswer = errors.New("an answer that does not fit its query")

// decode reads an answer to a query.
//
// Danger: a peer may be of another version or be mistaken: an answer with a part that was not asked for, or one twice,
// would be passed on as honest.
func decode(q node.Query, text string) (node.Answer, error) {
	var b answerBody
	if err := json.Unmarshal([]byte(text), &b); err != nil {
		return node.Answer{}, fmt.Errorf("%w: %w", errAnswer, err)
	}
	a := node.Answer{Outcome: balance.Partial}
	asked := map[int]bool{}
	for _, p := range q.Parts {
		asked[p.Shard] = true
	}
	for _, m := range b.Matches {
		if !asked[m.Segment] {
			return node.Answer{}, errAnswer
		}
		asked[m.Segment] = false
		a.Values = append(a.Values, node.Value{Shard: m.Segment, Value: m.Payload})
	}
	if b.AllIn {
		a.Outcome = balance.Whole
	}
	if len(a.Values) == 0 {
		return node.Answer{}, errAnswer
	}
	return a, nil
}

// trip is one query on its way to one gateway.
type trip struct {
	ticket  *replica.Ticket
	gateway int
	began   atomic.Bool // it may have left; set once, by whoever comes first
	cancel  context.CancelFunc
	since   int64
}

// ended is what a trip has to tell.
type ended struct {
	trip   *trip
	result balance.Result
	value  string
	at     int64
	err    error
}

// pool carries queries to gateways: node.Carrier over HTTP.
type pool struct {
	tell   func(any)
	now    func() int64
	client *http.Transport
	secure bool
	from   string                       // the own site
	way    func(link int) int64         // the least way there and back, ns
	told   func(link int, rate float64) // a site said how many it takes
	rows   []string                     // addresses of the gateways, by index
	gone   []bool
	out    map[*replica.Ticket]*trip
	most   int // trips at a time
	under  int // goroutines that have not told their end
}

// newPool makes a pool that reaches gateways by dial, with TLS where secure is not nil; site tells whose an address is.
func newPool(dial replica.Dial, secure *tls.Config, site map[string]string, http2 bool, most int, tell func(any),
	now func() int64) *pool {
	p := &pool{tell: tell, now: now, out: map[*replica.Ticket]*trip{}, most: most, secure: secure != nil,
		client: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: perGateway, IdleConnTimeout: 30 * time.Second,
			DisableCompression: true, ForceAttemptHTTP2: http2}}
	if secure != nil {
		p.client.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, handshakeWait)
			defer cancel()
			plain, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c := tls.Client(plain, forSite(secure, site[address], http2))
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
	for len(p.rows) <= gateway {
		p.rows, p.gone = append(p.rows, ""), append(p.gone, false)
	}
	p.rows[gateway], p.gone[gateway] = dial, false
}

func (p *pool) Retire(gateway int) { p.gone[gateway] = true }

func (p *pool) Drained(gateway int) bool {
	for _, t := range p.out {
		if t.gateway == gateway {
			return false
		}
	}
	return true
}

func (p *pool) Send(gateway int, tickets []*replica.Ticket) bool {
	if p.under+len(tickets) > p.most {
		return false
	}
	for _, ticket := range tickets {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(ticket.Wait*milli))
		t := &trip{ticket: ticket, gateway: gateway, cancel: cancel, since: p.now()}
		p.out[ticket] = t
		p.under++
		go p.run(ctx, t, p.rows[gateway])
	}
	return true
}

// run makes one trip and tells how it ended.
func (p *pool) run(ctx context.Context, t *trip, address string) {
	defer t.cancel()
	e := ended{trip: t, result: balance.ConnectFailed}
	if t.began.CompareAndSwap(false, true) {
		e.result, e.value, e.err = p.carry(ctx, t, address)
	}
	e.at = p.now()
	p.tell(e)
}

// url is a path at a gateway.
func (p *pool) url(address, path string) string {
	if p.secure {
		return "https://" + address + path
	}
	return "http://" + address + path
}

// carry sends the query and reads the answer.
//
// Danger: a query of which a byte has left may run there, whatever becomes of the connection. Only what never was
// written is told as never run.
func (p *pool) carry(ctx context.Context, t *trip, address string) (result balance.Result, value string, err error) {
	l := t.ticket.Load.(*load)
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { wrote.Store(true) }})
	// The far side must answer while the way back is still free.
	left := time.Duration(t.ticket.Wait*milli - p.way(l.link))
	if left <= 0 {
		return balance.ConnectFailed, "", context.DeadlineExceeded
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url(address, "/"+l.workload), bytes.NewReader(l.body))
	if err != nil {
		return balance.ConnectFailed, "", err
	}
	r.GetBody = nil // Danger: the stock transport would send it a second time by itself
	id, _, _ := strings.Cut(t.ticket.ID, "\x00")
	for key, v := range map[string]string{"X-Qos": l.workload, "X-Trace-Id": id, "X-Customer": l.customer,
		"X-Expires-In-Ms": strconv.FormatInt(left.Milliseconds(), 10),
		headerVisited:     strings.Join(append(l.visited[:len(l.visited):len(l.visited)], p.from), ",")} {
		r.Header.Set(key, v)
	}
	if l.again {
		r.Header.Set(front.HeaderRetry, "1")
	}
	a, err := p.client.RoundTrip(r)
	if err != nil {
		if !wrote.Load() {
			return balance.ConnectFailed, "", err
		}
		return balance.Reset, "", err
	}
	defer a.Body.Close()
	if rate, err := strconv.ParseFloat(a.Header.Get(headerWilling), 64); err == nil && rate >= 0 {
		p.told(l.link, rate)
	}
	text, err := io.ReadAll(io.LimitReader(a.Body, answerMost+1))
	switch {
	case err != nil:
		return balance.Reset, "", err
	case len(text) > answerMost:
		return balance.Errored, "", errAnswer
	case a.StatusCode == http.StatusOK:
		return balance.Fulfilled, string(text), nil
	case a.StatusCode == http.StatusServiceUnavailable || a.Header.Get(headerRan) == "0":
		return balance.Full, "", nil // turned away, and trying again is harmless
	}
	return balance.Errored, "", fmt.Errorf("the gateway at %s answered %s", address, a.Status)
}

func (p *pool) Withdraw(ticket *replica.Ticket) bool {
	t := p.out[ticket]
	if t == nil || !t.began.CompareAndSwap(false, true) {
		return false
	}
	delete(p.out, ticket)
	t.cancel()
	return true
}

func (p *pool) Abandon(ticket *replica.Ticket, _ bool) bool {
	if p.Withdraw(ticket) {
		return true
	}
	if t := p.out[ticket]; t != nil { // its connection closes, by which the far side sees that nobody waits
		delete(p.out, ticket)
		t.cancel()
	}
	return false
}

func (p *pool) CloseIdle(int) { p.client.CloseIdleConnections() }
func (p *pool) Sweep()        {}

func (p *pool) Handle(v any) ([]replica.Report, error) {
	e := v.(ended)
	p.under--
	if p.out[e.trip.ticket] != e.trip { // it was given up
		return nil, nil
	}
	delete(p.out, e.trip.ticket)
	return []replica.Report{{Ticket: e.trip.ticket, Result: e.result, Value: e.value, At: e.at}}, e.err
}

func (p *pool) Close() {
	for _, t := range p.out {
		t.cancel()
	}
	p.client.CloseIdleConnections()
}

func (p *pool) OpenConnections() int { return p.under }
