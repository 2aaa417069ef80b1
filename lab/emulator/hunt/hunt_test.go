package hunt

import (
	"reflect"
	"slices"
	"testing"

	"willowsill/lab/emulator"
)

// The search finds the fault that does harm and removes all others, and the same search gives the same result.
func TestSearch(t *testing.T) {
	terms := Config{Seed: 5, MaxSchedules: 150, MaxFaults: 4, Replicas: 12, MaxReplicasPerFault: 4, From: 1e9, Until: 20e9}
	evaluate := func(faults []emulator.Fault) Score { // harmful is only a hang of replica 3 or 4 that covers the time 12 s
		share := 1.0
		for _, f := range faults {
			if f.Kind == "hang" && (slices.Contains(f.Replicas, 3) || slices.Contains(f.Replicas, 4)) && f.From < 12e9 && f.Until > 12e9 {
				share = 0.5
			}
		}
		return Score{Share: share}
	}
	found := Search(terms, evaluate)
	if len(found.Faults) != 1 || found.Faults[0].Kind != "hang" || len(found.Faults[0].Replicas) != 1 || found.Score.Share != 0.5 {
		t.Errorf("%+v", found)
	}
	if again := Search(terms, evaluate); !reflect.DeepEqual(again, found) {
		t.Errorf("the same search found %+v and then %+v", found, again)
	}
	rules := Search(terms, func(faults []emulator.Fault) Score { // a violated rule is worse than any share
		v := evaluate(faults)
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
