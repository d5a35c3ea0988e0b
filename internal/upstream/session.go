package upstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
	"fennelarch/policy/routing"
)

// fieldsPerResponse is how many strings of maximum field length a response may have besides its body.
const fieldsPerResponse = 8

// exchange is an attempt on one connection. It first waits, and is then written to the output stream.
type exchange struct {
	attempt   *engine.Attempt
	server    invariant.Server
	sourceUID string    // empty if the attempt names no source
	notAfter  time.Time // latest time to begin writing it
	streamEnd int64     // offset of its end in the output stream; 0 while it waits

	responsesBefore int // complete responses received before it was queued
}

func (e *exchange) requestID() engine.ClientRequestID { return e.attempt.Request.ClientRequestID }

// healthCheck is a health check in flight.
type healthCheck struct {
	endpoint routing.EndpointID
	sentAt   time.Time
}

// session is the protocol state of one connection to a server. It parses the bytes received, tracks what was written
// and what is in flight, and determines how each attempt ended. It does no I/O and never blocks. It is guarded by the
// lock of its connection.
type session struct {
	limits  *limits.Limits
	names   *protocolNames
	input   resp.Ring
	decoder resp.Decoder
	output  resp.Writer
	memory  *memoryBudget // of the bodies that are being received
	body    responseBody  // that is being received

	waiting       []exchange                          // not begun: no byte is in the output stream
	inFlight      map[engine.ClientRequestID]exchange // begun, without a response
	recent        recentIDs                           // answered or aborted: a late response may still arrive
	checks        map[uint64]healthCheck              // by tag
	lastTag       uint64
	controlFrames []byte           // frames of aborts and health checks, to be written next
	results       []engine.Message // engine.AttemptResult and engine.HealthCheckResult, until takeResults
	sending       exchange         // being written; its attempt is nil if there is none

	responses         int  // complete responses received
	hasSilentAbort    bool // no complete response has arrived since an attempt, now aborted, was queued
	hasPartialAbort   bool // an aborted attempt is partly written: its rest must never be sent
	dialFailedLocally bool // the dial failed for a local reason, which says nothing about the server
}

func newSession(l *limits.Limits, names *protocolNames, memory *memoryBudget) *session {
	created := &session{
		limits: l,
		names:  names,
		memory: memory,
		input:  resp.Ring{MaxBytes: l.UpstreamReadBuffer},
		output: resp.Writer{Ring: resp.Ring{MaxBytes: l.UpstreamWriteBuffer}},
		decoder: resp.Decoder{
			MaxStrings:       l.MaxFrameStrings,
			MaxStringBytes:   l.ResponseBodyBytes,
			MaxFrameBytes:    l.ResponseBodyBytes + fieldsPerResponse*l.FieldBytes,
			MaxBufferedBytes: fieldsPerResponse * l.FieldBytes,
		},
		inFlight: map[engine.ClientRequestID]exchange{},
		recent:   newRecentIDs(),
		checks:   map[uint64]healthCheck{},
	}
	created.decoder.AllocateBody = created.allocateBody
	return created
}

// pending returns the number of attempts waiting or in flight.
func (s *session) pending() int { return len(s.inFlight) + len(s.waiting) }

// isSuspect reports whether the connection may be stuck, or is idle but has received a part of a response.
func (s *session) isSuspect() bool {
	return s.hasSilentAbort || s.pending() == 0 && s.input.Len() > 0
}

// canCarry reports whether an attempt can be sent on this connection. Its request id must not be in use here, nor have
// been answered or aborted recently, or else a late response could be taken for the response to this attempt.
func (s *session) canCarry(attempt *engine.Attempt) bool {
	id := attempt.Request.ClientRequestID
	if _, isInFlight := s.inFlight[id]; isInFlight {
		return false
	}
	if s.recent.contains(id) || s.recent.isFull() {
		return false
	}
	for i := range s.waiting {
		if s.waiting[i].requestID() == id {
			return false
		}
	}
	return true
}

// enqueue queues an attempt to be written.
func (s *session) enqueue(e exchange) {
	e.responsesBefore = s.responses
	s.waiting = append(s.waiting, e)
}

// takeFirstWaiting removes and returns the attempt that has waited longest.
func (s *session) takeFirstWaiting() exchange {
	e := s.waiting[0]
	s.waiting = s.waiting[1:]
	return e
}

// abort aborts an attempt and reports whether it may have run. An attempt that was still waiting has not. If the
// attempt is partly written, abort sets hasPartialAbort, and the connection must be closed: writing the rest would
// start an attempt for a client that has gone.
func (s *session) abort(attempt *engine.Attempt, now time.Time) (mayHaveRun bool) {
	invariants := attempt.Request.Invariants
	for i := range s.waiting {
		if s.waiting[i].attempt == attempt {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			invariants.Record(flightrecorder.AttemptAborted, attempt.Number, attempt.Endpoint, 0, 0)
			return false
		}
	}
	invariants.Record(flightrecorder.AttemptAborted, attempt.Number, attempt.Endpoint, 0, 1)
	id := attempt.Request.ClientRequestID
	e, isInFlight := s.inFlight[id]
	if !isInFlight || e.attempt != attempt {
		return true
	}
	delete(s.inFlight, id)
	s.skipBody(id)
	s.hasPartialAbort = s.hasPartialAbort || e.streamEnd > s.output.WrittenBytes
	s.hasSilentAbort = s.hasSilentAbort || e.responsesBefore == s.responses
	s.controlFrames = appendAbort(s.controlFrames, id)
	s.recent.add(id, recentUse{endedAt: now, isAborted: true}, s.limits.ForgetAfter)
	return true
}

