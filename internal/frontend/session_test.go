package frontend

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
	"fennelarch/policy/admission"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// open is doors that let any view in.
func open(admission.Event) (time.Duration, bool) { return 0, true }

func testSession() *session {
	s := &sharedState{
		limits:  limits.From(limits.Inputs{MemoryMB: 6, Sockets: 256, StreamsPerConnection: 100, LongestDeadline: 5 * time.Second}),
		classes: map[string]routing.ClassID{"clip": 0, "signoff": 1}, classSettings: []classSettings{{}, {isWrite: true}}, inFlight: map[engine.ClientRequestID]claim{},
		log: zap.NewNop(),
	}
	return newSession(s, nil, open, time.Time{})
}

func frame(words ...string) string { return string(resp.AppendWords(nil, words...)) }

const asked = "req=9b1f03aa5c7e2d41,timeout=1500,subject=7f3a9c21e0b4d655,piece=3,lot=17,need=412.5,ver=4be0c1927d55a6f3"

func do(tag int, body string) string { return frame("DO", fmt.Sprint(tag), "clip", asked, body) }

// got takes what came into the space at once.
func (s *session) receive(n int, now time.Time) error {
	s.received(n, now, now)
	return s.parse(now)
}

// hear feeds bytes in parts of so many, and tells what came of it: views, what was given up, and the words written.
func (s *session) feed(stream string, each int) (string, error) {
	var log []string
	for len(stream) > 0 {
		n := copy(s.inputSpace(), stream[:min(each, len(stream))])
		err := s.receive(n, time.Time{})
		log = append(log, s.sentMessages()...)
		log = append(log, s.writtenResponses()...)
		if err != nil {
			return strings.Join(log, "; "), err
		}
		stream = stream[n:]
	}
	return strings.Join(log, "; "), nil
}

func (s *session) sentMessages() (log []string) {
	for _, e := range s.takeMessages() {
		switch e := e.(type) {
		case *engine.Request:
			log = append(log, fmt.Sprintf("view %d tariff %d of %x/%d group %d, %g KB, %v left, write %v, has %q, id %x, %d bytes", e.Tag,
				e.Class, uint64(e.Object), e.Part, e.Group, e.SizeKB, e.Timeout, e.Write, e.HeldETag, e.ClientRequestID, len(e.Body)))
		case engine.ClientGone:
			log = append(log, fmt.Sprint("gone ", e.Request))
		}
	}
	return log
}

// words drains what is to be written.
func (s *session) writtenResponses() (log []string) {
	var all string
	for {
		out := s.nextOutput()
		if len(out) == 0 {
			break
		}
		all += string(out)
		s.output.Wrote(len(out))
	}
	for part := range strings.SplitSeq(all, "*4\r\n") {
		if w := strings.Split(part, "\r\n"); len(w) > 7 {
			log = append(log, strings.Join([]string{w[1], w[3], w[5], w[7]}, " "))
		}
	}
	return log
}

func Example_view() {
	s := testSession()
	fmt.Println(s.feed(frame("PING", "1")+do(2, ""), 1<<16))
	fmt.Println(s.feed(frame("DO", "3", "signoff", "req=9b1f03aa5c7e2d42,timeout=7,subject=0000000000000001", "a\r\nb"), 1<<16))
	_, _ = s.feed(do(4, "")+do(5, "")+do(6, "")+do(7, ""), 1<<16)
	s.respond(3, engine.Response{Status: engine.StatusFailed})
	s.respond(4, engine.Response{Status: engine.StatusOK, Body: []byte("bytes")})
	s.respond(5, engine.Response{Status: engine.StatusOK, NotModified: true})
	s.respond(6, engine.Response{Status: engine.StatusRejected, RetryAfter: 250 * time.Millisecond})
	s.respond(6, engine.Response{Status: engine.StatusFailed})
	s.respond(7, engine.Response{Status: engine.StatusRejected})
	fmt.Printf("%q\n", s.writtenResponses())
	s.close()
	fmt.Println(s.sentMessages(), s.isIdle())
	// Output:
	// view 2 tariff 0 of 7f3a9c21e0b4d655/3 group 17, 412.5 KB, 1.5s left, write false, has "4be0c1927d55a6f3", id 9b1f03aa5c7e2d41, 0 bytes; 1 UP   <nil>
	// view 3 tariff 1 of 1/0 group 0, 0 KB, 7ms left, write true, has "", id 9b1f03aa5c7e2d42, 4 bytes <nil>
	// ["3 FAILED  " "4 OK  bytes" "5 OK unchanged=1 " "6 BUSY holdoff=250 " "7 BUSY  "]
	// [gone 1] true
}

