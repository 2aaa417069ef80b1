package siterouting

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

const (
	tolerance       = 1e-9
	maxCoefficients = 4096 // coefficients: what is larger is planned simply
)

// route is a workload over a link.
type route struct{ workload, link int }

func (p Problem) routes() (all []route) {
	for w := range p.Value {
		for l := range p.Value[w] {
			if p.Value[w][l] > 0 && p.Capacity[w][l] > 0 && p.Excess[w] > 0 && p.QueryRate[l] > 0 &&
				(p.QueryBytes[w] == 0 || p.ByteRate[l] > 0) {
				all = append(all, route{w, l})
			}
		}
	}
	return all
}

func (p Problem) emptyPlan() Plan {
	rates := make([][]float64, len(p.Value))
	for w := range rates {
		rates[w] = make([]float64, len(p.QueryRate))
	}
	return Plan{Rates: rates}
}

// planValue is what a plan's rates earn.
func (p Problem) planValue(rates [][]float64) (sum float64) {
	for w := range rates {
		for l, rate := range rates[w] {
			sum += rate * p.Value[w][l]
		}
	}
	return sum
}

// Greedy fills the ways one by one, those first that earn most for the larger share of a link that a query takes.
func Greedy(p Problem) Plan {
	plan := p.emptyPlan()
	excess, queries, bytes := slices.Clone(p.Excess), slices.Clone(p.QueryRate), slices.Clone(p.ByteRate)
	all := p.routes()
	price := func(v route) float64 {
		share := max(1/p.QueryRate[v.link], p.QueryBytes[v.workload]/max(p.ByteRate[v.link], tolerance))
		return p.Value[v.workload][v.link] / share
	}
	slices.SortStableFunc(all, func(a, b route) int { return cmp.Compare(price(b), price(a)) })
	for _, v := range all {
		rate := min(excess[v.workload], p.Capacity[v.workload][v.link], queries[v.link])
		if weight := p.QueryBytes[v.workload]; weight > 0 {
			rate = min(rate, bytes[v.link]/weight)
		}
		rate = max(rate, 0)
		plan.Rates[v.workload][v.link] = rate
		excess[v.workload] -= rate
		queries[v.link] -= rate
		bytes[v.link] -= rate * p.QueryBytes[v.workload]
	}
	plan.Value = p.planValue(plan.Rates)
	return plan
}

// Simplex solves the problem as a linear program: the most revenue, each limit a row with its slack.
func Simplex(p Problem) (plan Plan, solved bool) {
	all := p.routes()
	if plan = p.emptyPlan(); len(all) == 0 {
		return plan, true
	}
	rows := len(p.Excess) + 2*len(p.QueryRate) + len(all)
	columns := len(all) + rows
	if rows*columns > maxCoefficients {
		return plan, false
	}
	a, b, c := mat.NewDense(rows, columns, nil), make([]float64, rows), make([]float64, columns)
	for i, v := range all {
		c[i] = -p.Value[v.workload][v.link]
		a.Set(v.workload, i, 1)
		a.Set(len(p.Excess)+v.link, i, 1)
		// Bytes count in shares of the link's limit, so that all rows are of one size.
		if limit := p.ByteRate[v.link]; limit > 0 {
			a.Set(len(p.Excess)+len(p.QueryRate)+v.link, i, p.QueryBytes[v.workload]/limit)
		}
		row := len(p.Excess) + 2*len(p.QueryRate) + i
		a.Set(row, i, 1)
		b[row] = p.Capacity[v.workload][v.link]
	}
	copy(b, p.Excess)
	copy(b[len(p.Excess):], p.QueryRate)
	for l, limit := range p.ByteRate {
		if b[len(p.Excess)+len(p.QueryRate)+l] = 0; limit > 0 {
			b[len(p.Excess)+len(p.QueryRate)+l] = 1
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
			return p.emptyPlan(), false
		}
		plan.Rates[v.workload][v.link] = max(x[i], 0)
	}
	plan.Value = p.planValue(plan.Rates)
	return plan, true
}
