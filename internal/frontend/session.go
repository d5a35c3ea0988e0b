// Package front speaks with clients. This file owns the state machine of one client connection: it is fed bytes,
// turns them into views, and puts answers into the stream. It must never touch a socket, wait, or decide anything
// about a view.
package frontend

import (
	"bytes"
	"errors"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
	"fennelarch/policy/admission"
	"fennelarch/policy/routing"
)

// errTags says that a tag was used again while it was open: no answer under it could be told from another.
var errTags = errors.New("tag used twice")

// shared is what all sessions of a server have in common.
type shared struct {
	limits  limits.Limits
	tariffs map[string]routing.ClassID
	tenants []string
	writes  []bool
	due     []time.Duration          // by tariff
	growth  []float64                // seconds for each KB
	repeats []invariant.RepeatPolicy // by tariff
	guard   *invariant.Monitor
	views   atomic.Uint64
	held    atomic.Int64 // bytes of answers that wait

	mu   sync.Mutex
	open map[engine.ClientRequestID]claim // views of all connections
}

// claim says what a view's id stands for while it is open, and how often.
type claim struct {
	object routing.ObjectID
	part   int
	times  int
}

// claim takes a view's id into use; one that stands for something else at the moment can't be.
func (s *shared) claim(a *engine.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.open[a.ClientRequestID]
	if c.times > 0 && (c.object != a.Object || c.part != a.Part) {
		return false
	}
	s.open[a.ClientRequestID] = claim{a.Object, a.Part, c.times + 1}
	return true
}

func (s *shared) release(id engine.ClientRequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.open[id]
	if c.times--; c.times > 0 {
		s.open[id] = c
	} else {
		delete(s.open, id)
	}
}

// session is one client connection.
type session struct {
	shared *shared
	client engine.Client
	in     resp.Ring
	dec    resp.Decoder
	out    resp.Writer

	open    map[engine.Tag]*engine.Request // by tag
	waiting []answer                       // nothing of them is in the stream
	putting int64                          // length of the body that is being put into the stream
	held    int64                          // bytes of answers that wait, of this session
	closed  bool
	good    bool             // the view that is being shut was served
	back    bool             // or turned back
	events  []engine.Message // *engine.Ask and engine.Gone, to be taken by the driver

	admits func(admission.Event) (wait time.Duration, taken bool) // asks whether a view may be opened, and tells of its end

	arrivals arrivals // of what is in the ring

	asked bool      // a whole message has come
	begun time.Time // when the one that is coming began, or the last one or the connection came
}

type answer struct {
	tag    string
	word   string
	fields string
	body   []byte
}

func newSession(s *shared, client engine.Client, admits func(admission.Event) (time.Duration, bool), now time.Time) *session {
	l := &s.limits
	return &session{
		shared: s, client: client, admits: admits, begun: now, in: resp.Ring{Bound: l.ClientReadBuffer}, out: resp.Writer{Ring: resp.Ring{Bound: l.ClientWriteBuffer}},
		dec:  resp.Decoder{Args: l.FrameStrings, Size: l.ClientReadBuffer - 2*l.FieldBytes, Most: l.ClientReadBuffer},
		open: map[engine.Tag]*engine.Request{},
	}
}

// space is where what comes next is to be read into.
func (s *session) space() []byte { return s.in.Tail() }

// put says how much is read now, and when it may have come at the earliest; nothing of it is taken yet.
func (s *session) put(n int, now, came time.Time) {
	if s.asked && s.in.Len() == 0 {
		s.begun = now
	}
	s.in.Commit(n)
	s.arrivals.add(n, came)
}

// parse takes the whole messages that have come. Of a connection that is over, none: its client has gone.
func (s *session) parse(now time.Time) error {
	for !s.closed && !s.full() {
		args, err := s.dec.Next(&s.in)
		if err == nil && args != nil {
			if s.begun = now; !s.asked {
				s.asked = true
				s.admits(admission.Event{Kind: admission.EventMessage})
			}
			err = s.command(args, s.arrivals.of(s.in.Len()-s.dec.Taken()))
		}
		if err != nil {
			s.refuse()
		}
		if args == nil || err != nil {
			return err
		}
	}
	return nil
}

// still says whether nothing is open, nothing is to be written and nothing has begun to come; one that has just come and has
// not asked yet is about to.
func (s *session) still(now time.Time, polite bool) bool {
	return s.idle() && s.in.Len() == 0 && (s.asked || !polite || now.Sub(s.begun) >= s.shared.limits.CloseLinger)
}

