package memoryplan

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/transport/daemon"
)

// TestSumFits (FAULT): what all places of a program hold together is within the soft limit, beyond which the garbage collector takes the
// processor, and within the limit itself while all buffers grow.
func TestSumFits(t *testing.T) {
	for program, places := range Programs {
		sum := 0.0
		for _, place := range places {
			sum += place.Share
		}
		must.LessEq(t, daemon.SoftMemoryLimitShare, OwnShare+sum, must.Sprint(program))
		must.LessEq(t, 1, OwnShare+GrowthFactor*sum, must.Sprint(program))
	}
}

// TestPage: the table of the operators' page has each place with its share.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/memory.md")
	must.NoError(t, err)
	for program, places := range Programs {
		for _, place := range places {
			must.StrContains(t, string(page), fmt.Sprintf("| %s | %s | %.2f |", program, place.Name, place.Share))
		}
	}
	must.Eq(t, 7, strings.Count(string(page), " | 0."), must.Sprint("rows of places"))
}
