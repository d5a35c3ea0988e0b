package upstream

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/resp"
	"fennelarch/policy/routing"
)

// Every status and every note is mapped to the outcome and the note that routing gets in the simulator.
func TestResponses(t *testing.T) {
	for _, test := range []struct {
		status, fields string
		outcome        routing.Outcome
		note           routing.Note
	}{
		{"200", "sum=1,t0=5,how=local", routing.Succeeded, routing.NoteHit},
		{"200", "how=pulled,slow=12.5", routing.Succeeded, routing.NoteFilled},
		{"200", "how=pulled_far", routing.Succeeded, routing.NoteViaOrigin},
		{"200", "how=rode", routing.Succeeded, routing.NoteCoalesced},
		{"200", "how=expired", routing.Succeeded, routing.NoteStale},
		{"200", "-", routing.Succeeded, routing.NoteNone},
		{"304", "sum=copy,how=local", routing.Succeeded, routing.NoteHit},
		{"404", "how=rode", routing.CacheMiss, routing.NoteCoalesced},
		{"404", "", routing.CacheMiss, routing.NoteNone},
		{"503", "how=turned_away", routing.Overloaded, routing.NoteSourceRefused},
		{"503", "how=no_place", routing.Overloaded, routing.NoteNoFillCapacity},
		{"500", "how=cut_off", routing.Failed, routing.NoteSourceUnreachable},
		{"500", "how=not_there", routing.Failed, routing.NoteSourceMiss},
		{"500", "how=far_fault", routing.Failed, routing.NoteOriginFailed},
		{"504", "-", routing.NotSent, routing.NoteNone},
	} {
		for _, pieceBytes := range []int{1, 7, 1 << 16} {
			t.Run(fmt.Sprintf("%s %s in pieces of %d", test.status, test.fields, pieceBytes), func(t *testing.T) {
				response := frame(testIDText, test.status, test.fields+",stats=x1:2.5;util:0.25", "body")
				attempt, result := feedResponse(t, response, pieceBytes)
				if result.Attempt != attempt || result.Outcome != test.outcome || result.Note != test.note {
					t.Errorf("result %+v, want the outcome and the note of the case", result)
				}
				checkContent(t, result, test.status)
				if test.fields == "how=pulled,slow=12.5" && result.FirstByteWait != 12500*time.Microsecond {
					t.Errorf("wait for the first byte %v, want 12.5ms", result.FirstByteWait)
				}
			})
		}
	}
}

// checkContent checks the body and the load report of a response in TestResponses, according to its status.
func checkContent(t *testing.T, result engine.AttemptResult, status string) {
	t.Helper()
	if result.NotModified != (status == "304") || (string(result.Body) == "body") != (status == "200") {
		t.Errorf("not modified: %v, want true for 304 only; body: %q, want \"body\" for 200 only",
			result.NotModified, result.Body)
	}
	if result.LoadReport != (routing.LoadReport{Count: 2, Values: [4]float64{0.25, 2.5}}) {
		t.Errorf("load report %v, want 0.25 and 2.5", result.LoadReport)
	}
}

// feedResponse feeds a response to an attempt whose client holds a copy, and returns the attempt and its only result.
func feedResponse(t *testing.T, response string, pieceBytes int) (*engine.Attempt, engine.AttemptResult) {
	t.Helper()
	session := newTestSession()
	attempt := newAttempt(testID)
	attempt.Request.HeldETag = "copy"
	session.writeAttempt(attempt, wholeFrame)
	if err := session.feed(response, pieceBytes); err != nil {
		t.Fatal(err)
	}
	results := session.takeResults()
	if len(results) != 1 {
		t.Fatalf("%d results, want 1", len(results))
	}
	if session.pending() != 0 {
		t.Error("answered attempt is still pending")
	}
	return attempt, results[0].(engine.AttemptResult)
}

// A frame that cannot be a response to any request sent is an error that ends the connection. Attempts in flight may
// have run.
func TestMalformedResponses(t *testing.T) {
	for name, stream := range map[string]string{
		"unknown status":             frame(testIDText, "599", "how=unheard_of"),
		"no body":                    frame(testIDText, "200", "-"),
		"not modified, no copy held": frame(testIDText, "304", "-"),
		"not modified, another ETag": frame(testIDText, "304", "sum=other,how=local"),
		"not modified, no ETag":      frame(testIDText, "304", "how=local,sum="),
		"no status":                  frame(testIDText),
		"unknown health status":      frame("1", "asleep"),
		"id not a number":            frame("zz", "200"),
		"body too long":              "*4\r\n$16\r\n" + testIDText + "\r\n$3\r\n200\r\n$1\r\n-\r\n$3000000000\r\n",
		"not a frame":                "noise",
	} {
		t.Run(name, func(t *testing.T) {
			session := newTestSession()
			attempt := newAttempt(testID)
			if strings.Contains(stream, "sum=") {
				attempt.Request.HeldETag = "copy"
			}
			session.writeAttempt(attempt, wholeFrame)
			session.checkHealth(7, verbCheckWithReport, time.Now())
			if err := session.feed(stream, 3); !errors.Is(err, resp.ErrMalformed) {
				t.Errorf("%q: error %v, want a framing error", stream, err)
			}
			session.failAll()
			if result := session.takeResults()[0].(engine.AttemptResult); result.Outcome != routing.ConnectionBroken {
				t.Errorf("result %+v, want outcome ConnectionBroken", result)
			}
		})
	}
}

