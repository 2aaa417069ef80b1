package notices

import (
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/muster"
)

func TestNeverBack(t *testing.T) {
	b := NewBook()
	up := muster.Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 3}
	leaving := up
	leaving.Phase, leaving.Seq = muster.Draining, 4
	fresh := b.Take(Notice{Revision: 5, Body: []byte("five"), Replicas: []muster.Record{up}})
	must.Eq(t, 5, fresh.Revision)
	must.SliceLen(t, 1, fresh.Replicas)
	must.SliceLen(t, 1, b.Take(Notice{Replicas: []muster.Record{leaving}}).Replicas)
	// A feeder that is behind says nothing new.
	must.True(t, b.Take(Notice{Whole: true, Revision: 4, Body: []byte("four"), Replicas: []muster.Record{up}}).Empty())
	must.Eq(t, "five", string(b.Body))
	// Nor does one that says again what is known.
	must.True(t, b.Take(b.Whole()).Empty())
	// A follower of the follower ends up with the same.
	next := NewBook()
	next.Take(b.Whole())
	must.Eq(t, b.Whole(), next.Whole())
}
