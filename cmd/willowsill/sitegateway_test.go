//go:build !platform

package main

import (
	"net"
	"testing"
	"time"

	"willowsill/deployment/operator"
	"willowsill/standin/certificates"
)

// Two whole sites with certificates are joined by a link with a delay of 40 ms in each direction. The replicas of one site
// fail and recover, and the link is cut in one direction and repaired. Each query must be answered within its timeout, and the
// other site must serve while one fails.
func TestTwoSites(t *testing.T) {
	phases, err := runSitesDemo(t.Context(), 2500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range phases {
		t.Logf("%s: outcomes %v, maximum latency %.0f ms", p.Name, p.Answers, p.WorstMS)
		if p.Answers["failed"] != 0 || p.WorstMS > (demoClientTimeout+demoClientSlack).Seconds()*1e3 {
			t.Errorf("%s: outcomes %v, maximum latency %.0f ms", p.Name, p.Answers, p.WorstMS)
		}
	}
	if first, dark, last := phases[0].Answers, phases[2].Answers, phases[len(phases)-1].Answers; first["503"] != 0 ||
		dark["200"] == 0 || last["200"] < 9*last["503"] {
		t.Errorf("outcomes before the failure %v, during it %v, after it %v", first, dark, last)
	}
}

// An aggregator whose gateway address is held by another process serves its clients at once, so that none of them waits, and opens
// the gateway when the address is free. One whose gateway has an address that cannot be used serves its clients as well.
func TestGatewayAddressIsTaken(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	authority, err := certificates.New(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := authority.Issue("east", "east.gateway", time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	f, err := startReplicas()
	defer f.stop()
	if err != nil {
		t.Fatal(err)
	}
	settings := &operator.Settings{Site: &operator.Site{Name: "east", Listen: taken.Addr().String(), CertFile: cert, KeyFile: key,
		CAFile: authority.CertFile}, Links: []operator.Link{{To: "west", Gateways: []string{"127.0.0.1:1"}}}}
	if err := f.startAggregator(0, settings, (&net.Dialer{}).DialContext); err != nil { // until it serves clients
		t.Fatal(err)
	}
	if err := taken.Close(); err != nil {
		t.Fatal(err)
	}
	for opened := false; !opened && t.Context().Err() == nil; {
		conn, err := net.Dial("tcp", settings.Site.Listen)
		if opened = err == nil; opened {
			conn.Close()
		}
	}
	unusable := *settings.Site
	unusable.Listen = "127.0.0.1:none"
	if err := f.startAggregator(1, &operator.Settings{Site: &unusable, Links: settings.Links}, (&net.Dialer{}).DialContext); err != nil {
		t.Error(err)
	}
}
