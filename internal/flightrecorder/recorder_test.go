package flightrecorder

import (
	"strings"
	"sync"
	"testing"
)

func noReason(Event, uint8) string { return "" }

// The ring holds the last events in their order.
func TestRingHoldsLastEvents(t *testing.T) {
	r := New(4, noReason)
	for id := range uint64(3) {
		r.Add(Entry{Event: RequestArrived, ID: id})
	}
	if got := r.Entries(); len(got) != 3 || got[0].ID != 0 {
		t.Errorf("%+v", got)
	}
	for id := range uint64(4) {
		r.Add(Entry{Event: RequestEnded, ID: 3 + id})
	}
	got := r.Entries()
	if len(got) != 4 {
		t.Errorf("%d events", len(got))
	}
	for i, entry := range got {
		if entry.ID != uint64(3+i) {
			t.Errorf("place %d holds %d", i, entry.ID)
		}
	}
}

// Each event is written as a line of text.
func TestWriteTo(t *testing.T) {
	r := New(4, func(event Event, _ uint8) string {
		if event == RequestEnded {
			return "served"
		}
		return ""
	})
	for id := range uint64(7) { // the ring wraps
		r.Add(Entry{Event: RequestEnded, ID: id, Endpoint: 7, Attempt: 1})
	}
	var text strings.Builder
	if n, err := r.WriteTo(&text); err != nil || int(n) != text.Len() {
		t.Errorf("%d bytes, %v", n, err)
	}
	if got := text.String(); strings.Count(got, "\n") != 4 || !strings.Contains(got, "request ended") ||
		!strings.Contains(got, "endpoint=7 attempt=1 reason=served") {
		t.Error(got)
	}
}

func TestConcurrentAdds(t *testing.T) {
	r := New(16, noReason)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 1000 {
				r.Add(Entry{Event: AttemptSent})
			}
		})
	}
	writers.Wait()
	if r.recorded != 4000 || len(r.Entries()) != 16 {
		t.Errorf("%d events", r.recorded)
	}
}

// A recorder that is nil accepts everything and holds nothing.
func TestNilRecorderHoldsNothing(t *testing.T) {
	var none *Recorder
	none.Add(Entry{})
	if n, err := none.WriteTo(nil); n != 0 || err != nil || none.Entries() != nil {
		t.Error("a nil recorder holds something")
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
