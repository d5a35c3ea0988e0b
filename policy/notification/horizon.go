// Package notification decides which copies may be served while purges may be missing here. A purge counts as notified
// some time after its publication, whether or not discovery has delivered it, and from then on no older copy may be
// served. The package does no I/O and reads no clock: it takes reports of discovery, with their times.
package notification

import (
	"slices"
	"time"

	"fennelarch/policy/routing"
)

const (
	// maxDelay is the time after its publication at which a purge counts as notified at the latest.
	maxDelay = 7 * time.Second
	// delayAfterFailure is the time after which the purges count as notified that a response did not bring, because it
	// broke off, or because it did not come by the end of the hold of its poll.
	delayAfterFailure = 2 * time.Second
	// delayAfterMove is the time after a change of the discovery server's address at which the purges published there
	// count as notified.
	delayAfterMove = 4 * time.Second
	// maxDue bounds the number of due times that are kept apart.
	maxDue = 8
)

// ReportKind is what happened at discovery.
type ReportKind uint8

// The kinds of reports. Each comment says what Report.At stands for.
const (
	// Current reports that every event published before At has been delivered.
	Current ReportKind = iota
	// PollSent reports that a poll was sent at At. The server may hold it for Hold.
	PollSent
	// PollOverdue reports that the response of a poll, or its rest, had not come by At.
	PollOverdue
	// PollBroken reports that a response broke off at At.
	PollBroken
	// PollFailed reports that a poll failed at At before its response began.
	PollFailed
	// AddressChanged reports that the discovery server moved at At.
	AddressChanged
	// EventsLost reports that events published until At may never be delivered.
	EventsLost
)

// Report is a report of discovery.
type Report struct {
	Kind ReportKind
	At   time.Duration
	Hold time.Duration // of PollSent
}

// due says that whatever was published until a time counts as notified from another time on.
type due struct{ publishedUntil, notifiedAt time.Duration }

// reachedBy returns the time of publication up to which purges count as notified at a time, by this due time alone.
func (d due) reachedBy(at time.Duration) time.Duration {
	if d.notifiedAt > at {
		return 0
	}
	return d.publishedUntil
}

// Settings configures a Horizon.
type Settings struct {
	HasPurges bool          // objects are purged at all
	Grace     time.Duration // time after the notification of a purge in which older copies may still be served
}

// SettingsFor returns the settings that follow from those of routing.
func SettingsFor(r *routing.Settings) Settings {
	return Settings{HasPurges: r.PurgeGrace > 0 || r.PurgeCompleteAfter > 0, Grace: r.PurgeGrace}
}

// Horizon holds up to when purges count as notified, and up to when they are known.
type Horizon struct {
	settings   Settings
	knownUntil time.Duration // every purge published until then has been delivered
	lostUntil  time.Duration // purges published until then may never be delivered
	dues       []due         // of the polls that failed
	hold       due           // of the poll in flight
	isFailing  bool          // no poll has succeeded since the last one that failed
}

// New returns a Horizon that knows all purges published until time 0.
func New(settings Settings) Horizon { return Horizon{settings: settings} }

// Record takes a report of discovery.
func (h *Horizon) Record(report Report) {
	switch report.Kind {
	case Current:
		h.recordCurrent(report.At)
	case PollSent:
		if h.isFailing { // what the last poll did not bring counts as notified once the router polls again
			h.addDue(due{report.At, report.At})
		}
		h.hold = due{report.At + report.Hold, report.At + report.Hold + delayAfterFailure}
	case PollOverdue:
		h.isFailing = true
		h.addDue(h.hold)
	case PollBroken:
		h.isFailing = true
		h.hold = due{}
		h.addDue(due{report.At, report.At + delayAfterFailure})
	case PollFailed:
		h.isFailing = true
		h.hold = due{}
	case AddressChanged: // ends the poll
		h.hold = due{}
		h.addDue(due{report.At, report.At + delayAfterMove})
	case EventsLost:
		h.lostUntil = max(h.lostUntil, report.At)
	}
}

func (h *Horizon) recordCurrent(asOf time.Duration) {
	h.knownUntil = max(h.knownUntil, asOf)
	h.isFailing = false
	h.hold = due{}
	h.dues = slices.DeleteFunc(h.dues, func(d due) bool { return d.publishedUntil <= h.knownUntil })
}

// addDue adds a due time. If there are too many, the two oldest are replaced by a stricter one.
func (h *Horizon) addDue(added due) {
	h.dues = append(h.dues, added)
	if len(h.dues) <= maxDue {
		return
	}
	first, second := h.dues[0], h.dues[1]
	h.dues = slices.Delete(h.dues, 0, 1)
	h.dues[0] = due{
		max(first.publishedUntil, second.publishedUntil), min(first.notifiedAt, second.notifiedAt),
	}
}

// notifiedUntil returns the time of publication up to which purges count as notified, and their grace is over.
func (h *Horizon) notifiedUntil(now time.Duration) time.Duration {
	notifiedBy := now - h.settings.Grace
	until := max(notifiedBy-maxDelay, h.hold.reachedBy(notifiedBy))
	for _, d := range h.dues {
		until = max(until, d.reachedBy(notifiedBy))
	}
	return until
}

// UnknownUntil returns the time at which a copy must have been generated at the earliest to be served, or 0 if any copy
// may be: an older one may be older than a purge that is not known here, though it counts as notified and its grace is
// over.
func (h *Horizon) UnknownUntil(now time.Duration) time.Duration {
	if !h.settings.HasPurges {
		return 0
	}
	if until := h.notifiedUntil(now); until > h.knownUntil {
		return max(until, h.lostUntil)
	}
	return h.lostUntil
}
