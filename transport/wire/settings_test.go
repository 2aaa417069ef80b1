package wire

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// playBatch plays one batch on a fresh adapter, without a fault, and returns what it wrote.
func playBatch(t *testing.T, events string) string {
	t.Helper()
	out, err := serveBatch(events)
	must.NoError(t, err)
	return out
}

// TestDrainsAtOnce: what is listed as draining or gone gets nothing from the batch on that tells of it, however short the
// time that the rules leave for that (250 ms at the least stated so far).
func TestDrainsAtOnce(t *testing.T) {
	for _, state := range []string{"L", "D"} {
		news := `{"event_type":"POOL","sheet":1,"items":[{"place":0,"lifecycle":"` + state + `","launched":null,"replica":"r:1"}]}
{"event_type":"MEMBERS","who":1,"scope":"Partial","gen":2,"sheet":1}
`
		must.StrContains(t, playBatch(t, boot+query), `"event_type":"SEND"`)
		must.StrNotContains(t, playBatch(t, boot+news+query), `"event_type":"SEND"`)
	}
}

// TestUnknownKeysAreIgnored: settings, events and entries may hold keys that the adapter does not know.
func TestUnknownKeysAreIgnored(t *testing.T) {
	more := strings.Replace(boot, `"tick":5,`, `"tick":5,"weights":"rough","over_share_worth":0.2,"of_late":{"x":[1]},`, 1)
	more = strings.Replace(more, `"launched":null,`, `"launched":null,"weight":1.5,"zone":"z","of_late":true,`, 1)
	must.StrContains(t, playBatch(t, more+query), `"event_type":"SEND"`)
}
