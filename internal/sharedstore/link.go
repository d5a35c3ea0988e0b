package sharedstore

// This file owns the state machine of one connection to a store: it greets, puts commands into the stream, matches the
// replies to them in their order, and says what each was. It is fed bytes and times, and must never touch a socket, wait,
// or choose what is asked.

import (
	"bytes"
	"strconv"
	"time"

	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
	"fennelarch/policy/routing"

	"github.com/cespare/xxhash/v2"

	decide "fennelarch/policy/sharedstore"
)

// verb is what a command is for; it says how the reply is read.
type verb uint8

const (
	verbGreet verb = iota // its reply must be good, or the connection is of no use
	verbInfo              // ends the greeting
	verbGet
	verbLease
	verbSet
	verbIgnore // nobody waits for the reply
	verbProbe
	verbInterval
	verbMarks
	verbWrite
)

// command is one command on its way.
type command struct {
	verb verb
	op   decide.OperationID
	node routing.EndpointID
	key  copyKey
	args [][]byte // the last may be long; all are lent until they are in the stream
	sent time.Time
	plan decide.LogUpdate
	from float64
}

type copyKey struct {
	object routing.ObjectID
	part   int
}

// What a link says: how a command ended.
type (
	// greeted says that the connection is up.
	greeted struct {
		run uint64
		age time.Duration
	}
	// replied ends a get, a lease or a set.
	replied struct {
		command command
		reply   decide.Reply
		copy    Copy
		err     error // why a value is spoilt, or the store's words
		took    time.Duration
	}
	probed struct {
		good bool
		took time.Duration
	}
	interval struct {
		is   decide.LogRange
		good bool
	}
	marks struct {
		list  []decide.Invalidation
		from  float64 // the first score asked for
		last  float64 // the last score of the page
		whole bool    // there are no more
		good  bool
	}
	wrote struct {
		plan decide.LogUpdate
		good bool
	}
)

// login is what the greeting needs.
type login struct {
	user, word string
	database   int
}

type link struct {
	limits *limits.Limits
	in     resp.Ring
	dec    resp.Replies
	out    resp.Writer

	up      bool // greeted
	waiting []command
	sent    []command // in the stream, their replies to come
	ends    []any
	heard   time.Time // of the last byte
	small   int       // short reads in a row
}

// smallReads is how many short reads in a row give a ring's memory back: more than come between two long values of a mix.
const smallReads = 200

func newLink(l *limits.Limits, as login, now time.Time) *link {
	k := &link{limits: l, dec: resp.Replies{Size: l.UpstreamReadBuffer, Line: l.FieldBytes, Parts: 2*marksPage + 8}, heard: now}
	k.in.Bound, k.out.Bound = l.UpstreamReadBuffer, l.UpstreamWriteBuffer
	if as.word != "" {
		args := [][]byte{[]byte("AUTH"), []byte(as.user), []byte(as.word)}
		if as.user == "" {
			args = [][]byte{[]byte("AUTH"), []byte(as.word)}
		}
		k.waiting = append(k.waiting, command{verb: verbGreet, args: args})
	}
	if as.database > 0 {
		k.waiting = append(k.waiting, command{verb: verbGreet, args: [][]byte{
			[]byte("SELECT"),
			strconv.AppendInt(nil, int64(as.database), 10),
		}})
	}
	k.waiting = append(k.waiting, command{verb: verbInfo, args: [][]byte{[]byte("INFO"), []byte("server")}})
	return k
}

// send puts a command behind the others.
func (k *link) send(c command) { k.waiting = append(k.waiting, c) }

// busy is how much is open.
func (k *link) busy() int { return len(k.waiting) + len(k.sent) }

// outgoing is what is to be written next.
func (k *link) outgoing(now time.Time) []byte {
	return k.out.Next(func() bool {
		if len(k.waiting) == 0 || !k.up && len(k.sent) > 0 && k.waiting[0].verb > verbInfo {
			return false // nothing is asked of a store that has not greeted
		}
		c := k.waiting[0]
		if !k.up && c.verb > verbInfo {
			return false
		}
		k.waiting = k.waiting[1:]
		if len(k.sent) == 0 {
			k.heard = now
		}
		c.sent = now
		k.out.Put(c.args[len(c.args)-1], c.args[:len(c.args)-1]...)
		c.args = nil
		k.sent = append(k.sent, c)
		return true
	})
}

// silent says whether something was asked and nothing has come for so long.
func (k *link) silent(now time.Time, long time.Duration) bool {
	return len(k.sent) > 0 && now.Sub(k.heard) > long
}

// space is where what comes next is to be read into; got says how much came.
func (k *link) space() []byte { return k.in.Tail() }

func (k *link) got(n int, now time.Time) error {
	if n == 0 {
		return nil
	}
	k.heard = now
	k.in.Commit(n)
	for {
		parts, err := k.dec.Next(&k.in)
		if parts == nil || err != nil {
			if k.small++; n > 4<<10 {
				k.small = 0
			}
			if k.small > smallReads {
				k.in.Shrink() // no long value came for long; one comes often where any does
			}
			return err
		}
		if len(k.sent) == 0 {
			return resp.ErrFraming // an answer to nothing
		}
		c := k.sent[0]
		k.sent = k.sent[1:]
		if err := k.answer(&c, parts, now); err != nil {
			return err
		}
	}
}

