package upstream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
	"fennelarch/policy/routing"
)

var bounds = limits.From(limits.Inputs{MemoryMB: 64, Sockets: 256, StreamsPerConnection: 100, DrainGrace: time.Second, LongestDeadline: time.Second})

func testSession() *session {
	return newSession(&bounds, &protocolNames{classes: []string{"clip", "signoff"}, reportColumns: []string{"util", "x1"}})
}

func leg(ident engine.ClientRequestID) *engine.Attempt {
	return &engine.Attempt{Request: &engine.Request{ClientRequestID: ident, Object: 0xbeef, Part: 3}, Deadline: time.Now().Add(1500 * time.Millisecond)}
}

// send puts a leg into the stream and has so many bytes of it written, all if -1.
func (s *session) sendAll(l *engine.Attempt, most int) string {
	s.enqueue(exchange{attempt: l, notAfter: time.Now().Add(time.Minute)})
	out := s.nextOutput(time.Now())
	if most < 0 || most > len(out) {
		most = len(out)
	}
	text := string(out[:most])
	s.output.Wrote(most)
	return text
}

// hear feeds bytes, in parts of so many.
func (s *session) hear(stream string, each int) error {
	for len(stream) > 0 {
		n := copy(s.readBuffer(), stream[:min(each, len(stream))])
		if err := s.received(n, time.Now()); err != nil {
			return err
		}
		stream = stream[n:]
	}
	return nil
}

func frame(words ...string) string { return string(resp.AppendWords(nil, words...)) }

const ident = "00000000000000a7"

func Example_fetch() {
	k := testSession()
	now := time.Now()
	l, second := leg(0xa7), leg(0xa8)
	l.Deadline, second.Deadline = now.Add(1500*time.Millisecond), now.Add(1400*time.Millisecond)
	l.MaxAge, l.CacheRank, l.FillOptions = 2*time.Second, 2, routing.CoalesceFill|routing.OnlyIfCached|routing.NoStore|routing.StaleWhileRevalidate
	l.Request.HeldETag, l.Request.IdempotencyKey, l.Request.Body = "4be0", "op-7", []byte("a\r\nb")
	k.enqueue(exchange{attempt: l, sourceUID: "s-1", notAfter: time.Now().Add(time.Second)})
	fmt.Printf("%q\n", k.nextOutput(now))
	k.output.Wrote(k.output.Len())
	k.enqueue(exchange{attempt: second, notAfter: now.Add(time.Second)})
	fmt.Printf("%q\n", k.nextOutput(now.Add(100*time.Millisecond)))
	k.output.Wrote(k.output.Len())
	k.abort(l, time.Now())
	k.checkHealth(7, "stats", time.Now())
	fmt.Printf("%q\n", k.nextOutput(time.Now()))
	// Output:
	// "*4\r\n$5\r\nfetch\r\n$16\r\n00000000000000a7\r\n$127\r\nclass=clip,key=000000000000beef,part=3,wait=1500,next=s-1,admit=2,agelim=2000,ways=join+held+nocopy+renew,once=op-7,cached=4be0\r\n$4\r\na\r\nb\r\n"
	// "*4\r\n$5\r\nfetch\r\n$16\r\n00000000000000a8\r\n$48\r\nclass=clip,key=000000000000beef,part=3,wait=1300\r\n$0\r\n\r\n"
	// "*2\r\n$5\r\nabort\r\n$16\r\n00000000000000a7\r\n*2\r\n$5\r\nstats\r\n$1\r\n1\r\n"
}

