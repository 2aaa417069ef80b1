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
	was, is := map[string]Route{}, map[string]Route{}
	for _, r := range a.Routes {
		was[r.Name] = r
	}
	for _, r := range b.Routes {
		is[r.Name] = r
	}
	lines = append(lines, changes("route", was, is)...)
	return append(lines, changes("service", a.Services, b.Services)...)
}

// changes compares two sets by name and field by field.
func changes[T any](kind string, was, is map[string]T) (lines []string) {
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
