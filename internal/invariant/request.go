package invariant

import (
	"sync"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// RepeatPolicy says what repeats of a request may do, as its class has it.
type RepeatPolicy struct {
	Idempotency routing.Idempotency
	DedupScope  routing.DedupScope // the group of servers that drops repeats of a keyed request
	DedupWindow time.Duration      // for how long it does
}

// Server is a server as the guard needs it: who it is, and in which group it drops repeats.
type Server struct {
	Endpoint routing.EndpointID
	Zone     routing.ZoneID
	Cell     routing.CellID
}

// Attempt is one try of a request at a server.
type Attempt struct {
	Number   routing.AttemptNumber
	Server   Server
	NotAfter time.Time     // it begins by then or never; zero: no bound of its own
	Deadline time.Duration // that the server is told
}

// attempt is what became of one that began.
type attempt struct {
	Attempt
	begun  time.Time
	notRun bool // proved
}

// Request is the guard's record of one request. The client's connection, the engine and the connections to servers
// share it. All methods also do on nil: a request that nobody guards may do anything.
type Request struct {
	monitor  *Monitor
	id       uint64
	deadline time.Time
	repeat   RepeatPolicy

	mu       sync.Mutex
	end      EndReason
	ended    time.Time
	attempts []attempt
}

// NewRequest begins the record of a request whose client waits until the deadline.
func (m *Monitor) NewRequest(id uint64, deadline time.Time, repeat RepeatPolicy) *Request {
	m.Record(flightrecorder.Entry{Event: flightrecorder.RequestArrived, ID: id, Value: time.Until(deadline).Milliseconds()})
	return &Request{monitor: m, id: id, deadline: deadline, repeat: repeat}
}

// Open says whether the request has neither an answer nor lost its client.
func (r *Request) Open() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end == EndOpen
}

// End ends the request, and says whether it was open until now: only then may an answer be written.
func (r *Request) End(reason EndReason, now time.Time) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != EndOpen {
		if r.end.answered() && reason.answered() {
			r.monitor.Violate(AnsweredTwice, r.id, zap.Stringer("first", r.end), zap.Stringer("second", reason))
		}
		return false
	}
	r.end, r.ended = reason, now
	r.monitor.Record(flightrecorder.Entry{
		Event: flightrecorder.RequestEnded, ID: r.id, Reason: uint8(reason),
		Value: r.deadline.Sub(now).Milliseconds(),
	})
	if reason == EndRejected && r.repeat.Idempotency == routing.NonIdempotent && r.mayHaveRun() {
		r.monitor.Violate(RejectedThoughRan, r.id)
	}
	if late := now.Sub(r.deadline); reason.answered() && late > AnswerSlack && !r.monitor.Watch().Since(r.deadline, now) {
		r.monitor.Violate(AnsweredLate, r.id, zap.Duration("late", late))
	}
	return true
}

func (r *Request) mayHaveRun() bool {
	for i := range r.attempts {
		if !r.attempts[i].notRun {
			return true
		}
	}
	return false
}

