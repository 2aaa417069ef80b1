package checker

import "testing"

// The checks of link rates and quotas report a violation when the bound is exceeded, and none below it.
func TestBounds(t *testing.T) {
	a := NewAggregator("a", Bounds{FullCoverage: 1, MaxExecutions: 3})
	for i := range 200 { // 100 per second, at a limit of 100
		a.RecordForward(int64(i)*10e6, 0, 100)
	}
	if len(a.Violations) > 0 {
		t.Errorf("within the link's limit: %v", a.Violations)
	}
	for range 60 {
		a.RecordForward(2e9, 0, 100)
	}
	if len(a.Violations) == 0 || a.Violations[0].Rule != RuleLinkRate {
		t.Errorf("over the link's limit: %v", a.Violations)
	}
	var times []int64
	for i := range 1000 {
		times = append(times, int64(i)*100e6) // 10 per second
	}
	if b := CheckQuota(times, "c", 10, 10, 10, 5); b != nil {
		t.Errorf("within its quota: %v", b)
	}
	for i := range times {
		times[i] /= 20
	}
	if b := CheckQuota(times, "c", 10, 10, 10, 5); len(b) != 1 || b[0].Rule != RuleQuota {
		t.Errorf("at twenty times its quota: %v", b)
	}
}
