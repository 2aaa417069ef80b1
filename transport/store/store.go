// Package store carries an aggregator's rounds to a Redis server and back. One goroutine owns the connections and the
// decider that is asked what to say; no query ever waits for it. It decides nothing.
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
	fileMost = 64 << 10                // bytes of a password or a certificate
	milli    = int64(time.Millisecond) // the store's unit of time, ns
)

// Place is where the store is and how it is entered. Times in ns.
type Place struct {
	Address      string
	Database     int
	Prefix       string
	User         string
	PasswordFile string // read at each connection; empty for none
	CAFile       string // PEM; empty for no TLS
	ServerName   string
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
}

// Core is the aggregator as a Client sees it. Neither call waits for a socket.
type Core interface {
	// Survey asks what the aggregator knows now; false where it has no time for that.
	Survey(ctx context.Context) (sharedhealth.Survey, bool)
	// ApplyShared hands over what was decided; it may be dropped where the aggregator is crowded.
	ApplyShared(sharedhealth.RoundResult)
}

// Client keeps an aggregator in touch with the store.
type Client struct {
	place  Place
	common *sharedhealth.Exchange
	core   Core
	now    func() int64
	count  *Count
	log    *zap.Logger
	secure *tls.Config // nil for none
	conn   *line       // the one connection, nil while there is none
	needed error       // what in the answer under way makes the round none
}

// line is a connection to the store: what the library speaks on, and the socket under it.
type line struct {
	redis.Conn
	socket net.Conn
}

// New makes a client; the error names what in the place cannot be used. now is the aggregator's clock, ns.
func New(p Place, c *sharedhealth.Exchange, core Core, now func() int64, count *Count, log *zap.Logger) (*Client, error) {
	k := &Client{place: p, common: c, core: core, now: now, count: count, log: log}
	var err error
	if k.secure, err = p.secure(); err != nil {
		return nil, err
	}
	if _, err := p.password(); err != nil {
		return nil, err
	}
	return k, nil
}

// connect opens the connection and is let in. The connection's time is up when ctx ends.
func (k *Client) connect(ctx context.Context) error {
	p := k.place
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
	if k.secure != nil {
		private := tls.Client(socket, k.secure)
		if err := private.HandshakeContext(ctx); err != nil {
			socket.Close()
			return err
		}
		socket = private
	}
	k.conn = &line{redis.NewConn(&guard{Conn: socket}, 0, 0), socket}
	if password != "" {
		words := []any{password}
		if p.User != "" {
			words = []any{p.User, password}
		}
		if _, err := k.conn.Do("AUTH", words...); err != nil {
			k.hangUp()
			return err
		}
	}
	if p.Database != 0 {
		if _, err := k.conn.Do("SELECT", p.Database); err != nil {
			k.hangUp()
			return err
		}
	}
	return nil
}

// hangUp closes the connection, if there is one.
func (k *Client) hangUp() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// secure is how connections are encrypted, nil where they are not.
func (p Place) secure() (*tls.Config, error) {
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

// password reads the password; it never reaches a log.
func (p Place) password() (string, error) {
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
	if err == nil && info.Size() > fileMost {
		err = errors.New("the file is too long")
	}
	if err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}

// Run keeps in touch until ctx ends, and closes the connections.
func (k *Client) Run(ctx context.Context) {
	defer k.hangUp()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Duration(max(k.common.Next()-k.now(), 0)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if survey, ok := k.core.Survey(ctx); ok {
			k.common.RecordSurvey(k.now(), survey)
		} else {
			k.count.Unsurveyed.Add(1)
		}
		if r := k.common.Decide(k.now()); r != nil {
			k.round(ctx, r)
		}
	}
}

// round carries one request out and tells what became of it.
func (k *Client) round(ctx context.Context, r *sharedhealth.Request) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Deadline-k.now()))
	defer cancel()
	reply, err := k.carry(ctx, r)
	now := k.now()
	if err == nil && now > r.Deadline { // it came, and too late to reckon with
		err = context.DeadlineExceeded
	}
	var a sharedhealth.RoundResult
	if err != nil {
		a = k.common.HandleFailure(now, err)
		k.log.Info("a round with the shared store failed", zap.Error(err))
	} else {
		a = k.common.HandleReply(now, reply)
	}
	k.core.ApplyShared(a)
	for _, e := range k.common.Events() {
		k.log.Warn(e.Message, zap.Stringer("state", e.State), zap.String("of", e.Aggregator))
	}
	k.count.show(k.common.Stats(now))
}

// The keys, behind the prefix.
func (p Place) presence(name string) string { return p.Prefix + ":a:" + name }
func (p Place) members() string             { return p.Prefix + ":m" }
func (p Place) findings() string            { return p.Prefix + ":f" }
func (p Place) tokens(customer string, window int64) string {
	return p.Prefix + ":q:" + customer + ":" + strconv.FormatInt(window, 10)
}

// errOdd is an answer of another type than was asked for.
var errOdd = errors.New("an answer of the wrong type")

// pipe is one round: commands that travel together, each with what takes in its answer.
type pipe struct {
	conn  *line
	takes []func(answer any, err error)
}

