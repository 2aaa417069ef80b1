// Package store exchanges an aggregator's shared health data with a Redis server in rounds. One goroutine owns
// the connection and the decider (decide/sharedhealth) that determines what a round sends; no query ever waits
// for it. It makes no decisions of its own.
package store

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gomodule/redigo/redis"
	"go.uber.org/zap"

	"willowsill/decide/sharedhealth"
)

const (
	maxFileBytes = 64 << 10                // largest password or certificate file
	millisecond  = int64(time.Millisecond) // the store's unit of time, ns
)

// Endpoint is the address of the store and how to authenticate there.
type Endpoint struct {
	Address      string
	Database     int
	Prefix       string
	User         string
	PasswordFile string // read at each connection; empty for no password
	CAFile       string // PEM; empty for no TLS
	ServerName   string
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
}

// Aggregator is the aggregator that a Client serves. No method waits for a socket.
type Aggregator interface {
	// Survey returns the aggregator's current findings about replicas, its demand and its remaining tokens, and
	// false if the aggregator is too busy to collect them.
	Survey(ctx context.Context) (sharedhealth.Survey, bool)
	// ApplyShared passes on the result of a round, which a busy aggregator may drop.
	ApplyShared(sharedhealth.RoundResult)
}

// Client runs the rounds between an aggregator and the store.
type Client struct {
	endpoint   Endpoint
	exchange   *sharedhealth.Exchange
	aggregator Aggregator
	now        func() int64
	counters   *Counters
	log        *zap.Logger
	tlsConfig  *tls.Config // nil for no TLS
	conn       *storeConn  // nil while there is no connection
	roundErr   error       // why the round in progress fails although its connection works
}

// storeConn is a connection to the store: the library's and the socket under it.
type storeConn struct {
	redis.Conn
	socket net.Conn
}

// New returns a client; the error names the key of the endpoint that is invalid. now is the aggregator's clock,
// ns.
func New(endpoint Endpoint, exchange *sharedhealth.Exchange, aggregator Aggregator, now func() int64, counters *Counters, log *zap.Logger) (*Client, error) {
	client := &Client{endpoint: endpoint, exchange: exchange, aggregator: aggregator, now: now, counters: counters, log: log}
	var err error
	if client.tlsConfig, err = endpoint.tlsConfig(); err != nil {
		return nil, err
	}
	if _, err := endpoint.password(); err != nil {
		return nil, err
	}
	return client, nil
}

// connect opens the connection and authenticates. The connection's deadline is that of ctx.
func (c *Client) connect(ctx context.Context) error {
	endpoint := c.endpoint
	password, err := endpoint.password()
	if err != nil {
		return err
	}
	socket, err := endpoint.Dial(ctx, "tcp", endpoint.Address)
	if err != nil {
		return err
	}
	if deadline, limited := ctx.Deadline(); limited {
		socket.SetDeadline(deadline)
	}
	if c.tlsConfig != nil {
		secured := tls.Client(socket, c.tlsConfig)
		if err := secured.HandshakeContext(ctx); err != nil {
			socket.Close()
			return err
		}
		socket = secured
	}
	c.conn = &storeConn{redis.NewConn(&limitedConn{Conn: socket}, 0, 0), socket}
	if password != "" {
		args := []any{password}
		if endpoint.User != "" {
			args = []any{endpoint.User, password}
		}
		if _, err := c.conn.Do("AUTH", args...); err != nil {
			c.closeConn()
			return err
		}
	}
	if endpoint.Database != 0 {
		if _, err := c.conn.Do("SELECT", endpoint.Database); err != nil {
			c.closeConn()
			return err
		}
	}
	return nil
}

