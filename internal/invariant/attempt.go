package invariant

import (
	"time"

	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

const (
	// EndSlack is how long after the end of a request, or after its deadline, the last byte of an attempt may be
	// written. The request may end while an attempt is being written.
	EndSlack = 100 * time.Millisecond
	// DeadlineSlack is by how much the deadline sent to a server may exceed the client's deadline.
	DeadlineSlack = 150 * time.Millisecond
	// StartBoundSlack is how long after its start bound the last byte of an attempt that began in time may be written.
	StartBoundSlack = 50 * time.Millisecond
)

// Attempt describes one attempt of a request at a server.
type Attempt struct {
	Number   routing.AttemptNumber
	Server   Server
	NotAfter time.Time     // the start bound: the attempt must not begin later; zero means no bound
	Deadline time.Duration // time left until the deadline, as sent to the server
}

func (a Attempt) isStartBoundPassed(now time.Time) bool {
	return !a.NotAfter.IsZero() && now.After(a.NotAfter)
}

// sentAttempt is the record of an attempt that began.
type sentAttempt struct {
	Attempt
	startedAt      time.Time
	isProvenNotRun bool
}

// checkWritten checks that an attempt whose last byte has just been written was in time.
func (r *Request) checkWritten(attempt *sentAttempt, now time.Time) {
	if r.monitor.StallDetector().StalledSince(attempt.startedAt, now) {
		return // the process stalled during the write, so its duration proves nothing
	}
	report := func(kind Violation, detail ...zap.Field) {
		fields := []zap.Field{
			zap.Int("attempt", int(attempt.Number)), zap.Duration("written_for", now.Sub(attempt.startedAt)),
		}
		r.monitor.RecordViolation(kind, r.id, append(fields, detail...)...)
	}
	if r.end != EndOpen && now.Sub(r.endedAt) > EndSlack {
		report(AttemptAfterEnd, zap.Stringer("ended", r.end))
	}
	if now.Sub(r.deadline) > EndSlack {
		report(AttemptAfterDeadline)
	}
	if !attempt.NotAfter.IsZero() && now.Sub(attempt.NotAfter) > StartBoundSlack {
		report(AttemptAfterBound)
	}
	if attempt.Deadline > r.deadline.Sub(now)+DeadlineSlack {
		report(DeadlineTooLong, zap.Duration("deadline_sent", attempt.Deadline))
	}
}
