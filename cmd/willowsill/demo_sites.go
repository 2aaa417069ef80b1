//go:build !platform

package main

import (
	"context"
	"net"
	"os"
	"time"

	"willowsill/deployment/operator"
	"willowsill/standin/certificates"
	"willowsill/standin/link"
	"willowsill/standin/ports"
)

// startTwoSites starts two sites of one aggregator each, with a simulated link between them. Clients send their queries to
// the first.
func startTwoSites(dir string, l *link.Link) (sites [2]*fleet, err error) {
	names, gatewayAddresses := [2]string{"east", "west"}, [2]string{}
	authority, err := certificates.New(dir)
	if err != nil {
		return sites, err
	}
	for i := range gatewayAddresses {
		if gatewayAddresses[i], err = ports.Free(); err != nil {
			return sites, err
		}
	}
	direct := (&net.Dialer{}).DialContext
	linkDial := l.Dialer(direct)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == gatewayAddresses[1] {
			return linkDial(ctx, network, address)
		}
		return direct(ctx, network, address)
	}
	for i, name := range names {
		if sites[i], err = startReplicas(); err != nil {
			return sites, err
		}
		cert, key, err := authority.Issue(name, name+".gateway", time.Now().Add(time.Hour))
		if err != nil {
			return sites, err
		}
		settings := &operator.Settings{
			Site:  &operator.Site{Name: name, Listen: gatewayAddresses[i], CertFile: cert, KeyFile: key, CAFile: authority.CertFile},
			Links: []operator.Link{{To: names[1-i], Gateways: []string{gatewayAddresses[1-i]}, QueryRate: 200, ByteRate: 4 << 20, Cost: 0.05}}}
		if err := sites[i].startAggregator(0, settings, dial); err != nil {
			return sites, err
		}
	}
	return sites, nil
}

// runSitesDemo runs the demonstration of two sites, in which all replicas of the first fail and recover and the link is cut
// in one direction. ctx is nil if the command was executed without a context.
func runSitesDemo(ctx context.Context, each time.Duration) (phases []phase, err error) {
	if ctx == nil {
		ctx = context.Background()
	}
	dir, err := os.MkdirTemp("", "willowsill-sites")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	l := &link.Link{}
	far := link.Conditions{Delay: 40 * time.Millisecond}
	l.Set(far, far)
	sites, err := startTwoSites(dir, l)
	defer func() {
		for _, s := range sites {
			if s != nil {
				s.stop()
			}
		}
	}()
	if err != nil {
		return nil, err
	}
	east := sites[0]
	play := func(name string) { phases = append(phases, east.runPhase(ctx, name, each)) }
	play("both well")
	east.allFail.Store(true)
	play("east goes dark")
	play("east is dark")
	l.Set(far, link.Conditions{Cut: true})
	play("and the link is cut one way")
	l.Set(far, far)
	play("the link is mended")
	east.allFail.Store(false)
	play("east comes back")
	play("both well again")
	return phases, nil
}
