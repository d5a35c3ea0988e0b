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

// fieldsPerResponse is how many strings of the length of a field a response may have besides its body.
const fieldsPerResponse = 8

// exchange is an attempt on one connection: first waiting, then in the stream up to its streamEnd.
type exchange struct {
	attempt   *engine.Attempt
	server    invariant.Server
	sourceUID string    // empty where the attempt names no source
	notAfter  time.Time // if it has not begun by then, it never does
	streamEnd int64     // the place in the stream after its last byte; 0 while it waits

	responsesBefore int // whole responses received before it was queued
}

func (e *exchange) requestID() engine.ClientRequestID { return e.attempt.Request.ClientRequestID }

// answeredRequest is a request that has its response.
type answeredRequest struct {
	id engine.ClientRequestID
	at time.Time
}

// healthCheck is a health check on its way.
type healthCheck struct {
	endpoint routing.EndpointID
	sentAt   time.Time
}

// session is the protocol state of one connection to a server. It is fed the bytes that come, keeps account of what
// was written and what is in flight, and says how each attempt ended. It never touches a socket and never waits; the
// lock of its connection guards it.
type session struct {
	limits  *limits.Limits
	names   *protocolNames
	input   resp.Ring
	decoder resp.Decoder
	output  resp.Writer

	waiting  []exchange                           // nothing of them is in the stream
	inFlight map[engine.ClientRequestID]exchange  // begun, without a response
	aborted  map[engine.ClientRequestID]time.Time // a late response may still come
	answered []answeredRequest                    // lately: a second copy of the response may still come
	checks   map[uint64]healthCheck               // by tag
	lastTag  uint64
	control  []byte           // frames of aborts and health checks that go out next
	results  []engine.Message // engine.AttemptResult and engine.HealthCheckResult, until takeResults
	sending  exchange         // begun last, until the system has taken all of it; its attempt may be nil

	responses         int  // whole responses received
	hasSilentAbort    bool // an attempt was aborted during which no whole response came, nor did one since
	hasPartialAbort   bool // an attempt was aborted that is half in the stream: its rest must never go
	dialFailedLocally bool // the dial failed for want of something local: that tells nothing of the server
}

func newSession(l *limits.Limits, names *protocolNames) *session {
	frameBytes := l.ResponseBodyBytes + fieldsPerResponse*l.FieldBytes
	return &session{
		limits: l,
		names:  names,
		input:  resp.Ring{MaxBytes: l.UpstreamReadBuffer},
		output: resp.Writer{Ring: resp.Ring{MaxBytes: l.UpstreamWriteBuffer}},
		decoder: resp.Decoder{
			MaxStrings:     l.FrameStrings,
			MaxStringBytes: l.ResponseBodyBytes,
			MaxFrameBytes:  min(frameBytes, l.UpstreamReadBuffer),
		},
		inFlight: map[engine.ClientRequestID]exchange{},
		aborted:  map[engine.ClientRequestID]time.Time{},
		checks:   map[uint64]healthCheck{},
	}
}

// pending is how many attempts the connection has, begun or not.
func (s *session) pending() int { return len(s.inFlight) + len(s.waiting) }

// isSuspect says whether the connection may be stuck, or holds the beginning of a response to no request.
func (s *session) isSuspect() bool {
	return s.hasSilentAbort || s.pending() == 0 && s.input.Len() > 0
}

// canCarry says whether an attempt can go by this connection: its request id must not be in use here, nor have been
// answered or aborted lately, since a response to come would be taken for this attempt's.
func (s *session) canCarry(attempt *engine.Attempt) bool {
	id := attempt.Request.ClientRequestID
	if _, isInFlight := s.inFlight[id]; isInFlight {
		return false
	}
	if _, isAborted := s.aborted[id]; isAborted {
		return false
	}
	if slices.ContainsFunc(s.answered, func(a answeredRequest) bool { return a.id == id }) {
		return false
	}
	for i := range s.waiting {
		if s.waiting[i].requestID() == id {
			return false
		}
	}
	return true
}

// enqueue has an attempt wait for its turn in the stream.
func (s *session) enqueue(e exchange) {
	e.responsesBefore = s.responses
	s.waiting = append(s.waiting, e)
}

// takeFirstWaiting takes the attempt off that has waited longest.
func (s *session) takeFirstWaiting() exchange {
	e := s.waiting[0]
	s.waiting = s.waiting[1:]
	return e
}

