package upstream

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"fennelarch/internal/engine"
)

const largeBodyBytes = 200_000

// largeResponse returns a successful response to the test's request, with a large body.
func largeResponse() string {
	return frame(testIDText, "200", "-", strings.Repeat("b", largeBodyBytes))
}

// A large body is received in memory that is reserved for it, and the input buffer stays small.
func TestLargeBodyBypassesTheInputBuffer(t *testing.T) {
	for _, pieceBytes := range []int{1000, 65_536, largeBodyBytes * 2} {
		session := newTestSession()
		session.writeAttempt(newAttempt(testID), wholeFrame)
		session.writeAttempt(newAttempt(testID+1), wholeFrame)
		stream := largeResponse() + frame("00000000000000a8", "404", "-")
		if err := session.feed(stream[:largeBodyBytes/2], pieceBytes); err != nil {
			t.Fatal(err)
		}
		if used := session.memory.used.Load(); used != largeBodyBytes || session.input.Len() > 8<<10 {
			t.Errorf("%d bytes reserved and %d buffered within the body", used, session.input.Len())
		}
		if err := session.feed(stream[largeBodyBytes/2:], pieceBytes); err != nil {
			t.Fatal(err)
		}
		results := session.takeResults()
		if len(results) != 2 || session.memory.used.Load() != 0 {
			t.Fatalf("%d results, want 2; %d bytes reserved in the end", len(results), session.memory.used.Load())
		}
		if body := results[0].(engine.AttemptResult).Body; !bytes.Equal(body, bytes.Repeat([]byte("b"), largeBodyBytes)) {
			t.Errorf("a body of %d bytes, want %d", len(body), largeBodyBytes)
		}
	}
}

// TestLargeBodiesStayWithinMemory guards against responses of many connections that together take more memory than the
// process has: without memory, nothing more is read from a connection until another response has been received.
func TestLargeBodiesStayWithinMemory(t *testing.T) {
	memory := &memoryBudget{limit: largeBodyBytes + 1}
	sessions := []*session{newTestSession(), newTestSession()}
	const head = 1000
	for _, session := range sessions {
		session.memory = memory
		session.writeAttempt(newAttempt(testID), wholeFrame)
		if err := session.feed(largeResponse()[:head], head); err != nil {
			t.Fatal(err)
		}
	}
	first, second := sessions[0], sessions[1]
	if memory.used.Load() != largeBodyBytes || len(first.readBuffer()) == 0 || len(second.readBuffer()) != 0 {
		t.Fatalf("%d bytes reserved; buffers of %d and %d bytes, want one response to be read", memory.used.Load(),
			len(first.readBuffer()), len(second.readBuffer()))
	}
	for i, session := range sessions {
		if err := session.handleRead(0, time.Now()); err != nil { // asks again
			t.Fatal(err)
		}
		if err := session.feed(largeResponse()[head:], 65_536); err != nil || len(session.takeResults()) != 1 {
			t.Errorf("response %d is not received: %v", i+1, err)
		}
	}
	if memory.used.Load() != 0 {
		t.Errorf("%d bytes reserved in the end", memory.used.Load())
	}
}

// A body that nobody waits for any more takes no memory, whether its attempt ended before it, within it or while it
// waited for memory; the connection goes on after it.
func TestUnwantedBodiesTakeNoMemory(t *testing.T) {
	abort := func(session *session, attempt *engine.Attempt) { session.abort(attempt, time.Now()) }
	end := func(session *session, _ *engine.Attempt) { session.failAll() }
	for name, test := range map[string]struct {
		received int // before the end of the attempt
		others   int // bytes reserved for other bodies
		end      func(session *session, attempt *engine.Attempt)
	}{
		"aborted before the body":   {0, 0, abort},
		"aborted within the body":   {100_000, 0, abort},
		"aborted while it waited":   {1000, largeBodyBytes, abort},
		"connection has just ended": {100_000, 0, end},
	} {
		t.Run(name, func(t *testing.T) {
			session, attempt := newTestSession(), newAttempt(testID)
			session.memory = &memoryBudget{limit: largeBodyBytes}
			session.memory.reserve(test.others)
			session.writeAttempt(attempt, wholeFrame)
			mustFeed(t, session, largeResponse()[:test.received])
			test.end(session, attempt)
			session.takeResults()
			if used := session.memory.used.Load(); used != int64(test.others) {
				t.Errorf("%d bytes reserved after the end of the attempt, want %d", used, test.others)
			}
			if err := session.handleRead(0, time.Now()); err != nil {
				t.Fatal(err)
			}
			mustFeed(t, session, largeResponse()[test.received:]+frame("1", "alive"))
			if results := session.takeResults(); len(results) > 0 {
				t.Errorf("results %+v, want none", results)
			}
			if used := session.memory.used.Load(); used != int64(test.others) || session.input.Len() != 0 {
				t.Errorf("%d bytes reserved in the end, want %d; %d bytes buffered", used, test.others, session.input.Len())
			}
		})
	}
}

// mustFeed makes the session receive a stream, and fails the test if that is an error.
func mustFeed(t *testing.T, session *session, stream string) {
	t.Helper()
	if err := session.feed(stream, 65_536); err != nil {
		t.Fatal(err)
	}
}

// A body that is larger than all the memory is received if it is the only one.
func TestSingleBodyIsAlwaysReceived(t *testing.T) {
	memory := memoryBudget{limit: 10}
	if !memory.reserve(100) || memory.reserve(1) {
		t.Error("want the first body to be granted, and no second one beside it")
	}
	memory.release(100)
	if !memory.reserve(1) {
		t.Error("memory that was given back is not granted")
	}
}
