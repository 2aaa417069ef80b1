package register

// maxExchanges is more exchanges than the edits of a test need.
const maxExchanges = 100

// drive carries messages between a proposer and the acceptors that reach says are reachable, until there are none. It returns
// the edits that have ended.
func drive(t failer, now int64, p *Proposer, out Out, disks map[string]*Acceptor, reach func(to string, m Message) bool) (done []EditResult) {
	for n := 0; len(out.To) > 0; n++ {
		if n == maxExchanges {
			t.Fatalf("after %d exchanges there are still more: rounds without end", n)
		}
		var next Out
		for _, to := range out.To {
			if !reach(to, out.Send) {
				continue
			}
			answer, _, ok := disks[to].Step(out.Send)
			if !ok {
				continue
			}
			o := p.Step(now, to, answer)
			done = append(done, o.Done...)
			if len(o.To) > 0 {
				next = o
			}
		}
		out = next
	}
	return done
}

// everyone reports every acceptor as reachable.
func everyone(string, Message) bool { return true }

// newDisks returns the acceptors of the value's members, which hold the value.
func newDisks(v Value) map[string]*Acceptor {
	disks := map[string]*Acceptor{}
	for _, name := range v.Members {
		disks[name] = &Acceptor{State{Value: v}, true}
	}
	return disks
}