// Every word and every note means to the rules what the simulator's would.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		word, fields string
		outcome      routing.Outcome
		note         routing.Note
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
		for _, each := range []int{1, 7, 1 << 16} {
			k := testSession()
			l := leg(0xa7)
			l.Request.HeldETag = "copy"
			k.sendAll(l, -1)
			if err := k.hear(frame(ident, c.word, c.fields+",stats=x1:2.5;util:0.25", "body"), each); err != nil {
				t.Fatalf("%s %s: %v", c.word, c.fields, err)
			}
			ends := k.takeResults()
			if len(ends) != 1 {
				t.Fatalf("%s %s: %d ends", c.word, c.fields, len(ends))
			}
			end := ends[0].(engine.AttemptResult)
			if end.Attempt != l || end.Outcome != c.outcome || end.Note != c.note || end.NotModified != (c.word == "304") ||
				(string(end.Body) == "body") != (c.word == "200") {
				t.Errorf("%s %s: %+v", c.word, c.fields, end)
			}
			if end.LoadReport != (routing.LoadReport{Count: 2, Values: [4]float64{0.25, 2.5}}) {
				t.Errorf("report %v", end.LoadReport)
			}
			if c.fields == "how=pulled,slow=12.5" && end.FirstByteWait != 12500*time.Microsecond {
				t.Errorf("waited %v", end.FirstByteWait)
			}
			if k.pending() != 0 {
				t.Errorf("%s %s: still open", c.word, c.fields)
			}
		}
	}
}

// A connection that ends proves that a leg did not run unless its last byte was handed over: a one-shot view goes by
// it.
func TestOverAtEachByte(t *testing.T) {
	whole := len(testSession().sendAll(leg(0xa7), -1))
	for written := range whole + 1 {
		k := testSession()
		k.sendAll(leg(0xa7), written)
		k.failAll()
		want := routing.ConnectFailed
		if written == whole {
			want = routing.ConnectionBroken
		}
		if ends := k.takeResults(); len(ends) != 1 || ends[0].(engine.AttemptResult).Outcome != want {
			t.Errorf("%d of %d bytes written: %+v", written, whole, ends)
		}
	}
}

// A leg that is given up before it is begun leaves no trace on the wire; one that is begun may have run, and a late
// answer to it is nobody's.
func TestAbort(t *testing.T) {
	k := testSession()
	a, b := leg(0xa7), leg(0xa8)
	k.enqueue(exchange{attempt: a, notAfter: time.Now().Add(time.Minute)})
	if k.abort(a, time.Now()) || len(k.nextOutput(time.Now())) > 0 {
		t.Error("a leg that waited may have run, or was written")
	}
	k.sendAll(b, 10)
	if !k.abort(b, time.Now()) {
		t.Error("a leg that is half written cannot run")
	}
	if !k.hasPartialAbort {
		t.Error("the rest of a leg that was given up is to go, and begins an attempt")
	}
	k.output.Wrote(k.output.Len()) // were the rest written all the same, the abort would follow it
	if text := string(k.nextOutput(time.Now())); text != frame("abort", "00000000000000a8") {
		t.Errorf("after half a leg: %q", text)
	}
	if k.canCarry(leg(0xa8)) || !k.canCarry(leg(0xa9)) || !k.hasSilentAbort {
		t.Error("the same view again would take the late answer for its own, or a silent connection is trusted")
	}
	if err := k.hear(frame("00000000000000a8", "200", "-", "late"), 100); err != nil || len(k.takeResults()) > 0 || k.hasSilentAbort {
		t.Error("a late answer is not passed over")
	}
	if !k.canCarry(leg(0xa8)) {
		t.Error("the late answer has come, and yet the view cannot go here")
	}
}

// What cannot be an answer to what was asked ends the connection, and what is open there may have run.
func TestSpoilt(t *testing.T) {
	for _, text := range []string{
		frame(ident, "599", "how=unheard_of"), frame(ident, "200", "-"), frame(ident, "304", "-"), frame(ident, "304", "sum=other,how=local"),
		frame(ident, "304", "how=local,sum="), frame(ident), frame("1", "asleep"),
		frame("zz", "200"), "*4\r\n$16\r\n" + ident + "\r\n$3\r\n200\r\n$1\r\n-\r\n$3000000000\r\n", "noise",
	} {
		k := testSession()
		l := leg(0xa7)
		if strings.Contains(text, "sum=") {
			l.Request.HeldETag = "copy"
		}
		k.sendAll(l, -1)
		k.checkHealth(7, "stats", time.Now())
		if k.hear(text, 3) == nil {
			t.Errorf("%q is believed", text)
		}
		k.failAll()
		if end := k.takeResults()[0].(engine.AttemptResult); end.Outcome != routing.ConnectionBroken {
			t.Errorf("%q: %+v", text, end)
		}
	}
}

