package invariant

import (
	"testing"
	"time"

	"fennelarch/internal/flightrecorder"
)

// A request ends once; later ends are ignored and are no violations.
func TestRequestEndsOnce(t *testing.T) {
	now := time.Now()
	monitor := newMonitor()
	request := monitor.NewRequest(7, now.Add(time.Second), RepeatPolicy{})
	if denial := request.BeginAttempt(Attempt{Server: baseServer, Deadline: time.Second}, now); denial != SendAllowed {
		t.Error(denial)
	}
	request.RecordAttemptWritten(0, baseServer.Endpoint, now.Add(time.Millisecond))
	if !request.End(EndServed, now) || request.IsOpen() {
		t.Error("request did not end")
	}
	if request.End(EndClientLeft, now) || request.End(EndCancelled, now) {
		t.Error("request ended more than once")
	}
	if violations, _ := monitor.Counts(); len(violations) != 0 {
		t.Error(violations)
	}
}

// An attempt that comes too late is denied. A denial is no violation.
func TestLateAttemptsAreDenied(t *testing.T) {
	now := time.Now()
	for _, testCase := range []struct {
		name    string
		timeout time.Duration
		ended   bool
		attempt Attempt
		want    SendDenial
	}{
		{"after the end", time.Second, true, Attempt{Number: 1, Server: baseServer}, SendRequestEnded},
		{"at the deadline", time.Millisecond, false, Attempt{Server: baseServer}, SendDeadlinePassed},
		{"after its start bound", time.Second, false, Attempt{Server: baseServer, NotAfter: now}, SendBoundPassed},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			monitor := newMonitor()
			request := monitor.NewRequest(8, now.Add(testCase.timeout), RepeatPolicy{})
			if testCase.ended {
				request.End(EndServed, now)
			}
			if denial := request.BeginAttempt(testCase.attempt, now.Add(time.Millisecond)); denial != testCase.want {
				t.Errorf("got %v, want %v", denial, testCase.want)
			}
			if violations, _ := monitor.Counts(); len(violations) != 0 {
				t.Error(violations)
			}
		})
	}
}

// A nil request allows every attempt and can end any number of times.
func TestNilRequestAllowsAll(t *testing.T) {
	var request *Request
	now := time.Now()
	if !request.IsOpen() || request.BeginAttempt(Attempt{}, now) != SendAllowed {
		t.Error("attempt is denied")
	}
	for range 2 {
		if !request.End(EndServed, now) {
			t.Error("request cannot end")
		}
	}
	request.RecordAttemptWritten(0, 0, now)
	request.MarkNotRun(0, 0)
	request.Record(flightrecorder.AttemptEnded, 0, 0, 0, 0)
}
