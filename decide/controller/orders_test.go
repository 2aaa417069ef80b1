package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"willowsill/decide/clusterstate"
)

// These tests check the answers to operators' orders, in a simulated cluster.

// sentOrder is an order as an operator sends it, maybe several times.
type sentOrder struct {
	revision uint64
	content  string
}

// operators send orders and record the answers. They fail the test if two contents are confirmed under one revision, or
// if a confirmed order is refused.
type operators struct {
	fail      func(format string, values ...any)
	cluster   *cluster
	calls     map[uint64]sentOrder // orders sent, by call ID
	confirmed map[uint64]string    // content by revision
	refused   map[sentOrder]bool
	collected map[uint64]bool // IDs of calls whose answer has been recorded
}

func newOperators(b *cluster, fail func(string, ...any)) *operators {
	return &operators{fail: fail, cluster: b, calls: map[uint64]sentOrder{}, confirmed: map[uint64]string{},
		refused: map[sentOrder]bool{}, collected: map[uint64]bool{}}
}

// send sends an order to a controller and returns the call's ID, 0 if the controller is down.
func (o *operators) send(name string, s sentOrder) uint64 {
	if !o.cluster.servers[name].up {
		return 0
	}
	id := o.cluster.put(name, s.revision, s.content)
	o.calls[id] = s
	return id
}

// collectAnswers records the answers that have come since the last call.
func (o *operators) collectAnswers() {
	for id, s := range o.calls {
		answer, answered := o.cluster.answers[id]
		if !answered || o.collected[id] {
			continue
		}
		o.collected[id] = true
		switch answer.Status {
		case 200:
			if was, ok := o.confirmed[s.revision]; ok && was != s.content {
				o.fail("revision %d is confirmed with %q and with %q", s.revision, was, s.content)
			}
			o.confirmed[s.revision] = s.content
		case 409:
			o.refused[s] = true
		case 503:
		default:
			o.fail("an order was answered with status %d", answer.Status)
		}
	}
	for revision, content := range o.confirmed {
		if o.refused[sentOrder{revision, content}] {
			o.fail("revision %d with %q was confirmed and refused", revision, content)
		}
	}
}

// answered sends an order to one controller after another until it is answered 200 or 409, and returns that status.
func (o *operators) answered(s sentOrder, first int) int {
	names := o.cluster.names
	for try := range 12 {
		id := o.send(names[(first+try)%len(names)], s)
		if id == 0 {
			continue
		}
		status := o.cluster.untilAnswered(id)
		o.collectAnswers()
		if status == 200 || status == 409 {
			return status
		}
	}
	o.fail("revision %d was answered neither 200 nor 409", s.revision)
	return 0
}

// disturbMessages randomly delays, loses and duplicates messages while on is true.
func disturbMessages(b *cluster, random *rand.Rand, on *bool) {
	b.tamper = func(_ int, message *Message) (int, int64) {
		if !*on {
			return 1, 0
		}
		delay := int64(random.IntN(60)) * ms
		switch random.IntN(12) {
		case 0:
			return 0, 0
		case 1:
			return 2, delay
		case 2:
			return 1, 400 * ms
		}
		return 1, delay
	}
}

// TestTwoContentsUnderOneNumber guards against two contents that are confirmed under one revision. It sends both to two
// controllers at once, with random delays, losses and duplicates of messages. At most one may be confirmed, also when
// both are sent again to all controllers, and a read must return that one.
func TestTwoContentsUnderOneNumber(t *testing.T) {
	t.Parallel()
	seeds := uint64(300)
	if testing.Short() {
		seeds = 60
	}
	winners := map[string]int{}
	for seed := range seeds {
		random := rand.New(rand.NewPCG(seed, 49))
		b := newCluster(t, 3)
		b.run(400 * ms)
		on := true
		disturbMessages(b, random, &on)
		o := newOperators(b, func(format string, values ...any) { t.Fatalf("seed %d: "+format, append([]any{seed}, values...)...) })
		one, other := sentOrder{7, "one"}, sentOrder{7, "other"}
		first := random.IntN(3)
		o.send(b.names[first], one)
		b.run(int64(random.IntN(40)) * ms)
		o.send(b.names[(first+1+random.IntN(2))%3], other)
		for range random.IntN(4) {
			b.run(int64(random.IntN(300)) * ms)
			o.send(b.names[random.IntN(3)], []sentOrder{one, other}[random.IntN(2)])
		}
		b.run(1200 * ms)
		o.collectAnswers()
		on = false
		for at := range 3 {
			statuses := [2]int{o.answered(one, at), o.answered(other, at)}
			must.True(t, statuses == [2]int{200, 409} || statuses == [2]int{409, 200}, must.Sprint("seed ", seed, ": ", statuses))
		}
		read := b.read(b.names[random.IntN(3)])
		must.Eq(t, o.confirmed[7], string(read.Body), must.Sprint("seed ", seed))
		winners[o.confirmed[7]]++
	}
	must.MapLen(t, 2, winners, must.Sprint("the same content won with all seeds: ", winners))
}