// checkHealth queues a health check to be written next.
func (s *session) checkHealth(endpoint routing.EndpointID, verb string, now time.Time) {
	s.lastTag++
	s.checks[s.lastTag] = healthCheck{endpoint: endpoint, sentAt: now}
	s.controlFrames = appendHealthCheck(s.controlFrames, verb, s.lastTag)
}

// nextOutput returns the bytes to write next.
func (s *session) nextOutput(now time.Time) []byte {
	return s.output.Next(func() bool { return s.beginFrame(now) })
}

// beginFrame begins the next frame once the previous one has been written, and reports whether it did. Attempts that
// wait because the server does not read can thus still be aborted or expire.
func (s *session) beginFrame(now time.Time) bool {
	if !s.output.Empty() {
		return false
	}
	if len(s.controlFrames) > 0 {
		s.output.PutRaw(s.controlFrames)
		s.controlFrames = nil
		return true
	}
	for len(s.waiting) > 0 {
		e := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		if s.beginAttempt(e, now) {
			return true
		}
	}
	return false
}

// beginAttempt adds an attempt to the output stream if the invariants of its request still allow it, and reports
// whether it did. Every attempt goes through this check.
func (s *session) beginAttempt(next exchange, now time.Time) bool {
	request := next.attempt.Request
	timeLeft := next.attempt.Deadline.Sub(now)
	denial := request.Invariants.BeginAttempt(invariant.Attempt{
		Number:   next.attempt.Number,
		Server:   next.server,
		NotAfter: next.notAfter,
		Deadline: timeLeft,
	}, now)
	if denial == invariant.SendAllowed && timeLeft <= 0 {
		denial = invariant.SendDeadlinePassed
	}
	if denial != invariant.SendAllowed {
		outcome := routing.NotSent // says nothing about the server
		if denial == invariant.SendBoundPassed {
			outcome = routing.ConnectFailed
		}
		s.finish(engine.AttemptResult{Attempt: next.attempt, Outcome: outcome}, next.server.Endpoint)
		return false
	}
	next.streamEnd = putFetch(&s.output, s.names, next, timeLeft)
	s.inFlight[request.ClientRequestID] = next
	s.sending = next
	return true
}

// recordWritten records that the system has accepted the next n bytes of the output stream.
func (s *session) recordWritten(n int, now time.Time) {
	s.output.Advance(n)
	if s.output.Empty() {
		s.output.Shrink()
	}
	if e := &s.sending; e.attempt != nil && e.streamEnd <= s.output.WrittenBytes {
		e.attempt.Request.Invariants.RecordAttemptWritten(e.attempt.Number, e.server.Endpoint, now)
		s.sending = exchange{}
	}
}

// writeTimeout returns how long the next write may take. An attempt that has begun must be written completely within a
// short time, or else the deadline that it names would be too long, and its client might leave meanwhile.
func (s *session) writeTimeout() time.Duration {
	if s.sending.attempt != nil {
		return s.limits.RequestWriteTimeout
	}
	return s.limits.WriteStallTimeout
}

// finish adds the result of an attempt. If the result proves that the attempt did not run, finish records this in the
// request's invariants.
func (s *session) finish(result engine.AttemptResult, endpoint routing.EndpointID) {
	number, invariants := result.Attempt.Number, result.Attempt.Request.Invariants
	if result.Outcome.ProvesNotRun() {
		invariants.MarkNotRun(number, endpoint)
	}
	invariants.Record(flightrecorder.AttemptEnded, number, endpoint, uint8(result.Outcome), 0)
	s.results = append(s.results, result)
}

// failAll ends all pending attempts and health checks when the connection has closed. An attempt whose last byte was
// not written has not run.
func (s *session) failAll() {
	begun := slices.SortedFunc(maps.Values(s.inFlight), func(a, b exchange) int {
		return cmp.Compare(a.streamEnd, b.streamEnd)
	})
	for _, e := range append(begun, s.waiting...) {
		outcome := routing.ConnectionBroken
		if e.streamEnd == 0 || e.streamEnd > s.output.WrittenBytes {
			outcome = routing.ConnectFailed
		}
		if s.dialFailedLocally {
			outcome = routing.NotSent
		}
		s.finish(engine.AttemptResult{Attempt: e.attempt, Outcome: outcome}, e.server.Endpoint)
	}
	for _, tag := range slices.Sorted(maps.Keys(s.checks)) {
		s.results = append(s.results, engine.HealthCheckResult{
			Endpoint: s.checks[tag].endpoint,
			Outcome:  routing.ConnectFailed,
		})
	}
	s.skipBody(s.body.id)
	s.waiting = nil
	s.inFlight = map[engine.ClientRequestID]exchange{}
	s.checks = map[uint64]healthCheck{}
}

// takeResults returns the results added since the last call.
func (s *session) takeResults() []engine.Message {
	results := s.results
	s.results = nil
	return results
}
