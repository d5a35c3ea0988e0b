package invariant

import (
	"time"

	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

const (
	// EndSlack is how long after the end of a request an attempt for it may still be written completely: it was being
	// written at the moment of a cancellation.
	EndSlack = 100 * time.Millisecond
	// DeadlineSlack is how far the deadline that a server is sent may exceed the client's.
	DeadlineSlack = 150 * time.Millisecond
	// GraceSlack is how far past its start bound an attempt that began in time may be written completely.
	GraceSlack = 50 * time.Millisecond
)

// Attempt is one attempt of a request at a server.
type Attempt struct {
	Number   routing.AttemptNumber
	Server   Server
	NotAfter time.Time     // the start bound: it begins by then or never; zero: none
	Deadline time.Duration // as sent to the server
}

func (a Attempt) isStartBoundPassed(now time.Time) bool {
	return !a.NotAfter.IsZero() && now.After(a.NotAfter)
}

// sentAttempt is the record of an attempt that began.
type sentAttempt struct {
	Attempt
	startedAt      time.Time
	isProvedNotRun bool
}

// checkWritten checks that an attempt that has just been written completely was in time.
func (r *Request) checkWritten(attempt *sentAttempt, now time.Time) {
	if r.monitor.Watch().StalledSince(attempt.startedAt, now) {
		return // the process stood still in the middle of the write
	}
	violate := func(kind Violation, detail ...zap.Field) {
		fields := []zap.Field{
			zap.Int("attempt", int(attempt.Number)), zap.Duration("written_for", now.Sub(attempt.startedAt)),
		}
		r.monitor.Violate(kind, r.id, append(fields, detail...)...)
	}
	if r.end != EndOpen && now.Sub(r.endedAt) > EndSlack {
		violate(AttemptAfterEnd, zap.Stringer("ended", r.end))
	}
	if now.Sub(r.deadline) > EndSlack {
		violate(AttemptAfterDeadline)
	}
	if !attempt.NotAfter.IsZero() && now.Sub(attempt.NotAfter) > GraceSlack {
		violate(AttemptAfterBound)
	}
	if attempt.Deadline > r.deadline.Sub(now)+DeadlineSlack {
		violate(DeadlineTooLong, zap.Duration("deadline_sent", attempt.Deadline))
	}
}