// What can be answered under a tag fails there and leaves the connection in use.
func TestBadViews(t *testing.T) {
	bad := []string{
		frame("GET", "1", "clip", asked), frame("DO", "1"), frame("DO", "1", "clip"), frame("DO", "1", "film", asked),
		frame("DO", "1", "clip", asked, "", "more"), frame("DO", "1", "clip", ""), frame("DO", "1", "clip", "-"),
		frame("DO", "1", "clip", strings.Replace(asked, "req=", "rid=", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "req=9", "req=", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "req=9", "req=G", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "timeout=1500,", "", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "1500", "-1", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "1500", "99999999999", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "subject", "object", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "7f3a", "zz3a", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "piece=3", "piece=x", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "lot=17", "lot=256", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "412.5", "NaN", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "412.5", "-1", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "412.5", "1e300", 1)),
		frame("DO", "1", "clip", strings.Replace(asked, "4be0", "4\r\n0", 1)), frame("DO", "1", "clip", asked+",ver=4be0c1927d55a6f3"),
		frame("DO", "1", "clip", asked+",req=9b1f03aa5c7e2d42"), frame("DO", "1", "clip", asked+",resent=2"),
		frame("DO", "1", "clip", strings.Replace(asked, "1500", "3600000", 1)),
		do(1, strings.Repeat("x", 48_001)), frame("UNDO", "x"), frame("DO", "0", "clip", asked), frame("DO", "-1", "clip", asked),
		frame("DO", "", "clip", asked),
	}
	for _, stream := range bad {
		for _, each := range []int{1, 13, 1 << 16} {
			s := testSession()
			got, err := s.feed(stream+do(2, "")+frame("PING", "3"), each)
			if err != nil || strings.Count(got, "FAILED") != 1 || strings.Count(got, "view") != 1 || !strings.Contains(got, "3 UP") {
				t.Errorf("%.90q in parts of %d: %s, %v", stream, each, got, err)
			}
		}
	}
	if got, err := testSession().feed(do(1, strings.Repeat("x", 48_000)), 1<<16); err != nil || !strings.HasSuffix(got, "48000 bytes") {
		t.Errorf("the largest body: %.100s, %v", got, err)
	}
	for _, stream := range []string{"GET / HTTP/1.1\r\n", "*2\r\n$4\r\nPING\r\n$99999999\r\n", frame("PING"), do(9, ""), frame("PING", "9")} {
		s := testSession()
		got, err := s.feed(do(9, "")+stream, 1)
		if s.respond(9, engine.Response{Body: []byte("late")}); err == nil || !strings.HasSuffix(got, "gone 1; 9 FAILED  ") || !s.isIdle() {
			t.Errorf("%q leaves the connection in use, or is served for what went before: %s", stream, got)
		}
	}
}

// Whose a view is, and the operation that it repeats, are told by its fields: another deployment has them, and nothing here
// may take its tenants for the first one, or lose the operation on the way.
func TestOwnerAndOperation(t *testing.T) {
	for _, c := range []struct {
		tenants []string
		fields  string
		tenant  routing.TenantID
		once    string
		bad     bool
	}{
		{[]string{"line-a", "line-b"}, ",owner=line-b,opkey=00af", 1, "00af", false},
		{[]string{"line-a", "line-b"}, ",owner=line-a", 0, "", false},
		{[]string{"line-a", "line-b"}, "", 0, "", false},
		{nil, ",owner=anybody", 0, "", false},
		{[]string{"line-a"}, ",owner=line-c", 0, "", true},
		{nil, ",opkey=", 0, "", true},
		{nil, ",opkey=a b", 0, "", true},
		{nil, ",opkey=a,opkey=b", 0, "", true},
	} {
		s := testSession()
		s.shared.tenants = c.tenants
		if err := s.receive(copy(s.inputSpace(), frame("DO", "1", "clip", asked+c.fields)), time.Time{}); err != nil {
			t.Fatal(err)
		}
		events := s.takeMessages()
		if (len(events) == 0) != c.bad {
			t.Errorf("%q with %v: taken %v", c.fields, c.tenants, len(events) > 0)
			continue
		}
		if c.bad {
			continue
		}
		if a := events[0].(*engine.Request); a.Tenant != c.tenant || a.IdempotencyKey != c.once {
			t.Errorf("%q: tenant %d, operation %q", c.fields, a.Tenant, a.IdempotencyKey)
		}
	}
}

