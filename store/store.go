// Package store carries an aggregator's rounds to a Redis server and back. One goroutine owns the connections and the
// decider that is asked what to say; no query ever waits for it. It decides nothing.
package store

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/redis/go-redis/v9"
	"github.com/redis/go-redis/v9/maintnotifications"
	"go.uber.org/zap"

	"willowsill/commons"
)

const (
	poolMost = 2                // connections: one that works, and one that is being given up
	idleMost = 60 * time.Second // a connection that carried nothing for so long is closed
	fileMost = 64 << 10         // bytes of a password or a certificate
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

// quiet keeps the library from writing to standard error; what fails is told by the rounds.
type quiet struct{}

func (quiet) Printf(context.Context, string, ...any) {}

var silence sync.Once

// Core is the aggregator as a Keeper sees it. Neither call waits for a socket.
type Core interface {
	// Consult asks what the aggregator knows now; false where it has no time for that.
	Consult(ctx context.Context) (commons.Survey, bool)
	// Allow hands over what was decided; it may be dropped where the aggregator is crowded.
	Allow(commons.Allowance)
}

// Keeper keeps an aggregator in touch with the store.
type Keeper struct {
	place  Place
	common *commons.Commons
	core   Core
	now    func() int64
	count  *Count
	log    *zap.Logger
	client *redis.Client
}

// New makes a keeper; the error names what in the place cannot be used. now is the aggregator's clock, ns.
func New(p Place, c *commons.Commons, core Core, now func() int64, count *Count, log *zap.Logger) (*Keeper, error) {
	k := &Keeper{place: p, common: c, core: core, now: now, count: count, log: log}
	secure, err := p.secure()
	if err != nil {
		return nil, err
	}
	if _, err := p.password(); err != nil {
		return nil, err
	}
	silence.Do(func() { redis.SetLogger(quiet{}) })
	k.client = redis.NewClient(&redis.Options{
		Addr: p.Address, DB: p.Database, Protocol: 2, DisableIdentity: true,
		PoolSize: poolMost, MaxRetries: -1, DialerRetries: 1, ConnMaxIdleTime: idleMost,
		ContextTimeoutEnabled:      true,
		MaintNotificationsConfig:   &maintnotifications.Config{Mode: maintnotifications.ModeDisabled},
		CredentialsProviderContext: p.credentials,
		Dialer: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := p.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if secure != nil {
				private := tls.Client(conn, secure)
				if err := private.HandshakeContext(ctx); err != nil {
					conn.Close()
					return nil, err
				}
				conn = private
			}
			return &guard{Conn: conn}, nil
		},
	})
	return k, nil
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

func (p Place) credentials(context.Context) (string, string, error) {
	password, err := p.password()
	return p.User, password, err
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
func (k *Keeper) Run(ctx context.Context) {
	defer k.client.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Duration(max(k.common.Next()-k.now(), 0)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if survey, ok := k.core.Consult(ctx); ok {
			k.common.Survey(k.now(), survey)
		} else {
			k.count.Unsurveyed.Add(1)
		}
		if r := k.common.Decide(k.now()); r != nil {
			k.round(ctx, r)
		}
	}
}

// round carries one request out and tells what became of it.
func (k *Keeper) round(ctx context.Context, r *commons.Request) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.By-k.now()))
	defer cancel()
	reply, err := k.carry(ctx, r)
	now := k.now()
	if err == nil && now > r.By { // it came, and too late to reckon with
		err = context.DeadlineExceeded
	}
	var a commons.Allowance
	if err != nil {
		a = k.common.Fail(now, err)
		k.log.Info("a round with the shared store failed", zap.Error(err))
	} else {
		a = k.common.Answer(now, reply)
	}
	k.core.Allow(a)
	for _, e := range k.common.Events() {
		k.log.Warn(e.Text, zap.Stringer("state", e.State), zap.String("of", e.Name))
	}
	k.count.show(k.common.Figures(now), reply)
}

// The keys, behind the prefix.
func (p Place) presence(name string) string { return p.Prefix + ":a:" + name }
func (p Place) members() string             { return p.Prefix + ":m" }
func (p Place) findings() string            { return p.Prefix + ":f" }
func (p Place) tokens(customer string, window int64) string {
	return p.Prefix + ":q:" + customer + ":" + strconv.FormatInt(window, 10)
}

