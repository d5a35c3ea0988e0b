package soak

import (
	"testing"
	"time"

	"fennelarch/internal/fake/site"
	"fennelarch/internal/testbed"
)

// cleanRun is a record of one request and one attempt without any breach. Tests plant a breach in the record.
type cleanRun struct {
	*Record
	request *Request
	attempt *Attempt
}

func newCleanRun() *cleanRun {
	start := time.Now().Add(-time.Minute)
	record := newRecord(1)
	record.startedAt = start
	createdAt := start.Add(-time.Second).Truncate(time.Millisecond)
	request := &Request{
		ID: "00000000000000a7", Class: classByName("clip"), Object: 7, WriteStartedAt: start, SentAt: start,
		Timeout: 2 * time.Second, Answers: 1, AnsweredAt: start.Add(100 * time.Millisecond), Status: testbed.StatusOK,
		Body: site.Body(site.Object{ID: 7}, createdAt, 900),
	}
	record.requests[request.ID] = request
	record.attempts = []Attempt{{
		RequestID: request.ID, Server: "s-1", Source: "s-2", FirstByteAt: start.Add(time.Millisecond),
		LastByteAt: start.Add(time.Millisecond), Timeout: 1999 * time.Millisecond,
	}}
	return &cleanRun{record, request, &record.attempts[0]}
}

func (r *cleanRun) at(sinceStart time.Duration) time.Time { return r.startedAt.Add(sinceStart) }

func TestCleanRunHasNoBreach(t *testing.T) {
	if breaches, excused := newCleanRun().check(); len(breaches) > 0 || len(excused) > 0 {
		t.Errorf("found breaches %v and excuses %v in a clean run", breaches, excused)
	}
}

// plantedBreaches holds a function for each kind of breach that plants one in a clean run.
var plantedBreaches = []struct {
	kind  BreachKind
	plant func(r *cleanRun)
}{
	{AttemptAfterCancel, func(r *cleanRun) {
		r.request.Answers, r.request.CancelledAt, r.attempt.FirstByteAt = 0, r.at(0), r.at(200*time.Millisecond)
	}},
	{AttemptAfterDisconnect, func(r *cleanRun) {
		r.request.Answers, r.request.DisconnectedAt, r.attempt.FirstByteAt = 0, r.at(0), r.at(200*time.Millisecond)
	}},
	{AttemptAfterDeadline, func(r *cleanRun) {
		r.attempt.FirstByteAt, r.attempt.LastByteAt = r.at(2100*time.Millisecond), r.at(2100*time.Millisecond)
		r.attempt.Timeout = time.Millisecond
	}},
	{DeadlineTooLong, func(r *cleanRun) { r.attempt.Timeout = 2300 * time.Millisecond }},
	{AttemptAfterDrain, func(r *cleanRun) {
		r.departures = []departure{{server: "s-2", event: 1, at: r.at(-9 * time.Second)}}
	}},
	{UnknownRequest, func(r *cleanRun) { r.attempt.RequestID = "00000000000000a8" }},
	{RanTwice, func(r *cleanRun) { r.executions[r.request.ID] = 2 }},
	{AnsweredTwice, func(r *cleanRun) { r.request.Answers = 2 }},
	{AnsweredLate, func(r *cleanRun) { r.request.AnsweredAt = r.at(2700 * time.Millisecond) }},
	{RejectedThoughRan, func(r *cleanRun) {
		r.request.Class, r.request.Status = classByName("photo"), testbed.StatusBusy
		r.executions[r.request.ID] = 1
	}},
	{WrongBytes, func(r *cleanRun) { r.request.Body += "x" }},
	{StaleCopy, func(r *cleanRun) {
		r.purges = []objectPurge{{object: 7, event: 1, at: r.at(-9 * time.Second), issuedAt: r.at(0)}}
	}},
	{CopyTooOld, func(r *cleanRun) {
		r.request.Class = classByName("page")
		r.request.Body = site.Body(site.Object{ID: 7}, r.at(-3*time.Second), 900)
	}},
	{LostRequest, func(r *cleanRun) { r.request.Answers = 0 }},
	{ColdOverload, func(r *cleanRun) {
		start := coldStart{server: "s-1", event: 1, at: r.at(-4 * time.Second), capacityWeight: serverWeight}
		for i := range 400 {
			at := r.at(-500*time.Millisecond + time.Duration(i)*time.Millisecond)
			start.requests = append(start.requests, receivedRequest{r.request.ID, at})
		}
		r.firstPollAfter[0][1] = r.at(-3 * time.Second)
		r.coldStarts = []coldStart{start}
	}},
}

// The checker finds each kind of breach, and no other kind beside it.
func TestPlantedBreachIsFound(t *testing.T) {
	for _, test := range plantedBreaches {
		t.Run(string(test.kind), func(t *testing.T) {
			r := newCleanRun()
			test.plant(r)
			breaches, _ := r.check()
			// An attempt names two servers, its target and its source, so that one breach may be found twice.
			if len(breaches) == 0 || len(breaches) > 2 || breaches[0].Kind != test.kind {
				t.Errorf("found breaches %v", countKinds(breaches))
			}
		})
	}
}

// A lost request is excused, and no breach, if a fault explains the loss.
func TestLossIsExcused(t *testing.T) {
	for _, test := range []struct {
		excuse Excuse
		plant  func(r *cleanRun)
	}{
		{ExcuseRouterKilled, func(r *cleanRun) { r.processes[0].killed = []time.Time{r.at(time.Millisecond)} }},
		{ExcuseRouterDown, func(r *cleanRun) {
			r.processes[0].down = []interval{{r.at(-time.Second), r.at(time.Second)}}
		}},
		{ExcuseRouterFrozen, func(r *cleanRun) {
			r.processes[0].frozen = []interval{{r.at(time.Second), r.at(2 * time.Second)}}
		}},
		{ExcuseConnectionReset, func(r *cleanRun) {
			r.request.ConnectionEnd, r.request.EndedAt = EndedByReset, r.at(time.Millisecond)
		}},
		{ExcuseCrossedClose, func(r *cleanRun) {
			r.request.MayHaveCrossedClose = true
			r.request.ConnectionEnd, r.request.EndedAt = EndedByClose, r.at(time.Millisecond)
		}},
		{ExcuseReadsPaused, func(r *cleanRun) {
			r.request.ReadsPaused = true
			r.request.ConnectionEnd, r.request.EndedAt = EndedByClose, r.at(time.Second)
		}},
		{ExcuseRejected, func(r *cleanRun) { r.request.WasConnectionRejected = true }},
		{ExcuseSentAfterShutdown, func(r *cleanRun) { r.processes[0].stopped = []time.Time{r.at(-time.Second)} }},
	} {
		t.Run(string(test.excuse), func(t *testing.T) {
			r := newCleanRun()
			r.request.Answers = 0
			test.plant(r)
			if breaches, excused := r.check(); len(breaches) > 0 || excused[string(test.excuse)] != 1 {
				t.Errorf("breaches %v, excuses %v, want no breach and the excuse of the case", breaches, excused)
			}
		})
	}
}