// Begin is asked in the moment in which an attempt would begin to be written. Unless it is refused, the attempt may
// have run from here on, until MarkNotRun proves that it has not.
func (r *Request) Begin(a Attempt, now time.Time) SendDenial {
	if r == nil {
		return boundOf(a, now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	refusal := r.refusal(a, now)
	if refusal != SendAllowed {
		r.record(flightrecorder.AttemptDenied, a, uint8(refusal), 0)
		return refusal
	}
	r.record(flightrecorder.AttemptSent, a, 0, a.Deadline.Milliseconds())
	r.attempts = append(r.attempts, attempt{Attempt: a, begun: now})
	return SendAllowed
}

func boundOf(a Attempt, now time.Time) SendDenial {
	if !a.NotAfter.IsZero() && now.After(a.NotAfter) {
		return SendBoundPassed
	}
	return SendAllowed
}

func (r *Request) refusal(a Attempt, now time.Time) SendDenial {
	switch {
	case r.end != EndOpen:
		return SendRequestEnded
	case !now.Before(r.deadline):
		return SendDeadlinePassed
	case boundOf(a, now) != SendAllowed:
		return SendBoundPassed
	case !r.mayRepeat(a.Server, now):
		r.monitor.Violate(RepeatUnsafe, r.id, zap.Int("attempt", int(a.Number)), zap.Int("earlier", len(r.attempts)))
		return SendRepeatUnsafe
	}
	return SendAllowed
}

// mayRepeat checks, apart from the decisions, that an earlier attempt which may have run does not forbid this one.
func (r *Request) mayRepeat(to Server, now time.Time) bool {
	if r.repeat.Idempotency == routing.Idempotent {
		return true
	}
	for i := range r.attempts {
		earlier := &r.attempts[i]
		if earlier.notRun {
			continue
		}
		if r.repeat.Idempotency == routing.NonIdempotent || !r.repeat.together(earlier.Server, to) ||
			now.Sub(earlier.begun) >= r.repeat.DedupWindow {
			return false
		}
	}
	return true
}

// together says whether two servers drop each other's repeats.
func (p RepeatPolicy) together(a, b Server) bool {
	switch p.DedupScope {
	case routing.ScopeAll:
		return true
	case routing.ScopeZone:
		return a.Zone == b.Zone
	}
	return a.Zone == b.Zone && a.Cell == b.Cell
}

// Complete says that the system has taken the last byte of an attempt, and checks that it was in time.
func (r *Request) Complete(number routing.AttemptNumber, node routing.EndpointID, now time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.Number != number || a.Server.Endpoint != node {
			continue
		}
		r.record(flightrecorder.AttemptWritten, a.Attempt, 0, now.Sub(a.begun).Milliseconds())
		r.check(a, now)
		return
	}
}

func (r *Request) check(a *attempt, now time.Time) {
	detail := []zap.Field{zap.Int("attempt", int(a.Number)), zap.Duration("written_for", now.Sub(a.begun))}
	if r.monitor.Watch().Since(a.begun, now) {
		return // the process stood still in the middle of a write
	}
	if r.end != EndOpen && now.Sub(r.ended) > EndSlack {
		r.monitor.Violate(AttemptAfterEnd, r.id, append(detail, zap.Stringer("ended", r.end))...)
	}
	if now.Sub(r.deadline) > EndSlack {
		r.monitor.Violate(AttemptAfterDeadline, r.id, detail...)
	}
	if !a.NotAfter.IsZero() && now.Sub(a.NotAfter) > GraceSlack {
		r.monitor.Violate(AttemptAfterBound, r.id, detail...)
	}
	if a.Deadline > r.deadline.Sub(now)+DeadlineSlack {
		r.monitor.Violate(DeadlineTooLong, r.id, append(detail, zap.Duration("told", a.Deadline))...)
	}
}

// MarkNotRun says that an attempt has been proved not to have run.
func (r *Request) MarkNotRun(number routing.AttemptNumber, node routing.EndpointID) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.attempts {
		if a := &r.attempts[i]; a.Number == number && a.Server.Endpoint == node {
			a.notRun = true
		}
	}
}

// Record adds an event about an attempt to the flight recorder.
func (r *Request) Record(event flightrecorder.Event, number routing.AttemptNumber, node routing.EndpointID, reason uint8, value int64) {
	if r == nil {
		return
	}
	r.record(event, Attempt{Number: number, Server: Server{Endpoint: node}}, reason, value)
}

func (r *Request) record(event flightrecorder.Event, a Attempt, reason uint8, value int64) {
	r.monitor.Record(flightrecorder.Entry{
		Event: event, ID: r.id, Endpoint: uint64(a.Server.Endpoint), Attempt: uint8(a.Number),
		Reason: reason, Value: value,
	})
}