// closeConn closes the connection, if there is one.
func (c *Client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// tlsConfig returns how connections are encrypted, nil for no TLS.
func (e Endpoint) tlsConfig() (*tls.Config, error) {
	if e.CAFile == "" {
		return nil, nil
	}
	text, err := readFile(e.CAFile)
	if err != nil {
		return nil, fmt.Errorf(`key "ca_file": %w`, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf(`key "ca_file": %s holds no certificate`, e.CAFile)
	}
	name := e.ServerName
	if name == "" {
		name, _, _ = net.SplitHostPort(e.Address)
	}
	return &tls.Config{RootCAs: roots, ServerName: name, MinVersion: tls.VersionTLS12}, nil
}

// password reads the password, which must never be logged.
func (e Endpoint) password() (string, error) {
	if e.PasswordFile == "" {
		return "", nil
	}
	text, err := readFile(e.PasswordFile)
	if err != nil {
		return "", fmt.Errorf(`key "password_file": %w`, err)
	}
	return strings.TrimRight(string(text), "\r\n"), nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileBytes {
		err = errors.New("the file is too long")
	}
	if err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}

// Run runs the rounds until ctx ends, and closes the connection.
func (c *Client) Run(ctx context.Context) {
	defer c.closeConn()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Duration(max(c.exchange.Next()-c.now(), 0)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if survey, ok := c.aggregator.Survey(ctx); ok {
			c.exchange.RecordSurvey(c.now(), survey)
		} else {
			c.counters.SurveysSkipped.Add(1)
		}
		if r := c.exchange.Decide(c.now()); r != nil {
			c.runRound(ctx, r)
		}
	}
}

// runRound sends one request and hands the result to the decider and the aggregator.
func (c *Client) runRound(ctx context.Context, r *sharedhealth.Request) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Deadline-c.now()))
	defer cancel()
	reply, err := c.roundTrip(ctx, r)
	now := c.now()
	if err == nil && now > r.Deadline { // the reply came after the round's deadline
		err = context.DeadlineExceeded
	}
	var result sharedhealth.RoundResult
	if err != nil {
		result = c.exchange.HandleFailure(now, err)
		c.log.Info("a round with the shared store failed", zap.Error(err))
	} else {
		result = c.exchange.HandleReply(now, reply)
	}
	c.aggregator.ApplyShared(result)
	for _, event := range c.exchange.Events() {
		c.log.Warn(event.Message, zap.Stringer("state", event.State), zap.String("of", event.Aggregator))
	}
	c.counters.setStats(c.exchange.Stats(now))
}

// The keys in the store, after the prefix.
func (e Endpoint) presenceKey(name string) string { return e.Prefix + ":a:" + name }
func (e Endpoint) membersKey() string             { return e.Prefix + ":m" }
func (e Endpoint) findingsKey() string            { return e.Prefix + ":f" }
func (e Endpoint) tokensKey(customer string, window int64) string {
	return e.Prefix + ":q:" + customer + ":" + strconv.FormatInt(window, 10)
}

// errWrongType is returned for an answer whose type does not fit the command.
var errWrongType = errors.New("an answer of the wrong type")

// pipeline holds the commands of one round, each with the handler of its answer.
type pipeline struct {
	conn     *storeConn
	handlers []func(answer any, err error)
}

func (p *pipeline) send(handle func(any, error), command string, args ...any) error {
	p.handlers = append(p.handlers, handle)
	return p.conn.Send(command, args...)
}

// roundTrip sends a request as one pipeline and reads the reply. After an error the connection is closed,
// because answers that are still to come on it would be taken for those of the next round.
func (c *Client) roundTrip(ctx context.Context, r *sharedhealth.Request) (reply sharedhealth.Reply, err error) {
	if c.conn == nil {
		if err := c.connect(ctx); err != nil {
			return reply, err
		}
	}
	if deadline, limited := ctx.Deadline(); limited {
		c.conn.socket.SetDeadline(deadline)
	}
	// Danger: ctx may end while the connection is being closed, when c.conn is nil already.
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.socket.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	pipeline := &pipeline{conn: conn}
	if err = c.queueCommands(pipeline, r, &reply); err == nil {
		err = pipeline.conn.Flush()
	}
	for i := 0; err == nil && i < len(pipeline.handlers); i++ {
		answer, replyErr := pipeline.conn.Receive()
		if pipeline.conn.Err() != nil {
			err = pipeline.conn.Err()
			break
		}
		pipeline.handlers[i](answer, replyErr)
	}
	if err != nil {
		c.closeConn()
		return reply, err
	}
	return reply, c.roundErr
}