func (p *pipe) send(take func(any, error), name string, words ...any) error {
	p.takes = append(p.takes, take)
	return p.conn.Send(name, words...)
}

// carry sends a request as one pipeline and reads the reply. After an error of the connection it is closed: what might
// still come on it would be taken for the next round's.
func (k *Client) carry(ctx context.Context, r *sharedhealth.Request) (reply sharedhealth.Reply, err error) {
	if k.conn == nil {
		if err := k.connect(ctx); err != nil {
			return reply, err
		}
	}
	if by, limited := ctx.Deadline(); limited {
		k.conn.socket.SetDeadline(by)
	}
	// Danger: the end of ctx may come while the connection is hung up, and the client has none any more.
	conn := k.conn
	stop := context.AfterFunc(ctx, func() { conn.socket.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	p := &pipe{conn: conn}
	if err = k.ask(p, r, &reply); err == nil {
		err = p.conn.Flush()
	}
	for i := 0; err == nil && i < len(p.takes); i++ {
		answer, e := p.conn.Receive()
		if p.conn.Err() != nil {
			err = p.conn.Err()
			break
		}
		p.takes[i](answer, e)
	}
	if err != nil {
		k.hangUp()
		return reply, err
	}
	return reply, k.needed
}

// ask puts a request's commands into a pipe; their answers go into the reply.
func (k *Client) ask(p *pipe, r *sharedhealth.Request, reply *sharedhealth.Reply) error {
	place, c, name := k.place, k.common, k.common.Name
	// Without these the round is none: nothing could be dated or fenced.
	k.needed = nil
	need := func(err error) bool {
		if err != nil && k.needed == nil {
			k.needed = err
		}
		return err == nil
	}
	// Without the others it goes on.
	odd := func(err error) bool {
		if err != nil {
			reply.UnusableParts++
			k.count.Odd.Add(1)
			k.log.Warn("a part of the shared store's answer cannot be used", zap.Error(err))
		}
		return err == nil
	}
	none := func(_ any, err error) { odd(err) }
	steps := []error{
		p.send(func(answer any, err error) {
			pair, err := redis.Int64s(answer, err)
			if err == nil && len(pair) != 2 {
				err = errOdd
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
		}, "GET", place.presence(name)),
		p.send(func(_ any, err error) { need(err) }, "SET", place.presence(name), r.Presence, "PX", r.PresenceTTL/milli),
	}
	if r.HeartbeatScore > 0 {
		steps = append(steps, p.send(none, "ZADD", place.members(), r.HeartbeatScore, name),
			p.send(func(answer any, err error) {
				if n, err := redis.Int64(answer, err); odd(err) {
					reply.LiveMembers = int(min(max(n, 0), 1<<20))
				}
			}, "ZCOUNT", place.members(), r.MinLiveScore, "+inf"))
	}
	if r.SweepMaxScore > 0 {
		steps = append(steps, p.send(none, "ZREMRANGEBYSCORE", place.members(), "-inf", r.SweepMaxScore))
	}
	switch {
	case r.Findings != nil:
		steps = append(steps, p.send(none, "HSET", place.findings(), name, r.Findings))
	case r.SampleSize > 0:
		steps = append(steps, p.send(none, "HDEL", place.findings(), name))
	}
	if len(r.DropFindings) > 0 {
		steps = append(steps, p.send(none, "HDEL", redis.Args{place.findings()}.AddFlat(r.DropFindings)...))
	}
	if r.SampleSize > 0 {
		steps = append(steps, p.send(func(answer any, err error) {
			flat, err := redis.ByteSlices(answer, err)
			if !odd(err) {
				return
			}
			for i := 0; i+1 < len(flat); i += 2 {
				reply.Entries = append(reply.Entries, sharedhealth.Entry{Name: string(flat[i]), Data: flat[i+1]})
				k.count.BytesRead.Add(int64(len(flat[i]) + len(flat[i+1])))
			}
		}, "HRANDFIELD", place.findings(), r.SampleSize, "WITHVALUES"))
	}
	reply.Counts = make([][]int64, len(r.CountReads))
	for i, q := range r.CountReads {
		keys := make([]any, q.Windows())
		for j := range keys {
			keys[j] = place.tokens(c.Quotas[q.Quota].Customer, q.Window-1-int64(j))
		}
		steps = append(steps, p.send(func(answer any, err error) {
			if n, err := redis.Int64s(answer, err); odd(err) { // a window that nobody opened counts 0
				reply.Counts[i] = n
			}
		}, "MGET", keys...))
	}
	reply.Totals = make([]int64, len(r.TokenRequests))
	for i, t := range r.TokenRequests {
		key := place.tokens(c.Quotas[t.Quota].Customer, t.Window)
		steps = append(steps, p.send(func(answer any, err error) {
			if n, err := redis.Int64(answer, err); odd(err) {
				reply.Totals[i] = n
			}
		}, "INCRBY", key, t.Units), p.send(none, "PEXPIRE", key, t.TTL/milli))
	}
	return errors.Join(steps...)
}
