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

// startTwoSites starts two sites with a link between them, of one aggregator each. The first is the one that is asked.
func startTwoSites(dir string, l *link.Link) (sites [2]*fleet, err error) {
	names, doors := [2]string{"east", "west"}, [2]string{}
	authority, err := certificates.New(dir)
	if err != nil {
		return sites, err
	}
	for i := range doors {
		if doors[i], err = ports.Free(); err != nil {
			return sites, err
		}
	}
	direct := (&net.Dialer{}).DialContext
	over := l.Dialer(direct)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == doors[1] {
			return over(ctx, network, address)
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
		orders := &operator.Settings{
			Site:  &operator.Site{Name: name, Listen: doors[i], CertFile: cert, KeyFile: key, CAFile: authority.CertFile},
			Links: []operator.Link{{To: names[1-i], Gateways: []string{doors[1-i]}, QueryRate: 200, ByteRate: 4 << 20, Cost: 0.05}}}
		if err := sites[i].startAggregator(0, orders, dial); err != nil {
			return sites, err
		}
	}
	return sites, nil
}

// runSitesDemo plays two sites, of which the first goes dark.
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
