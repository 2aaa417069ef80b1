package deduplication

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1e9)

var testLimits = Limits{MaxIDs: 20, MaxAnswerBytes: 200, Retention: 10 * second}

// TestRunsOnce: whatever the order of events and planned restarts, an id runs only once within its retention time, a
// repeated query gets the same answer or the verdict that the result is unknown, and the limits hold.
func TestRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, now := New(testLimits), int64(0)
		type record struct {
			state  string
			at     int64
			answer string
		}
		records := map[string]record{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, second).Draw(t, "time")
			id := fmt.Sprint("q", rapid.IntRange(0, 30).Draw(t, "id"))
			want, known := records[id]
			expired := known && want.state != "running" && now-want.at > testLimits.Retention
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4:
				verdict, answer := w.Begin(now, id)
				switch verdict {
				case FirstSeen:
					if known && !expired {
						t.Fatalf("query %s runs again: %+v, now %d", id, want, now)
					}
					records[id] = record{"running", now, ""}
				case InProgress:
					if want.state != "running" {
						t.Fatalf("query %s is in progress, want %+v", id, want)
					}
				case Answered:
					if want.state != "ended" || string(answer) != want.answer {
						t.Fatalf("query %s got answer %q, want %+v", id, answer, want)
					}
				case Interrupted:
					if !known || want.state == "running" {
						t.Fatalf("query %s is interrupted, want %+v", id, want)
					}
				}
			case 5, 6:
				if want.state == "running" {
					text := fmt.Sprint("answer to ", id, " at ", now)
					w.End(now, id, []byte(text))
					records[id] = record{"ended", now, text}
				}
			case 7:
				if want.state == "running" {
					w.Discard(id)
					delete(records, id)
				}
			case 8:
				if want.state == "running" {
					w.Interrupt(now, id)
					records[id] = record{"cut", now, ""}
				}
			case 9: // a planned restart
				snapshot, age := w.Snapshot(now), rapid.Int64Range(0, 3*second).Draw(t, "away")
				now += age
				w = New(testLimits)
				if err := w.Restore(now, age, snapshot); err != nil {
					t.Fatal(err)
				}
				for id, r := range records {
					if r.state == "running" {
						records[id] = record{"cut", r.at, ""}
					}
				}
			}
			if w.Len() > testLimits.MaxIDs || w.answerBytes > testLimits.MaxAnswerBytes {
				t.Fatalf("%d ids and %d bytes exceed the limits", w.Len(), w.answerBytes)
			}
		}
	})
}

// TestDamaged: a damaged snapshot is rejected, and nothing of it is restored.
func TestDamaged(t *testing.T) {
	w := New(testLimits)
	for i := range 5 {
		id := fmt.Sprint("q", i)
		w.Begin(0, id)
		w.End(second, id, []byte("answer"))
	}
	snapshot := w.Snapshot(second)
	for i := range snapshot {
		for _, damaged := range [][]byte{snapshot[:i], append(append(bytes.Clone(snapshot[:i]), snapshot[i]^0x40), snapshot[i+1:]...)} {
			restored := New(testLimits)
			if err := restored.Restore(second, 0, damaged); err == nil || restored.Len() != 0 {
				t.Fatalf("snapshot damaged at byte %d: error %v, %d ids restored", i, err, restored.Len())
			}
		}
	}
	restored := New(testLimits)
	if err := restored.Restore(20*second, 0, snapshot); err != nil || restored.Len() != 5 {
		t.Errorf("error %v, %d ids restored", err, restored.Len())
	}
	if err := New(testLimits).Restore(20*second, 19*second, snapshot); err != nil {
		t.Error(err)
	}
}

// FuzzRestore: Restore keeps the limits for any input.
func FuzzRestore(f *testing.F) {
	w := New(testLimits)
	w.Begin(0, "q")
	f.Add(w.Snapshot(0))
	f.Fuzz(func(t *testing.T, input []byte) {
		restored := New(testLimits)
		restored.Restore(0, 0, input)
		if restored.Len() > testLimits.MaxIDs || restored.answerBytes > testLimits.MaxAnswerBytes {
			t.Errorf("%d ids and %d bytes exceed the limits", restored.Len(), restored.answerBytes)
		}
	})
}
