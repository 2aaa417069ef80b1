package locality

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

var regions = Regions{"a1": "a", "a2": "a", "b1": "b", "alone": ""}

// TestDistance covers the same zone, the same region, other regions, and zones without a name or region.
func TestDistance(t *testing.T) {
	for _, c := range []struct {
		from, to string
		want     Distance
	}{
		{"a1", "a1", SameZone}, {"a1", "a2", SameRegion}, {"a1", "b1", OtherRegion}, {"a1", "", OtherRegion}, {"", "", OtherRegion},
		{"alone", "alone", SameZone}, {"alone", "unlisted", OtherRegion}, {"unlisted", "unlisted", SameZone},
	} {
		must.Eq(t, c.want, regions.Distance(c.from, c.to), must.Sprint(c.from, " to ", c.to))
	}
}

// TestOrder: nearer processes come first whatever their hash is. Callers spread evenly over equally near processes, and when
// a process stops, only its own callers move.
func TestOrder(t *testing.T) {
	all := []Process{{"1", "b1"}, {"2", "a2"}, {"3", "a1"}, {"4", ""}, {"5", "a1"}, {"6", "a1"}}
	first := map[string]int{}
	for i := range 300 {
		caller := fmt.Sprint("caller ", i)
		regions.Order(caller, "a1", all)
		for k, want := range []Distance{SameZone, SameZone, SameZone, SameRegion, OtherRegion, OtherRegion} {
			must.Eq(t, want, regions.Distance("a1", all[k].Zone))
		}
		first[all[0].IP]++
		fewer := []Process{all[5], all[1], all[3], all[2], all[4]}
		regions.Order(caller, "a1", fewer)
		must.Eq(t, all[1:], fewer) // the others keep their order
	}
	for _, ip := range []string{"3", "5", "6"} {
		must.Between(t, 70, first[ip], 130, must.Sprint(ip))
	}
}
