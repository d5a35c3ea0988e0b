package invariant

import (
	"strings"
	"testing"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

var (
	here     = Server{Endpoint: 1, Zone: 1, Cell: 1}
	sameCell = Server{Endpoint: 2, Zone: 1, Cell: 1}
	sameZone = Server{Endpoint: 3, Zone: 1, Cell: 2}
	farAway  = Server{Endpoint: 4, Zone: 2, Cell: 1}
)

func newMonitor() *Monitor {
	return NewMonitor(zap.NewNop(), flightrecorder.New(64, ReasonName), nil, nil)
}

// Each kind of violation counts when it is planted, and nothing else does.
func TestPlantedViolations(t *testing.T) {
	now := time.Now()
	after := func(d time.Duration) time.Time { return now.Add(d) }
	attempt := func(number routing.AttemptNumber, at Server) Attempt {
		return Attempt{Number: number, Server: at, NotAfter: after(time.Second), Deadline: 2 * time.Second}
	}
	request := func(m *Monitor, e routing.Idempotency) *Request {
		return m.NewRequest(7, after(2*time.Second), RepeatPolicy{Idempotency: e, DedupScope: routing.ScopeCell, DedupWindow: time.Second})
	}
	for _, c := range []struct {
		kind  Violation
		plant func(m *Monitor)
	}{
		{AttemptAfterEnd, func(m *Monitor) {
			r := request(m, routing.Idempotent)
			r.Begin(attempt(0, here), now)
			r.End(EndCancelled, now)
			r.Complete(0, here.Endpoint, after(EndSlack+time.Millisecond))
		}},
		{AttemptAfterDeadline, func(m *Monitor) {
			r := m.NewRequest(7, after(10*time.Millisecond), RepeatPolicy{})
			r.Begin(Attempt{Server: here}, now)
			r.Complete(0, here.Endpoint, after(10*time.Millisecond+EndSlack+time.Millisecond))
		}},
		{AttemptAfterBound, func(m *Monitor) {
			r := request(m, routing.Idempotent)
			a := attempt(0, here)
			a.NotAfter, a.Deadline = now, time.Second
			r.Begin(a, now)
			r.Complete(0, here.Endpoint, after(GraceSlack+time.Millisecond))
		}},
		{DeadlineTooLong, func(m *Monitor) {
			r := request(m, routing.Idempotent)
			a := attempt(0, here)
			a.Deadline = 2*time.Second + DeadlineSlack + time.Millisecond
			r.Begin(a, now)
			r.Complete(0, here.Endpoint, now)
		}},
		{RepeatUnsafe, func(m *Monitor) {
			r := request(m, routing.NonIdempotent)
			r.Begin(attempt(0, here), now)
			r.Begin(attempt(1, here), now)
		}},
		{AnsweredTwice, func(m *Monitor) {
			r := request(m, routing.Idempotent)
			r.End(EndServed, now)
			r.End(EndFailed, now)
		}},
		{AnsweredLate, func(m *Monitor) {
			request(m, routing.Idempotent).End(EndServed, after(2*time.Second+AnswerSlack+time.Millisecond))
		}},
		{RejectedThoughRan, func(m *Monitor) {
			r := request(m, routing.NonIdempotent)
			r.Begin(attempt(0, here), now)
			r.End(EndRejected, now)
		}},
		{RequestUnanswered, func(m *Monitor) { m.CloseClient(7, CloseClientIdle, 1) }},
		{AttemptCutOff, func(m *Monitor) { m.CloseServer(7, CloseIdle, 1) }},
		{StaleCopyServed, func(m *Monitor) { m.Violate(StaleCopyServed, 7) }},
		{InvalidTransition, func(m *Monitor) { m.Violate(InvalidTransition, 7) }},
	} {
		m := newMonitor()
		c.plant(m)
		counts, _ := m.Counts()
		if m.Violations() != 1 || counts[c.kind.String()] != 1 {
			t.Errorf("%v: counted %v", c.kind, counts)
		}
	}
}

// What crosses, in time, is refused or passed over, and is no violation.
func TestCrossingsAreNoViolations(t *testing.T) {
	now := time.Now()
	m := newMonitor()
	r := m.NewRequest(7, now.Add(time.Second), RepeatPolicy{})
	if refusal := r.Begin(Attempt{Server: here, Deadline: time.Second}, now); refusal != SendAllowed {
		t.Error(refusal)
	}
	r.Complete(0, here.Endpoint, now.Add(time.Millisecond))
	if !r.End(EndServed, now) || r.End(EndClientLeft, now) || r.End(EndCancelled, now) || r.Open() {
		t.Error("a request ended more than once, or not at all")
	}
	if refusal := r.Begin(Attempt{Number: 1, Server: here}, now); refusal != SendRequestEnded {
		t.Error(refusal)
	}
	late := m.NewRequest(8, now, RepeatPolicy{})
	if refusal := late.Begin(Attempt{Server: here}, now); refusal != SendDeadlinePassed {
		t.Error(refusal)
	}
	bound := m.NewRequest(9, now.Add(time.Second), RepeatPolicy{})
	if refusal := bound.Begin(Attempt{Server: here, NotAfter: now}, now.Add(time.Millisecond)); refusal != SendBoundPassed {
		t.Error(refusal)
	}
	m.CloseClient(1, CloseClientLeft, 3)
	m.CloseClient(1, CloseClientIdle, 0)
	m.CloseServer(1, CloseServerEnded, 3)
	if m.Violations() != 0 {
		counts, _ := m.Counts()
		t.Error(counts)
	}
	if _, closed := m.Counts(); closed["rested"] != 1 || closed["server_ended"] != 1 {
		t.Error(closed)
	}
}

// Which repeats may begin, by effect, scope, window, and what was proved of the attempt before.
func TestRepeats(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		repeat RepeatPolicy
		to     Server
		later  time.Duration
		notRun bool
		want   SendDenial
	}{
		{"harmless", RepeatPolicy{Idempotency: routing.Idempotent}, farAway, time.Second, false, SendAllowed},
		{"one shot", RepeatPolicy{Idempotency: routing.NonIdempotent}, here, 0, false, SendRepeatUnsafe},
		{"one shot that did not run", RepeatPolicy{Idempotency: routing.NonIdempotent}, farAway, 0, true, SendAllowed},
		{"keyed, in its cell", RepeatPolicy{routing.IdempotentWithKey, routing.ScopeCell, time.Second}, sameCell, 0, false, SendAllowed},
		{"keyed, out of its cell", RepeatPolicy{routing.IdempotentWithKey, routing.ScopeCell, time.Second}, sameZone, 0, false, SendRepeatUnsafe},
		{"keyed, in its zone", RepeatPolicy{routing.IdempotentWithKey, routing.ScopeZone, time.Second}, sameZone, 0, false, SendAllowed},
		{"keyed, out of its zone", RepeatPolicy{routing.IdempotentWithKey, routing.ScopeZone, time.Second}, farAway, 0, false, SendRepeatUnsafe},
		{"keyed, anywhere", RepeatPolicy{routing.IdempotentWithKey, routing.ScopeAll, time.Second}, farAway, 0, false, SendAllowed},
		{"keyed, after its window", RepeatPolicy{routing.IdempotentWithKey, routing.ScopeAll, time.Second}, here, time.Second, false, SendRepeatUnsafe},
	} {
		r := newMonitor().NewRequest(7, now.Add(time.Minute), c.repeat)
		r.Begin(Attempt{Server: here}, now)
		if c.notRun {
			r.MarkNotRun(0, here.Endpoint)
		}
		if got := r.Begin(Attempt{Number: 1, Server: c.to}, now.Add(c.later)); got != c.want {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
	}
}

// A violation writes the recorder out, but not one after the other.
func TestDump(t *testing.T) {
	var dumped []string
	m := NewMonitor(zap.NewNop(), flightrecorder.New(8, ReasonName), nil, func(reason string) { dumped = append(dumped, reason) })
	m.Violate(AnsweredTwice, 7)
	m.Violate(AnsweredLate, 7)
	if strings.Join(dumped, " ") != "answered_twice" {
		t.Error(dumped)
	}
	entries := m.Recorder().Entries()
	if len(entries) != 2 || !strings.Contains(m.Recorder().Text(entries[1]), "reason=answered_late") {
		t.Error(entries)
	}
}

// Whatever is not guarded, or not monitored, may do anything.
func TestUnguarded(t *testing.T) {
	var r *Request
	var m *Monitor
	now := time.Now()
	if !r.Open() || r.Begin(Attempt{}, now) != SendAllowed || !r.End(EndServed, now) || !r.End(EndServed, now) {
		t.Error("a request that nobody guards was held up")
	}
	r.Complete(0, 0, now)
	r.MarkNotRun(0, 0)
	r.Record(flightrecorder.AttemptEnded, 0, 0, 0, 0)
	m.Violate(AnsweredLate, 1)
	m.CloseClient(1, CloseClientIdle, 1)
	m.CloseServer(1, CloseIdle, 1)
	if m.Violations() != 0 || m.Watch() != nil || m.Recorder() != nil {
		t.Error("nothing counts something")
	}
	if open := m.NewRequest(1, now.Add(time.Second), RepeatPolicy{}); !open.End(EndServed, now) {
		t.Error("a request without a monitor cannot end")
	}
}

// Each reason has a name of its own.
func TestReasonNames(t *testing.T) {
	for _, list := range [][]string{violationNames[:], sendRefusalNames[:], endReasonNames[:], closeReasonNames[:]} {
		seen := map[string]bool{}
		for i, name := range list {
			if name == "" || seen[name] {
				t.Errorf("place %d: %q", i, name)
			}
			seen[name] = true
		}
	}
	if ReasonName(flightrecorder.AttemptDenied, 200) != "" || ReasonName(flightrecorder.Stalled, 0) != "" {
		t.Error("a reason that there is not has a name")
	}
}
