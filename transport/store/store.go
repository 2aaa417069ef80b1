// Package store exchanges an aggregator's shared health data with a Redis server in rounds. One goroutine owns
// the connection and the decider (decide/sharedhealth) that determines what a round sends; no query ever waits
// for it. It decides nothing.
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
	maxFileBytes = 64 << 10                // of a password or certificate file
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

// Aggregator is what a Client needs of an aggregator. No method waits for a socket.
type Aggregator interface {
	// Survey returns what the aggregator currently knows, and false if it has no time for that.
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
func New(p Endpoint, c *sharedhealth.Exchange, core Aggregator, now func() int64, count *Counters, log *zap.Logger) (*Client, error) {
	k := &Client{endpoint: p, exchange: c, aggregator: core, now: now, counters: count, log: log}
	var err error
	if k.tlsConfig, err = p.tlsConfig(); err != nil {
		return nil, err
	}
	if _, err := p.password(); err != nil {
		return nil, err
	}
	return k, nil
}

// connect opens the connection and authenticates. The connection's deadline is that of ctx.
func (k *Client) connect(ctx context.Context) error {
	p := k.endpoint
	password, err := p.password()
	if err != nil {
		return err
	}
	socket, err := p.Dial(ctx, "tcp", p.Address)
	if err != nil {
		return err
	}
	if by, limited := ctx.Deadline(); limited {
		socket.SetDeadline(by)
	}
	if k.tlsConfig != nil {
		private := tls.Client(socket, k.tlsConfig)
		if err := private.HandshakeContext(ctx); err != nil {
			socket.Close()
			return err
		}
		socket = private
	}
	k.conn = &storeConn{redis.NewConn(&limitedConn{Conn: socket}, 0, 0), socket}
	if password != "" {
		words := []any{password}
		if p.User != "" {
			words = []any{p.User, password}
		}
		if _, err := k.conn.Do("AUTH", words...); err != nil {
			k.closeConn()
			return err
		}
	}
	if p.Database != 0 {
		if _, err := k.conn.Do("SELECT", p.Database); err != nil {
			k.closeConn()
			return err
		}
	}
	return nil
}

// closeConn closes the connection, if there is one.
func (k *Client) closeConn() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// tlsConfig returns how connections are encrypted, nil for no TLS.
func (p Endpoint) tlsConfig() (*tls.Config, error) {
	if p.CAFile == "" {
		return nil, nil
	}
	text, err := readFile(p.CAFile)
	if err != nil {
		return nil, fmt.Errorf(`key "ca_file": %w`, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf(`key "ca_file": %s holds no certificate`, p.CAFile)
	}
	name := p.ServerName
	if name == "" {
		name, _, _ = net.SplitHostPort(p.Address)
	}
	return &tls.Config{RootCAs: pool, ServerName: name, MinVersion: tls.VersionTLS12}, nil
}

// password reads the password, which must never be logged.
func (p Endpoint) password() (string, error) {
	if p.PasswordFile == "" {
		return "", nil
	}
	text, err := readFile(p.PasswordFile)
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
func (k *Client) Run(ctx context.Context) {
	defer k.closeConn()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Duration(max(k.exchange.Next()-k.now(), 0)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if survey, ok := k.aggregator.Survey(ctx); ok {
			k.exchange.RecordSurvey(k.now(), survey)
		} else {
			k.counters.SurveysSkipped.Add(1)
		}
		if r := k.exchange.Decide(k.now()); r != nil {
			k.runRound(ctx, r)
		}
	}
}

// runRound sends one request and hands the result to the decider and the aggregator.
func (k *Client) runRound(ctx context.Context, r *sharedhealth.Request) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Deadline-k.now()))
	defer cancel()
	reply, err := k.roundTrip(ctx, r)
	now := k.now()
	if err == nil && now > r.Deadline { // the reply came after the round's deadline
		err = context.DeadlineExceeded
	}
	var a sharedhealth.RoundResult
	if err != nil {
		a = k.exchange.HandleFailure(now, err)
		k.log.Info("a round with the shared store failed", zap.Error(err))
	} else {
		a = k.exchange.HandleReply(now, reply)
	}
	k.aggregator.ApplyShared(a)
	for _, e := range k.exchange.Events() {
		k.log.Warn(e.Message, zap.Stringer("state", e.State), zap.String("of", e.Aggregator))
	}
	k.counters.setStats(k.exchange.Stats(now))
}

// The keys in the store, after the prefix.
func (p Endpoint) presenceKey(name string) string { return p.Prefix + ":a:" + name }
func (p Endpoint) membersKey() string             { return p.Prefix + ":m" }
func (p Endpoint) findingsKey() string            { return p.Prefix + ":f" }
func (p Endpoint) tokensKey(customer string, window int64) string {
	return p.Prefix + ":q:" + customer + ":" + strconv.FormatInt(window, 10)
}

// errWrongType is returned for an answer whose type does not fit the command.
var errWrongType = errors.New("an answer of the wrong type")

// pipeline holds the commands of one round, each with the handler of its answer.
type pipeline struct {
	conn     *storeConn
	handlers []func(answer any, err error)
}

func (p *pipeline) send(handle func(any, error), name string, words ...any) error {
	p.handlers = append(p.handlers, handle)
	return p.conn.Send(name, words...)
}

