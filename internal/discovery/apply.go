package discovery

import (
	"errors"
	"fmt"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/policy/notification"

	"go.uber.org/zap"
)

// Apply delivers the new events of a page, each once and in order. They may have been published up to age ago.
//
// If an event number is missing, the events after the gap wait for the next page; a number that is missing there too is
// lost. A page whose last number is below that of the last event received comes from a server that has not caught up,
// whose events are out of date: Apply returns an error. If that state persists, the server is a new one, whose first
// event is a complete endpoint list. An event that cannot be decoded is skipped and reported in the returned error.
func (w *Watcher) Apply(page *Page, age time.Duration, deliver func(message engine.Message)) (decodeErr error) {
	if err := w.checkRewind(page.lastEvent, time.Now()); err != nil {
		return err
	}
	for i := range page.events {
		event := &page.events[i]
		if event.Number <= w.lastEvent {
			continue
		}
		if w.isGapBefore(event.Number) {
			w.log.Warn("discovery events missing", zap.Int64("after", w.lastEvent), zap.Int64("next", event.Number))
			w.firstAfterGap = event.Number
			return decodeErr
		}
		if event.Number == w.firstAfterGap {
			w.reportLost()
		}
		message, err := w.message(event)
		w.lastEvent = event.Number
		switch {
		case err != nil: // a retry would fail in the same way
			w.reportLost()
			decodeErr = errors.Join(decodeErr, fmt.Errorf("event %d: %w", event.Number, err))
		case message != nil:
			deliver(withAge(message, age))
		}
	}
	return decodeErr
}

// reportLost reports that a published event will never be delivered.
func (w *Watcher) reportLost() {
	w.report(engine.DiscoveryReport{Kind: notification.EventsLost, At: time.Now()})
}

// checkRewind compares the server's last event number with that of the last event received. While a server that is
// behind may still catch up, checkRewind returns an error; after limits.DiscoveryRewindAfter it accepts the server's
// numbers.
func (w *Watcher) checkRewind(serverLastEvent int64, now time.Time) error {
	if serverLastEvent <= 0 || serverLastEvent >= w.lastEvent {
		w.behindSince = time.Time{}
		return nil
	}
	isFirstTime := w.behindSince.IsZero() && w.limits.DiscoveryRewindAfter > 0
	if isFirstTime {
		w.behindSince = now
	}
	if isFirstTime || now.Sub(w.behindSince) < w.limits.DiscoveryRewindAfter {
		return fmt.Errorf("%w: %d < %d", errServerBehind, serverLastEvent, w.lastEvent)
	}
	w.log.Warn("discovery event numbers restarted", zap.Int64("from", w.lastEvent), zap.Int64("to", serverLastEvent))
	w.lastEvent, w.behindSince = 0, time.Time{}
	w.reportLost()
	return nil
}

// isGapBefore reports whether an event between the last one and the given one is missing for the first time.
func (w *Watcher) isGapBefore(number int64) bool {
	return w.lastEvent > 0 && number != w.lastEvent+1 && number != w.firstAfterGap
}

// withAge sets the age of an endpoint list. Purges carry the time at which they were issued and need no age.
func withAge(message engine.Message, age time.Duration) engine.Message {
	if list, isList := message.(engine.EndpointList); isList {
		list.MaxAge = age
		return list
	}
	return message
}
