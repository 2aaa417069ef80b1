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

// A run has three phases: all well, the first site dark, all well again.
const (
	outageStart       = 0.3
	outageEnd         = 0.6
	rowDuration       = 10 * time.Second // of the timeline
	recoveryTolerance = 0.02             // of the level before: so close counts as back
)

// variant is one world of a run.
type variant struct {
	size, policy string
	isolated     bool
	workers      int
	partDuration time.Duration
	timeline     *sites.Timeline
	peaks        peaks
}

// peaks are the most that was seen of what has a limit.
type peaks struct {
	queryRate float64 // carried in a second by one process
	overLimit int     // samples with more in flight than the process's own limit said
	byteRate  float64 // that crossed a link in a second, both ways
	carried   float64
	strangers float64
}

func darkCommand() *cobra.Command {
	var whole time.Duration
	var binary, results string
	var rate float64
	var seed uint64
	c := &cobra.Command{
		Use:   "dark",
		Short: "Two sites, one dark in the middle: the gateway against three baselines, all at the same time",
		Long: "dark starts two sites of two processes each, 80 ms of way each way between them with up to 10 ms more and 1% of\n" +
			"packets lost, for each policy, once where the other site has room for all and once where it has not.",
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
			var under sync.WaitGroup
			for i, v := range variants {
				under.Go(func() {
					errs[i] = v.run(binary, sites.Load{Rate: rate, Seed: seed, Duration: whole, RowDuration: rowDuration})
				})
			}
			under.Wait()
			if err := errors.Join(errs...); err != nil {
				return err
			}
			return writeReport(variants, results, whole, rate, seed)
		},
	}
	c.Flags().DurationVar(&whole, "for", 3*time.Minute, "how long")
	c.Flags().Float64Var(&rate, "rate", 20, "queries a second at each site")
	c.Flags().Uint64Var(&seed, "seed", 7, "of the clients' chance")
	c.Flags().StringVar(&binary, "program", "bin/willowsill", "the program")
	c.Flags().StringVar(&results, "results", "", "a folder for the tables; else they are only printed")
	return c
}

// config is a variant's world.
func (v *variant) config(binary, dir string) sites.Config {
	return sites.Config{Binary: binary, Dir: dir, SiteNames: []string{"east", "west"}, ProcessesPerSite: 2, Isolated: v.isolated, Policy: v.policy,
		PartDuration: v.partDuration, WorkersPerReplica: v.workers, ReplicasPerShard: 2, LinkQueryRate: 40, LinkByteRate: 1 << 20,
		Revenue: map[string]float64{"look": 1, "book": 2, "pay": 5},
		LinkConditions: link.Conditions{Delay: 80 * time.Millisecond, Jitter: 10 * time.Millisecond, Loss: 0.01,
			LossDelay: 200 * time.Millisecond}}
}

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
	time.Sleep(3 * time.Second) // the ways are known
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		v.peaks.watch(w, stop)
	}()
	rows := float64(l.Duration / l.RowDuration)
	v.timeline = w.RunLoad(l, func(span int) {
		at := float64(span) / rows
		w.Sites["east"].SetUnresponsive(at >= outageStart && at < outageEnd)
	})
	close(stop)
	<-watched
	return nil
}

// watch samples what has a limit each second.
func (p *peaks) watch(w *sites.Testbed, stop <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	carried, bytes, at := map[string]float64{}, map[string]float64{}, time.Now()
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
				p.queryRate = max(p.queryRate, (now-carried[key])/span)
				carried[key] = now
				total += now
				p.strangers += sites.Counter(all, "gateway", "queries", "strangers")
				for _, other := range w.SiteNames {
					if sites.Counter(all, "gateway", "ways", other, "in_flight") >
						max(sites.Counter(all, "gateway", "ways", other, "limit"), 0) {
						p.overLimit++
					}
				}
			}
		}
		p.carried = total
		for key, l := range w.Links {
			now := float64(l.Bytes())
			p.byteRate = max(p.byteRate, (now-bytes[key])/span)
			bytes[key] = now
		}
	}
}

// phaseTallies sums a timeline up: before, dark, after.
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

// recoveryTime is how long after the return the share of revenue is as before, for good but for single rows; below 0 for never.
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

func writeReport(variants []*variant, dir string, whole time.Duration, rate float64, seed uint64) error {
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
		whole, rate, seed, runtime.NumCPU())
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
		fmt.Fprintf(t, "| %s\t| %s\t| %d\t| %.0f\t| %.0f\t| %d\t| %.0f\t| %v\t|\n", v.size, v.policy, v.timeline.DuplicateExecutions, v.peaks.carried,
			v.peaks.queryRate, v.peaks.overLimit, v.peaks.byteRate, v.recoveryTime())
	}
	return t.Flush()
}

// writeTimeline writes each variant's share of revenue, row by row.
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
