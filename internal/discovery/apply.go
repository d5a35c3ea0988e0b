package discovery

import (
	"errors"
	"fmt"
	"time"

	"fennelarch/internal/engine"

	"go.uber.org/zap"
)

// Apply delivers the events of a page that are new, in order, each once.
//
// Where a number is missing, what follows waits for the next page; a number that is missing there too is lost. A page
// that ends before the last event comes from a server that has not caught up, whose events are out of date; where that
// lasts, it comes from a new server, whose first event is a complete list. An event that can't be read is skipped, and
// returned in the error. The events may be as old as age.
func (w *Watcher) Apply(page *Page, age time.Duration, deliver func(message engine.Message)) (unread error) {
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
			w.afterGap = event.Number
			return unread
		}
		if event.Number == w.afterGap {
			w.onGap()
		}
		message, err := w.message(event)
		w.lastEvent = event.Number
		switch {
		case err != nil: // reading it once more would not help
			w.onGap()
			unread = errors.Join(unread, fmt.Errorf("event %d: %w", event.Number, err))
		case message != nil:
			deliver(withAge(message, age))
		}
	}
	return unread
}

// checkRewind compares the last number of a page with that of the last event. It returns an error while the server may
// still catch up, and starts over once it has been behind for long.
func (w *Watcher) checkRewind(pageNumber int64, now time.Time) error {
	if pageNumber <= 0 || pageNumber >= w.lastEvent {
		w.behindSince = time.Time{}
		return nil
	}
	isFirst := w.behindSince.IsZero() && w.limits.DiscoveryRewindAfter > 0
	if isFirst {
		w.behindSince = now
	}
	if isFirst || now.Sub(w.behindSince) < w.limits.DiscoveryRewindAfter {
		return fmt.Errorf("%w: at %d, not %d", errBehind, pageNumber, w.lastEvent)
	}
	w.log.Warn("discovery event numbers restarted", zap.Int64("from", w.lastEvent), zap.Int64("to", pageNumber))
	w.lastEvent, w.behindSince = 0, time.Time{}
	w.onGap()
	return nil
}

// isGapBefore reports whether a number between the last event and this one has not been missed before.
func (w *Watcher) isGapBefore(number int64) bool {
	return w.lastEvent > 0 && number != w.lastEvent+1 && number != w.afterGap
}

// withAge adds to an endpoint list how long ago it may have been published. Purges hold their time themselves.
func withAge(message engine.Message, age time.Duration) engine.Message {
	if list, isList := message.(engine.EndpointList); isList {
		list.Age = age
		return list
	}
	return message
}
