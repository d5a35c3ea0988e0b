// Package flightrecorder keeps the last few thousand events of the process in a ring of fixed size. Recording an event
// allocates nothing and holds a lock for some nanoseconds. The ring is written out when an invariant is violated, at
// SIGUSR1, and by the soak test when a seed fails.
package flightrecorder

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// Recorder holds the last events. All methods work on nil, where nothing is recorded.
type Recorder struct {
	start      time.Time
	reasonName func(Event, uint8) string

	mu       sync.Mutex
	ring     []Entry
	recorded uint64 // how many events were recorded so far
}

// New returns a recorder that holds so many events. The function names the reason of an event, or returns nothing where
// the event has none.
func New(size int, reasonName func(Event, uint8) string) *Recorder {
	return &Recorder{start: time.Now(), reasonName: reasonName, ring: make([]Entry, size)}
}

// Add records an event.
func (r *Recorder) Add(entry Entry) {
	if r == nil {
		return
	}
	entry.At = time.Since(r.start)
	r.mu.Lock()
	r.ring[r.recorded%uint64(len(r.ring))] = entry
	r.recorded++
	r.mu.Unlock()
}

// Entries are the events that are held, the oldest first.
func (r *Recorder) Entries() []Entry {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.ring))
	if r.recorded <= size {
		return append([]Entry(nil), r.ring[:r.recorded]...)
	}
	oldest := r.recorded % size
	return append(append([]Entry(nil), r.ring[oldest:]...), r.ring[:oldest]...)
}

// WriteTo writes the events that are held as text, one a line, the oldest first.
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

// Text is one event as a line.
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
