package site

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Event is one event of discovery, as it is sent, with the time at which it was published.
type Event struct {
	Text        string
	PublishedAt time.Time
}

// EventLog is a numbered log of discovery's events; the first has the number 1.
type EventLog struct {
	mu      sync.Mutex
	events  []Event
	changed chan struct{} // closed at each event
}

// NewEventLog returns an empty log.
func NewEventLog() *EventLog { return &EventLog{changed: make(chan struct{})} }

// Append adds an event, whose text lacks the number, and returns its number.
func (l *EventLog) Append(text string) (number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number = len(l.events) + 1
	l.events = append(l.events, Event{Text: fmt.Sprintf(`{"no":%d,%s}`, number, text), PublishedAt: time.Now()})
	close(l.changed)
	l.changed = make(chan struct{})
	return number
}

// appendEvent adds an event as another log holds it. Those who wait are not woken: they ask for what comes after it.
func (l *EventLog) appendEvent(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event)
}

// Events returns all events so far, and a channel that is closed at the next one.
func (l *EventLog) Events() (events []Event, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events, l.changed
}

// Page is the answer to a poll for the events after a number.
func Page(events []Event, after int) string {
	var texts []string
	for _, event := range events[min(after, len(events)):] {
		texts = append(texts, event.Text)
	}
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(events), strings.Join(texts, ","))
}

// The states of an endpoint in discovery's list.
const (
	StateReady    = "ready"
	StateDraining = "draining"
	StateGone     = "gone"
)

// Zone is the zone of all fake servers.
const Zone = "west"

// Endpoint is what the endpoint list says of one server.
type Endpoint struct {
	UID, Address, Zone string
	Kind               Kind
	State              string
	Weight             float64
	Boot               time.Time // zero: long ago
	Cell               *int      // nil: the list names no cell
}

// ListEvent is the event that replaces the whole endpoint list.
func ListEvent(endpoints ...Endpoint) string { return endpointEvent("true", endpoints) }

// ChangesEvent is the event that changes some endpoints of the list.
func ChangesEvent(endpoints ...Endpoint) string { return endpointEvent("false", endpoints) }

func endpointEvent(replacesAll string, endpoints []Endpoint) string {
	var targets []string
	for i := range endpoints {
		targets = append(targets, endpoints[i].text())
	}
	return fmt.Sprintf(`"roster":{"rev":1,"all":%s,"targets":[%s]}`, replacesAll, strings.Join(targets, ","))
}

func (e *Endpoint) text() string {
	bootMS, cell := int64(0), ""
	if !e.Boot.IsZero() {
		bootMS = e.Boot.UnixMilli()
	}
	if e.Cell != nil {
		cell = fmt.Sprintf(`"pod_group":%d,`, *e.Cell)
	}
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":%q,"model":%q,%s"state":%q,"capacity_hint":%g,"boot_ms":%d}`,
		e.UID, e.Address, e.Zone, e.Kind, cell, e.State, e.Weight, bootMS)
}

// PurgeObjectEvent is the event that invalidates all copies of an object from before a moment.
func PurgeObjectEvent(object uint64, issuedAt time.Time) string {
	return fmt.Sprintf(`"recall":{"item":"%016x","issued":%d}`, object, issuedAt.UnixMilli())
}

// PurgeGroupEvent is the event that invalidates all copies of a group's objects from before a moment.
func PurgeGroupEvent(group int, issuedAt time.Time) string {
	return fmt.Sprintf(`"recall":{"lot":%d,"issued":%d}`, group, issuedAt.UnixMilli())
}
