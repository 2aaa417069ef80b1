package register_test

import (
	"fmt"

	"willowsill/decide/register"
)

// A write consists of a Query, a Prepare and an Accept. Here each of three acceptors answers at once.
func Example() {
	members := register.Value{Members: []string{"a", "b", "c"}}
	acceptors := map[string]*register.Acceptor{}
	for _, name := range members.Members {
		acceptors[name] = &register.Acceptor{State: register.State{Value: members}, CaughtUp: true}
	}
	p := register.NewProposer("a/1", members, func() float64 { return 0.5 })
	_, out := p.Edit(0, func(v register.Value) (register.Value, bool) {
		v.Revision, v.Body = 7, []byte("seven")
		return v, true
	})
	for len(out.Done) == 0 {
		request := out
		for _, name := range request.To {
			answer, _, _ := acceptors[name].Step(request.Send) // a real acceptor syncs before it answers
			if o := p.Step(0, name, answer); len(o.To)+len(o.Done) > 0 {
				out = o
				break
			}
		}
	}
	fmt.Println(out.Done[0].Value.Revision, string(out.Done[0].Value.Body))
	// Output: 7 seven
}
