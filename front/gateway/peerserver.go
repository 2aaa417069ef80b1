package gateway

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.step.sm/crypto/keyutil"
	"go.step.sm/crypto/pemutil"
	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/decide/deduplication"
	"willowsill/deployment"
	"willowsill/front"
	"willowsill/node"
)

const (
	headTimeout       = 2 * time.Second  // for a request's head
	idleTimeout       = 60 * time.Second // that a peer's connection may stand: longer than peers keep it
	maxHeaderBytes    = 32 << 10
	maxVisitedSites   = 8 // sites named on a query
	certificateSuffix = ".gateway"
)

// PeerServer takes in queries of other sites.
type PeerServer struct {
	Site               string
	PeerSites          []string // whose gateways are let in
	Front              http.Handler
	Deployment         deployment.Deployment
	Clock              node.Clock
	Window             *deduplication.Window
	Counters           *Counters
	Log                *zap.Logger
	RequireCertificate bool // peers show certificates that name their sites

	// AdvertisedRate is how many more queries a second the site would take; nil where that is not told.
	AdvertisedRate func() float64

	leaving atomic.Bool
	mu      sync.Mutex // guards Window and waiting
	waiting map[string]chan struct{}
}

// ServeHTTP serves one query of a peer.
func (d *PeerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	site, err := d.peerSite(r)
	if err != nil {
		d.Counters.Strangers.Add(1)
		d.Log.Warn("a peer was not let in", zap.Error(err))
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	if r.URL.Path == pathPing {
		d.writeAdvertisedRate(w)
		if d.leaving.Load() {
			w.Header().Set(headerLeaving, "1")
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	came, err := d.visitedSites(r, site)
	if err != nil {
		w.Header().Set(headerMayHaveRun, "0")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.Counters.Received.Add(1)
	r = r.WithContext(context.WithValue(r.Context(), visitedKey{}, came))
	row, known := d.Deployment.WorkloadRow[strings.TrimPrefix(r.URL.Path, "/")]
	d.writeAdvertisedRate(w)
	if !known || d.Deployment.Workloads[row].RetrySafety == balance.Repeatable {
		d.Front.ServeHTTP(w, r)
		return
	}
	d.serveOnce(w, r, r.Header.Get("X-Trace-Id"))
}

// writeAdvertisedRate tells a peer how much the site would take.
func (d *PeerServer) writeAdvertisedRate(w http.ResponseWriter) {
	if d.AdvertisedRate != nil {
		w.Header().Set(headerWilling, strconv.FormatFloat(d.AdvertisedRate(), 'f', 2, 64))
	}
}

// peerSite tells which site a request comes from.
func (d *PeerServer) peerSite(r *http.Request) (string, error) {
	if !d.RequireCertificate {
		all := strings.Split(r.Header.Get(headerVisited), ",")
		return all[len(all)-1], nil
	}
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return "", errors.New("no certificate")
	}
	names := r.TLS.PeerCertificates[0].DNSNames
	for _, s := range d.PeerSites {
		if slices.Contains(names, s+certificateSuffix) {
			return s, nil
		}
	}
	return "", fmt.Errorf("a certificate for %q, and of none of the sites known here", names)
}

// visitedSites reads the sites that a query came through. Danger: a query that names none would go round for ever, and one that
// names this site has.
func (d *PeerServer) visitedSites(r *http.Request, peer string) ([]string, error) {
	all := strings.Split(r.Header.Get(headerVisited), ",")
	switch {
	case len(r.Header[headerVisited]) != 1 || all[len(all)-1] != peer:
		return nil, errors.New(headerVisited + " does not end with the peer's site")
	case len(all) > maxVisitedSites:
		return nil, errors.New(headerVisited + " names too many sites")
	case slices.Contains(all, d.Site):
		return nil, errors.New("the query has been here")
	}
	return all, nil
}

// serveOnce runs a query whose effect must not come twice, or gives a repeat the answer of the first.
func (d *PeerServer) serveOnce(w http.ResponseWriter, r *http.Request, id string) {
	for {
		d.mu.Lock()
		verdict, kept := d.Window.Begin(d.Clock.Now(), id)
		wait := d.waiting[id]
		if verdict == deduplication.FirstSeen {
			if d.waiting == nil {
				d.waiting = map[string]chan struct{}{}
			}
			d.waiting[id] = make(chan struct{})
		}
		d.mu.Unlock()
		switch verdict {
		case deduplication.FirstSeen:
			d.runOnce(w, r, id)
			return
		case deduplication.Answered:
			d.Counters.Replayed.Add(1)
			replayAnswer(w, kept)
			return
		case deduplication.Full:
			http.Error(w, "declined", http.StatusServiceUnavailable)
			return
		case deduplication.Interrupted:
			d.Counters.OutcomeUnknown.Add(1)
			w.Header().Set(headerMayHaveRun, "1")
			http.Error(w, "how it ended is not known", http.StatusInternalServerError)
			return
		}
		d.Counters.Joined.Add(1)
		select {
		case <-wait:
		case <-r.Context().Done():
			return
		}
	}
}

// runOnce serves a query to its end, whether its peer still waits or not: what has begun has an effect, and a repeat of it
// must find how it ended.
func (d *PeerServer) runOnce(w http.ResponseWriter, r *http.Request, id string) {
	k := &bufferedAnswer{ResponseWriter: w, status: http.StatusOK}
	ended := false
	defer func() {
		d.mu.Lock()
		switch now := d.Clock.Now(); {
		case !ended: // it ended in a panic
			d.Window.Interrupt(now, id)
		case k.status == http.StatusServiceUnavailable || k.status >= 400 && k.status < 500: // it never ran
			d.Window.Discard(id)
		default:
			d.Window.End(now, id, k.encode())
		}
		close(d.waiting[id])
		delete(d.waiting, id)
		d.mu.Unlock()
	}()
	d.Front.ServeHTTP(k, r.WithContext(context.WithoutCancel(r.Context())))
	ended = true
	replayAnswer(w, k.encode())
}

// bufferedAnswer holds an answer back until it is whole.
type bufferedAnswer struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func (k *bufferedAnswer) WriteHeader(status int)             { k.status = status }
func (k *bufferedAnswer) Write(b []byte) (int, error)        { return k.body.Write(b) }
func (k *bufferedAnswer) FlushError() error                  { return nil }
func (k *bufferedAnswer) Unwrap() http.ResponseWriter        { return k.ResponseWriter }
func (k *bufferedAnswer) SetWriteDeadline(t time.Time) error { return nil }
func (k *bufferedAnswer) encode() []byte {
	return append(strconv.AppendInt(nil, int64(k.status), 10), k.body.Bytes()...)
}

// replayAnswer writes an answer that was kept: three digits of status, then the body.
func replayAnswer(w http.ResponseWriter, kept []byte) {
	status, err := strconv.Atoi(string(kept[:min(3, len(kept))]))
	if err != nil {
		http.Error(w, "no answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(kept)-3))
	w.WriteHeader(status)
	w.Write(kept[3:])
}

// AnnounceShutdown tells peers at their next pings that the door is about to close, and serves all that comes until they know, or ctx
// is over.
//
// Danger: a peer may write a query while the news that its idle connection was closed is on the way. Nobody can tell it
// from one that ran, so a once-only one would be forfeited at each planned restart.
func (d *PeerServer) AnnounceShutdown(ctx context.Context) {
	d.leaving.Store(true)
	select {
	case <-time.After(pingInterval + 2*pingTimeout):
	case <-ctx.Done():
	}
}

// HTTPServer makes the server of a door, to be served on a listener.
func (d *PeerServer) HTTPServer(secure *tls.Config) *http.Server {
	return &http.Server{Handler: d, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		TLSConfig: secure, ErrorLog: zap.NewStdLog(d.Log)}
}

// TLSListener opens a door's listener, with TLS where secure is not nil.
func TLSListener(l net.Listener, secure *tls.Config) net.Listener {
	if secure == nil {
		return l
	}
	return tls.NewListener(l, secure)
}

// Certificates are the files that prove a site to others and others to it. They are read anew at each handshake, so that new
// ones count without a restart and what is under way goes on.
type Certificates struct {
	CertFile, KeyFile, CAFile string
	PasswordFile              string // of the key; empty where the key is not locked
}

// TLSConfigs makes what both directions demand: TLS 1.3, each side with a certificate of the same authority. Whose gateway it
// is for is asked by the door for callers, and by forSite for doors.
func (p Certificates) TLSConfigs() (server, client *tls.Config, err error) {
	if _, err := p.ownCertificate(); err != nil {
		return nil, nil, err
	}
	if _, err := p.authorityPool(); err != nil {
		return nil, nil, err
	}
	server = &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			own, err := p.ownCertificate()
			if err != nil {
				return nil, err
			}
			pool, err := p.authorityPool()
			if err != nil {
				return nil, err
			}
			return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, Certificates: []tls.Certificate{own},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool}, nil
		}}
	client = &tls.Config{MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			own, err := p.ownCertificate()
			return &own, err
		},
		// The name is a site's and not a host's, so the chain is checked here and not by the library's rule for hosts.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			pool, err := p.authorityPool()
			if err != nil {
				return err
			}
			if len(s.PeerCertificates) == 0 {
				return errors.New("the gateway showed no certificate")
			}
			inner := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				inner.AddCert(c)
			}
			if _, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: inner,
				KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}); err != nil {
				return err
			}
			return nil
		}}
	return server, client, nil
}