// refusals gives the first word of a store's error its meaning.
var refusals = map[string]decide.Reply{
	"LOADING": decide.ReplyLoading, "OOM": decide.ReplyOutOfMemory, "READONLY": decide.ReplyReadOnly,
	"MISCONF": decide.ReplyReadOnly, "NOREPLICAS": decide.ReplyReadOnly, "NOAUTH": decide.ReplyDenied, "WRONGPASS": decide.ReplyDenied,
	"NOPERM": decide.ReplyDenied, "BUSY": decide.ReplyBusy, "MASTERDOWN": decide.ReplyBusy, "TRYAGAIN": decide.ReplyBusy,
	"MOVED": decide.ReplyMoved, "ASK": decide.ReplyMoved, "CLUSTERDOWN": decide.ReplyMoved,
}

// refused says what an error reply means.
func refused(text []byte) (decide.Reply, error) {
	word, _, _ := bytes.Cut(text, []byte{' '})
	r, known := refusals[string(word)]
	if !known {
		r = decide.ReplyUnknownError
	}
	return r, storeError(string(text[:min(len(text), 120)]))
}

type storeError string

func (e storeError) Error() string { return string(e) }

func (k *link) answer(c *command, parts []resp.Reply, now time.Time) error {
	first, took := &parts[0], now.Sub(c.sent)
	good := first.Kind != resp.Error
	end := replied{command: *c, took: took}
	if !good {
		end.reply, end.err = refused(first.Text)
	}
	switch c.verb {
	case verbGreet:
		if !good {
			return end.err
		}
	case verbInfo:
		if first.Kind != resp.Bulk {
			if good {
				return resp.ErrFraming
			}
			return end.err
		}
		k.up = true
		k.ends = append(k.ends, readInfo(first.Text))
	case verbGet:
		switch {
		case good && first.Kind != resp.Bulk:
			return resp.ErrFraming
		case !good:
		case first.Null:
			end.reply = decide.ReplyMiss
		default:
			end.copy, end.err = Decode(first.Text)
			if end.err == nil && (end.copy.Object != c.key.object || end.copy.Part != c.key.part) {
				end.err = ErrOther
			}
			if end.reply = decide.ReplyHit; end.err != nil {
				end.reply = decide.ReplyCorrupt
			}
			end.copy.Body = bytes.Clone(end.copy.Body)
		}
		k.ends = append(k.ends, end)
	case verbLease, verbSet:
		if good {
			if end.reply = decide.ReplyOK; first.Null {
				end.reply = decide.ReplyLeaseHeld
			}
		}
		k.ends = append(k.ends, end)
	case verbProbe:
		k.ends = append(k.ends, probed{good: good, took: took})
	case verbInterval:
		e := interval{good: good && first.Kind == resp.Array && len(parts) == 3}
		if e.good {
			e.is.CompleteTo, e.is.CompleteFrom = stamp(parts[1].Text), stamp(parts[2].Text)
		}
		k.ends = append(k.ends, e)
	case verbMarks:
		k.ends = append(k.ends, readMarks(parts, c.from, good))
	case verbWrite:
		k.ends = append(k.ends, wrote{plan: c.plan, good: good})
	}
	return nil
}

func stamp(b []byte) decide.Timestamp {
	x, _ := strconv.ParseFloat(string(b), 64)
	return decide.Timestamp(x)
}

func readMarks(parts []resp.Reply, from float64, good bool) marks {
	e := marks{from: from, last: from, good: good && parts[0].Kind == resp.Array && len(parts)%2 == 1}
	if !e.good {
		return e
	}
	for i := 1; i+1 < len(parts); i += 2 {
		if m, known := readMember(parts[i].Text, parts[i+1].Text); known {
			e.list = append(e.list, m)
		}
		if at, err := strconv.ParseFloat(string(parts[i+1].Text), 64); err == nil {
			e.last = at
		}
	}
	e.whole = len(parts) < 2*marksPage
	return e
}

// marksPage is how many members are read at once: some 60 KB.
const marksPage = 1000

func readInfo(text []byte) (g greeted) {
	for line := range bytes.Lines(text) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(line), []byte{':'})
		switch string(name) {
		case "run_id":
			g.run = xxhash.Sum64(value)
		case "uptime_in_seconds":
			s, _ := strconv.ParseInt(string(value), 10, 64)
			g.age = time.Duration(s) * time.Second
		}
	}
	return g
}

// over ends all that is open: the connection is no more.
func (k *link) over(now time.Time) {
	for _, c := range append(k.sent, k.waiting...) {
		switch c.verb {
		case verbGet, verbLease, verbSet:
			took := time.Duration(0)
			if !c.sent.IsZero() {
				took = now.Sub(c.sent)
			}
			k.ends = append(k.ends, replied{command: c, reply: decide.ReplyDisconnected, took: took})
		case verbProbe:
			k.ends = append(k.ends, probed{})
		}
	}
	k.sent, k.waiting, k.up = nil, nil, false
}

// take hands over what ended.
func (k *link) take() []any {
	ends := k.ends
	k.ends = nil
	return ends
}
