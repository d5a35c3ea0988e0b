package flightrecorder

import (
	"strings"
	"sync"
	"testing"
)

func noReason(Event, uint8) string { return "" }

// The recorder holds the last events in the order in which they were recorded.
func TestRingHoldsLastEvents(t *testing.T) {
	r := New(4, noReason)
	for id := range uint64(3) {
		r.Add(Entry{Event: RequestArrived, ID: id})
	}
	if got := r.Entries(); len(got) != 3 || got[0].ID != 0 {
		t.Errorf("got entries %+v, want 3 from ID 0", got)
	}
	for id := range uint64(4) {
		r.Add(Entry{Event: RequestEnded, ID: 3 + id})
	}
	got := r.Entries()
	if len(got) != 4 {
		t.Errorf("got %d events, want 4", len(got))
	}
	for i, entry := range got {
		if entry.ID != uint64(3+i) {
			t.Errorf("entry %d has ID %d, want consecutive IDs from 3", i, entry.ID)
		}
	}
}

// WriteTo writes each event as one line of text and returns the number of bytes written.
func TestWriteTo(t *testing.T) {
	r := New(4, func(event Event, _ uint8) string {
		if event == RequestEnded {
			return "served"
		}
		return ""
	})
	for id := range uint64(7) { // more than the recorder holds
		r.Add(Entry{Event: RequestEnded, ID: id, Endpoint: 7, Attempt: 1})
	}
	var text strings.Builder
	if n, err := r.WriteTo(&text); err != nil || int(n) != text.Len() {
		t.Errorf("got %d bytes and error %v, want the length of the text and no error", n, err)
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
	if r.recordedCount != 4000 || len(r.Entries()) != 16 {
		t.Errorf("recorded %d events, want 4000 of which the last 16 are held", r.recordedCount)
	}
}

// A nil recorder accepts events and holds nothing.
func TestNilRecorderHoldsNothing(t *testing.T) {
	var nilRecorder *Recorder
	nilRecorder.Add(Entry{})
	if n, err := nilRecorder.WriteTo(nil); n != 0 || err != nil || nilRecorder.Entries() != nil {
		t.Error("nil recorder is not empty")
	}
}

// BenchmarkAdd measures the time and the allocations of recording one event; there should be no allocation.
func BenchmarkAdd(b *testing.B) {
	r := New(4096, noReason)
	b.ReportAllocs()
	for b.Loop() {
		r.Add(Entry{Event: AttemptSent, ID: 7, Endpoint: 8, Attempt: 1, Value: 1500})
	}
}
