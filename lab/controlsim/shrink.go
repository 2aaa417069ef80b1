package controlsim

import (
	"slices"
)

// Shrink removes faults and acts from a plan that breaks a check, for as long as it still does: first many at a time, then fewer
// (delta debugging). What is left breaks the same check, and none of its faults can be left out alone. broken tells which checks
// a plan breaks.
func Shrink(p Plan, check string, broken func(Plan) []string) Plan {
	breaks := func(q Plan) bool { return slices.Contains(broken(q), check) }
	p.Faults = reduce(p.Faults, func(rest []Fault) bool {
		q := p
		q.Faults = rest
		return breaks(q)
	})
	p.Actions = reduce(p.Actions, func(rest []Action) bool {
		q := p
		q.Actions = rest
		return breaks(q)
	})
	p.Workload.Storms = reduce(p.Workload.Storms, func(rest []Storm) bool {
		q := p
		q.Workload.Storms = rest
		return breaks(q)
	})
	return p
}

// reduce finds a part of a list, its order kept, that still breaks.
func reduce[T any](list []T, breaks func([]T) bool) []T {
	for chunk := (len(list) + 1) / 2; len(list) > 0 && chunk > 0; {
		removed := false
		for from := 0; from < len(list); {
			rest := slices.Concat(list[:from], list[min(from+chunk, len(list)):])
			if breaks(rest) {
				list, removed = rest, true
				continue
			}
			from += chunk
		}
		if !removed {
			if chunk == 1 {
				break
			}
			chunk = (chunk + 1) / 2
		}
	}
	return list
}

// BrokenChecks plays a plan and names the checks that it breaks.
func BrokenChecks(p Plan) []string {
	r, err := Run(p, nil)
	if err != nil {
		return nil
	}
	var checks []string
	for _, v := range r.Violations {
		checks = append(checks, v.Check)
	}
	return checks
}
