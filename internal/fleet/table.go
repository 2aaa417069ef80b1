package fleet

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
)

// Cell is one trouble with one store, over several seeds. Shares are of the revenue within the goal; the loss is what
// the same seed's calm day without a store has beyond it.
type Cell struct {
	Trouble Trouble   `json:"trouble"`
	Store   StoreMode `json:"store"`
	Seeds   int       `json:"seeds"`
	Served  float64   `json:"served"`
	Spread  float64   `json:"spread"` // of the served share over the seeds: the standard deviation
	Loss    float64   `json:"loss"`
	Versus  float64   `json:"versus"`  // loss, times that with no store
	Paired  float64   `json:"paired"`  // served, less that of the same seed with no store, the mean
	Doubt   float64   `json:"doubt"`   // twice the standard error of that
	AtSick  float64   `json:"at_sick"` // executions at the replica in trouble, the mean
	Others  float64   `json:"others"`  // share of the customers who are not greedy, where there are any
	Wrong   int       `json:"wrong"`
	Bytes   float64   `json:"bytes_a_second"` // with the store, of one aggregator
	Orders  float64   `json:"commands_a_second"`
}

// Table plays all troubles with all stores and seeds from 1 on; change may change each plan.
func Table(troubles []Trouble, stores []StoreMode, seeds int, change func(*Plan)) []Cell {
	type job struct {
		trouble Trouble
		store   StoreMode
		seed    int
	}
	results := map[job]Result{}
	var jobs []job
	for _, trouble := range troubles {
		for _, store := range stores {
			for seed := 1; seed <= seeds; seed++ {
				jobs = append(jobs, job{trouble, store, seed})
			}
		}
		for seed := 1; seed <= seeds; seed++ {
			jobs = append(jobs, job{trouble + " (calm)", None, seed})
		}
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	next := make(chan job)
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for j := range next {
				trouble, calm := j.trouble, false
				if i := len(trouble) - len(" (calm)"); i > 0 && trouble[i:] == " (calm)" {
					trouble, calm = trouble[:i], true
				}
				p := Day(trouble, j.store, uint64(j.seed))
				if change != nil {
					change(&p)
				}
				if calm {
					p.Trouble = Calm
				}
				r := Play(p)
				mu.Lock()
				results[j] = r
				mu.Unlock()
			}
		})
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	all.Wait()

	var cells []Cell
	for _, trouble := range troubles {
		none := 0.0
		for _, store := range stores {
			c := Cell{Trouble: trouble, Store: store, Seeds: seeds}
			var served, paired []float64
			for seed := 1; seed <= seeds; seed++ {
				r, calm := results[job{trouble, store, seed}], results[job{trouble + " (calm)", None, seed}]
				served = append(served, r.Served())
				paired = append(paired, r.Served()-results[job{trouble, None, seed}].Served())
				c.Loss += (calm.Served() - r.Served()) / float64(seeds)
				c.AtSick += float64(r.AtSick) / float64(seeds)
				c.Wrong += r.Wrong
				span := float64(Day(trouble, store, 1).Span) / 1e9 * float64(Day(trouble, store, 1).Aggregators)
				c.Bytes += float64(r.Bytes) / span / float64(seeds)
				c.Orders += float64(r.Commands) / span / float64(seeds)
				for name, share := range r.Share {
					if name != "greedy" && name != "" {
						c.Others += share / 4 / float64(seeds)
					}
				}
			}
			c.Served, c.Spread = meanOf(served)
			var error float64
			c.Paired, error = meanOf(paired)
			c.Doubt = 2 * error / math.Sqrt(float64(seeds))
			if store == None {
				none = c.Loss
			}
			if none > 1e-9 {
				c.Versus = c.Loss / none
			}
			cells = append(cells, c)
		}
	}
	return cells
}

// meanOf is the mean and the standard deviation.
func meanOf(x []float64) (mean, deviation float64) {
	for _, v := range x {
		mean += v / float64(len(x))
	}
	for _, v := range x {
		deviation += (v - mean) * (v - mean) / float64(max(len(x)-1, 1))
	}
	return mean, math.Sqrt(deviation)
}

// Lower are the cells in which service is lower than with no store, beyond the runs' own spread.
func Lower(cells []Cell) []Cell {
	return slices.DeleteFunc(slices.Clone(cells), func(c Cell) bool { return c.Store == None || c.Paired >= -c.Doubt })
}

// Write writes a table in Markdown.
func Write(out io.Writer, cells []Cell) error {
	t := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| trouble\t| store\t| within goal\t| spread\t| loss\t| of none\t| against none\t| at the sick one\t| others\t|")
	fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, c := range cells {
		others := ""
		if c.Others > 0 {
			others = fmt.Sprintf("%.3f", c.Others)
		}
		of := ""
		if c.Versus != 0 {
			of = fmt.Sprintf("%.2f", c.Versus)
		}
		fmt.Fprintf(t, "| %s\t| %s\t| %.4f\t| %.4f\t| %.4f\t| %s\t| %+.4f ± %.4f\t| %.0f\t| %s\t|\n", c.Trouble, c.Store, c.Served,
			c.Spread, c.Loss, of, c.Paired, c.Doubt, c.AtSick, others)
	}
	return t.Flush()
}
