package controller

import (
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
	"willowsill/decide/register"
)

// TestRefusedContentAfterRestart guards against refused content that edges get as the configuration in force. The
// controller that wrote it was cut off during the write, so its disk has the refused content under a revision that is
// committed with other content. Then it restarts.
func TestRefusedContentAfterRestart(t *testing.T) {
	b := newCluster(t, 5)
	b.run(4000 * ms)
	must.Eq(t, statusOK, b.untilAnswered(b.put(b.names[0], 7, "old")))
	b.run(2000 * ms)
	alone := b.names[4]
	writing := false
	b.cut = func(from, to string) bool { return writing && (from == alone) != (to == alone) }
	b.tamper = func(_ int, message *Message) (copies int, delay int64) {
		if m := message.Register; message.From == alone && m != nil && m.Kind == register.Accept && m.Value.Revision == 8 {
			writing = true
		}
		return 1, 0
	}
	refused := b.put(alone, 8, "left")
	b.runUntil(500*ms, func() bool { return writing })
	must.True(t, writing)
	must.Eq(t, statusOK, b.untilAnswered(b.put(b.names[0], 8, "right")))
	b.run(3000 * ms)
	must.Eq(t, statusUnavailable, b.answers[refused].Status)
	b.cut, b.tamper = nil, nil
	b.run(5000 * ms)
	server := b.servers[alone]
	must.Eq(t, "right", string(server.edgeState.Raw)) // it has learned the committed content
	must.Eq(t, "left", unpacked(t, server.saved.RegisterState.Value))

	server.up = false
	b.run(500 * ms)
	b.start(alone, false)
	must.Eq(t, "", string(server.edgeState.Raw)) // the content on its disk was never committed
	b.run(2000 * ms)
	must.Eq(t, "right", string(server.edgeState.Raw))
}

// unpacked returns the unpacked configuration of a value of the register.
func unpacked(t *testing.T, value register.Value) string {
	t.Helper()
	raw, ok := clusterstate.Unpack(value.Body)
	must.True(t, ok)
	return string(raw)
}
