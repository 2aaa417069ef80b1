package siterouting

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

const (
	tolerance = 1e-9
	sizeMost  = 4096 // coefficients: what is larger is planned simply
)

// way is a workload over a link.
type way struct{ workload, link int }

func (p Problem) ways() (all []way) {
	for w := range p.Worth {
		for l := range p.Worth[w] {
			if p.Worth[w][l] > 0 && p.Takes[w][l] > 0 && p.Excess[w] > 0 && p.Queries[l] > 0 &&
				(p.Weight[w] == 0 || p.Bytes[l] > 0) {
				all = append(all, way{w, l})
			}
		}
	}
	return all
}

func (p Problem) empty() Plan {
	rates := make([][]float64, len(p.Worth))
	for w := range rates {
		rates[w] = make([]float64, len(p.Queries))
	}
	return Plan{Rates: rates}
}

// value is what a plan's rates earn.
func (p Problem) value(rates [][]float64) (sum float64) {
	for w := range rates {
		for l, rate := range rates[w] {
			sum += rate * p.Worth[w][l]
		}
	}
	return sum
}

// Greedy fills the ways one by one, those first that earn most for the larger share of a link that a query takes.
func Greedy(p Problem) Plan {
	plan := p.empty()
	excess, queries, bytes := slices.Clone(p.Excess), slices.Clone(p.Queries), slices.Clone(p.Bytes)
	all := p.ways()
	price := func(v way) float64 {
		share := max(1/p.Queries[v.link], p.Weight[v.workload]/max(p.Bytes[v.link], tolerance))
		return p.Worth[v.workload][v.link] / share
	}
	slices.SortStableFunc(all, func(a, b way) int { return cmp.Compare(price(b), price(a)) })
	for _, v := range all {
		rate := min(excess[v.workload], p.Takes[v.workload][v.link], queries[v.link])
		if weight := p.Weight[v.workload]; weight > 0 {
			rate = min(rate, bytes[v.link]/weight)
		}
		rate = max(rate, 0)
		plan.Rates[v.workload][v.link] = rate
		excess[v.workload] -= rate
		queries[v.link] -= rate
		bytes[v.link] -= rate * p.Weight[v.workload]
	}
	plan.Value = p.value(plan.Rates)
	return plan
}

// Simplex solves the problem as a linear program: the most revenue, each limit a row with its slack.
func Simplex(p Problem) (plan Plan, solved bool) {
	all := p.ways()
	if plan = p.empty(); len(all) == 0 {
		return plan, true
	}
	rows := len(p.Excess) + 2*len(p.Queries) + len(all)
	columns := len(all) + rows
	if rows*columns > sizeMost {
		return plan, false
	}
	a, b, c := mat.NewDense(rows, columns, nil), make([]float64, rows), make([]float64, columns)
	for i, v := range all {
		c[i] = -p.Worth[v.workload][v.link]
		a.Set(v.workload, i, 1)
		a.Set(len(p.Excess)+v.link, i, 1)
		// Bytes count in shares of the link's limit, so that all rows are of one size.
		if limit := p.Bytes[v.link]; limit > 0 {
			a.Set(len(p.Excess)+len(p.Queries)+v.link, i, p.Weight[v.workload]/limit)
		}
		row := len(p.Excess) + 2*len(p.Queries) + i
		a.Set(row, i, 1)
		b[row] = p.Takes[v.workload][v.link]
	}
	copy(b, p.Excess)
	copy(b[len(p.Excess):], p.Queries)
	for l, limit := range p.Bytes {
		if b[len(p.Excess)+len(p.Queries)+l] = 0; limit > 0 {
			b[len(p.Excess)+len(p.Queries)+l] = 1
		}
	}
	basis := make([]int, rows) // all slack: nothing is carried
	for i := range rows {
		a.Set(i, len(all)+i, 1)
		basis[i] = len(all) + i
	}
	_, x, err := lp.Simplex(c, a, b, tolerance, basis)
	if err != nil {
		return plan, false
	}
	for i, v := range all {
		if math.IsNaN(x[i]) || x[i] < -1e-6 {
			return p.empty(), false
		}
		plan.Rates[v.workload][v.link] = max(x[i], 0)
	}
	plan.Value = p.value(plan.Rates)
	return plan, true
}
