package wire

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// playBatch handles one batch with a new adapter, fails the test on an error, and returns the output.
func playBatch(t *testing.T, events string) string {
	t.Helper()
	out, err := serveBatch(events)
	must.NoError(t, err)
	return out
}

// TestDrainsAtOnce: a replica that is listed as draining or gone gets no part from that batch on. The simulator
// allows some time for that (250 ms is the shortest stated), but the adapter uses none of it.
func TestDrainsAtOnce(t *testing.T) {
	for _, state := range []string{"L", "D"} {
		news := `{"event_type":"POOL","sheet":1,"items":[{"place":0,"lifecycle":"` + state + `","launched":null,"replica":"r:1"}]}
{"event_type":"MEMBERS","who":1,"scope":"Partial","gen":2,"sheet":1}
`
		must.StrContains(t, playBatch(t, boot+query), `"event_type":"SEND"`)
		must.StrNotContains(t, playBatch(t, boot+news+query), `"event_type":"SEND"`)
	}
}

// TestUnknownKeysAreIgnored: settings, events and list entries may hold keys that the adapter does not know.
func TestUnknownKeysAreIgnored(t *testing.T) {
	more := strings.Replace(boot, `"tick":5,`, `"tick":5,"weights":"rough","over_share_worth":0.2,"of_late":{"x":[1]},`, 1)
	more = strings.Replace(more, `"launched":null,`, `"launched":null,"weight":1.5,"zone":"z","of_late":true,`, 1)
	must.StrContains(t, playBatch(t, more+query), `"event_type":"SEND"`)
}