// Half an answer is no sign of life; a second copy of an answer is none to a further leg of its view; the beginning of
// what nobody asked for makes a resting connection unsafe.
func TestHalfAndTwice(t *testing.T) {
	k := testSession()
	a, answer := leg(0xa7), frame(ident, "200", "-", "bytes")
	k.sendAll(a, -1)
	if err := k.hear(answer[:30], 7); err != nil {
		t.Fatal(err)
	}
	if k.abort(a, time.Now()); !k.isSuspect() {
		t.Error("half an answer counts")
	}
	k = testSession()
	k.sendAll(leg(0xa7), -1)
	if err := k.hear(answer+answer, 7); err != nil || len(k.takeResults()) != 1 {
		t.Error("not one end")
	}
	if k.canCarry(leg(0xa7)) || !k.canCarry(leg(0xa8)) || k.isSuspect() {
		t.Error("a copy to come would be taken for an answer")
	}
	if err := k.hear(answer[:9], 9); err != nil || !k.isSuspect() {
		t.Error("the next answer would go on where this one stops")
	}
}

// A leg that could not be begun in time never goes: its node may have drained meanwhile.
func TestTooLateToBegin(t *testing.T) {
	k := testSession()
	now := time.Now()
	k.enqueue(exchange{attempt: leg(0xa7), notAfter: now})
	if out := k.nextOutput(now.Add(time.Millisecond)); len(out) > 0 {
		t.Errorf("written: %q", out)
	}
	if ends := k.takeResults(); len(ends) != 1 || ends[0].(engine.AttemptResult).Outcome != routing.ConnectFailed {
		t.Errorf("%+v", ends)
	}
}

// A report counts up to a column that is missing or odd; a probe that is never answered ends with the connection.
func TestProbes(t *testing.T) {
	k := testSession()
	k.checkHealth(7, "stats", time.Now())
	k.checkHealth(8, "alive", time.Now())
	k.checkHealth(9, "stats", time.Now())
	k.sendAll(leg(0xa7), -1)
	if err := k.hear(frame("1", "alive", "stats=util:0.5;x2:1")+frame("2", "dead", "-")+frame("2", "alive", "-"), 3); err != nil {
		t.Fatal(err)
	}
	k.failAll()
	var got []string
	for _, e := range k.takeResults() {
		if p, probed := e.(engine.HealthCheckResult); probed {
			got = append(got, fmt.Sprint(p.Endpoint, p.Outcome, p.LoadReport.Values[:p.LoadReport.Count]))
		}
	}
	want := []string{
		fmt.Sprint(7, routing.Succeeded, []float64{0.5}), fmt.Sprint(8, routing.Failed, []float64{}),
		fmt.Sprint(9, routing.ConnectFailed, []float64{}),
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%v, not %v", got, want)
	}
}

// FuzzLink: no answer may crash it or end a leg twice, and what it holds stays bounded.
func FuzzLink(f *testing.F) {
	f.Add(frame(ident, "200", "how=local,stats=util:0.5;x1:1", "body") + frame(ident, "404"))
	f.Add(frame("1", "alive") + frame("zz", "200") + frame(ident))
	f.Add("*4\r\n$16\r\n" + ident + "\r\n$3\r\n200\r\n$0\r\n\r\n$240001\r\n")
	f.Fuzz(func(t *testing.T, s string) {
		k := testSession()
		k.sendAll(leg(0xa7), -1)
		k.checkHealth(7, "stats", time.Now())
		_ = k.hear(s, 64)
		k.failAll()
		ends := 0
		for _, e := range k.takeResults() {
			if _, leg := e.(engine.AttemptResult); leg {
				ends++
			}
		}
		if ends != 1 || k.input.Len() > bounds.UpstreamReadBuffer {
			t.Errorf("%d ends, %d bytes held", ends, k.input.Len())
		}
	})
}