// A response whose id is not a number, or is too large, matches no request, not even the one with the smallest or the
// largest id.
func TestResponseWithUnusableID(t *testing.T) {
	for _, test := range []struct {
		name string
		id   string
		sent engine.ClientRequestID
	}{
		{"not hexadecimal", "zzzzzzzzzzzzzzzz", 0},
		{"too large", "fffffffffffffffff", math.MaxUint64},
	} {
		t.Run(test.name, func(t *testing.T) {
			session := newTestSession()
			session.writeAttempt(newAttempt(test.sent), wholeFrame)
			err := session.feed(frame(test.id, statusOK, "-", "bytes"), 1)
			if !errors.Is(err, resp.ErrMalformed) {
				t.Errorf("id %q: error %v, want a framing error", test.id, err)
			}
			if results := session.takeResults(); len(results) != 0 {
				t.Errorf("results %+v, want none", results)
			}
		})
	}
}

// The error for a malformed response contains its id and the problem.
func TestResponseError(t *testing.T) {
	session := newTestSession()
	session.writeAttempt(newAttempt(testID), wholeFrame)
	err := session.feed(frame(testIDText, "599"), 1)
	var malformed *responseError
	if !errors.As(err, &malformed) || malformed.id != testIDText || malformed.problem != problemUnknownStatus {
		t.Errorf("error %v, want a responseError with the id and the unknown status", err)
	}
}

// An incomplete response does not prove that a connection works.
func TestHalfResponseKeepsConnectionSuspect(t *testing.T) {
	session := newTestSession()
	attempt := newAttempt(testID)
	session.writeAttempt(attempt, wholeFrame)
	if err := session.feed(frame(testIDText, "200", "-", "bytes")[:30], 7); err != nil {
		t.Fatal(err)
	}
	if session.abort(attempt, time.Now()); !session.isSuspect() {
		t.Error("connection is not suspect after an incomplete response")
	}
}

// A duplicate response is not taken for the response to a later attempt of the same request. An incomplete response
// makes an idle connection suspect.
func TestRepeatedResponse(t *testing.T) {
	session := newTestSession()
	response := frame(testIDText, "200", "-", "bytes")
	session.writeAttempt(newAttempt(testID), wholeFrame)
	if err := session.feed(response+response, 7); err != nil || len(session.takeResults()) != 1 {
		t.Error("want exactly one result")
	}
	if session.canCarry(newAttempt(testID)) || !session.canCarry(newAttempt(testID+1)) || session.isSuspect() {
		t.Error("a duplicate response could be taken for the response to a later attempt")
	}
	if err := session.feed(response[:9], 9); err != nil || !session.isSuspect() {
		t.Error("idle connection with an incomplete response is not suspect")
	}
}

// A load report is valid up to the first column that is missing or unknown. A health check without an answer ends with
// the connection.
func TestHealthChecks(t *testing.T) {
	session := newTestSession()
	session.checkHealth(7, verbCheckWithReport, time.Now())
	session.checkHealth(8, verbCheckHealth, time.Now())
	session.checkHealth(9, verbCheckWithReport, time.Now())
	session.writeAttempt(newAttempt(testID), wholeFrame)
	answers := frame("1", "alive", "stats=util:0.5;x2:1") + frame("2", "dead", "-") + frame("2", "alive", "-")
	if err := session.feed(answers, 3); err != nil {
		t.Fatal(err)
	}
	session.failAll()
	var got []string
	for _, result := range session.takeResults() {
		if health, isCheck := result.(engine.HealthCheckResult); isCheck {
			report := health.LoadReport
			got = append(got, fmt.Sprint(health.Endpoint, health.Outcome, report.Values[:report.Count]))
		}
	}
	want := []string{
		fmt.Sprint(7, routing.Succeeded, []float64{0.5}),
		fmt.Sprint(8, routing.Failed, []float64{}),
		fmt.Sprint(9, routing.ConnectFailed, []float64{}),
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
