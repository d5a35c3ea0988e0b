// Package front speaks with clients. This file owns the state machine of one client connection: it is fed bytes,
// turns them into views, and puts answers into the stream. It must never touch a socket, wait, or decide anything
// about a view.
package front

import (
	"errors"
	"math"
	"strconv"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
	"fennelarch/rules"
)

// errTags says that a tag was used again while it was open: no answer under it could be told from another.
var errTags = errors.New("tag used twice")

// shared is what all sessions of a server have in common.
type shared struct {
	limits  limits.Limits
	tariffs map[string]rules.TariffID
	writes  []bool
	view    func() rules.ViewID
	up      func() bool
}

// session is one client connection.
type session struct {
	shared *shared
	client engine.Client
	in     resp.Ring
	dec    resp.Decoder
	out    resp.Ring

	open    map[uint64]rules.ViewID // by tag
	waiting []answer                // nothing of them is in the stream
	head    []byte                  // of the frame that is being put into the stream
	body    []byte                  // its rest
	closed  bool
	events  []any // *engine.Ask and engine.Gone, to be taken by the driver
}

type answer struct {
	tag    uint64
	word   string
	fields string
	body   []byte
}

func newSession(s *shared, client engine.Client) *session {
	l := &s.limits
	return &session{shared: s, client: client, in: resp.Ring{Bound: l.ClientIn}, out: resp.Ring{Bound: l.ClientOut},
		dec:  resp.Decoder{Args: l.Strings, Size: l.Request, Most: l.ClientIn},
		open: map[uint64]rules.ViewID{}}
}

// space is where what comes next is to be read into; got says how much came and when.
func (s *session) space() []byte { return s.in.Tail() }

func (s *session) got(n int, now time.Time) error {
	s.in.Commit(n)
	for {
		args, err := s.dec.Next(&s.in)
		if args == nil || err != nil {
			return err
		}
		if err := s.command(args, now); err != nil {
			return err
		}
	}
}

// command takes one frame. What bears a usable tag gets an answer under it; without one there is nothing to say.
func (s *session) command(args [][]byte, now time.Time) error {
	if len(args) < 2 {
		return resp.ErrFraming
	}
	tag, err := strconv.ParseUint(string(args[1]), 10, 64)
	if err != nil || tag == 0 {
		return resp.ErrFraming
	}
	if string(args[0]) == "UNDO" {
		if view, open := s.open[tag]; open {
			delete(s.open, tag)
			s.events = append(s.events, engine.Gone{View: view})
		}
		return nil
	}
	if _, open := s.open[tag]; open {
		return errTags
	}
	switch string(args[0]) {
	case "PING":
		word := "DOWN"
		if s.shared.up() {
			word = "UP"
		}
		s.waiting = append(s.waiting, answer{tag: tag, word: word})
	case "DO":
		a := s.ask(args[2:])
		if a == nil || len(s.open) >= s.shared.limits.Open {
			s.waiting = append(s.waiting, answer{tag: tag, word: "FAILED"})
			return nil
		}
		a.View, a.Client, a.Tag, a.At = s.shared.view(), s.client, tag, now
		s.open[tag] = a.View
		s.events = append(s.events, a)
	default:
		s.waiting = append(s.waiting, answer{tag: tag, word: "FAILED"})
	}
	return nil
}

// ask reads a view, or returns nothing if it can't be used.
func (s *session) ask(args [][]byte) *engine.Ask {
	if len(args) < 2 || len(args) > 3 {
		return nil
	}
	tariff, known := s.shared.tariffs[string(args[0])]
	if !known {
		return nil
	}
	a := &engine.Ask{Tariff: tariff, Write: s.shared.writes[tariff], Left: -1}
	var ok, ident, object bool
	for name, value, rest := []byte(nil), []byte(nil), args[1]; len(rest) > 0; {
		name, value, rest = resp.Field(rest)
		switch string(name) {
		case "req":
			a.Ident, ident = id(value)
			ok = ident
		case "timeout":
			var ms uint64
			ms, ok = number(value, math.MaxInt32)
			a.Left = time.Duration(ms) * time.Millisecond
		case "resent":
			a.Repeat, ok = string(value) == "1", true
		case "subject":
			var o uint64
			o, object = id(value)
			a.Object, ok = rules.ObjectID(o), object
		case "piece":
			var n uint64
			n, ok = number(value, math.MaxInt32)
			a.Part = int(n)
		case "lot":
			var n uint64
			n, ok = number(value, 255)
			a.Group = rules.GroupID(n)
		case "need":
			var err error
			a.KB, err = strconv.ParseFloat(string(value), 64)
			ok = err == nil && a.KB >= 0 && !math.IsInf(a.KB, 0)
		case "ver":
			a.Have, ok = string(value), true
		default:
			ok = true // a field to come
		}
		if !ok {
			return nil
		}
	}
	if !ident || !object || a.Left < 0 {
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

// answer adds the final answer of a view, unless the client has given it up.
func (s *session) answer(tag uint64, a engine.Answer) {
	if _, open := s.open[tag]; !open {
		return
	}
	delete(s.open, tag)
	w := answer{tag: tag, word: "FAILED"}
	switch {
	case a.Verdict == engine.Succeeded && a.Unchanged:
		w.word, w.fields = "OK", "unchanged=1"
	case a.Verdict == engine.Succeeded:
		w.word, w.body = "OK", a.Body
	case a.Verdict == engine.TurnedBack:
		w.word = "BUSY"
		if a.Wait > 0 {
			w.fields = "holdoff=" + strconv.FormatInt(max(1, a.Wait.Milliseconds()), 10)
		}
	}
	s.waiting = append(s.waiting, w)
}

var newline = []byte("\r\n")

// outgoing is what is to be written next.
func (s *session) outgoing() []byte {
	for s.out.Room() > 0 {
		switch {
		case len(s.head) > 0:
			s.head = s.head[s.out.Append(s.head):]
		case len(s.body) > 0:
			if s.body = s.body[s.out.Append(s.body):]; len(s.body) == 0 {
				s.head = newline
			}
		case len(s.waiting) > 0:
			w := s.waiting[0]
			s.waiting = s.waiting[:copy(s.waiting, s.waiting[1:])]
			s.head = resp.AppendFrame(nil, len(w.body), strconv.AppendUint(nil, w.tag, 10), []byte(w.word), []byte(w.fields))
			if s.body = w.body; len(s.body) == 0 {
				s.head = append(s.head, newline...)
			}
		default:
			return s.out.Head()
		}
	}
	return s.out.Head()
}

// idle says whether nothing is open and nothing waits to be written.
func (s *session) idle() bool {
	return s.closed || len(s.open) == 0 && len(s.waiting) == 0 && len(s.head) == 0 && len(s.body) == 0 && s.out.Len() == 0
}

// over gives up all that is open: the connection is no more.
func (s *session) over() {
	s.closed = true
	for tag, view := range s.open {
		delete(s.open, tag)
		s.events = append(s.events, engine.Gone{View: view})
	}
}

// take hands over what the client wants.
func (s *session) take() []any {
	events := s.events
	s.events = nil
	return events
}