// abort gives an attempt up and says whether it may have run: one of which nothing was in the stream has not. One that
// is half in it ends the connection, since the rest would begin an attempt for a client that has gone.
func (s *session) abort(attempt *engine.Attempt, now time.Time) (mayHaveRun bool) {
	guard := attempt.Request.Invariants
	for i := range s.waiting {
		if s.waiting[i].attempt == attempt {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			guard.Record(flightrecorder.AttemptAborted, attempt.Number, attempt.Endpoint, 0, 0)
			return false
		}
	}
	guard.Record(flightrecorder.AttemptAborted, attempt.Number, attempt.Endpoint, 0, 1)
	id := attempt.Request.ClientRequestID
	e, isInFlight := s.inFlight[id]
	if !isInFlight || e.attempt != attempt {
		return true
	}
	delete(s.inFlight, id)
	s.hasPartialAbort = s.hasPartialAbort || e.streamEnd > s.output.TakenBytes
	s.hasSilentAbort = s.hasSilentAbort || e.responsesBefore == s.responses
	s.control = appendAbort(s.control, id)
	maps.DeleteFunc(s.aborted, func(_ engine.ClientRequestID, at time.Time) bool {
		return now.Sub(at) > s.limits.ForgetAfter
	})
	s.aborted[id] = now
	return true
}

// checkHealth adds a health check to what goes out next.
func (s *session) checkHealth(endpoint routing.EndpointID, verb string, now time.Time) {
	s.lastTag++
	s.checks[s.lastTag] = healthCheck{endpoint: endpoint, sentAt: now}
	s.control = appendHealthCheck(s.control, verb, s.lastTag)
}

// nextOutput is what is to be written next.
func (s *session) nextOutput(now time.Time) []byte {
	return s.output.Next(func() bool { return s.beginFrame(now) })
}

// beginFrame begins the next frame once the last one is out: what waits behind a peer that does not read can still be
// aborted, and begins in its time or never.
func (s *session) beginFrame(now time.Time) bool {
	if !s.output.Empty() {
		return false
	}
	if len(s.control) > 0 {
		s.output.PutRaw(s.control)
		s.control = nil
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

// beginAttempt puts an attempt into the stream, if the invariants of its request still let it begin. There is no other
// way to a server.
func (s *session) beginAttempt(next exchange, now time.Time) bool {
	request := next.attempt.Request
	timeLeft := next.attempt.Deadline.Sub(now)
	denial := request.Invariants.Begin(invariant.Attempt{
		Number:   next.attempt.Number,
		Server:   next.server,
		NotAfter: next.notAfter,
		Deadline: timeLeft,
	}, now)
	if denial == invariant.SendAllowed && timeLeft <= 0 {
		denial = invariant.SendDeadlinePassed
	}
	if denial != invariant.SendAllowed {
		outcome := routing.NotSent // it tells nothing of the server
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

// wrote says how much of the stream the system has taken.
func (s *session) wrote(n int, now time.Time) {
	s.output.Advance(n)
	if e := &s.sending; e.attempt != nil && e.streamEnd <= s.output.TakenBytes {
		e.attempt.Request.Invariants.Complete(e.attempt.Number, e.server.Endpoint, now)
		s.sending = exchange{}
	}
}

// writeTimeout is how long the next write may take. An attempt that has begun must be whole soon, or never: the
// deadline that it names would else be too long, and its client may leave meanwhile.
func (s *session) writeTimeout() time.Duration {
	if s.sending.attempt != nil {
		return s.limits.RequestWriteTimeout
	}
	return s.limits.WriteStallTimeout
}

// finish adds the result of an attempt, and tells the request's invariants what it proves.
func (s *session) finish(result engine.AttemptResult, endpoint routing.EndpointID) {
	number, guard := result.Attempt.Number, result.Attempt.Request.Invariants
	switch result.Outcome {
	case routing.ConnectFailed, routing.NotSent, routing.CacheMiss, routing.Overloaded:
		guard.MarkNotRun(number, endpoint)
	default: // it may have run
	}
	guard.Record(flightrecorder.AttemptEnded, number, endpoint, uint8(result.Outcome), 0)
	s.results = append(s.results, result)
}

// failAll ends all that is pending, as the connection is no more. What was not written to its last byte has not run.
func (s *session) failAll() {
	begun := slices.SortedFunc(maps.Values(s.inFlight), func(a, b exchange) int {
		return cmp.Compare(a.streamEnd, b.streamEnd)
	})
	for _, e := range append(begun, s.waiting...) {
		outcome := routing.ConnectionBroken
		if e.streamEnd == 0 || e.streamEnd > s.output.TakenBytes {
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
	s.waiting = nil
	s.inFlight = map[engine.ClientRequestID]exchange{}
	s.checks = map[uint64]healthCheck{}
}

// takeResults hands over the results since the last call.
func (s *session) takeResults() []engine.Message {
	results := s.results
	s.results = nil
	return results
}