// protocols are what a door speaks; a caller chooses.
var protocols = []string{"h2", "http/1.1"}

// requireSite is what a caller of one site's gateways demands of them.
//
// Danger: with any site's certificate good for any address, one site could take the queries of another.
func requireSite(secure *tls.Config, site string, http2 bool) *tls.Config {
	one := secure.Clone()
	if one.NextProtos = protocols[1:]; http2 {
		one.NextProtos = protocols
	}
	one.VerifyConnection = func(s tls.ConnectionState) error {
		if secure.VerifyConnection != nil {
			if err := secure.VerifyConnection(s); err != nil {
				return err
			}
		}
		if names := s.PeerCertificates[0].DNSNames; !slices.Contains(names, site+certificateSuffix) {
			return fmt.Errorf("the certificate is for %q, and not for a gateway of site %q", names, site)
		}
		return nil
	}
	return one
}

func (p Certificates) ownCertificate() (tls.Certificate, error) {
	chain, err := pemutil.ReadCertificateBundle(p.CertFile)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("the site's certificate: %w", err)
	}
	var how []pemutil.Options
	if p.PasswordFile != "" {
		how = append(how, pemutil.WithPasswordFile(p.PasswordFile))
	}
	key, err := pemutil.Read(p.KeyFile, how...)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("the site's key: %w", err)
	}
	if err := keyutil.VerifyPair(chain[0].PublicKey, key); err != nil {
		return tls.Certificate{}, fmt.Errorf("%s is not the key of %s: %w", p.KeyFile, p.CertFile, err)
	}
	c := tls.Certificate{PrivateKey: key, Leaf: chain[0]}
	for _, one := range chain {
		c.Certificate = append(c.Certificate, one.Raw)
	}
	return c, nil
}