// TestLoserOfARaceStaysTheLoser checks that, after later changes and after a loss of power everywhere, other content
// under a confirmed revision is still refused, and the confirmed content is still acknowledged.
func TestLoserOfARaceStaysTheLoser(t *testing.T) {
	b := newCluster(t, 5)
	b.run(3000 * ms)
	o := newOperators(b, t.Fatalf)
	must.Eq(t, 200, o.answered(sentOrder{5, "five"}, 0))
	must.Eq(t, 200, o.answered(sentOrder{9, "nine"}, 1))
	for at := range b.names {
		must.Eq(t, 200, o.answered(sentOrder{5, "five"}, at))
		must.Eq(t, 409, o.answered(sentOrder{5, "other"}, at))
	}
	b.restartAll()
	for at := range b.names {
		must.Eq(t, 409, o.answered(sentOrder{5, "other"}, at))
		must.Eq(t, 409, o.answered(sentOrder{9, "other"}, at))
		must.Eq(t, 200, o.answered(sentOrder{5, "five"}, at))
		must.Eq(t, 200, o.answered(sentOrder{9, "nine"}, at))
	}
}

// restartAll stops all controllers at once, as in a loss of power, and starts them again.
func (b *cluster) restartAll() {
	for _, name := range b.names {
		b.servers[name].up = false
	}
	b.events = nil
	b.run(300 * ms)
	for _, name := range b.names {
		b.start(name, false)
	}
	b.run(2500 * ms)
}

// TestOvertakenNumberHasOneContent checks that an order below the revision in force is acknowledged and changes nothing,
// and that other content under its revision is refused from then on.
func TestOvertakenNumberHasOneContent(t *testing.T) {
	b := newCluster(t, 5)
	b.run(3000 * ms)
	o := newOperators(b, t.Fatalf)
	must.Eq(t, 200, o.answered(sentOrder{9, "nine"}, 0))
	must.Eq(t, 200, o.answered(sentOrder{5, "five"}, 1))
	must.Eq(t, "nine", string(b.read(b.names[2]).Body))
	must.Eq(t, 409, o.answered(sentOrder{5, "other"}, 3))
	b.restartAll()
	must.Eq(t, 409, o.answered(sentOrder{5, "other"}, 4))
	must.Eq(t, 200, o.answered(sentOrder{5, "five"}, 0))
	must.Eq(t, "nine", string(b.read(b.names[2]).Body))
}

// TestSameOrderAtTwoControllers checks that an order that reaches several controllers at once is confirmed by each.
func TestSameOrderAtTwoControllers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 7))
		b := newCluster(t, 3)
		b.run(400 * ms)
		one, other := b.put(b.names[0], 4, "four"), b.put(b.names[1], 4, "four")
		b.run(int64(random.IntN(30)) * ms)
		third := b.put(b.names[2], 4, "four")
		b.run(900 * ms)
		for _, id := range []uint64{one, other, third} {
			must.Eq(t, 200, b.answers[id].Status)
		}
	}
}

// TestEightOrdersAtOnce sends eight orders at nearly the same time, and then each again to another controller, as if its
// answer had been lost. All must be confirmed, and the one with the highest revision must be in force.
func TestEightOrdersAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 8))
		b := newCluster(t, 5)
		b.run(3000 * ms)
		o := newOperators(b, t.Fatalf)
		var orders []sentOrder
		for i := range uint64(8) {
			orders = append(orders, sentOrder{10 + 3*i, fmt.Sprint("content ", i)})
		}
		random.Shuffle(len(orders), func(i, j int) { orders[i], orders[j] = orders[j], orders[i] })
		for i, s := range orders {
			o.send(b.names[i%5], s)
			b.run(int64(random.IntN(8)) * ms)
		}
		b.run(1000 * ms)
		o.collectAnswers()
		for i, s := range orders { // send each again, as if its answer had been lost
			must.Eq(t, 200, o.answered(s, i+1))
		}
		must.Eq(t, "content 7", string(b.read(b.names[0]).Body))
	}
}