// ahead gives up what the client takes back in messages that wait to be taken: it has gone, though its input is held. It returns when
// the first of the requests among them must have its answer, zero if there is none.
func (s *session) ahead() (first time.Time) {
	in, dec := s.in.Copy(), s.dec.Fresh()
	for {
		args, err := dec.Next(&in)
		if args == nil || err != nil {
			return first
		}
		switch {
		case len(args) < 2:
		case string(args[0]) == "UNDO":
			number, err := strconv.ParseUint(string(args[1]), 10, 64)
			if _, open := s.open[engine.Tag(number)]; open && err == nil {
				s.leave(engine.Tag(number), invariant.EndCancelled)
			}
		case string(args[0]) == "DO":
			a := s.ask(args[2:])
			if a == nil {
				continue
			}
			if end := s.arrivals.look(in.Len() - dec.Taken()).Add(a.Timeout); first.IsZero() || end.Before(first) {
				first = end
			}
		}
	}
}

// stale says whether a request is about to be handed on that came so long ago that its client may have taken it back, or left,
// behind it.
func (s *session) stale(now time.Time) bool {
	return slices.ContainsFunc(s.events, func(e engine.Message) bool {
		a, is := e.(*engine.Request)
		return is && now.Sub(a.ReceivedAt) > s.shared.limits.StaleReadAge
	})
}

// refuseStale refuses what came so long ago that it may have been taken back where nobody has looked yet: nothing of it has been
// sent, so that trying again is harmless.
func (s *session) refuseStale(now time.Time) {
	for _, e := range slices.Clone(s.events) {
		if a, is := e.(*engine.Request); is && now.Sub(a.ReceivedAt) > s.shared.limits.StaleReadAge {
			s.events = slices.DeleteFunc(s.events, func(e engine.Message) bool { return e == engine.Message(a) })
			s.answer(a.Tag, engine.Response{Status: engine.StatusRejected})
		}
	}
}

// until is when the connection has rested for too long, or what comes first, or has begun to come, should be whole.
func (s *session) until(now time.Time) time.Time {
	if !s.asked || s.in.Len() > 0 {
		return s.begun.Add(s.shared.limits.MessageTimeout)
	}
	return now.Add(s.shared.limits.ClientIdleTimeout)
}

// refuse fails all that is open: the client sent what can't be read, so no answer of its would be known for what it is.
func (s *session) refuse() {
	for _, tag := range slices.Sorted(maps.Keys(s.open)) {
		s.leave(tag, invariant.EndFailed)
		s.fail(strconv.FormatUint(uint64(tag), 10))
	}
}

// full says that the client must read before more of it is taken.
func (s *session) full() bool { return len(s.waiting) >= s.shared.limits.PendingResponses }

// command takes one frame. What cannot be used gets an answer under its tag; without a tag, or under one that is open,
// none could be told from another.
func (s *session) command(args [][]byte, came time.Time) error {
	if len(args) < 2 || len(args[1]) > s.shared.limits.FieldBytes {
		return resp.ErrFraming
	}
	number, err := strconv.ParseUint(string(args[1]), 10, 64)
	tag := engine.Tag(number)
	if err != nil || tag == 0 {
		s.fail(string(args[1]))
		return nil
	}
	if string(args[0]) == "UNDO" {
		s.undo(tag)
		return nil
	}
	if _, open := s.open[tag]; open {
		return errTags
	}
	switch string(args[0]) {
	case "PING":
		s.say(answer{tag: string(args[1]), word: "UP"})
	case "DO":
		// Asked before it is read: a view that is not let in must cost next to nothing.
		if wait, taken := s.admits(admission.Event{Kind: admission.EventRequest}); !taken {
			s.busy(string(args[1]), wait)
			return nil
		}
		a := s.ask(args[2:])
		if a == nil || len(s.open) >= s.shared.limits.OpenPerConnection || !s.shared.claim(a) {
			s.admits(admission.Event{Kind: admission.EventRequestEnd})
			s.fail(string(args[1]))
			return nil
		}
		a.ID, a.Client, a.Tag, a.ReceivedAt = routing.RequestID(s.shared.views.Add(1)), s.client, tag, came
		a.Invariants = s.shared.guard.NewRequest(uint64(a.ClientRequestID), came.Add(a.Timeout), s.shared.repeats[a.Class])
		s.open[tag] = a
		s.events = append(s.events, a)
	default:
		s.fail(string(args[1]))
	}
	return nil
}

