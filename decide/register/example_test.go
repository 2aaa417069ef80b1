package register_test

import (
	"fmt"

	"willowsill/decide/register"
)

// A write goes through a question, a promise and a take; here three disks answer each at once.
func Example() {
	members := register.Value{Members: []string{"a", "b", "c"}}
	disks := map[string]*register.Acceptor{}
	for _, name := range members.Members {
		disks[name] = &register.Acceptor{State: register.State{Value: members}, CaughtUp: true}
	}
	p := register.NewProposer("a/1", members, func() float64 { return 0.5 })
	_, out := p.Edit(0, func(v register.Value) (register.Value, bool) {
		v.Revision, v.Body = 7, []byte("seven")
		return v, true
	})
	for len(out.Done) == 0 {
		ask := out
		for _, name := range ask.To {
			answer, _, _ := disks[name].Step(ask.Send) // a true disk syncs before it answers
			if o := p.Step(0, name, answer); len(o.To)+len(o.Done) > 0 {
				out = o
				break
			}
		}
	}
	fmt.Println(out.Done[0].Value.Revision, string(out.Done[0].Value.Body))
	// Output: 7 seven
}
