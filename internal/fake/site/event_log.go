package site

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Event is a discovery event, as sent to clients, with the time of its publication.
type Event struct {
	Text        string
	PublishedAt time.Time
}

// EventLog is a log of discovery events, numbered from 1.
type EventLog struct {
	mu      sync.Mutex
	events  []Event
	changed chan struct{} // closed and replaced when an event is appended
}

// NewEventLog returns an empty log.
func NewEventLog() *EventLog { return &EventLog{changed: make(chan struct{})} }

// Append adds an event, given without its number, and returns the number.
func (l *EventLog) Append(text string) (number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number = len(l.events) + 1
	l.events = append(l.events, Event{Text: fmt.Sprintf(`{"no":%d,%s}`, number, text), PublishedAt: time.Now()})
	close(l.changed)
	l.changed = make(chan struct{})
	return number
}

// appendEvent adds an event that another log has numbered. It does not wake waiting polls, which wait for later events.
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

// Page returns the response to a poll for the events after a number.
func Page(events []Event, after int) string {
	var texts []string
	for _, event := range events[min(after, len(events)):] {
		texts = append(texts, event.Text)
	}
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(events), strings.Join(texts, ","))
}

// States of an endpoint in the endpoint list.
const (
	StateReady    = "ready"
	StateDraining = "draining"
	StateGone     = "gone"
)

// Zone is the zone of all fake servers.
const Zone = "west"

// Endpoint is a server's entry in the endpoint list.
type Endpoint struct {
	UID, Address, Zone string
	Kind               Kind
	State              string
	Weight             float64
	Boot               time.Time // start of the server, zero: long ago
	Cell               *int      // nil: the entry names no cell
}

// ListEvent returns the event that replaces the whole endpoint list.
func ListEvent(endpoints ...Endpoint) string { return endpointEvent("true", endpoints) }

// ChangesEvent returns the event that changes some endpoints of the list.
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

// PurgeObjectEvent returns the event that invalidates all copies of an object created before issuedAt.
func PurgeObjectEvent(object uint64, issuedAt time.Time) string {
	return fmt.Sprintf(`"recall":{"item":"%016x","issued":%d}`, object, issuedAt.UnixMilli())
}

// PurgeGroupEvent returns the event that invalidates all copies of a group's objects created before issuedAt.
func PurgeGroupEvent(group int, issuedAt time.Time) string {
	return fmt.Sprintf(`"recall":{"lot":%d,"issued":%d}`, group, issuedAt.UnixMilli())
}
