package routeconfig

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Diff says what b has otherwise than a, a line each, in a fixed order.
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

// routesByLabel returns the routes of two configurations by a label that is the same for the same route, unique among them.
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

// movedRoutes returns the routes that are in one place before and in another after, by the place after. A route is
// taken to have moved where its name is that of one route alone on either side.
func movedRoutes(before, after []Route) map[RouteID]RouteID {
	left, come := unmatchedByName(before, after), unmatchedByName(after, before)
	moved := map[RouteID]RouteID{}
	for name, ids := range come {
		if from := left[name]; name != "" && len(ids) == 1 && len(from) == 1 {
			moved[ids[0]] = from[0]
		}
	}
	return moved
}

// unmatchedByName returns, by name, the routes of one configuration whose place is none in another.
func unmatchedByName(routes, others []Route) map[string][]RouteID {
	stays := map[RouteID]struct{}{}
	for i := range others {
		stays[others[i].ID()] = struct{}{}
	}
	places := map[string][]RouteID{}
	for i := range routes {
		if _, found := stays[routes[i].ID()]; !found {
			places[routes[i].Name] = append(places[routes[i].Name], routes[i].ID())
		}
	}
	return places
}

// diffEntries compares two sets by label and field by field.
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
