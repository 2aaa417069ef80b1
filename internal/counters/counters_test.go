package counters

import (
	"encoding/json"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestSpread checks that quantiles match those of the sorted values to a bucket.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Int64Range(0, 1<<50), 1, 200).Draw(t, "values")
		share := rapid.Float64Range(0.01, 1).Draw(t, "share")
		var s Histogram
		for _, v := range values {
			s.Record(v)
		}
		slices.Sort(values)
		n := 0
		for n < len(values) && float64(n) < share*float64(len(values)) {
			n++
		}
		truth := values[max(n, 1)-1]
		if got := s.Quantile(share); got < truth || float64(got) > (1+1.0/histogramSteps)*float64(truth)+1 {
			t.Fatalf("quantile %v is %d, the value is %d", share, got, truth)
		}
	})
	var none Histogram
	none.Record(-5)
	if none.Quantile(0.99) != 0 {
		t.Error("a value below 0 does not count as 0")
	}
}

// TestSlot checks that an optional part is encoded only while it is set.
func TestSlot(t *testing.T) {
	c := New(map[string]int{"a": 0})
	text, _ := json.Marshal(c)
	var keys map[string]json.RawMessage
	json.Unmarshal(text, &keys)
	if _, there := keys["shared_store"]; there {
		t.Error("a component that is off is encoded")
	}
	c.SharedStore.Set(&Count{})
	text, _ = json.Marshal(c)
	if json.Unmarshal(text, &keys); string(keys["shared_store"]) != "0" {
		t.Errorf("encoded as %s", keys["shared_store"])
	}
}
