package memoryshare

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const total = 1 << 20

// takeAll lets a peer take pieces until it may not hold more, and returns what it holds.
func takeAll(p *Pool, peer Peer, piece int64) (held int64) {
	for p.Take(peer, piece) {
		held += piece
	}
	return held
}

// TestOneAlone: a peer that is alone may hold a third, and its group half.
func TestOneAlone(t *testing.T) {
	p := New(total)
	must.Between(t, total/3-64, takeAll(p, Peer{"a", "1"}, 16), total/3)
	for n := range 50 {
		takeAll(p, Peer{"a", fmt.Sprint(n)}, 16)
	}
	must.Between(t, total*9/20, p.Held(), total/2)
}

// TestNoNeighbourPays (FAULT): while a group takes all that it can get, with many peers, another one still finds a quarter.
func TestNoNeighbourPays(t *testing.T) {
	p := New(total)
	for n := range 300 {
		takeAll(p, Peer{"flooding", fmt.Sprint(n)}, 16)
	}
	held := int64(0)
	for n := range 300 {
		held += takeAll(p, Peer{"other", fmt.Sprint(n)}, 16)
	}
	must.Greater(t, total/5, held)
	must.True(t, p.Take(Peer{"third", "1"}, total/32))
}

// TestPeersOfOneGroup (FAULT): a peer that takes all it can get leaves room to others of its group.
func TestPeersOfOneGroup(t *testing.T) {
	p := New(total)
	takeAll(p, Peer{"a", "flooding"}, 16)
	must.Greater(t, total/9, takeAll(p, Peer{"a", "other"}, 16))
}

// TestNothingIsLost: however pieces are taken and given back, the pool never holds more than its total, a refusal changes nothing, and
// in the end nothing is held or kept.
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(total)
		type piece struct {
			peer  Peer
			bytes int64
		}
		var taken []piece
		sum := int64(0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if len(taken) > 0 && rapid.Bool().Draw(t, "release") {
				n := rapid.IntRange(0, len(taken)-1).Draw(t, "which")
				p.Release(taken[n].peer, taken[n].bytes)
				sum -= taken[n].bytes
				taken = append(taken[:n], taken[n+1:]...)
			} else {
				next := piece{Peer{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "group"), rapid.SampledFrom([]string{"1", "2"}).Draw(t, "name")}, rapid.Int64Range(0, total).Draw(t, "bytes")}
				if p.Take(next.peer, next.bytes) {
					taken = append(taken, next)
					sum += next.bytes
				}
			}
			must.Eq(t, sum, p.Held())
			must.LessEq(t, total, p.Held())
		}
		for _, each := range taken {
			p.Release(each.peer, each.bytes)
		}
		must.Eq(t, 0, p.Held())
		must.MapEmpty(t, p.groups)
	})
}