// roundTrip sends a request as one pipeline and reads the reply. After an error the connection is closed,
// because answers that are still to come on it would be taken for those of the next round.
func (k *Client) roundTrip(ctx context.Context, r *sharedhealth.Request) (reply sharedhealth.Reply, err error) {
	if k.conn == nil {
		if err := k.connect(ctx); err != nil {
			return reply, err
		}
	}
	if by, limited := ctx.Deadline(); limited {
		k.conn.socket.SetDeadline(by)
	}
	// Danger: ctx may end while the connection is being closed, when k.conn is nil already.
	conn := k.conn
	stop := context.AfterFunc(ctx, func() { conn.socket.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	p := &pipeline{conn: conn}
	if err = k.queueCommands(p, r, &reply); err == nil {
		err = p.conn.Flush()
	}
	for i := 0; err == nil && i < len(p.handlers); i++ {
		answer, e := p.conn.Receive()
		if p.conn.Err() != nil {
			err = p.conn.Err()
			break
		}
		p.handlers[i](answer, e)
	}
	if err != nil {
		k.closeConn()
		return reply, err
	}
	return reply, k.roundErr
}

// queueCommands queues a request's commands in a pipeline; the handlers write the answers into the reply.
func (k *Client) queueCommands(p *pipeline, r *sharedhealth.Request, reply *sharedhealth.Reply) error {
	place, c, name := k.endpoint, k.exchange, k.exchange.Name
	// The round fails without these answers: nothing could be dated or fenced.
	k.roundErr = nil
	need := func(err error) bool {
		if err != nil && k.roundErr == nil {
			k.roundErr = err
		}
		return err == nil
	}
	// The round goes on without the other answers.
	odd := func(err error) bool {
		if err != nil {
			reply.UnusableParts++
			k.counters.UnusableParts.Add(1)
			k.log.Warn("a part of the shared store's answer cannot be used", zap.Error(err))
		}
		return err == nil
	}
	none := func(_ any, err error) { odd(err) }
	steps := []error{
		p.send(func(answer any, err error) {
			pair, err := redis.Int64s(answer, err)
			if err == nil && len(pair) != 2 {
				err = errWrongType
			}
			if need(err) {
				reply.StoreTime = pair[0]*int64(time.Second) + pair[1]*int64(time.Microsecond)
			}
		}, "TIME"),
		p.send(func(answer any, err error) {
			text, err := redis.Bytes(answer, err)
			if errors.Is(err, redis.ErrNil) {
				return
			}
			if need(err) {
				reply.OwnPresence = bytes.Clone(text)
			}
		}, "GET", place.presenceKey(name)),
		p.send(func(_ any, err error) { need(err) }, "SET", place.presenceKey(name), r.Presence, "PX", r.PresenceTTL/millisecond),
	}
	if r.HeartbeatScore > 0 {
		steps = append(steps, p.send(none, "ZADD", place.membersKey(), r.HeartbeatScore, name),
			p.send(func(answer any, err error) {
				if n, err := redis.Int64(answer, err); odd(err) {
					reply.LiveMembers = int(min(max(n, 0), 1<<20))
				}
			}, "ZCOUNT", place.membersKey(), r.MinLiveScore, "+inf"))
	}
	if r.SweepMaxScore > 0 {
		steps = append(steps, p.send(none, "ZREMRANGEBYSCORE", place.membersKey(), "-inf", r.SweepMaxScore))
	}
	switch {
	case r.Findings != nil:
		steps = append(steps, p.send(none, "HSET", place.findingsKey(), name, r.Findings))
	case r.SampleSize > 0:
		steps = append(steps, p.send(none, "HDEL", place.findingsKey(), name))
	}
	if len(r.DropFindings) > 0 {
		steps = append(steps, p.send(none, "HDEL", redis.Args{place.findingsKey()}.AddFlat(r.DropFindings)...))
	}
	if r.SampleSize > 0 {
		steps = append(steps, p.send(func(answer any, err error) {
			flat, err := redis.ByteSlices(answer, err)
			if !odd(err) {
				return
			}
			for i := 0; i+1 < len(flat); i += 2 {
				reply.Entries = append(reply.Entries, sharedhealth.Entry{Name: string(flat[i]), Data: flat[i+1]})
				k.counters.BytesRead.Add(int64(len(flat[i]) + len(flat[i+1])))
			}
		}, "HRANDFIELD", place.findingsKey(), r.SampleSize, "WITHVALUES"))
	}
	reply.Counts = make([][]int64, len(r.CountReads))
	for i, q := range r.CountReads {
		keys := make([]any, q.Windows())
		for j := range keys {
			keys[j] = place.tokensKey(c.Quotas[q.Quota].Customer, q.Window-1-int64(j))
		}
		steps = append(steps, p.send(func(answer any, err error) {
			if n, err := redis.Int64s(answer, err); odd(err) { // a window without a counter counts 0
				reply.Counts[i] = n
			}
		}, "MGET", keys...))
	}
	reply.Totals = make([]int64, len(r.TokenRequests))
	for i, t := range r.TokenRequests {
		key := place.tokensKey(c.Quotas[t.Quota].Customer, t.Window)
		steps = append(steps, p.send(func(answer any, err error) {
			if n, err := redis.Int64(answer, err); odd(err) {
				reply.Totals[i] = n
			}
		}, "INCRBY", key, t.Units), p.send(none, "PEXPIRE", key, t.TTL/millisecond))
	}
	return errors.Join(steps...)
}
