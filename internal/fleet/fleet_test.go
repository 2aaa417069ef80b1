package fleet

import "testing"

// One seed is one day, always the same.
func TestSameDay(t *testing.T) {
	p := Day(Hung, Good, 3)
	p.Span = 16 * second
	if a, b := Play(p).String(), Play(p).String(); a != b {
		t.Errorf("%s\n%s", a, b)
	}
}

// The store helps against a replica that hangs, and no query is left without its one answer whatever the store does.
func TestStoreHelps(t *testing.T) {
	met := map[StoreMode]int{}
	for _, mode := range StoreModes {
		r := Play(Day(Hung, mode, 1))
		met[mode] = r.AtSick
		if r.Wrong != 0 || r.Asked < 3000 {
			t.Errorf("%s: %v", mode, r)
		}
	}
	if met[Good] > 6*met[None]/10 {
		t.Errorf("executions at the replica that hangs: %v", met)
	}
}