// carry sends a request as one pipeline and reads the reply.
func (k *Keeper) carry(ctx context.Context, r *commons.Request) (reply commons.Reply, err error) {
	p, c, name := k.place, k.common, k.common.Name
	pipe := k.client.Pipeline()
	clock := pipe.Time(ctx)
	own := pipe.Get(ctx, p.presence(name))
	set := pipe.Set(ctx, p.presence(name), r.Presence, time.Duration(r.Lasts))
	var beat, live *redis.IntCmd
	if r.Heartbeat > 0 {
		beat = pipe.ZAdd(ctx, p.members(), redis.Z{Score: float64(r.Heartbeat), Member: name})
		live = pipe.ZCount(ctx, p.members(), strconv.FormatInt(r.LiveFrom, 10), "+inf")
	}
	if r.SweepTo > 0 {
		pipe.ZRemRangeByScore(ctx, p.members(), "-inf", strconv.FormatInt(r.SweepTo, 10))
	}
	switch {
	case r.Findings != nil:
		pipe.HSet(ctx, p.findings(), name, r.Findings)
	case r.Sample > 0:
		pipe.HDel(ctx, p.findings(), name)
	}
	if len(r.Drop) > 0 {
		pipe.HDel(ctx, p.findings(), r.Drop...)
	}
	var records *redis.KeyValueSliceCmd
	if r.Sample > 0 {
		records = pipe.HRandFieldWithValues(ctx, p.findings(), r.Sample)
	}
	counts := make([]*redis.SliceCmd, len(r.Reads))
	for i, q := range r.Reads {
		keys := make([]string, q.Counts())
		for j := range keys {
			keys[j] = p.tokens(c.Quotas[q.Quota].Customer, q.Window-1-int64(j))
		}
		counts[i] = pipe.MGet(ctx, keys...)
	}
	totals := make([]*redis.IntCmd, len(r.Takes))
	for i, t := range r.Takes {
		key := p.tokens(c.Quotas[t.Quota].Customer, t.Window)
		totals[i] = pipe.IncrBy(ctx, key, t.Units)
		pipe.PExpire(ctx, key, time.Duration(t.Expire))
	}
	_, failed := pipe.Exec(ctx) // each command's own error is looked at below

	// Without these three the round is none: nothing could be dated or fenced.
	//
	// Danger: where a connection is not let in the commands have no errors of their own, and empty answers.
	at, err := clock.Result()
	if err = cmp.Or(err, failed); err != nil && at.IsZero() {
		return reply, err
	}
	text, err := own.Bytes()
	if err != nil && !errors.Is(err, redis.Nil) {
		return reply, err
	}
	if err := set.Err(); err != nil {
		return reply, err
	}
	reply.Clock = at.UnixNano()
	if err == nil {
		reply.Own = bytes.Clone(text)
	}
	odd := func(err error) bool {
		if err != nil {
			reply.Odd++
			k.count.Odd.Add(1)
			k.log.Warn("a part of the shared store's answer cannot be used", zap.Error(err))
		}
		return err != nil
	}
	if beat != nil && !odd(beat.Err()) && !odd(live.Err()) {
		reply.Live = int(min(live.Val(), 1<<20))
	}
	if records != nil && !odd(records.Err()) {
		for _, e := range records.Val() {
			reply.Entries = append(reply.Entries, commons.Entry{Name: e.Key, Text: []byte(e.Value)})
			k.count.BytesRead.Add(int64(len(e.Key) + len(e.Value)))
		}
	}
	reply.Counts = make([][]int64, len(counts))
	for i, m := range counts {
		if odd(m.Err()) {
			continue
		}
		for _, v := range m.Val() {
			s, _ := v.(string)
			n, _ := strconv.ParseInt(s, 10, 64) // a window that nobody opened has no count
			reply.Counts[i] = append(reply.Counts[i], n)
		}
	}
	reply.Totals = make([]int64, len(totals))
	for i, t := range totals {
		if !odd(t.Err()) {
			reply.Totals[i] = t.Val()
		}
	}
	return reply, nil
}
