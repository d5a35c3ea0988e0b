package invariant

import (
	"sync"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// AnswerSlack is how long after the client's deadline a final response may be sent without counting as a violation.
const AnswerSlack = 50 * time.Millisecond

// Request is the record of one request, shared by the client's connection, the engine and the connections to servers.
// A nil Request is valid and checks no more than the start bound of an attempt.
type Request struct {
	monitor  *Monitor
	id       uint64
	deadline time.Time
	policy   RepeatPolicy

	mayHaveLeft func() bool // see WatchClient; may be nil

	mu       sync.Mutex
	end      EndReason
	endedAt  time.Time
	attempts []sentAttempt
}

// NewRequest returns the record of a new request whose client waits until the deadline.
func (m *Monitor) NewRequest(id uint64, deadline time.Time, policy RepeatPolicy) *Request {
	m.Record(flightrecorder.Entry{
		Event: flightrecorder.RequestArrived, ID: id, Value: time.Until(deadline).Milliseconds(),
	})
	return &Request{monitor: m, id: id, deadline: deadline, policy: policy}
}

// WatchClient sets a function that reports whether the client may have left or cancelled the request, even if that has
// not been noticed yet. It must be called before the request is shared.
func (r *Request) WatchClient(mayHaveLeft func() bool) {
	if r != nil {
		r.mayHaveLeft = mayHaveLeft
	}
}

// IsOpen reports whether the request has no final response yet and its client is still waiting.
func (r *Request) IsOpen() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end == EndOpen
}

// End ends the request and reports whether the request was still open. A response may be written only if End returns
// true.
func (r *Request) End(reason EndReason, now time.Time) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != EndOpen {
		if r.end.isResponse() && reason.isResponse() {
			r.monitor.RecordViolation(AnsweredTwice, r.id, zap.Stringer("first", r.end), zap.Stringer("second", reason))
		}
		return false
	}
	r.end, r.endedAt = reason, now
	r.monitor.Record(flightrecorder.Entry{
		Event: flightrecorder.RequestEnded, ID: r.id, Reason: uint8(reason),
		Value: r.deadline.Sub(now).Milliseconds(),
	})
	r.checkEnd(reason, now)
	return true
}

// checkEnd checks that the request may end for this reason at this time.
func (r *Request) checkEnd(reason EndReason, now time.Time) {
	if reason == EndRejected && r.policy.Idempotency == routing.NonIdempotent && r.mayHaveRun() {
		r.monitor.RecordViolation(RejectedThoughRan, r.id)
	}
	lateness := now.Sub(r.deadline)
	if reason.isResponse() && lateness > AnswerSlack && !r.monitor.StallDetector().StalledSince(r.deadline, now) {
		r.monitor.RecordViolation(AnsweredLate, r.id, zap.Duration("late", lateness))
	}
}

// MayHaveRun reports whether any attempt of the request may have run. Without a record, one may have.
func (r *Request) MayHaveRun() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayHaveRun()
}

// mayHaveRun reports whether any attempt of the request may have run.
func (r *Request) mayHaveRun() bool {
	for i := range r.attempts {
		if !r.attempts[i].isProvenNotRun {
			return true
		}
	}
	return false
}

// BeginAttempt checks whether an attempt may begin and records the attempt if so. The caller calls BeginAttempt
// immediately before it writes the first byte. From then on the attempt counts as one that may have run, until
// MarkNotRun is called.
func (r *Request) BeginAttempt(attempt Attempt, now time.Time) SendDenial {
	if r == nil {
		if attempt.isStartBoundPassed(now) {
			return SendBoundPassed
		}
		return SendAllowed
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	denial := r.checkBegin(attempt, now)
	if denial != SendAllowed {
		r.record(flightrecorder.AttemptDenied, attempt, uint8(denial), 0)
		return denial
	}
	r.record(flightrecorder.AttemptSent, attempt, 0, attempt.Deadline.Milliseconds())
	r.attempts = append(r.attempts, sentAttempt{Attempt: attempt, startedAt: now})
	return SendAllowed
}

// checkBegin returns why an attempt may not begin, or SendAllowed. An unsafe repeat is also a violation.
func (r *Request) checkBegin(attempt Attempt, now time.Time) SendDenial {
	switch {
	case r.end != EndOpen || r.mayHaveLeft != nil && r.mayHaveLeft():
		return SendRequestEnded
	case !now.Before(r.deadline):
		return SendDeadlinePassed
	case attempt.isStartBoundPassed(now):
		return SendBoundPassed
	case !r.mayRepeat(attempt.Server, now):
		r.monitor.RecordViolation(RepeatUnsafe, r.id,
			zap.Int("attempt", int(attempt.Number)), zap.Int("earlier", len(r.attempts)))
		return SendRepeatUnsafe
	}
	return SendAllowed
}

// mayRepeat reports whether no earlier attempt that may have run forbids an attempt at this server. The check is
// independent of the routing decisions.
func (r *Request) mayRepeat(to Server, now time.Time) bool {
	for i := range r.attempts {
		earlier := &r.attempts[i]
		if !earlier.isProvenNotRun && !r.policy.allowsRepeat(earlier, to, now) {
			return false
		}
	}
	return true
}

// RecordAttemptWritten records that the kernel has accepted the last byte of an attempt, and checks that this was in
// time.
func (r *Request) RecordAttemptWritten(number routing.AttemptNumber, endpoint routing.EndpointID, now time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if attempt.Number != number || attempt.Server.Endpoint != endpoint {
			continue
		}
		r.record(flightrecorder.AttemptWritten, attempt.Attempt, 0, now.Sub(attempt.startedAt).Milliseconds())
		r.checkWritten(attempt, now)
		return
	}
}

// MarkNotRun records proof that an attempt has not run.
func (r *Request) MarkNotRun(number routing.AttemptNumber, endpoint routing.EndpointID) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.attempts {
		if attempt := &r.attempts[i]; attempt.Number == number && attempt.Server.Endpoint == endpoint {
			attempt.isProvenNotRun = true
		}
	}
}

// Record adds an event about an attempt to the flight recorder.
func (r *Request) Record(
	event flightrecorder.Event, number routing.AttemptNumber, endpoint routing.EndpointID, reason uint8, value int64,
) {
	if r == nil {
		return
	}
	r.record(event, Attempt{Number: number, Server: Server{Endpoint: endpoint}}, reason, value)
}

func (r *Request) record(event flightrecorder.Event, attempt Attempt, reason uint8, value int64) {
	r.monitor.Record(flightrecorder.Entry{
		Event: event, ID: r.id, Endpoint: uint64(attempt.Server.Endpoint), Attempt: uint8(attempt.Number),
		Reason: reason, Value: value,
	})
}
