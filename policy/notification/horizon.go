// Package notification decides which copies may be served while purges may be missing here. A purge counts as notified
// some time after its publication, whether or not discovery has delivered it, and from then on no older copy may be
// served, by this router or by a server that it asks. The package does no I/O and reads no clock: it takes reports of
// discovery, with their times.
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
	// outageGraceTenths is the part of the grace, in tenths, in which attempts may name any copy in a long outage, in
	// which purges count as notified at any time. The rest is a margin: an attempt may be written some time after the
	// decision.
	outageGraceTenths = 1
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
	Kind     ReportKind
	At       time.Duration
	Hold     time.Duration // of PollSent
	EndsPoll bool          // of Current: the poll that was sent last has ended
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
	HasPurges     bool          // objects are purged at all
	Grace         time.Duration // time after the notification of a purge in which older copies may still be served
	CompleteAfter time.Duration // by then, since the purge, every server has dropped its older copies
}

// SettingsFor returns the settings that follow from those of routing.
func SettingsFor(r *routing.Settings) Settings {
	return Settings{
		HasPurges: r.PurgeGrace > 0 || r.PurgeCompleteAfter > 0, Grace: r.PurgeGrace, CompleteAfter: r.PurgeCompleteAfter,
	}
}

// Horizon holds up to when purges count as notified, and up to when they are known.
type Horizon struct {
	settings   Settings
	knownUntil time.Duration // every purge published until then has been delivered
	lostUntil  time.Duration // purges published until then may never be delivered
	dues       []due         // of the polls that failed
	hold       due           // of the poll that was sent last, if its response stops
	asked      due           // of the polls before it that failed, since it asks for the same again
	isFailing  bool          // no poll has succeeded since the last one that failed
}

// New returns a Horizon that knows all purges published until time 0.
func New(settings Settings) Horizon { return Horizon{settings: settings} }

// Record takes a report of discovery.
func (h *Horizon) Record(report Report) {
	switch report.Kind {
	case Current:
		h.recordCurrent(report.At, report.EndsPoll)
	case PollSent:
		h.recordSent(report.At, report.Hold)
	case PollOverdue:
		h.isFailing = true
		h.addDue(h.asked)
		h.addDue(h.hold)
		h.endPoll()
	case PollBroken:
		h.isFailing = true
		h.addDue(h.asked)
		h.addDue(due{report.At, report.At + delayAfterFailure})
		h.endPoll()
	case PollFailed: // nobody has taken the question
		h.isFailing = true
		h.endPoll()
	case AddressChanged:
		h.addDue(h.asked)
		h.addDue(due{report.At, report.At + delayAfterMove})
		h.endPoll()
	case EventsLost:
		h.lostUntil = max(h.lostUntil, report.At)
	}
}

// recordSent records a poll. What the polls before it did not bring counts as notified once the router polls again.
func (h *Horizon) recordSent(at, hold time.Duration) {
	h.endPoll()
	if h.isFailing {
		h.asked = due{at, at}
	}
	h.hold = due{at + hold, at + hold + delayAfterFailure}
}

func (h *Horizon) endPoll() { h.hold, h.asked = due{}, due{} }

// recordCurrent records that all events published before a time are known. An older poll may have brought them while
// the last one goes on.
func (h *Horizon) recordCurrent(asOf time.Duration, endsPoll bool) {
	h.knownUntil = max(h.knownUntil, asOf)
	h.isFailing = false
	if endsPoll {
		h.endPoll()
	}
	h.dues = slices.DeleteFunc(h.dues, func(d due) bool { return d.publishedUntil <= h.knownUntil })
}

// addDue adds a due time. If there are too many, the two oldest are replaced by a stricter one.
func (h *Horizon) addDue(added due) {
	if added.publishedUntil <= h.knownUntil {
		return
	}
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

// dueUntil returns the time of publication up to which purges count as notified at a time by what failed.
func (h *Horizon) dueUntil(now time.Duration) time.Duration {
	until := max(h.hold.reachedBy(now), h.asked.reachedBy(now))
	for _, d := range h.dues {
		until = max(until, d.reachedBy(now))
	}
	return until
}

// UnknownUntil returns the time at which a copy must have been generated at the earliest to be served, or 0 if any copy
// may be: an older one may be older than a purge that is not known here, though it counts as notified and its grace is
// over.
func (h *Horizon) UnknownUntil(now time.Duration) time.Duration {
	at := now - h.settings.Grace
	return h.unknownUntil(max(at-maxDelay, h.dueUntil(at)))
}

// UnknownUntilForAttempt returns the time at which a copy must have been generated at the earliest to answer an
// attempt, or 0 if any copy may answer it. Unlike the copies of this router, those of servers are dropped after some
// time.
func (h *Horizon) UnknownUntilForAttempt(now time.Duration) time.Duration {
	inOutage := now - h.settings.Grace*outageGraceTenths/10 - maxDelay
	until := h.unknownUntil(max(inOutage, h.dueUntil(now-h.settings.Grace)))
	if now-until > h.settings.CompleteAfter {
		return 0
	}
	return until
}

// AttemptStartWithin returns the time within which an attempt has to begin that is decided on now, since copies that
// may answer it now may not later, or 0 if there is no such bound.
func (h *Horizon) AttemptStartWithin(now time.Duration) (within time.Duration) {
	if !h.settings.HasPurges {
		return 0
	}
	bound := func(d due) {
		left := d.notifiedAt + h.settings.Grace - now
		if d.publishedUntil > h.knownUntil && left > 0 && (within == 0 || left < within) {
			within = left
		}
	}
	bound(h.hold)
	bound(h.asked)
	for _, d := range h.dues {
		bound(d)
	}
	return within
}

// unknownUntil returns up to when purges may have been published that are not known here, given up to when they count
// as notified, or 0 if there are none.
func (h *Horizon) unknownUntil(notifiedUntil time.Duration) time.Duration {
	if !h.settings.HasPurges {
		return 0
	}
	if notifiedUntil > h.knownUntil {
		return max(notifiedUntil, h.lostUntil)
	}
	return h.lostUntil
}
