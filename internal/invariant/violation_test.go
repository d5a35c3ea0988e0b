package invariant

import (
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// Each planted violation is counted once under its kind, and no other kind is counted.
func TestPlantedViolationsAreCounted(t *testing.T) {
	for kind := range violationKindCount {
		t.Run(kind.String(), func(t *testing.T) {
			monitor := newMonitor()
			plantedViolations[kind](monitor)
			counts, _ := monitor.Counts()
			if monitor.Violations() != 1 || counts[kind.String()] != 1 {
				t.Errorf("got violations %v, want one of this kind", counts)
			}
		})
	}
}

// arrival is the time at which the planted requests arrive.
var arrival = time.Now()

// after returns the time at a duration after arrival.
func after(d time.Duration) time.Time { return arrival.Add(d) }

func plantedAttempt(number routing.AttemptNumber) Attempt {
	return Attempt{Number: number, Server: baseServer, NotAfter: after(time.Second), Deadline: 2 * time.Second}
}

func plantedRequest(m *Monitor, idempotency routing.Idempotency) *Request {
	return m.NewRequest(7, after(2*time.Second), RepeatPolicy{
		Idempotency: idempotency, DedupScope: routing.ScopeCell, DedupWindow: time.Second,
	})
}

// plantedViolations holds a function per kind, which causes one violation of that kind.
var plantedViolations = [violationKindCount]func(m *Monitor){
	AttemptAfterEnd: func(m *Monitor) {
		request := plantedRequest(m, routing.Idempotent)
		request.BeginAttempt(plantedAttempt(0), arrival)
		request.End(EndCancelled, arrival)
		request.RecordAttemptWritten(0, baseServer.Endpoint, after(EndSlack+time.Millisecond))
	},
	AttemptAfterDeadline: func(m *Monitor) {
		request := m.NewRequest(7, after(10*time.Millisecond), RepeatPolicy{})
		request.BeginAttempt(Attempt{Server: baseServer}, arrival)
		request.RecordAttemptWritten(0, baseServer.Endpoint, after(10*time.Millisecond+EndSlack+time.Millisecond))
	},
	AttemptAfterBound: func(m *Monitor) {
		request := plantedRequest(m, routing.Idempotent)
		attempt := plantedAttempt(0)
		attempt.NotAfter, attempt.Deadline = arrival, time.Second
		request.BeginAttempt(attempt, arrival)
		request.RecordAttemptWritten(0, baseServer.Endpoint, after(StartBoundSlack+time.Millisecond))
	},
	DeadlineTooLong: func(m *Monitor) {
		request := plantedRequest(m, routing.Idempotent)
		attempt := plantedAttempt(0)
		attempt.Deadline = 2*time.Second + DeadlineSlack + time.Millisecond
		request.BeginAttempt(attempt, arrival)
		request.RecordAttemptWritten(0, baseServer.Endpoint, arrival)
	},
	RepeatUnsafe: func(m *Monitor) {
		request := plantedRequest(m, routing.NonIdempotent)
		request.BeginAttempt(plantedAttempt(0), arrival)
		request.BeginAttempt(plantedAttempt(1), arrival)
	},
	AnsweredTwice: func(m *Monitor) {
		request := plantedRequest(m, routing.Idempotent)
		request.End(EndServed, arrival)
		request.End(EndFailed, arrival)
	},
	AnsweredLate: func(m *Monitor) {
		plantedRequest(m, routing.Idempotent).End(EndServed, after(2*time.Second+AnswerSlack+time.Millisecond))
	},
	RejectedThoughRan: func(m *Monitor) {
		request := plantedRequest(m, routing.NonIdempotent)
		request.BeginAttempt(plantedAttempt(0), arrival)
		request.End(EndRejected, arrival)
	},
	RequestUnanswered: func(m *Monitor) { m.RecordClientClose(7, CloseClientIdle, 1) },
	AttemptCutOff:     func(m *Monitor) { m.RecordServerClose(7, CloseServerIdle, 1) },
	StaleCopyServed:   func(m *Monitor) { m.RecordViolation(StaleCopyServed, 7) },
	InvalidTransition: func(m *Monitor) { m.RecordViolation(InvalidTransition, 7) },
}