// The id of an open view stands for its object on all connections, and for no other until the view is over.
func TestIdsOpen(t *testing.T) {
	a := testSession()
	b, other := newSession(a.shared, nil, open, time.Time{}), strings.Replace(asked, "piece=3", "piece=4", 1)
	_, _ = a.feed(do(1, "")+do(2, ""), 1<<16)
	for _, ends := range []func(){func() {}, func() { a.respond(1, engine.Response{}) }} {
		if ends(); len(b.writtenResponses()) > 0 {
			t.Fatal("an answer to nobody")
		}
		if got, _ := b.feed(frame("DO", "1", "clip", other), 1<<16); got != "1 FAILED  " {
			t.Errorf("another object under an open id: %s", got)
		}
	}
	if got, _ := b.feed(do(2, ""), 1<<16); !strings.HasPrefix(got, "view 2") {
		t.Errorf("the same object under an open id: %s", got)
	}
	_, _ = a.feed(frame("UNDO", "2"), 1<<16)
	if b.close(); len(a.shared.inFlight) > 0 {
		t.Errorf("%d ids are kept", len(a.shared.inFlight))
	}
}

// A message, the first or one begun, is to come whole in time; a connection with nothing to come may rest for longer.
func TestUntil(t *testing.T) {
	s, l := testSession(), testSession().shared.limits
	start, later := time.Time{}, time.Time{}.Add(time.Minute)
	if s.readDeadline(later) != start.Add(l.MessageTimeout) || !s.handleReadTimeout() {
		t.Error("one that says nothing stays")
	}
	_, _ = s.feed(do(1, ""), 9)
	if s.readDeadline(later) != later.Add(l.ClientIdleTimeout) || s.handleReadTimeout() {
		t.Error("one with an open view goes")
	}
	if err := s.receive(copy(s.inputSpace(), "*4\r\n$2\r\nDO"), later); err != nil || s.readDeadline(later.Add(time.Second)) != later.Add(l.MessageTimeout) {
		t.Error("half a message may take as long as it likes")
	}
	if err := s.receive(copy(s.inputSpace(), "\r"), later.Add(time.Second)); err != nil || s.readDeadline(later.Add(time.Second)) != later.Add(l.MessageTimeout) {
		t.Error("each byte gives it more time")
	}
	if rests := s.handleReadTimeout(); !rests || fmt.Sprint(s.writtenResponses()) != "[1 FAILED  ]" {
		t.Error("half a message keeps the connection, or its views are left out")
	}
}

func TestManyOpen(t *testing.T) {
	s := testSession()
	var stream string
	for tag := range 34 {
		stream += do(tag+1, "")
	}
	got, err := s.feed(stream, 1000)
	if err != nil || strings.Count(got, "view") != 32 || !strings.Contains(got, "33 FAILED") || !strings.Contains(got, "34 FAILED") {
		t.Errorf("%s, %v", got, err)
	}
}

// UNDO and the answer may cross: nothing is written for a view that was given up, and never two answers.
func TestUndo(t *testing.T) {
	s := testSession()
	if got, err := s.feed(do(1, "")+do(2, ""), 1<<16); err != nil || strings.Count(got, "view") != 2 {
		t.Errorf("%s, %v", got, err)
	}
	got, err := s.feed(frame("UNDO", "1")+frame("UNDO", "1")+frame("UNDO", "7"), 1<<16)
	if err != nil || got != "gone 1" {
		t.Errorf("%s, %v", got, err)
	}
	s.respond(1, engine.Response{Body: []byte("late")})
	s.respond(2, engine.Response{Body: []byte("in time")})
	if got, err := s.feed(frame("UNDO", "2"), 1<<16); got != "" || err != nil || !s.isIdle() || s.shared.backlogBytes.Load() != 0 {
		t.Errorf("%q, %v, %d bytes held", got, err, s.shared.backlogBytes.Load())
	}
}

