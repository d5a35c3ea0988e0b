// Package flightrecorder keeps the last few thousand events of the process in a ring buffer of fixed size. Recording an
// event allocates nothing and holds a lock for a few nanoseconds. The buffer is written out when an invariant is
// violated, on SIGUSR1, and by the soak test when a seed fails.
package flightrecorder

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// Recorder holds the last events. A nil Recorder records nothing; Add, Entries and WriteTo accept it.
type Recorder struct {
	start      time.Time
	reasonName func(Event, uint8) string

	mu            sync.Mutex
	ring          []Entry
	recordedCount uint64 // number of events recorded so far
}

// New returns a recorder that holds the last size events. The function reasonName returns the name of an event's
// reason, or "" if the event has none.
func New(size int, reasonName func(Event, uint8) string) *Recorder {
	return &Recorder{start: time.Now(), reasonName: reasonName, ring: make([]Entry, size)}
}

// Add records an event, overwriting the oldest if the recorder is full. Add sets the time of the entry.
func (r *Recorder) Add(entry Entry) {
	if r == nil {
		return
	}
	entry.At = time.Since(r.start)
	r.mu.Lock()
	r.ring[r.recordedCount%uint64(len(r.ring))] = entry
	r.recordedCount++
	r.mu.Unlock()
}

// Entries returns the recorded events, oldest first.
func (r *Recorder) Entries() []Entry {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.ring))
	if r.recordedCount <= size {
		return append([]Entry(nil), r.ring[:r.recordedCount]...)
	}
	oldest := r.recordedCount % size
	return append(append([]Entry(nil), r.ring[oldest:]...), r.ring[:oldest]...)
}

// WriteTo writes the recorded events as text, one per line, oldest first.
func (r *Recorder) WriteTo(out io.Writer) (int64, error) {
	if r == nil {
		return 0, nil
	}
	buffered := bufio.NewWriter(out)
	written := int64(0)
	for _, entry := range r.Entries() {
		n, err := fmt.Fprintln(buffered, r.Text(entry))
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, buffered.Flush()
}

// Text returns an event as one line of text, without the line break.
func (r *Recorder) Text(entry Entry) string {
	at := r.start.Add(entry.At).Format("15:04:05.000000")
	line := fmt.Sprintf("%s +%.6f %-22s id=%016x", at, entry.At.Seconds(), entry.Event, entry.ID)
	if entry.Endpoint != 0 {
		line += fmt.Sprintf(" endpoint=%x attempt=%d", entry.Endpoint, entry.Attempt)
	}
	if reason := r.reasonName(entry.Event, entry.Reason); reason != "" {
		line += " reason=" + reason
	}
	return line + fmt.Sprintf(" value=%d", entry.Value)
}
