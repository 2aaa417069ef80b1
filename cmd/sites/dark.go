package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"willowsill/standin/link"
	"willowsill/standin/sites"
)

// A run has three phases: before, during and after an outage of all replicas of the first site. Start and end of the outage are
// fractions of the run.
const (
	outageStart       = 0.3
	outageEnd         = 0.6
	rowDuration       = 10 * time.Second // interval that one row of the timeline covers
	recoveryTolerance = 0.02             // how far the revenue share may be below its level before the outage to count as recovered
)

// variant is one pair of sites in a run, with its policy and its results.
type variant struct {
	size, policy string // size is "room" if the other site can serve the queries of both sites, and "short" if it cannot
	isolated     bool
	workers      int
	partDuration time.Duration
	timeline     *sites.Timeline
	peaks        peaks
}

// peaks holds the highest samples of quantities that have a limit, and totals.
type peaks struct {
	queryRate     float64 // queries a second forwarded by one process
	overLimit     int     // samples in which a process had more queries in flight on a link than its limit
	byteRate      float64 // bytes a second over a link, both directions together
	forwarded     float64 // total of queries that all processes had forwarded at the last sample
	rejectedPeers float64 // the processes' counters of rejected peers, added up over all samples
}

func darkCommand() *cobra.Command {
	var duration time.Duration
	var binary, results string
	var rate float64
	var seed uint64
	c := &cobra.Command{
		Use:   "dark",
		Short: "Two sites, one of which fails in the middle of the run: the gateway against three baselines, all at the same time",
		Long: "dark starts two sites of two processes each for every policy, once with enough capacity at the other site for all\n" +
			"queries and once with too little. The link delays each direction by 80 to 90 ms and loses 1% of the packets.",
		Example: "  go build -o bin/ ./cmd/... && bin/sites dark --for 30m --results results/gateway",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var variants []*variant
			for _, size := range []struct {
				name    string
				workers int
				work    time.Duration
			}{{"room", 2, 50 * time.Millisecond}, {"short", 1, 70 * time.Millisecond}} {
				for _, p := range []string{"plan", "none", "all", "half"} {
					v := &variant{size: size.name, policy: p, workers: size.workers, partDuration: size.work}
					if p == "none" {
						v.isolated = true
					}
					variants = append(variants, v)
				}
			}
			errs := make([]error, len(variants))
			var running sync.WaitGroup
			for i, v := range variants {
				running.Go(func() {
					errs[i] = v.run(binary, sites.Load{Rate: rate, Seed: seed, Duration: duration, RowDuration: rowDuration})
				})
			}
			running.Wait()
			if err := errors.Join(errs...); err != nil {
				return err
			}
			return writeReport(variants, results, duration, rate, seed)
		},
	}
	c.Flags().DurationVar(&duration, "for", 3*time.Minute, "duration of the run")
	c.Flags().Float64Var(&rate, "rate", 20, "queries a second at each site")
	c.Flags().Uint64Var(&seed, "seed", 7, "seed of the clients' random arrivals")
	c.Flags().StringVar(&binary, "program", "bin/willowsill", "the program")
	c.Flags().StringVar(&results, "results", "", "folder for the tables; without it they are only printed")
	return c
}

// config returns the configuration of a variant's two sites.
func (v *variant) config(binary, dir string) sites.Config {
	return sites.Config{Binary: binary, Dir: dir, SiteNames: []string{"east", "west"}, ProcessesPerSite: 2, Isolated: v.isolated, Policy: v.policy,
		PartDuration: v.partDuration, WorkersPerReplica: v.workers, ReplicasPerShard: 2, LinkQueryRate: 40, LinkByteRate: 1 << 20,
		Revenue: map[string]float64{"look": 1, "book": 2, "pay": 5},
		LinkConditions: link.Conditions{Delay: 80 * time.Millisecond, Jitter: 10 * time.Millisecond, Loss: 0.01,
			LossDelay: 200 * time.Millisecond}}
}

// run starts the variant's sites, sends the load, makes the first site's replicas fail and recover, and stores the results.
func (v *variant) run(binary string, l sites.Load) error {
	dir, err := os.MkdirTemp("", "sites")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	w, err := sites.Start(v.config(binary, dir))
	defer w.Stop()
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // until the gateways have connected
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		v.peaks.watch(w, stop)
	}()
	rows := float64(l.Duration / l.RowDuration)
	v.timeline = w.RunLoad(l, func(rowIndex int) {
		at := float64(rowIndex) / rows
		w.Sites["east"].SetUnresponsive(at >= outageStart && at < outageEnd)
	})
	close(stop)
	<-watched
	return nil
}

