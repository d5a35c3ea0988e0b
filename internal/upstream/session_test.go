package upstream

import (
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/resp"
	"fennelarch/policy/routing"
)

// testIDText is request id 0xa7 on the wire.
const (
	testID     engine.ClientRequestID = 0xa7
	testIDText                        = "00000000000000a7"
)

// wholeFrame has writeAttempt write all there is.
const wholeFrame = -1

func newTestSession() *session {
	return newSession(&testLimits, &protocolNames{
		classes:       []string{"clip", "signoff"},
		reportColumns: []string{"util", "x1"},
	})
}

// writeAttempt puts an attempt into the stream and has so many bytes of it written.
func (s *session) writeAttempt(attempt *engine.Attempt, length int) string {
	s.enqueue(exchange{attempt: attempt, notAfter: time.Now().Add(time.Minute)})
	frames := s.nextOutput(time.Now())
	if length == wholeFrame || length > len(frames) {
		length = len(frames)
	}
	text := string(frames[:length])
	s.output.Advance(length)
	return text
}

// feed has bytes received, in pieces of so many.
func (s *session) feed(stream string, pieceBytes int) error {
	for len(stream) > 0 {
		n := copy(s.readBuffer(), stream[:min(pieceBytes, len(stream))])
		if err := s.received(n, time.Now()); err != nil {
			return err
		}
		stream = stream[n:]
	}
	return nil
}

// A connection that ends proves that an attempt did not run unless its last byte was handed over: a request that is not
// idempotent depends on it.
func TestConnectionEndsAtEachByte(t *testing.T) {
	length := len(newTestSession().writeAttempt(newAttempt(testID), wholeFrame))
	for written := range length + 1 {
		s := newTestSession()
		s.writeAttempt(newAttempt(testID), written)
		s.failAll()
		want := routing.ConnectFailed
		if written == length {
			want = routing.ConnectionBroken
		}
		if results := s.takeResults(); len(results) != 1 || results[0].(engine.AttemptResult).Outcome != want {
			t.Errorf("%d of %d bytes written: %+v", written, length, results)
		}
	}
}

// An attempt that is aborted before it is begun leaves no trace on the wire.
func TestAbortOfWaitingAttempt(t *testing.T) {
	session := newTestSession()
	attempt := newAttempt(testID)
	session.enqueue(exchange{attempt: attempt, notAfter: time.Now().Add(time.Minute)})
	if session.abort(attempt, time.Now()) || len(session.nextOutput(time.Now())) > 0 {
		t.Error("an attempt that waited may have run, or was written")
	}
}

// An attempt that is aborted after it is begun may have run, and a late response to it is nobody's.
func TestAbortOfBegunAttempt(t *testing.T) {
	session := newTestSession()
	attempt := newAttempt(testID)
	session.writeAttempt(attempt, 10)
	if !session.abort(attempt, time.Now()) {
		t.Error("an attempt that is half written cannot run")
	}
	if !session.hasPartialAbort {
		t.Error("the rest of an attempt that was aborted is to go, and begins it")
	}
	session.output.Advance(session.output.Len()) // were the rest written all the same, the abort would follow it
	if text := string(session.nextOutput(time.Now())); text != frame("abort", testIDText) {
		t.Errorf("after half an attempt: %q", text)
	}
	if session.canCarry(newAttempt(testID)) || !session.canCarry(newAttempt(testID+1)) || !session.hasSilentAbort {
		t.Error("the same request again would take the late response for its own, or a silent connection is trusted")
	}
	err := session.feed(frame(testIDText, "200", "-", "late"), 100)
	if err != nil || len(session.takeResults()) > 0 || session.hasSilentAbort {
		t.Error("a late response is not passed over")
	}
	if !session.canCarry(newAttempt(testID)) {
		t.Error("the late response has come, and yet the request cannot go here")
	}
}

// An attempt that could not be begun in time never goes: its endpoint may have drained meanwhile.
func TestAttemptExpiresInQueue(t *testing.T) {
	session := newTestSession()
	now := time.Now()
	session.enqueue(exchange{attempt: newAttempt(testID), notAfter: now})
	if frames := session.nextOutput(now.Add(time.Millisecond)); len(frames) > 0 {
		t.Errorf("written: %q", frames)
	}
	results := session.takeResults()
	if len(results) != 1 || results[0].(engine.AttemptResult).Outcome != routing.ConnectFailed {
		t.Errorf("%+v", results)
	}
}

// FuzzSession feeds any bytes: none may crash the session or end an attempt twice, and what it holds stays bounded.
func FuzzSession(f *testing.F) {
	f.Add(frame(testIDText, "200", "how=local,stats=util:0.5;x1:1", "body") + frame(testIDText, "404"))
	f.Add(frame("1", "alive") + frame("zz", "200") + frame(testIDText))
	f.Add("*4\r\n$16\r\n" + testIDText + "\r\n$3\r\n200\r\n$0\r\n\r\n$240001\r\n")
	f.Fuzz(func(t *testing.T, stream string) {
		session := newTestSession()
		session.writeAttempt(newAttempt(testID), wholeFrame)
		session.checkHealth(7, verbCheckWithReport, time.Now())
		_ = session.feed(stream, 64)
		session.failAll()
		attemptResults := 0
		for _, result := range session.takeResults() {
			if _, isAttempt := result.(engine.AttemptResult); isAttempt {
				attemptResults++
			}
		}
		if attemptResults != 1 || session.input.Len() > testLimits.UpstreamReadBuffer {
			t.Errorf("%d results, %d bytes held", attemptResults, session.input.Len())
		}
	})
}

// BenchmarkExchange is one attempt through a session: queued, written and answered.
func BenchmarkExchange(b *testing.B) {
	session := newTestSession()
	attempt := newAttempt(testID)
	attempt.Deadline = time.Now().Add(time.Hour)
	response := resp.AppendStrings(nil, testIDText, "200", "how=local,sum=4be0,stats=util:0.5;x1:1", "body")
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		session.answered = session.answered[:0] // the same request goes again
		session.enqueue(exchange{attempt: attempt, notAfter: now.Add(time.Minute)})
		session.wrote(len(session.nextOutput(now)), now)
		n := copy(session.readBuffer(), response)
		if err := session.received(n, now); err != nil {
			b.Fatal(err)
		}
		if results := session.takeResults(); len(results) != 1 {
			b.Fatalf("%d results", len(results))
		}
	}
}
