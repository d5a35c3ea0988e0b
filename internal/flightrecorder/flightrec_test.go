package flightrecorder

import (
	"strings"
	"sync"
	"testing"
)

func noReason(Event, uint8) string { return "" }

// The ring holds the last events in their order, and writes a line for each.
func TestRing(t *testing.T) {
	r := New(4, func(e Event, reason uint8) string {
		if e == RequestEnded {
			return "answered"
		}
		return ""
	})
	for id := range uint64(3) {
		r.Add(Entry{Event: RequestArrived, ID: id})
	}
	if got := r.Entries(); len(got) != 3 || got[0].ID != 0 {
		t.Errorf("%+v", got)
	}
	for id := range uint64(4) {
		r.Add(Entry{Event: RequestEnded, ID: 3 + id, Endpoint: 7, Attempt: 1})
	}
	got := r.Entries()
	for i, e := range got {
		if e.ID != uint64(3+i) {
			t.Errorf("place %d holds %d", i, e.ID)
		}
	}
	var text strings.Builder
	if n, err := r.WriteTo(&text); err != nil || int(n) != text.Len() {
		t.Errorf("%d bytes, %v", n, err)
	}
	if s := text.String(); strings.Count(s, "\n") != 4 || !strings.Contains(s, "request ended") ||
		!strings.Contains(s, "node=7 attempt=1 reason=answered") {
		t.Error(s)
	}
}

// Many record at once; a recorder that there is not takes everything and holds nothing.
func TestSafe(t *testing.T) {
	var none *Recorder
	none.Add(Entry{})
	if n, err := none.WriteTo(nil); n != 0 || err != nil || none.Entries() != nil {
		t.Error("a recorder that there is not holds something")
	}
	r := New(16, noReason)
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for range 1000 {
				r.Add(Entry{Event: AttemptSent})
			}
		})
	}
	all.Wait()
	if r.next != 4000 || len(r.Entries()) != 16 {
		t.Errorf("%d events", r.next)
	}
}

// Each event has a name of its own.
func TestNames(t *testing.T) {
	seen := map[string]bool{}
	for e := range Violation + 1 {
		if e.String() == "" || seen[e.String()] {
			t.Errorf("event %d: %q", e, e)
		}
		seen[e.String()] = true
	}
	if len(names) != int(Violation)+1 {
		t.Errorf("%d names for %d events", len(names), Violation+1)
	}
}

// What an event costs, and that it allocates nothing.
func BenchmarkAdd(b *testing.B) {
	r := New(4096, noReason)
	b.ReportAllocs()
	for b.Loop() {
		r.Add(Entry{Event: AttemptSent, ID: 7, Endpoint: 8, Attempt: 1, Value: 1500})
	}
}