// watch samples the counters of all processes and links every second until stop is closed.
func (p *peaks) watch(w *sites.Testbed, stop <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	forwarded, bytes, at := map[string]float64{}, map[string]float64{}, time.Now()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		span := time.Since(at).Seconds()
		at = time.Now()
		total := 0.0
		for name, s := range w.Sites {
			for i := range w.ProcessesPerSite {
				all := s.Counters(i)
				key := name + strconv.Itoa(i)
				now := sites.Counter(all, "gateway", "queries", "carried")
				p.queryRate = max(p.queryRate, (now-forwarded[key])/span)
				forwarded[key] = now
				total += now
				p.rejectedPeers += sites.Counter(all, "gateway", "queries", "strangers")
				for _, other := range w.SiteNames {
					if sites.Counter(all, "gateway", "ways", other, "in_flight") >
						max(sites.Counter(all, "gateway", "ways", other, "limit"), 0) {
						p.overLimit++
					}
				}
			}
		}
		p.forwarded = total
		for key, l := range w.Links {
			now := float64(l.Bytes())
			p.byteRate = max(p.byteRate, (now-bytes[key])/span)
			bytes[key] = now
		}
	}
}

// phaseTallies sums up the rows of the timeline before, during and after the outage.
func (v *variant) phaseTallies() (all [3]sites.Tally) {
	n := float64(len(v.timeline.Rows))
	for i := range v.timeline.Rows {
		at, phase := float64(i)/n, 0
		if at >= outageStart {
			phase++
		}
		if at >= outageEnd {
			phase++
		}
		all[phase].Add(&v.timeline.Rows[i])
	}
	return all
}

// recoveryTime returns how long after the end of the outage the revenue share is back at its level before the outage for three
// consecutive rows, or -1 if that never happens.
func (v *variant) recoveryTime() time.Duration {
	before := v.phaseTallies()[0]
	level := before.RevenueShare() - recoveryTolerance
	from := int(float64(len(v.timeline.Rows))*outageEnd + 0.5)
	for i := from; i+2 < len(v.timeline.Rows); i++ {
		good := 0
		for j := i; j < i+3; j++ {
			if v.timeline.Rows[j].RevenueShare() >= level {
				good++
			}
		}
		if good == 3 {
			return time.Duration(i-from) * rowDuration
		}
	}
	return -1
}

// writeReport prints the tables of all variants, or writes them to files if dir is not empty.
func writeReport(variants []*variant, dir string, duration time.Duration, rate float64, seed uint64) error {
	out := os.Stdout
	if dir != "" {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		file, err := os.Create(filepath.Join(dir, "dark.md"))
		if err != nil {
			return err
		}
		defer file.Close()
		out = file
		if err := writeTimeline(variants, filepath.Join(dir, "dark.csv")); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%v on loopback sockets, %g queries a second at each of two sites, seed %d, %d cores, all variants at once.\n\n",
		duration, rate, seed, runtime.NumCPU())
	t := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| other site\t| policy\t| phase\t| asked\t| revenue within goal\t| in goal\t| late\t| declined\t| failed\t| lost\t| wrong\t|")
	fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, v := range variants {
		for i, p := range v.phaseTallies() {
			fmt.Fprintf(t, "| %s\t| %s\t| %s\t| %d\t| %.4f\t", v.size, v.policy, [...]string{"before", "dark", "after"}[i], p.Asked,
				p.RevenueShare())
			for _, n := range p.Outcomes {
				fmt.Fprintf(t, "| %d\t", n)
			}
			fmt.Fprintln(t, "|")
		}
	}
	t.Flush()
	fmt.Fprintln(out)
	fmt.Fprintln(t, "| other site\t| policy\t| once-only parts doubled\t| carried\t| most carried in a second by one process\t| "+
		"samples over its limit in flight\t| most bytes in a second over a link\t| back after\t|")
	fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, v := range variants {
		fmt.Fprintf(t, "| %s\t| %s\t| %d\t| %.0f\t| %.0f\t| %d\t| %.0f\t| %v\t|\n", v.size, v.policy, v.timeline.DuplicateExecutions, v.peaks.forwarded,
			v.peaks.queryRate, v.peaks.overLimit, v.peaks.byteRate, v.recoveryTime())
	}
	return t.Flush()
}

// writeTimeline writes the revenue share of each variant and row to a CSV file.
func writeTimeline(variants []*variant, name string) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	defer file.Close()
	w := csv.NewWriter(file)
	w.Write([]string{"other_site", "policy", "second", "asked", "revenue_share", "lost", "wrong"})
	for _, v := range variants {
		for i := range v.timeline.Rows {
			r := &v.timeline.Rows[i]
			w.Write([]string{v.size, v.policy, strconv.Itoa(i * int(rowDuration.Seconds())), strconv.Itoa(r.Asked),
				strconv.FormatFloat(r.RevenueShare(), 'f', 4, 64), strconv.Itoa(r.Outcomes[sites.Lost]), strconv.Itoa(r.Outcomes[sites.Wrong])})
		}
	}
	w.Flush()
	return w.Error()
}
