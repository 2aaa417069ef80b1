package hollow

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"willowsill/transport/controlclient"
)

const sendWithin = 30 * time.Second

// operator sends configurations.
type operator struct {
	stage    *stage
	revision uint64
	body     []byte
	sent     []change
}

type change struct {
	revision     uint64
	began, acked time.Time
}

// send sends the next configuration until it is acknowledged.
func (o *operator) send(ctx context.Context) error {
	o.revision++
	o.body = configuration(o.revision, o.stage.Routes)
	ctx, stop := context.WithTimeout(ctx, sendWithin)
	defer stop()
	control := controlclient.Control{Addresses: o.stage.control}
	began := time.Now()
	if err := control.Send(ctx, o.body); err != nil {
		return fmt.Errorf("configuration %d was not taken: %w", o.revision, err)
	}
	o.sent = append(o.sent, change{o.revision, began, time.Now()})
	return nil
}

// work sends changes evenly for so long.
func (o *operator) work(ctx context.Context, span time.Duration) error {
	o.sent = nil
	end := time.Now().Add(span)
	if o.stage.ChangesPerMinute <= 0 {
		return pause(ctx, span)
	}
	every := time.Duration(float64(time.Minute) / o.stage.ChangesPerMinute)
	for next := time.Now().Add(every / 2); next.Before(end); next = next.Add(every) {
		if err := pause(ctx, time.Until(next)); err != nil {
			return err
		}
		if err := o.send(ctx); err != nil {
			return err
		}
	}
	return pause(ctx, time.Until(end))
}

// conclude reckons how long changes took to so many co-ordinators.
func (o *operator) conclude(result *Result, arrivals map[uint64][]int64, edges int) {
	for _, c := range o.sent {
		result.Changes++
		result.AckMS = append(result.AckMS, float64(c.acked.Sub(c.began).Microseconds())/1000)
		at := arrivals[c.revision]
		if len(at) < edges {
			result.NotEverywhere++
			continue
		}
		slices.Sort(at)
		since := func(ns int64) float64 { return max(0, float64(ns-c.acked.UnixNano())/1e6) }
		result.InForceMS = append(result.InForceMS, since(at[len(at)-1]))
		result.MiddleMS = append(result.MiddleMS, since(at[len(at)/2]))
	}
}

// configuration is one of so many routes, in which one route differs from the revision before.
func configuration(revision uint64, routes int) []byte {
	var list, of []string
	for i := range services {
		of = append(of, fmt.Sprintf(`{"name":"shard-%d"}`, i))
	}
	for i := range routes {
		deadline := 1000 + (i*37)%900
		if i == int(revision)%routes {
			deadline = 2000 + int(revision)%5000
		}
		list = append(list, fmt.Sprintf(`{"name":"route-%d","host":"h%d.example","path-prefix":"/p%d/","route-kind":"safe","deadline-ms":%d,"target-ms":200,"rank":1,"service":"shard-%d","max-tries":2}`,
			i, i%7, i*104729%1000003, deadline, i%services))
	}
	return fmt.Appendf(nil, `{"revision":%d,"routes":[%s],"services":[%s],"limits":{"max-body-bytes":65536}}`, revision,
		strings.Join(list, ","), strings.Join(of, ","))
}
