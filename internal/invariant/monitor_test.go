package invariant

import (
	"strings"
	"testing"
	"time"

	"fennelarch/internal/flightrecorder"

	"go.uber.org/zap"
)

// Servers whose names tell how their location relates to that of baseServer.
var (
	baseServer = Server{Endpoint: 1, Zone: 1, Cell: 1}
	sameCell   = Server{Endpoint: 2, Zone: 1, Cell: 1}
	sameZone   = Server{Endpoint: 3, Zone: 1, Cell: 2}
	otherZone  = Server{Endpoint: 4, Zone: 2, Cell: 1}
)

func newMonitor() *Monitor {
	return NewMonitor(zap.NewNop(), flightrecorder.New(64, ReasonName), nil, nil)
}

// A connection that the client or the server ends while requests are open is no violation. Each close is counted by its
// reason.
func TestClosesAreCounted(t *testing.T) {
	monitor := newMonitor()
	monitor.RecordClientClose(1, CloseClientLeft, 3)
	monitor.RecordClientClose(1, CloseClientIdle, 0)
	monitor.RecordServerClose(1, CloseServerEnded, 3)
	violations, closes := monitor.Counts()
	if len(violations) != 0 || monitor.Violations() != 0 {
		t.Error(violations)
	}
	if len(closes) != 3 || closes["client_left"] != 1 || closes["idle"] != 1 || closes["server_ended"] != 1 {
		t.Error(closes)
	}
}

// A violation dumps the flight recorder; a second violation right after it does not.
func TestViolationDumpsRecorder(t *testing.T) {
	var dumped []string
	dump := func(reason string) { dumped = append(dumped, reason) }
	monitor := NewMonitor(zap.NewNop(), flightrecorder.New(8, ReasonName), nil, dump)
	monitor.RecordViolation(AnsweredTwice, 7)
	monitor.RecordViolation(AnsweredLate, 7)
	if strings.Join(dumped, " ") != "answered_twice" {
		t.Error(dumped)
	}
	entries := monitor.Recorder().Entries()
	if len(entries) != 2 || !strings.Contains(monitor.Recorder().Text(entries[1]), "reason=answered_late") {
		t.Error(entries)
	}
}

// A nil monitor counts nothing.
func TestNilMonitorCountsNothing(t *testing.T) {
	var monitor *Monitor
	now := time.Now()
	monitor.RecordViolation(AnsweredLate, 1)
	monitor.RecordClientClose(1, CloseClientIdle, 1)
	monitor.RecordServerClose(1, CloseServerIdle, 1)
	if monitor.Violations() != 0 || monitor.StallDetector() != nil || monitor.Recorder() != nil {
		t.Error("nil monitor is not empty")
	}
	if request := monitor.NewRequest(1, now.Add(time.Second), RepeatPolicy{}); !request.End(EndServed, now) {
		t.Error("request of a nil monitor cannot end")
	}
}
