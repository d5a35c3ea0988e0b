// Package flightrec is the router's flight recorder: the last few thousand events of the process in a ring of fixed
// size. Recording an event allocates nothing and takes a lock for some nanoseconds. The ring is written out when an
// invariant is violated, at SIGUSR1, and by the soak test when a seed fails.
package flightrecorder

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// Event says what happened.
type Event uint8

// Events, in the order in which a request meets them.
const (
	ConnectionAccepted   Event = iota // ID: the connection
	ConnectionClosed                  // ID: the connection, Reason: a guard.CloseReason
	RequestArrived                    // ID: the request, Value: ms that the client has left
	RequestRejected                   // Reason: a guard.EndReason, before the router of decisions saw it
	AttemptQueued                     // Node, Attempt, Value: ms left
	AttemptDenied                     // Node, Attempt, Reason: a guard.SendDenial
	AttemptSent                       // Node, Attempt, Value: the deadline passed on, in ms
	AttemptWritten                    // Node, Attempt: its last byte was taken by the system
	AttemptEnded                      // Node, Attempt, Reason: a rules.Outcome
	AttemptAborted                    // Node, Attempt, Value: 1 if it may have run
	RequestEnded                      // Reason: a guard.EndReason
	ServerDialled                     // Node, Reason: a system.Fault, Value: ms that it took
	ServerClosed                      // Node, Reason: a guard.CloseReason
	EndpointListReceived              // Value: servers in it
	PurgeReceived                     // ID: the object, Value: the group
	ServerState                       // Node, Reason: a rules.State
	PollFailed                        // Value: the last event's number
	Reloaded                          // Reason: 0 taken, 1 to be tried again, 2 refused
	Stalled                           // Value: ms
	ClockStepped                      // Value: ms, negative for a step back
	ShuttingDown                      // Value: requests that are open
	Violation                         // ID: the request or connection, Reason: a guard.Violation
)

var names = [...]string{
	"connection accepted", "connection closed", "request arrived", "request refused",
	"attempt queued", "attempt refused", "attempt sent", "attempt whole", "attempt ended", "attempt aborted",
	"request ended", "server dialled", "server closed", "list received", "purge received", "server state",
	"poll failed", "reloaded", "stalled", "clock stepped", "stopping", "VIOLATION",
}

// String is the name under which an event is written out.
func (e Event) String() string { return names[e] }

// Entry is one recorded event. Which fields hold is said at the event.
type Entry struct {
	At       time.Duration // since the recorder began
	Event    Event
	Reason   uint8
	Attempt  uint8
	ID       uint64
	Endpoint uint64
	Value    int64
}

// Recorder holds the last events. All methods also do on nil, where nothing is recorded.
type Recorder struct {
	start   time.Time
	reasons func(Event, uint8) string

	mu      sync.Mutex
	entries []Entry
	next    uint64 // how many were recorded so far
}

// New returns a recorder of so many events. Reasons names the reasons of each event.
func New(size int, reasons func(Event, uint8) string) *Recorder {
	return &Recorder{start: time.Now(), reasons: reasons, entries: make([]Entry, size)}
}

// Add records an event.
func (r *Recorder) Add(e Entry) {
	if r == nil {
		return
	}
	e.At = time.Since(r.start)
	r.mu.Lock()
	r.entries[r.next%uint64(len(r.entries))] = e
	r.next++
	r.mu.Unlock()
}

// Entries are the events that are held, the oldest first.
func (r *Recorder) Entries() []Entry {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.entries))
	if r.next <= size {
		return append([]Entry(nil), r.entries[:r.next]...)
	}
	at := r.next % size
	return append(append([]Entry(nil), r.entries[at:]...), r.entries[:at]...)
}

// WriteTo writes the events that are held as text, one a line, the oldest first.
func (r *Recorder) WriteTo(out io.Writer) (int64, error) {
	if r == nil {
		return 0, nil
	}
	buffered := bufio.NewWriter(out)
	written := int64(0)
	for _, e := range r.Entries() {
		n, err := fmt.Fprintln(buffered, r.Text(e))
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, buffered.Flush()
}

// Text is one event as a line.
func (r *Recorder) Text(e Entry) string {
	at := r.start.Add(e.At).Format("15:04:05.000000")
	line := fmt.Sprintf("%s +%.6f %-19s id=%016x", at, e.At.Seconds(), e.Event, e.ID)
	if e.Endpoint != 0 {
		line += fmt.Sprintf(" node=%x attempt=%d", e.Endpoint, e.Attempt)
	}
	if reason := r.reasons(e.Event, e.Reason); reason != "" {
		line += " reason=" + reason
	}
	return line + fmt.Sprintf(" value=%d", e.Value)
}