// queueCommands queues a request's commands in a pipeline; the handlers write the answers into the reply.
func (c *Client) queueCommands(p *pipeline, r *sharedhealth.Request, reply *sharedhealth.Reply) error {
	endpoint, exchange, name := c.endpoint, c.exchange, c.exchange.Name
	// The round fails without these answers, because records are dated by the time of the store and fenced by the presence record.
	c.roundErr = nil
	required := func(err error) bool {
		if err != nil && c.roundErr == nil {
			c.roundErr = err
		}
		return err == nil
	}
	// The round goes on without the other answers.
	optional := func(err error) bool {
		if err != nil {
			reply.UnusableParts++
			c.counters.UnusableParts.Add(1)
			c.log.Warn("a part of the shared store's answer cannot be used", zap.Error(err))
		}
		return err == nil
	}
	ignored := func(_ any, err error) { optional(err) }
	errs := []error{
		p.send(func(answer any, err error) {
			pair, err := redis.Int64s(answer, err)
			if err == nil && len(pair) != 2 {
				err = errWrongType
			}
			if required(err) {
				reply.StoreTime = pair[0]*int64(time.Second) + pair[1]*int64(time.Microsecond)
			}
		}, "TIME"),
		p.send(func(answer any, err error) {
			text, err := redis.Bytes(answer, err)
			if errors.Is(err, redis.ErrNil) {
				return
			}
			if required(err) {
				reply.OwnPresence = bytes.Clone(text)
			}
		}, "GET", endpoint.presenceKey(name)),
		p.send(func(_ any, err error) { required(err) }, "SET", endpoint.presenceKey(name), r.Presence, "PX", r.PresenceTTL/millisecond),
	}
	if r.HeartbeatScore > 0 {
		errs = append(errs, p.send(ignored, "ZADD", endpoint.membersKey(), r.HeartbeatScore, name),
			p.send(func(answer any, err error) {
				if n, err := redis.Int64(answer, err); optional(err) {
					reply.LiveMembers = int(min(max(n, 0), 1<<20))
				}
			}, "ZCOUNT", endpoint.membersKey(), r.MinLiveScore, "+inf"))
	}
	if r.SweepMaxScore > 0 {
		errs = append(errs, p.send(ignored, "ZREMRANGEBYSCORE", endpoint.membersKey(), "-inf", r.SweepMaxScore))
	}
	switch {
	case r.Findings != nil:
		errs = append(errs, p.send(ignored, "HSET", endpoint.findingsKey(), name, r.Findings))
	case r.SampleSize > 0:
		errs = append(errs, p.send(ignored, "HDEL", endpoint.findingsKey(), name))
	}
	if len(r.DropFindings) > 0 {
		errs = append(errs, p.send(ignored, "HDEL", redis.Args{endpoint.findingsKey()}.AddFlat(r.DropFindings)...))
	}
	if r.SampleSize > 0 {
		errs = append(errs, p.send(func(answer any, err error) {
			pairs, err := redis.ByteSlices(answer, err)
			if !optional(err) {
				return
			}
			for i := 0; i+1 < len(pairs); i += 2 {
				reply.Entries = append(reply.Entries, sharedhealth.Entry{Name: string(pairs[i]), Data: pairs[i+1]})
				c.counters.BytesRead.Add(int64(len(pairs[i]) + len(pairs[i+1])))
			}
		}, "HRANDFIELD", endpoint.findingsKey(), r.SampleSize, "WITHVALUES"))
	}
	reply.Counts = make([][]int64, len(r.CountReads))
	for i, q := range r.CountReads {
		keys := make([]any, q.Windows())
		for j := range keys {
			keys[j] = endpoint.tokensKey(exchange.Quotas[q.Quota].Customer, q.Window-1-int64(j))
		}
		errs = append(errs, p.send(func(answer any, err error) {
			if n, err := redis.Int64s(answer, err); optional(err) { // a window without a counter counts 0
				reply.Counts[i] = n
			}
		}, "MGET", keys...))
	}
	reply.Totals = make([]int64, len(r.TokenRequests))
	for i, t := range r.TokenRequests {
		key := endpoint.tokensKey(exchange.Quotas[t.Quota].Customer, t.Window)
		errs = append(errs, p.send(func(answer any, err error) {
			if n, err := redis.Int64(answer, err); optional(err) {
				reply.Totals[i] = n
			}
		}, "INCRBY", key, t.Units), p.send(ignored, "PEXPIRE", key, t.TTL/millisecond))
	}
	return errors.Join(errs...)
}
