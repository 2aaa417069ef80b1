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
	darkFrom  = 0.3
	darkUntil = 0.6
	row       = 10 * time.Second // of the timeline
	nearly    = 0.02             // of the level before: so close counts as back
)

// variant is one world of a run.
type variant struct {
	size, policy string
	alone        bool
	workers      int
	work         time.Duration
	line         *sites.Line
	peaks        peaks
}

// peaks are the most that was seen of what has a limit.
type peaks struct {
	queries  float64 // carried in a second by one process
	over     int     // samples with more in flight than the process's own limit said
	bytes    float64 // that crossed a link in a second, both ways
	carried  float64
	stranger float64
}

func darkness() *cobra.Command {
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
					v := &variant{size: size.name, policy: p, workers: size.workers, work: size.work}
					if p == "none" {
						v.alone = true
					}
					variants = append(variants, v)
				}
			}
			errs := make([]error, len(variants))
			var under sync.WaitGroup
			for i, v := range variants {
				under.Go(func() { errs[i] = v.play(binary, sites.Load{Rate: rate, Seed: seed, For: whole, Each: row}) })
			}
			under.Wait()
			if err := errors.Join(errs...); err != nil {
				return err
			}
			return report(variants, results, whole, rate, seed)
		},
	}
	c.Flags().DurationVar(&whole, "for", 3*time.Minute, "how long")
	c.Flags().Float64Var(&rate, "rate", 20, "queries a second at each site")
	c.Flags().Uint64Var(&seed, "seed", 7, "of the clients' chance")
	c.Flags().StringVar(&binary, "program", "bin/willowsill", "the program")
	c.Flags().StringVar(&results, "results", "", "a folder for the tables; else they are only printed")
	return c
}

// shape is a variant's world.
func (v *variant) shape(binary, dir string) sites.Shape {
	return sites.Shape{Binary: binary, Dir: dir, Names: []string{"east", "west"}, Gateways: 2, Alone: v.alone, Policy: v.policy,
		Work: v.work, Workers: v.workers, Holders: 2, Queries: 40, Bytes: 1 << 20,
		Revenue: map[string]float64{"look": 1, "book": 2, "pay": 5},
		Way: link.Way{Delay: 80 * time.Millisecond, Jitter: 10 * time.Millisecond, Loss: 0.01,
			Stall: 200 * time.Millisecond}}
}

func (v *variant) play(binary string, l sites.Load) error {
	dir, err := os.MkdirTemp("", "sites")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	w, err := sites.Start(v.shape(binary, dir))
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
	rows := float64(l.For / l.Each)
	v.line = w.Play(l, func(span int) {
		at := float64(span) / rows
		w.Sites["east"].Dark(at >= darkFrom && at < darkUntil)
	})
	close(stop)
	<-watched
	return nil
}

// watch samples what has a limit each second.
func (p *peaks) watch(w *sites.World, stop <-chan struct{}) {
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
			for i := range w.Gateways {
				all := s.Counters(i)
				key := name + strconv.Itoa(i)
				now := sites.Figure(all, "gateway", "queries", "carried")
				p.queries = max(p.queries, (now-carried[key])/span)
				carried[key] = now
				total += now
				p.stranger += sites.Figure(all, "gateway", "queries", "strangers")
				for _, other := range w.Names {
					if sites.Figure(all, "gateway", "ways", other, "in_flight") >
						max(sites.Figure(all, "gateway", "ways", other, "limit"), 0) {
						p.over++
					}
				}
			}
		}
		p.carried = total
		for key, l := range w.Links {
			now := float64(l.Bytes())
			p.bytes = max(p.bytes, (now-bytes[key])/span)
			bytes[key] = now
		}
	}
}

// phases sums a timeline up: before, dark, after.
func (v *variant) phases() (all [3]sites.Tally) {
	n := float64(len(v.line.Rows))
	for i := range v.line.Rows {
		at, phase := float64(i)/n, 0
		if at >= darkFrom {
			phase++
		}
		if at >= darkUntil {
			phase++
		}
		all[phase].Add(&v.line.Rows[i])
	}
	return all
}

// back is how long after the return the share of revenue is as before, for good but for single rows; below 0 for never.
func (v *variant) back() time.Duration {
	before := v.phases()[0]
	level := before.Share() - nearly
	from := int(float64(len(v.line.Rows))*darkUntil + 0.5)
	for i := from; i+2 < len(v.line.Rows); i++ {
		good := 0
		for j := i; j < i+3; j++ {
			if v.line.Rows[j].Share() >= level {
				good++
			}
		}
		if good == 3 {
			return time.Duration(i-from) * row
		}
	}
	return -1
}

func report(variants []*variant, dir string, whole time.Duration, rate float64, seed uint64) error {
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
		if err := timeline(variants, filepath.Join(dir, "dark.csv")); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%v on loopback sockets, %g queries a second at each of two sites, seed %d, %d cores, all variants at once.\n\n",
		whole, rate, seed, runtime.NumCPU())
	t := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| other site\t| policy\t| phase\t| asked\t| revenue within goal\t| in goal\t| late\t| declined\t| failed\t| lost\t| wrong\t|")
	fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, v := range variants {
		for i, p := range v.phases() {
			fmt.Fprintf(t, "| %s\t| %s\t| %s\t| %d\t| %.4f\t", v.size, v.policy, [...]string{"before", "dark", "after"}[i], p.Asked,
				p.Share())
			for _, n := range p.Ends {
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
		fmt.Fprintf(t, "| %s\t| %s\t| %d\t| %.0f\t| %.0f\t| %d\t| %.0f\t| %v\t|\n", v.size, v.policy, v.line.Doubled, v.peaks.carried,
			v.peaks.queries, v.peaks.over, v.peaks.bytes, v.back())
	}
	return t.Flush()
}

// timeline writes each variant's share of revenue, row by row.
func timeline(variants []*variant, name string) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	defer file.Close()
	w := csv.NewWriter(file)
	w.Write([]string{"other_site", "policy", "second", "asked", "revenue_share", "lost", "wrong"})
	for _, v := range variants {
		for i := range v.line.Rows {
			r := &v.line.Rows[i]
			w.Write([]string{v.size, v.policy, strconv.Itoa(i * int(row.Seconds())), strconv.Itoa(r.Asked),
				strconv.FormatFloat(r.Share(), 'f', 4, 64), strconv.Itoa(r.Ends[sites.Lost]), strconv.Itoa(r.Ends[sites.Wrong])})
		}
	}
	w.Flush()
	return w.Error()
}
