package siterouting

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

const (
	tolerance       = 1e-9 // smallest difference that counts in the solver, and smallest divisor
	maxCoefficients = 4096 // size limit of the linear program, in coefficients; larger problems are left to Greedy
)

// route is a workload over a link.
type route struct{ workload, link int }

// routes returns the combinations of a workload and a link that may carry queries.
func (p Problem) routes() (routes []route) {
	for w := range p.Value {
		for l := range p.Value[w] {
			if p.Value[w][l] > 0 && p.Capacity[w][l] > 0 && p.Excess[w] > 0 && p.QueryRate[l] > 0 &&
				(p.QueryBytes[w] == 0 || p.ByteRate[l] > 0) {
				routes = append(routes, route{w, l})
			}
		}
	}
	return routes
}

// emptyPlan returns a plan that carries nothing.
func (p Problem) emptyPlan() Plan {
	rates := make([][]float64, len(p.Value))
	for w := range rates {
		rates[w] = make([]float64, len(p.QueryRate))
	}
	return Plan{Rates: rates}
}

// planValue returns the expected revenue per second of a plan's rates.
func (p Problem) planValue(rates [][]float64) (sum float64) {
	for w := range rates {
		for l, rate := range rates[w] {
			sum += rate * p.Value[w][l]
		}
	}
	return sum
}

// Greedy plans one route after the other. Routes with the highest value per share of a link's rates come first.
func Greedy(p Problem) Plan {
	plan := p.emptyPlan()
	excess, queries, bytes := slices.Clone(p.Excess), slices.Clone(p.QueryRate), slices.Clone(p.ByteRate)
	routes := p.routes()
	valuePerShare := func(r route) float64 {
		share := max(1/p.QueryRate[r.link], p.QueryBytes[r.workload]/max(p.ByteRate[r.link], tolerance))
		return p.Value[r.workload][r.link] / share
	}
	slices.SortStableFunc(routes, func(a, b route) int { return cmp.Compare(valuePerShare(b), valuePerShare(a)) })
	for _, r := range routes {
		rate := min(excess[r.workload], p.Capacity[r.workload][r.link], queries[r.link])
		if queryBytes := p.QueryBytes[r.workload]; queryBytes > 0 {
			rate = min(rate, bytes[r.link]/queryBytes)
		}
		rate = max(rate, 0)
		plan.Rates[r.workload][r.link] = rate
		excess[r.workload] -= rate
		queries[r.link] -= rate
		bytes[r.link] -= rate * p.QueryBytes[r.workload]
	}
	plan.Value = p.planValue(plan.Rates)
	return plan
}

// Simplex solves the problem as a linear program that maximizes revenue. It returns false if the problem is too large or the
// solver fails.
func Simplex(p Problem) (plan Plan, solved bool) {
	routes := p.routes()
	if plan = p.emptyPlan(); len(routes) == 0 {
		return plan, true
	}
	rows := len(p.Excess) + 2*len(p.QueryRate) + len(routes)
	columns := len(routes) + rows
	if rows*columns > maxCoefficients {
		return plan, false
	}
	a, b, c := mat.NewDense(rows, columns, nil), make([]float64, rows), make([]float64, columns)
	for i, r := range routes {
		c[i] = -p.Value[r.workload][r.link]
		a.Set(r.workload, i, 1)
		a.Set(len(p.Excess)+r.link, i, 1)
		// Bytes are scaled by the link's limit, so that all rows have the same order of magnitude.
		if limit := p.ByteRate[r.link]; limit > 0 {
			a.Set(len(p.Excess)+len(p.QueryRate)+r.link, i, p.QueryBytes[r.workload]/limit)
		}
		row := len(p.Excess) + 2*len(p.QueryRate) + i
		a.Set(row, i, 1)
		b[row] = p.Capacity[r.workload][r.link]
	}
	copy(b, p.Excess)
	copy(b[len(p.Excess):], p.QueryRate)
	for l, limit := range p.ByteRate {
		if b[len(p.Excess)+len(p.QueryRate)+l] = 0; limit > 0 {
			b[len(p.Excess)+len(p.QueryRate)+l] = 1
		}
	}
	basis := make([]int, rows) // start from the slack variables: the plan that carries nothing
	for i := range rows {
		a.Set(i, len(routes)+i, 1)
		basis[i] = len(routes) + i
	}
	_, x, err := lp.Simplex(c, a, b, tolerance, basis)
	if err != nil {
		return plan, false
	}
	for i, r := range routes {
		if math.IsNaN(x[i]) || x[i] < -1e-6 {
			return p.emptyPlan(), false
		}
		plan.Rates[r.workload][r.link] = max(x[i], 0)
	}
	plan.Value = p.planValue(plan.Rates)
	return plan, true
}