// Expiry is when the site's own certificate ends.
func (p Certificates) Expiry() (time.Time, error) {
	c, err := p.ownCertificate()
	if err != nil {
		return time.Time{}, err
	}
	return c.Leaf.NotAfter, nil
}

func (p Certificates) authorityPool() (*x509.CertPool, error) {
	text, err := os.ReadFile(p.CAFile)
	if err != nil {
		return nil, fmt.Errorf("the authority: %w", err)
	}
	all, err := pemutil.ParseCertificateBundle(text)
	if err != nil {
		return nil, fmt.Errorf("the authority: %s: %w", p.CAFile, err)
	}
	pool := x509.NewCertPool()
	for _, one := range all {
		pool.AddCert(one)
	}
	return pool, nil
}

// pingResult is a gateway's sign of life.
type pingResult struct {
	took           int64
	advertisedRate string // what its site would take of each workload, as it says
	leaving        bool
	err            error
}

// ping asks a gateway for a sign of life.
func (p *pool) ping(ctx context.Context, address string) (s pingResult) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url(address, pathPing), nil)
	if err != nil {
		return pingResult{err: err}
	}
	began := time.Now()
	a, err := p.client.RoundTrip(r)
	s.took = int64(time.Since(began))
	if err != nil {
		s.err = err
		return s
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusNoContent {
		s.err = fmt.Errorf("the gateway at %s answered %s", address, a.Status)
	}
	s.advertisedRate, s.leaving = a.Header.Get(headerWilling), a.Header.Get(headerLeaving) != ""
	return s
}

var _ front.Core = (*Core)(nil)
