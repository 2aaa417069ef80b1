package hunt

import (
	"reflect"
	"slices"
	"testing"

	"willowsill/lab/emulator"
)

// What does the harm is found and all else is cut away; the same search finds the same.
func TestSearch(t *testing.T) {
	terms := Config{Seed: 5, MaxSchedules: 150, MaxFaults: 4, Replicas: 12, MaxReplicasPerFault: 4, From: 1e9, Until: 20e9}
	judge := func(faults []emulator.Fault) Score { // a hang at replica 3 or 4 harms, for as long as it is beyond 10 s
		share := 1.0
		for _, f := range faults {
			if f.Kind == "hang" && (slices.Contains(f.Replicas, 3) || slices.Contains(f.Replicas, 4)) && f.From < 12e9 && f.Until > 12e9 {
				share = 0.5
			}
		}
		return Score{Share: share}
	}
	found := Search(terms, judge)
	if len(found.Faults) != 1 || found.Faults[0].Kind != "hang" || len(found.Faults[0].Replicas) != 1 || found.Score.Share != 0.5 {
		t.Errorf("%+v", found)
	}
	if again := Search(terms, judge); !reflect.DeepEqual(again, found) {
		t.Errorf("%+v and %+v", found, again)
	}
	rules := Search(terms, func(faults []emulator.Fault) Score { // a rule goes before any share
		v := judge(faults)
		for _, f := range faults {
			if f.Kind == "drain" {
				v = Score{Rule: 3, Share: 1}
			}
		}
		return v
	})
	if rules.Score.Rule != 3 || len(rules.Faults) != 1 || rules.Faults[0].Kind != "drain" {
		t.Errorf("%+v", rules)
	}
}
