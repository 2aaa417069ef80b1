package controlsim

import (
	"slices"
)

// Shrink removes faults, actions and storms from a plan that breaks a check, as long as the rest still breaks it: first many at a time,
// then fewer (delta debugging). No single fault of the result can be removed without losing the failure. broken returns the names of
// the checks that a plan breaks.
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

// reduce returns a smaller part of a list, in the same order, for which breaks still returns true.
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

// BrokenChecks simulates a plan and returns the names of the checks that it breaks.
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
