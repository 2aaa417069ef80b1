package weightedsplit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/routeconfig"
)

const (
	window   = 300  // requests that the rule looks at
	mostOff  = 0.06 // that a share may lie off its weight's in any window
	drawsOff = 0.07 // that it lies off where each request is drawn by itself, and more
)

// split is a route with weights for services named by their places.
func split(weights ...float64) *routeconfig.Route {
	r := &routeconfig.Route{Name: "split"}
	for i, w := range weights {
		r.Targets = append(r.Targets, routeconfig.Target{Service: fmt.Sprint("s", i), Weight: w})
	}
	return r
}

// bySequences returns the positions of requests that come to edges at random, some edges more often than others.
func bySequences(edges int, seed uint64) (position func() float64) {
	draw := rand.New(rand.NewPCG(seed, 0))
	var sequences []*Sequence
	for i := range edges {
		sequences = append(sequences, New(fmt.Sprint("10.0.", seed, ".", i), "split"))
	}
	return func() float64 { return sequences[int(float64(edges)*draw.Float64()*draw.Float64())].Next() }
}

// worstOff returns how far the share of any service lies off its weight's in any window of a day's requests.
func worstOff(route *routeconfig.Route, position func() float64) (worst float64) {
	const requests = 3000
	total := 0.0
	for _, target := range route.Targets {
		total += target.Weight
	}
	var chosen []string
	for range requests {
		chosen = append(chosen, route.Pick(position()))
	}
	for from := 0; from+window <= len(chosen); from++ {
		counts := map[string]int{}
		for _, service := range chosen[from : from+window] {
			counts[service]++
		}
		for _, target := range route.Targets {
			share := float64(counts[target.Service]) / window
			worst = max(worst, math.Abs(share-target.Weight/total))
		}
	}
	return worst
}

// TestSharesInEveryWindow: any 300 requests in a row are shared as the weights say, at one edge and over many; a draw for
// each request by itself, as by a hash of its id, lies further off in some of them.
func TestSharesInEveryWindow(t *testing.T) {
	for _, weights := range [][]float64{{1, 1}, {1, 3}, {1, 9}, {5, 95}, {2, 3, 5}, {0, 1, 1}} {
		for _, edges := range []int{1, 9, 60} {
			for seed := range uint64(3) {
				worst := worstOff(split(weights...), bySequences(edges, seed))
				must.Less(t, mostOff, worst, must.Sprint(weights, " over ", edges, " edges, seed ", seed))
			}
		}
	}
	draw := rand.New(rand.NewPCG(1, 0))
	must.Greater(t, drawsOff, worstOff(split(1, 1), draw.Float64))
}

// TestAnotherWeightNextTime: a sequence goes on when the weights change, and the new ones hold at once.
func TestAnotherWeightNextTime(t *testing.T) {
	sequence := New("10.0.0.1", "split")
	before, after := split(1, 1), split(1, 9)
	for range 17 {
		before.Pick(sequence.Next())
	}
	first := 0
	for range window {
		if after.Pick(sequence.Next()) == "s0" {
			first++
		}
	}
	must.Between(t, 27, first, 33)
}

// TestPositions: each lies from 0 up to 1, also after very many.
func TestPositions(t *testing.T) {
	sequence := New("10.0.0.1", "split")
	sequence.issued.Store(1 << 40)
	for range 1000 {
		position := sequence.Next()
		must.GreaterEq(t, 0, position)
		must.Less(t, 1, position)
	}
}
