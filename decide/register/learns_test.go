package register

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestEmptiedDiskLearnsMembers: a proposer that knows no members learns members that have never changed, whose epoch is 0,
// and then carries its edits.
func TestEmptiedDiskLearnsMembers(t *testing.T) {
	members := Value{Members: []string{"a", "b", "c"}}
	p := NewProposer("c/2", Value{}, func() float64 { return 0 })
	_, out := p.Edit(0, func(v Value) (Value, bool) { return v, false })
	must.SliceEmpty(t, out.To)
	must.True(t, p.WouldLearn(members))
	p.Learn(members)
	must.Eq(t, members.Members, p.Tick(resendInterval).To)
	must.False(t, p.WouldLearn(Value{Members: []string{"x"}}))
}
