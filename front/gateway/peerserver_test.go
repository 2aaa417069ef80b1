package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"willowsill/decide/deduplication"
	"willowsill/node"
	"willowsill/standin/certificates"
)

func newAuthority(t *testing.T) *certificates.Authority {
	t.Helper()
	a, err := certificates.New(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// issue has an authority issue a certificate for a DNS name, valid until the time given.
func issue(t *testing.T, a *certificates.Authority, file, name string, until time.Time) Certificates {
	t.Helper()
	cert, key, err := a.Issue(file, name, until)
	if err != nil {
		t.Fatal(err)
	}
	return Certificates{CertFile: cert, KeyFile: key, CAFile: a.CertFile}
}

// startPeerServer starts a PeerServer with a site's certificates.
func startPeerServer(t *testing.T, p Certificates) (d *PeerServer, address string) {
	t.Helper()
	server, _, err := p.TLSConfigs()
	if err != nil {
		t.Fatal(err)
	}
	d = &PeerServer{Site: "b", PeerSites: []string{"a"}, Front: http.NotFoundHandler(), Clock: node.NewClock(), Counters: &Counters{},
		Log: zap.NewNop(), RequireCertificate: true, Window: deduplication.New(deduplication.Limits{MaxIDs: 9, MaxAnswerBytes: 999, Retention: 1e9})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := d.HTTPServer(nil)
	go s.Serve(TLSListener(l, server))
	t.Cleanup(func() { s.Close() })
	return d, l.Addr().String()
}

// A peer is admitted only with a valid certificate of the same authority that names the gateway of a known site; a
// client checks the server's certificate likewise.
func TestPapers(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	later, before := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	good := issue(t, trusted, "1614", "b.gateway", later)
	foreign := issue(t, untrusted, "1667", "a.gateway", later) // signed by another authority, but trusts ours
	foreign.CAFile = trusted.CertFile
	for name, c := range map[string]struct {
		server, client Certificates
		want           string
	}{
		"good":               {good, issue(t, trusted, "1904", "a.gateway", later), ""},
		"caller expired":     {good, issue(t, trusted, "1989", "a.gateway", before), "certificate"},
		"caller of others":   {good, foreign, "certificate"},
		"caller unknown":     {good, issue(t, trusted, "2140", "z.gateway", later), "403"},
		"caller no gateway":  {good, issue(t, trusted, "2228", "a", later), "403"},
		"door expired":       {issue(t, trusted, "2302", "b.gateway", before), issue(t, trusted, "2352", "a.gateway", later), "expired"},
		"door is no gateway": {issue(t, trusted, "2438", "www.b", later), issue(t, trusted, "2483", "a.gateway", later), "not for a gateway of site"},
		"door of a third":    {issue(t, trusted, "2440", "c.gateway", later), issue(t, trusted, "2484", "a.gateway", later), `not for a gateway of site "b"`},
		"door of others":     {issue(t, untrusted, "2534", "b.gateway", later), issue(t, trusted, "2630", "a.gateway", later), "unknown authority"},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startPeerServer(t, c.server)
			_, clientTLS, err := c.client.TLSConfigs()
			if err != nil {
				t.Fatal(err)
			}
			p := newPool((&net.Dialer{}).DialContext, clientTLS, map[string]string{address: "b"}, false, 1, nil, nil)
			defer p.client.CloseIdleConnections()
			err = p.ping(t.Context(), address).err
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

// New certificate files are used for the next connection; open connections stay. If the key file cannot be read, the
// error does not contain its text.
func TestNewPapers(t *testing.T) {
	root := newAuthority(t)
	_, address := startPeerServer(t, issue(t, root, "b", "b.gateway", time.Now().Add(time.Hour)))
	client := issue(t, root, "caller", "z.gateway", time.Now().Add(time.Hour))
	_, clientTLS, err := client.TLSConfigs()
	if err != nil {
		t.Fatal(err)
	}
	p := newPool((&net.Dialer{}).DialContext, clientTLS, map[string]string{address: "b"}, false, 1, nil, nil)
	defer p.client.CloseIdleConnections()
	if err := p.ping(t.Context(), address).err; err == nil {
		t.Error("an unknown site was admitted")
	}
	issue(t, root, "caller", "a.gateway", time.Now().Add(time.Hour))
	p.client.CloseIdleConnections()
	if err := p.ping(t.Context(), address).err; err != nil {
		t.Error(err)
	}
	os.WriteFile(client.KeyFile, []byte("nonsense"), 0o600)
	if err := p.ping(t.Context(), address).err; err != nil {
		t.Errorf("on the open connection: %v", err)
	}
	p.client.CloseIdleConnections()
	if err := p.ping(t.Context(), address).err; err == nil || strings.Contains(err.Error(), "nonsense") {
		t.Errorf("with a key file that cannot be read: %v", err)
	}
}

// A private key may be encrypted. Without its password, or with a certificate of another key, it is refused.
func TestLockedKey(t *testing.T) {
	a := newAuthority(t)
	a.KeyPassword = []byte("a password of some length")
	p := issue(t, a, "locked", "a.gateway", time.Now().Add(time.Hour))
	if _, _, err := p.TLSConfigs(); err == nil {
		t.Error("an encrypted key was read without a password")
	}
	p.PasswordFile = filepath.Join(t.TempDir(), "password")
	os.WriteFile(p.PasswordFile, a.KeyPassword, 0o600)
	if _, _, err := p.TLSConfigs(); err != nil {
		t.Error(err)
	}
	other := issue(t, a, "other", "a.gateway", time.Now().Add(time.Hour))
	p.CertFile = other.CertFile
	if _, _, err := p.TLSConfigs(); err == nil || !strings.Contains(err.Error(), "is not the key of") {
		t.Errorf("with the certificate of another key: %v", err)
	}
}

// Whatever a peer's headers say, a query that has passed through this site or that names too many sites is
// refused, and nothing panics.
func FuzzHeaders(f *testing.F) {
	f.Add("a", "q1", "look", "1000")
	f.Add("b,a", "", "pay", "-1")
	f.Add("a,,a", "q\x00", "pay", "99999999999999999999")
	f.Fuzz(func(t *testing.T, sites, id, workload, left string) {
		admitted := false
		d := &PeerServer{Site: "b", PeerSites: []string{"a"}, Counters: &Counters{}, Log: zap.NewNop(), Clock: node.NewClock(), Deployment: testDeployment(),
			Window: deduplication.New(deduplication.Limits{MaxIDs: 9, MaxAnswerBytes: 99, Retention: 1e9}),
			Front:  http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { admitted = true })}
		r := &http.Request{Method: "POST", URL: &url.URL{Path: "/" + workload}, Body: http.NoBody, Header: http.Header{
			headerVisited: {sites}, "X-Trace-Id": {id}, "X-Expires-In-Ms": {left}, "X-Qos": {workload}}}
		w := httptest.NewRecorder()
		d.ServeHTTP(w, r)
		all := strings.Split(sites, ",")
		if admitted && (slices.Contains(all, "b") || len(all) > maxVisitedSites) {
			t.Errorf("%q was admitted", sites)
		}
		if !admitted && workload != "gateway/ping" && w.Header().Get(headerMayHaveRun) != "0" {
			t.Errorf("%q: status %d without the header that says that it never ran", sites, w.Code)
		}
	})
}

// The list of visited sites is checked before a query reaches the front.
func TestCame(t *testing.T) {
	d := &PeerServer{Site: "b", PeerSites: []string{"a"}, Counters: &Counters{}, Log: zap.NewNop(), Front: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, visited(r.Context())) })}
	for visited, want := range map[string]string{"a": "200 [a]", "c,a": "200 [c a]", "b,a": "400", "a,b,a": "400", "": "200 []",
		"a,a,a,a,a,a,a,a,a": "400"} {
		r := httptest.NewRequest("POST", "/look", nil)
		r.Header.Set(headerVisited, visited)
		w := httptest.NewRecorder()
		d.ServeHTTP(w, r)
		if got := strings.TrimSpace(fmt.Sprint(w.Code, " ", w.Body)); !strings.HasPrefix(got, want) && visited != "" {
			t.Errorf("%q: %s, want %s", visited, got, want)
		}
		if w.Code == 400 && w.Header().Get(headerMayHaveRun) != "0" {
			t.Errorf("%q: without the header that says that it never ran", visited)
		}
	}
}

// What Save wrote is restored completely or not at all.
func TestKeepsake(t *testing.T) {
	file := filepath.Join(t.TempDir(), "ids")
	newServer := func() *PeerServer {
		return &PeerServer{Clock: node.NewClock(), Window: deduplication.New(deduplication.Limits{MaxIDs: 9, MaxAnswerBytes: 999, Retention: 60e9})}
	}
	first := newServer()
	if err := first.Load(file); err != nil {
		t.Errorf("without a file: %v", err)
	}
	first.Window.Begin(first.Clock.Now(), "done")
	first.Window.End(first.Clock.Now(), "done", []byte("200x"))
	first.Window.Begin(first.Clock.Now(), "under way")
	if err := first.Save(file); err != nil {
		t.Fatal(err)
	}
	second := newServer()
	if err := second.Load(file); err != nil {
		t.Fatal(err)
	}
	if v, text := second.Window.Begin(second.Clock.Now(), "done"); v != deduplication.Answered || string(text) != "200x" {
		t.Errorf("%v %s", v, text)
	}
	if v, _ := second.Window.Begin(second.Clock.Now(), "under way"); v != deduplication.Interrupted {
		t.Errorf("a query in progress at the save: %v", v)
	}
	text, _ := os.ReadFile(file)
	os.WriteFile(file, text[:len(text)-3], 0o600)
	if third := newServer(); third.Load(file) == nil || third.Window.Len() != 0 {
		t.Error("a truncated file was restored")
	}
	if left, _ := filepath.Glob(file + ".*"); len(left) != 0 {
		t.Errorf("temporary files left: %v", left)
	}
}