// TestHundredsOfChanges checks over 600 changes that any of the last 250 is acknowledged when it is sent again, and that
// other content under its revision is refused. An older order is acknowledged too and changes nothing.
func TestHundredsOfChanges(t *testing.T) {
	t.Parallel()
	b := newCluster(t, 3)
	b.run(400 * ms)
	o := newOperators(b, t.Fatalf)
	random := rand.New(rand.NewPCG(600, 49))
	var confirmed []sentOrder
	revision := uint64(0)
	for change := range 600 {
		revision += 1 + uint64(random.IntN(5))
		s := sentOrder{revision, fmt.Sprint("content ", change)}
		must.Eq(t, 200, o.answered(s, change))
		confirmed = append(confirmed, s)
		if change%10 > 0 {
			continue
		}
		back := confirmed[len(confirmed)-1-random.IntN(min(250, len(confirmed)))]
		must.Eq(t, 200, o.answered(back, random.IntN(3)))
		must.Eq(t, 409, o.answered(sentOrder{back.revision, "other"}, random.IntN(3)))
		if change == 300 {
			b.servers[b.names[2]].up = false
		} else if change == 400 {
			b.start(b.names[2], false)
		}
	}
	must.Eq(t, 200, o.answered(confirmed[3], 1))
	last := confirmed[len(confirmed)-1]
	must.Eq(t, last.content, string(b.read(b.names[2]).Body))
}

// TestOrdersByLot sends random orders: new revisions, repeated orders and other content under a revision that has one,
// while controllers are killed or cut off and messages are lost. At most one content may be confirmed under a revision,
// no confirmed order may be refused, and a read must return the highest confirmed revision.
func TestOrdersByLot(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 49))
		b := newCluster(t, 3+2*random.IntN(2))
		b.run(400 * ms)
		on := true
		disturbMessages(b, random, &on)
		o := newOperators(b, r.Fatalf)
		var sent []sentOrder
		top := uint64(1)
		for range 40 {
			name := b.names[random.IntN(len(b.names))]
			switch k := random.IntN(20); {
			case k < 6 || len(sent) == 0: // a new revision, or another order under the highest one
				top += uint64(random.IntN(3))
				s := sentOrder{top, fmt.Sprint("content ", len(sent))}
				sent = append(sent, s)
				o.send(name, s)
			case k < 9: // other content under a revision that was sent
				s := sentOrder{sent[random.IntN(len(sent))].revision, fmt.Sprint("content ", len(sent))}
				sent = append(sent, s)
				o.send(name, s)
			case k < 15: // an order is sent again
				o.send(name, sent[random.IntN(len(sent))])
			case k < 16:
				b.servers[name].up = false
			case k < 17:
				b.cut = func(from, to string) bool { return from == name || to == name && k%2 == 0 }
			case k < 18:
				b.cut = nil
			default:
				for _, down := range b.names {
					if !b.servers[down].up {
						b.start(down, false)
					}
				}
			}
			b.run(int64(random.IntN(250)) * ms)
			o.collectAnswers()
		}
		on, b.cut = false, nil
		for _, down := range b.names {
			if !b.servers[down].up {
				b.start(down, false)
			}
		}
		b.run(3000 * ms)
		o.collectAnswers()
		for i, s := range sent {
			o.answered(s, i)
		}
		newest := uint64(0)
		for revision := range o.confirmed {
			newest = max(newest, revision)
		}
		read := b.read(b.names[random.IntN(len(b.names))])
		if string(read.Body) != o.confirmed[newest] {
			r.Fatalf("read %q, want the highest confirmed, %q under revision %d", read.Body, o.confirmed[newest], newest)
		}
	})
}

// TestOrdersBesideAnOlderVersion removes the recorded orders from each message, as controllers of a version without them
// do. The order in force must still be recognised by its content, and no confirmed order may be refused.
func TestOrdersBesideAnOlderVersion(t *testing.T) {
	b := newCluster(t, 3)
	b.run(400 * ms)
	b.tamper = func(_ int, message *Message) (int, int64) {
		if m := message.Register; m != nil {
			stripped := *m
			stripped.Value.Orders, stripped.State.Value.Orders = nil, nil
			message.Register = &stripped
		}
		return 1, 0
	}
	o := newOperators(b, t.Fatalf)
	for i, s := range []sentOrder{{3, "three"}, {8, "eight"}, {12, "twelve"}} {
		must.Eq(t, 200, o.answered(s, i))
		must.Eq(t, 200, o.answered(s, i+1))
		must.Eq(t, 409, o.answered(sentOrder{s.revision, "other"}, i+2))
	}
	b.tamper = nil
	must.Eq(t, 200, o.answered(sentOrder{3, "three"}, 0))
	must.Eq(t, 200, o.answered(sentOrder{12, "twelve"}, 1))
	must.Eq(t, clusterstate.Pack([]byte("twelve")), b.servers[b.names[0]].committed.Body)
}
