package routeconfig

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Diff describes how b differs from a, with a line for each difference, in a fixed order.
func Diff(a, b *Configuration) (lines []string) {
	if a.Revision != b.Revision {
		lines = append(lines, fmt.Sprintf("revision %d -> %d", a.Revision, b.Revision))
	}
	if a.Limits != b.Limits {
		lines = append(lines, fmt.Sprintf("limits %+v -> %+v", a.Limits, b.Limits))
	}
	was, is := routesByLabel(a.Routes, b.Routes)
	lines = append(lines, diffEntries("route", was, is)...)
	return append(lines, diffEntries("service", a.Services, b.Services)...)
}

// routesByLabel returns the routes of two configurations by a unique label, which is the same for the same route in both.
func routesByLabel(before, after []Route) (was, is map[string]Route) {
	label := func(r *Route) string { return r.Name + " " + r.Host + r.Prefix }
	was, is = map[string]Route{}, map[string]Route{}
	labels := map[RouteID]string{}
	for i := range before {
		r := &before[i]
		labels[r.ID()] = label(r)
		was[label(r)] = *r
	}
	moved := movedRoutes(before, after)
	for i := range after {
		r := &after[i]
		id := r.ID()
		if from, found := moved[id]; found {
			id = from
		}
		text, found := labels[id]
		if !found {
			text = label(r)
		}
		is[text] = *r
	}
	return was, is
}

// movedRoutes returns the former ID of each route whose host or prefix has changed, by its new ID. A route counts as the same
// if its name is unique among the unmatched routes of both configurations.
func movedRoutes(before, after []Route) map[RouteID]RouteID {
	removed, added := unmatchedByName(before, after), unmatchedByName(after, before)
	moved := map[RouteID]RouteID{}
	for name, ids := range added {
		if from := removed[name]; name != "" && len(ids) == 1 && len(from) == 1 {
			moved[ids[0]] = from[0]
		}
	}
	return moved
}

// unmatchedByName returns the IDs of the routes that are not in another configuration, by name.
func unmatchedByName(routes, others []Route) map[string][]RouteID {
	inOthers := map[RouteID]struct{}{}
	for i := range others {
		inOthers[others[i].ID()] = struct{}{}
	}
	unmatched := map[string][]RouteID{}
	for i := range routes {
		if _, found := inOthers[routes[i].ID()]; !found {
			unmatched[routes[i].Name] = append(unmatched[routes[i].Name], routes[i].ID())
		}
	}
	return unmatched
}

// diffEntries describes the entries that were added or removed, and the fields that differ in entries with the same label.
func diffEntries[T any](kind string, was, is map[string]T) (lines []string) {
	names := slices.Sorted(maps.Keys(was))
	for n := range is {
		if _, ok := was[n]; !ok {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		x, before := was[n]
		y, after := is[n]
		switch {
		case !before:
			lines = append(lines, fmt.Sprintf("%s %s added: %+v", kind, n, y))
		case !after:
			lines = append(lines, fmt.Sprintf("%s %s removed", kind, n))
		default:
			v, w := reflect.ValueOf(x), reflect.ValueOf(y)
			for i := range v.NumField() {
				if !reflect.DeepEqual(v.Field(i).Interface(), w.Field(i).Interface()) {
					lines = append(lines, fmt.Sprintf("%s %s %s %v -> %v", kind, n, v.Type().Field(i).Name, v.Field(i), w.Field(i)))
				}
			}
		}
	}
	return lines
}