// A client that reads nothing holds a ring, its open answers and no more: its input waits, and past the memory for all
// answers views fail.
func TestSlowReader(t *testing.T) {
	s := testSession()
	for tag := range 32 {
		if err := s.receive(copy(s.inputSpace(), do(tag+1, "")), time.Time{}); err != nil {
			t.Fatal(err)
		}
		s.respond(engine.Tag(tag+1), engine.Response{Body: make([]byte, 100_000)})
		s.nextOutput()
	}
	if l := s.shared.limits; s.shared.backlogBytes.Load() > l.ResponseBacklogBytes || s.output.Len() > l.ClientWriteBuffer {
		t.Errorf("%d bytes of answers held, %d in the ring", s.shared.backlogBytes.Load(), s.output.Len())
	}
	for i := 0; i < 200 && !s.isBackpressured(); i++ {
		if err := s.receive(copy(s.inputSpace(), frame("PING", fmt.Sprint(100+i))), time.Time{}); err != nil {
			t.Fatal(err)
		}
	}
	if !s.isBackpressured() || len(s.pendingResponses) > s.shared.limits.PendingResponses {
		t.Errorf("%d answers wait", len(s.pendingResponses))
	}
	if all := strings.Join(s.writtenResponses(), ";"); strings.Count(all, "OK") < 8 || strings.Count(all, "FAILED")+strings.Count(all, "OK") != 32 {
		t.Errorf("%d OK, %d FAILED", strings.Count(all, "OK"), strings.Count(all, "FAILED"))
	}
	if s.shared.backlogBytes.Load() != 0 {
		t.Errorf("%d bytes held at the end", s.shared.backlogBytes.Load())
	}
}

// What lies in the ring of a connection that is over is taken no more: its client has gone.
func TestNothingTakenOnceOver(t *testing.T) {
	s := testSession()
	for tag := range s.shared.limits.PendingResponses + 1 {
		_ = s.receive(copy(s.inputSpace(), frame("PING", fmt.Sprint(tag+100))), time.Time{})
	}
	if _ = s.receive(copy(s.inputSpace(), do(1, "")), time.Time{}); !s.isBackpressured() || len(s.takeMessages()) > 0 {
		t.Fatal("the input is not held")
	}
	s.close()
	if err := s.parse(time.Time{}); err != nil || len(s.takeMessages()) > 0 || len(s.inFlight) > 0 {
		t.Errorf("a view was taken of a client that has gone, or %v", err)
	}
}

// FuzzSession: no client may crash it, leave anything open or held, or make it hold more than its ring.
func FuzzSession(f *testing.F) {
	f.Add(do(1, "body")+frame("UNDO", "1")+frame("PING", "2"), 7)
	f.Add(frame("DO", "0", "clip", asked)+"*1\r\n$", 1)
	f.Fuzz(func(t *testing.T, stream string, each int) {
		s := testSession()
		_, _ = s.feed(stream, min(max(1, each), math.MaxInt16))
		if s.input.Len() > s.shared.limits.ClientReadBuffer {
			t.Errorf("%d bytes held", s.input.Len())
		}
		s.close()
		if !s.isIdle() || s.shared.backlogBytes.Load() != 0 {
			t.Error("something is left")
		}
	})
}

// A request's time counts from its last byte, and from when that came, however many wait with it.
func TestArrivals(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	s := testSession()
	put := func(text string, ms int) { s.received(copy(s.inputSpace(), text), at(ms), at(ms)) }
	put(do(1, "")+do(2, "")[:30], 0)
	put(do(2, "")[30:], 10)
	put(strings.Replace(do(3, ""), "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d43", 1)[:50], 20)
	put(strings.Replace(do(3, ""), "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d43", 1)[50:], 30)
	if first := s.scanHeldInput(); !first.Equal(at(1500)) {
		t.Errorf("the first is to have its answer by %v", first.Sub(start))
	}
	if err := s.parse(at(100)); err != nil {
		t.Fatal(err)
	}
	for tag, ms := range []int{0, 10, 30} {
		if a := s.inFlight[engine.Tag(tag+1)]; a == nil || !a.ReceivedAt.Equal(at(ms)) {
			t.Errorf("request %d came at %v", tag+1, a.ReceivedAt.Sub(start))
		}
	}
	if len(s.arrivals.list) > 1 {
		t.Errorf("%d arrivals are kept", len(s.arrivals.list))
	}
	for i := range 1000 { // more than are told apart: by the earliest, never later than they came
		put("*", 200+i)
		if i == 0 {
			_ = s.parse(at(200))
		}
	}
	if got := s.arrivals.timeOf(0); len(s.arrivals.list) > maxArrivals || got.After(at(1199)) || got.Before(at(200)) {
		t.Errorf("%d arrivals, the last at %v", len(s.arrivals.list), got.Sub(start))
	}
}
