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
	headTimeout     = 2 * time.Second  // limit for the headers of a request
	idleTimeout     = 60 * time.Second // limit for a peer's idle connection; longer than peers keep an idle connection open
	maxHeaderBytes  = 32 << 10
	maxVisitedSites = 8 // limit of sites in a query's X-Visited-Sites
	// certificateSuffix follows the site's name in the DNS name of a gateway's certificate.
	certificateSuffix = ".gateway"
)

// PeerServer serves the queries that other sites forward to this one.
type PeerServer struct {
	Site               string
	PeerSites          []string // names of the sites whose gateways are admitted
	Front              http.Handler
	Deployment         deployment.Deployment
	Clock              node.Clock
	Window             *deduplication.Window
	Counters           *Counters
	Log                *zap.Logger
	RequireCertificate bool // peers must show a certificate that names their site

	// AdvertisedRate returns how many more queries per second this site would accept; if nil, no rate is sent to
	// peers.
	AdvertisedRate func() float64

	leaving atomic.Bool
	mu      sync.Mutex               // guards Window and waiting
	waiting map[string]chan struct{} // closed when the first query with the id has ended
}

// ServeHTTP serves a ping or a query of a peer.
func (s *PeerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	site, err := s.peerSite(r)
	if err != nil {
		s.Counters.Strangers.Add(1)
		s.Log.Warn("a peer was rejected", zap.Error(err))
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	if r.URL.Path == pathPing {
		s.writeAdvertisedRate(w)
		if s.leaving.Load() {
			w.Header().Set(headerLeaving, "1")
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	sites, err := s.visitedSites(r, site)
	if err != nil {
		w.Header().Set(headerMayHaveRun, "0")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Counters.Received.Add(1)
	r = r.WithContext(context.WithValue(r.Context(), visitedKey{}, sites))
	row, known := s.Deployment.WorkloadRow[strings.TrimPrefix(r.URL.Path, "/")]
	s.writeAdvertisedRate(w)
	if !known || s.Deployment.Workloads[row].RetrySafety == balance.Repeatable {
		s.Front.ServeHTTP(w, r)
		return
	}
	s.serveOnce(w, r, r.Header.Get("X-Trace-Id"))
}

// writeAdvertisedRate sets the header that tells a peer how many more queries this site would accept.
func (s *PeerServer) writeAdvertisedRate(w http.ResponseWriter) {
	if s.AdvertisedRate != nil {
		w.Header().Set(headerAdvertisedRate, strconv.FormatFloat(s.AdvertisedRate(), 'f', 2, 64))
	}
}

// peerSite returns the name of the site that a request comes from.
func (s *PeerServer) peerSite(r *http.Request) (string, error) {
	if !s.RequireCertificate {
		all := strings.Split(r.Header.Get(headerVisited), ",")
		return all[len(all)-1], nil
	}
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return "", errors.New("no certificate")
	}
	names := r.TLS.PeerCertificates[0].DNSNames
	for _, s := range s.PeerSites {
		if slices.Contains(names, s+certificateSuffix) {
			return s, nil
		}
	}
	return "", fmt.Errorf("a certificate for %q, and of none of the sites known here", names)
}

// visitedSites returns the sites that a query has passed through.
//
// Danger: a query without the list, or one that returned to a site on it, could be forwarded in a loop for ever.
func (s *PeerServer) visitedSites(r *http.Request, peer string) ([]string, error) {
	all := strings.Split(r.Header.Get(headerVisited), ",")
	switch {
	case len(r.Header[headerVisited]) != 1 || all[len(all)-1] != peer:
		return nil, errors.New(headerVisited + " does not end with the peer's site")
	case len(all) > maxVisitedSites:
		return nil, errors.New(headerVisited + " names too many sites")
	case slices.Contains(all, s.Site):
		return nil, errors.New("the query has been here")
	}
	return all, nil
}

// serveOnce runs a query that must not run twice, or answers a repeat of it with the first run's answer.
func (s *PeerServer) serveOnce(w http.ResponseWriter, r *http.Request, id string) {
	for {
		s.mu.Lock()
		outcome, stored := s.Window.Begin(s.Clock.Now(), id)
		wait := s.waiting[id]
		if outcome == deduplication.FirstSeen {
			if s.waiting == nil {
				s.waiting = map[string]chan struct{}{}
			}
			s.waiting[id] = make(chan struct{})
		}
		s.mu.Unlock()
		switch outcome {
		case deduplication.FirstSeen:
			s.runOnce(w, r, id)
			return
		case deduplication.Answered:
			s.Counters.Replayed.Add(1)
			replayAnswer(w, stored)
			return
		case deduplication.Full:
			http.Error(w, "declined", http.StatusServiceUnavailable)
			return
		case deduplication.Interrupted:
			s.Counters.OutcomeUnknown.Add(1)
			w.Header().Set(headerMayHaveRun, "1")
			http.Error(w, "how it ended is not known", http.StatusInternalServerError)
			return
		}
		s.Counters.Joined.Add(1)
		select {
		case <-wait:
		case <-r.Context().Done():
			return
		}
	}
}

// runOnce serves a query to its end even if its peer disconnects: a query that has begun has an effect, and a
// repeat of it must get the outcome.
func (s *PeerServer) runOnce(w http.ResponseWriter, r *http.Request, id string) {
	buffered := &bufferedAnswer{ResponseWriter: w, status: http.StatusOK}
	ended := false
	defer func() {
		s.mu.Lock()
		switch now := s.Clock.Now(); {
		case !ended: // the handler panicked
			s.Window.Interrupt(now, id)
		case buffered.status == http.StatusServiceUnavailable || buffered.status >= 400 && buffered.status < 500: // the query did not run
			s.Window.Discard(id)
		default:
			s.Window.End(now, id, buffered.encode())
		}
		close(s.waiting[id])
		delete(s.waiting, id)
		s.mu.Unlock()
	}()
	s.Front.ServeHTTP(buffered, r.WithContext(context.WithoutCancel(r.Context())))
	ended = true
	replayAnswer(w, buffered.encode())
}

// bufferedAnswer collects an answer instead of writing it.
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

// replayAnswer writes a stored answer, which is three digits of status followed by the body.
func replayAnswer(w http.ResponseWriter, stored []byte) {
	status, err := strconv.Atoi(string(stored[:min(3, len(stored))]))
	if err != nil {
		http.Error(w, "no answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(stored)-3))
	w.WriteHeader(status)
	w.Write(stored[3:])
}

// AnnounceShutdown announces the shutdown in answers to pings, and returns when all peers have had time to see it,
// or when ctx ends. Queries are still served meanwhile.
//
// Danger: a peer may send a query on an idle connection while it is being closed. The peer cannot tell whether
// that query ran, so one that must run once would be lost at each planned restart.
func (s *PeerServer) AnnounceShutdown(ctx context.Context) {
	s.leaving.Store(true)
	select {
	case <-time.After(pingInterval + 2*pingTimeout):
	case <-ctx.Done():
	}
}

// HTTPServer returns the HTTP server for peers. The caller serves it on a listener.
func (s *PeerServer) HTTPServer(tlsConfig *tls.Config) *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		TLSConfig: tlsConfig, ErrorLog: zap.NewStdLog(s.Log)}
}

// TLSListener wraps a listener with TLS if tlsConfig is not nil.
func TLSListener(l net.Listener, tlsConfig *tls.Config) net.Listener {
	if tlsConfig == nil {
		return l
	}
	return tls.NewListener(l, tlsConfig)
}

// Certificates names the files of this site's certificate and key and of the certificate authority. They are read
// at each handshake, so replaced files take effect without a restart and without closing connections.
type Certificates struct {
	CertFile, KeyFile, CAFile string
	PasswordFile              string // file with the key's password; empty if the key is not encrypted
}

// TLSConfigs returns the TLS settings for serving peers and for connecting to them: TLS 1.3, with certificates of
// the same authority on both sides. Which site a certificate belongs to is checked by PeerServer for clients and
// by requireSite for servers.
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
		// The certificate names a site rather than a host, so its chain is verified below instead of by the
		// library's check of host names.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			pool, err := p.authorityPool()
			if err != nil {
				return err
			}
			if len(s.PeerCertificates) == 0 {
				return errors.New("the gateway showed no certificate")
			}
			intermediates := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				intermediates.AddCert(c)
			}
			if _, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates,
				KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}); err != nil {
				return err
			}
			return nil
		}}
	return server, client, nil
}