// undo gives a view up; an answer of which nothing is in the stream yet is taken back.
func (s *session) undo(tag engine.Tag) {
	if _, open := s.open[tag]; open {
		s.leave(tag, invariant.EndCancelled)
		return
	}
	text := strconv.FormatUint(uint64(tag), 10)
	s.waiting = slices.DeleteFunc(s.waiting, func(w answer) bool {
		if w.tag == text {
			s.hold(-len(w.body))
		}
		return w.tag == text
	})
}

// leave gives an open view up: no answer of the engine's is waited for. One that was not handed on yet never is.
func (s *session) leave(tag engine.Tag, why invariant.EndReason) {
	a := s.open[tag]
	a.Invariants.End(why, time.Now())
	if i := slices.IndexFunc(s.events, func(e engine.Message) bool { return e == engine.Message(a) }); i >= 0 {
		s.events = slices.Delete(s.events, i, i+1)
	} else {
		s.events = append(s.events, engine.ClientGone{Request: a.ID})
	}
	s.shut(tag)
}

// hold counts bytes of answers that wait, or no longer do.
func (s *session) hold(bytes int) {
	s.held += int64(bytes)
	s.shared.held.Add(int64(bytes))
}

// fits says whether there is memory for an answer that waits. The last part of it is for clients of which next to nothing waits: one
// that does not read must not cost others their answers.
func (s *session) fits(bytes int) bool {
	l := &s.shared.limits
	total := s.shared.held.Load() + int64(bytes)
	return total <= l.ResponseBacklogBytes-l.ResponseBacklogBytes/reservedPart || total <= l.ResponseBacklogBytes && s.held+int64(bytes) <= int64(l.ResponseBodyBytes)
}

// reservedPart is the part of the memory for answers that is kept for clients that read.
const reservedPart = 8

func (s *session) shut(tag engine.Tag) {
	a := s.open[tag]
	late := time.Since(a.ReceivedAt) > s.shared.due[a.Class]+time.Duration(a.SizeKB*s.shared.growth[a.Class]*float64(time.Second))
	s.admits(admission.Event{Kind: admission.EventRequestEnd, InTime: s.good && !late, Rejected: s.back})
	s.good, s.back = false, false
	s.shared.release(s.open[tag].ClientRequestID)
	delete(s.open, tag)
}

func (s *session) say(a answer) { s.waiting = append(s.waiting, a) }

func (s *session) fail(tag string) { s.say(answer{tag: tag, word: "FAILED"}) }

// ask reads a view, or returns nothing if it can't be used.
func (s *session) ask(args [][]byte) *engine.Request {
	if len(args) < 2 || len(args) > 3 {
		return nil
	}
	tariff, known := s.shared.tariffs[string(args[0])]
	if !known {
		return nil
	}
	a := &engine.Request{Class: tariff, Write: s.shared.writes[tariff], Timeout: -1}
	var ok, ident, object bool
	seen := make([][]byte, 0, 16) // names, as they lie in the ring
	for name, value, rest := []byte(nil), []byte(nil), args[1]; len(rest) > 0; {
		name, value, rest = resp.Field(rest)
		if slices.ContainsFunc(seen, func(s []byte) bool { return bytes.Equal(s, name) }) {
			return nil
		}
		seen = append(seen, name)
		switch string(name) {
		case "req":
			var n uint64
			n, ident = id(value)
			a.ClientRequestID, ok = engine.ClientRequestID(n), ident
		case "timeout":
			var ms uint64
			ms, ok = number(value, uint64(s.shared.limits.MaxRequestTimeout.Milliseconds()))
			a.Timeout = time.Duration(ms) * time.Millisecond
		case "resent":
			a.Repeat, ok = true, string(value) == "1"
		case "subject":
			var o uint64
			o, object = id(value)
			a.Object, ok = routing.ObjectID(o), object
		case "piece":
			var n uint64
			n, ok = number(value, math.MaxInt32)
			a.Part = int(n)
		case "lot":
			var n uint64
			n, ok = number(value, 255)
			a.Group = routing.GroupID(n)
		case "need":
			var err error
			a.SizeKB, err = strconv.ParseFloat(string(value), 64)
			ok = err == nil && a.SizeKB >= 0 && a.SizeKB <= s.shared.limits.MaxSizeKB
		case "owner":
			a.Tenant = routing.TenantID(max(0, slices.Index(s.shared.tenants, string(value))))
			ok = len(s.shared.tenants) == 0 || slices.Contains(s.shared.tenants, string(value))
		case "opkey":
			a.IdempotencyKey = string(value)
			ok = len(value) > 0 && !bytes.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' })
		case "ver":
			a.HeldETag = string(value)
			_, ok = id(value)
		default:
			ok = true // a field to come
		}
		if !ok {
			return nil
		}
	}
	if !ident || !object || a.Timeout < 0 {
		return nil
	}
	if len(args) > 2 && len(args[2]) > s.shared.limits.RequestBodyBytes {
		return nil
	}
	if len(args) > 2 && len(args[2]) > 0 {
		a.Body = append([]byte(nil), args[2]...)
	}
	return a
}

