//go:build !platform

package main

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"willowsill/deployment/operator"
	"willowsill/standin/certificates"
)

// Two whole sites on loopback sockets with certificates and 40 ms of way each: one goes dark and comes back, the link is
// cut one way and mended. Each query has one answer in time, and the other site serves while one is dark.
func TestTwoSites(t *testing.T) {
	phases, err := runSitesDemo(t.Context(), 2500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range phases {
		t.Logf("%s: %v, the worst %.0f ms", p.Name, p.Answers, p.WorstMS)
		if p.Answers["failed"] != 0 || p.WorstMS > (demoClientTimeout+demoClientSlack).Seconds()*1e3 {
			t.Errorf("%s: %v, the worst %.0f ms", p.Name, p.Answers, p.WorstMS)
		}
	}
	if first, dark, last := phases[0].Answers, phases[2].Answers, phases[len(phases)-1].Answers; first["503"] != 0 ||
		dark["200"] == 0 || last["200"] < 9*last["503"] {
		t.Errorf("well %v, dark %v, well again %v", first, dark, last)
	}
}

// An aggregator that cannot serve, for another process has its gateway's address, says so at once: the listener for
// clients stays open without anybody who accepts, and a question to it would wait for good.
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
	orders := &operator.Settings{Site: &operator.Site{Name: "east", Listen: taken.Addr().String(), CertFile: cert, KeyFile: key,
		CAFile: authority.CertFile}}
	err = f.startAggregator(0, orders, (&net.Dialer{}).DialContext)
	if !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("the aggregator says %v", err)
	}
}