// protocols are the application protocols that a PeerServer accepts; the client chooses one.
var protocols = []string{"h2", "http/1.1"}

// requireSite returns settings for connecting to the gateways of one site, whose certificates must name that site.
//
// Danger: if the certificate of any site were accepted at any address, one site could receive the queries meant
// for another.
func requireSite(tlsConfig *tls.Config, site string, http2 bool) *tls.Config {
	config := tlsConfig.Clone()
	if config.NextProtos = protocols[1:]; http2 {
		config.NextProtos = protocols
	}
	config.VerifyConnection = func(s tls.ConnectionState) error {
		if tlsConfig.VerifyConnection != nil {
			if err := tlsConfig.VerifyConnection(s); err != nil {
				return err
			}
		}
		if names := s.PeerCertificates[0].DNSNames; !slices.Contains(names, site+certificateSuffix) {
			return fmt.Errorf("the certificate is for %q, and not for a gateway of site %q", names, site)
		}
		return nil
	}
	return config
}

func (p Certificates) ownCertificate() (tls.Certificate, error) {
	chain, err := pemutil.ReadCertificateBundle(p.CertFile)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("the site's certificate: %w", err)
	}
	var options []pemutil.Options
	if p.PasswordFile != "" {
		options = append(options, pemutil.WithPasswordFile(p.PasswordFile))
	}
	key, err := pemutil.Read(p.KeyFile, options...)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("the site's key: %w", err)
	}
	if err := keyutil.VerifyPair(chain[0].PublicKey, key); err != nil {
		return tls.Certificate{}, fmt.Errorf("%s is not the key of %s: %w", p.KeyFile, p.CertFile, err)
	}
	c := tls.Certificate{PrivateKey: key, Leaf: chain[0]}
	for _, certificate := range chain {
		c.Certificate = append(c.Certificate, certificate.Raw)
	}
	return c, nil
}

// Expiry returns when the site's own certificate expires.
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
	for _, certificate := range all {
		pool.AddCert(certificate)
	}
	return pool, nil
}

// pingResult is what one ping measured and what the gateway announced, or the error.
type pingResult struct {
	took           int64  // round-trip time, ns
	advertisedRate string // the header's value: queries per second that the site would accept
	leaving        bool
	err            error
}

// ping sends one ping to a gateway and returns its round-trip time and what the answer's headers announce.
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
	s.advertisedRate, s.leaving = a.Header.Get(headerAdvertisedRate), a.Header.Get(headerLeaving) != ""
	return s
}

var _ front.Core = (*Core)(nil)