// id reads 16 hex digits in the one form in which they can be written again.
func id(b []byte) (uint64, bool) {
	if len(b) != 16 {
		return 0, false
	}
	for _, c := range b {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f') {
			return 0, false
		}
	}
	n, err := strconv.ParseUint(string(b), 16, 64)
	return n, err == nil
}

func number(b []byte, most uint64) (uint64, bool) {
	n, err := strconv.ParseUint(string(b), 10, 64)
	return n, err == nil && n <= most
}

// answer adds the final answer of a view, unless the client has given it up. One for which there is no memory fails.
func (s *session) answer(tag engine.Tag, a engine.Response) {
	if _, open := s.open[tag]; !open {
		return
	}
	fits := s.fits(len(a.Body))
	s.open[tag].Invariants.End(endOf(a, fits), time.Now())
	s.good, s.back = a.Status == engine.StatusOK, a.Status == engine.StatusRejected
	s.shut(tag)
	w := answer{tag: strconv.FormatUint(uint64(tag), 10), word: "FAILED"}
	switch {
	case a.Status == engine.StatusOK && a.NotModified:
		w.word, w.fields = "OK", "unchanged=1"
	case a.Status == engine.StatusOK && fits:
		w.word, w.body = "OK", a.Body
		s.hold(len(a.Body))
	case a.Status == engine.StatusRejected:
		s.busy(w.tag, a.RetryAfter)
		return
	}
	s.say(w)
}

// endOf is how a view ends by an answer.
func endOf(a engine.Response, fits bool) invariant.EndReason {
	switch {
	case a.Status == engine.StatusOK && (fits || a.NotModified):
		return invariant.EndServed
	case a.Status == engine.StatusRejected:
		return invariant.EndRejected
	}
	return invariant.EndFailed
}

// busy turns a view back, and says when to return where that is known.
func (s *session) busy(tag string, wait time.Duration) {
	w := answer{tag: tag, word: "BUSY"}
	if wait > 0 {
		w.fields = "holdoff=" + strconv.FormatInt(max(1, wait.Milliseconds()), 10)
	}
	s.say(w)
}

// outgoing is what is to be written next.
func (s *session) outgoing() []byte { return s.out.Next(s.more) }

// more begins the next answer; the body of the last one is in.
func (s *session) more() bool {
	s.hold(int(-s.putting))
	s.putting = 0
	if len(s.waiting) == 0 {
		return false
	}
	w := s.waiting[0]
	s.waiting = slices.Delete(s.waiting, 0, 1)
	s.out.Put(w.body, []byte(w.tag), []byte(w.word), []byte(w.fields))
	s.putting = int64(len(w.body))
	return true
}

// idle says whether nothing is open and nothing waits to be written.
func (s *session) idle() bool {
	return s.closed || len(s.open) == 0 && len(s.waiting) == 0 && s.out.Empty()
}

// over gives up all that is open: the connection is no more.
func (s *session) over() {
	s.closed = true
	for _, tag := range slices.Sorted(maps.Keys(s.open)) {
		s.leave(tag, invariant.EndClientLeft)
	}
	for _, w := range s.waiting {
		s.putting += int64(len(w.body))
	}
	s.hold(int(-s.putting))
	s.waiting, s.putting = nil, 0
}

// rest gives memory back while nothing is to be done, and says whether the connection may be closed: so it is where what
// should be whole by now is not.
func (s *session) rest() bool {
	s.in.Release()
	s.out.Release()
	if s.in.Len() > 0 {
		s.refuse()
		s.refuseHalf()
	}
	return s.in.Len() > 0 || s.idle()
}

// refuseHalf refuses a request of which only a part has come, if that tells its tag: its last bytes may be on their way, and
// nobody would answer them any more.
func (s *session) refuseHalf() {
	args := s.dec.Partial(&s.in)
	if len(args) < 2 || string(args[0]) != "DO" || len(args[1]) > s.shared.limits.FieldBytes {
		return
	}
	number, err := strconv.ParseUint(string(args[1]), 10, 64)
	if _, open := s.open[engine.Tag(number)]; err == nil && number > 0 && !open {
		s.busy(string(args[1]), 0)
	}
}

// take hands over what the client wants.
func (s *session) take() []engine.Message {
	events := s.events
	s.events = nil
	return events
}
