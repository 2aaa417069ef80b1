package deduplication

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1e9)

var terms = Limits{MaxIDs: 20, MaxAnswerBytes: 200, Retention: 10 * second}

// Whatever comes, and whenever a planned restart does: within its time an id runs once, a repeat gets its answer or is
// told that it is not known, and the bounds are kept.
func TestRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, now := New(terms), int64(0)
		type life struct {
			state string
			at    int64
			text  string
		}
		truth := map[string]life{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, second).Draw(t, "time")
			id := fmt.Sprint("q", rapid.IntRange(0, 30).Draw(t, "id"))
			was, known := truth[id]
			old := known && was.state != "running" && now-was.at > terms.Retention
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4:
				verdict, answer := w.Begin(now, id)
				switch verdict {
				case FirstSeen:
					if known && !old {
						t.Fatalf("%s runs again: %+v, now %d", id, was, now)
					}
					truth[id] = life{"running", now, ""}
				case InProgress:
					if was.state != "running" {
						t.Fatalf("%s joined %+v", id, was)
					}
				case Answered:
					if was.state != "ended" || string(answer) != was.text {
						t.Fatalf("%s got %q, %+v", id, answer, was)
					}
				case Interrupted:
					if !known || was.state == "running" {
						t.Fatalf("%s is cut off, %+v", id, was)
					}
				}
			case 5, 6:
				if was.state == "running" {
					text := fmt.Sprint("answer to ", id, " at ", now)
					w.End(now, id, []byte(text))
					truth[id] = life{"ended", now, text}
				}
			case 7:
				if was.state == "running" {
					w.Discard(id)
					delete(truth, id)
				}
			case 8:
				if was.state == "running" {
					w.Interrupt(now, id)
					truth[id] = life{"cut", now, ""}
				}
			case 9: // a planned restart
				snapshot, away := w.Snapshot(now), rapid.Int64Range(0, 3*second).Draw(t, "away")
				now += away
				w = New(terms)
				if err := w.Restore(now, away, snapshot); err != nil {
					t.Fatal(err)
				}
				for id, l := range truth {
					if l.state == "running" {
						truth[id] = life{"cut", l.at, ""}
					}
				}
			}
			if w.Len() > terms.MaxIDs || w.answerBytes > terms.MaxAnswerBytes {
				t.Fatalf("%d ids and %d bytes", w.Len(), w.answerBytes)
			}
		}
	})
}

// Danger: a damaged snapshot is taken whole or not at all.
func TestDamaged(t *testing.T) {
	w := New(terms)
	for i := range 5 {
		id := fmt.Sprint("q", i)
		w.Begin(0, id)
		w.End(second, id, []byte("answer"))
	}
	good := w.Snapshot(second)
	for i := range good {
		for _, text := range [][]byte{good[:i], append(append(bytes.Clone(good[:i]), good[i]^0x40), good[i+1:]...)} {
			fresh := New(terms)
			if err := fresh.Restore(second, 0, text); err == nil || fresh.Len() != 0 {
				t.Fatalf("at byte %d: %v, %d ids", i, err, fresh.Len())
			}
		}
	}
	fresh := New(terms)
	if err := fresh.Restore(20*second, 0, good); err != nil || fresh.Len() != 5 {
		t.Errorf("%v, %d ids", err, fresh.Len())
	}
	if err := New(terms).Restore(20*second, 19*second, good); err != nil {
		t.Error(err)
	}
}

func FuzzRestore(f *testing.F) {
	w := New(terms)
	w.Begin(0, "q")
	f.Add(w.Snapshot(0))
	f.Fuzz(func(t *testing.T, text []byte) {
		fresh := New(terms)
		fresh.Restore(0, 0, text)
		if fresh.Len() > terms.MaxIDs || fresh.answerBytes > terms.MaxAnswerBytes {
			t.Errorf("%d ids, %d bytes", fresh.Len(), fresh.answerBytes)
		}
	})
}
