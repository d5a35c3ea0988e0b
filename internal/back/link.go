// Package back speaks with cache servers, parents and the origin. This file owns the state machine of one
// connection: it is fed bytes, keeps account of what was written and what is open, and says how each leg ended. It
// must never touch a socket, wait, or choose anything about a view.
package back

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
	"fennelarch/rules"
)

// names are what the other side calls things, as the settings tell.
type names struct {
	tariffs, columns []string
}

// order is a leg on this connection: first waiting, then put into the stream up to an end.
type order struct {
	leg   *engine.Leg
	next  string    // the source's name, if there is one
	until time.Time // not begun by then, it never goes
	end   int64
	heard int // reads before it was sent
}

// asked is a probe on its way.
type asked struct {
	node rules.NodeID
	sent time.Time
}

// link is one connection to a node.
type link struct {
	limits *limits.Limits
	names  *names
	in     resp.Ring
	dec    resp.Decoder
	out    resp.Ring

	waiting []order              // nothing of them is in the stream
	open    map[uint64]order     // by the id of the view
	past    map[uint64]time.Time // when given up: a late answer may still come
	probes  map[uint64]asked     // by tag
	tag     uint64               // last one used
	head    []byte               // of the fetch that is being put into the stream
	body    []byte               // its rest
	words   []byte               // aborts and probes to come
	added   int64                // bytes put into the stream
	written int64                // bytes handed to the kernel
	heard   int                  // reads
	doubt   bool                 // a leg was given up of which nothing was heard, nor anything since
	ends    []any                // engine.LegEnd and engine.Probed, to be taken by the driver
}

func newLink(l *limits.Limits, n *names) *link {
	most := l.Object + 8*l.Fields
	return &link{limits: l, names: n, in: resp.Ring{Bound: l.NodeIn}, out: resp.Ring{Bound: l.NodeOut},
		dec:  resp.Decoder{Args: l.Strings, Size: l.Object, Most: min(most, l.NodeIn)},
		open: map[uint64]order{}, past: map[uint64]time.Time{}, probes: map[uint64]asked{}}
}

// busy is how many legs the connection has.
func (k *link) busy() int { return len(k.open) + len(k.waiting) }

// takes says whether a leg can go by this connection: its id must not be open or lately given up here.
func (k *link) takes(l *engine.Leg) bool {
	id := l.Ask.Ident
	_, open := k.open[id]
	if _, past := k.past[id]; open || past {
		return false
	}
	for _, w := range k.waiting {
		if w.leg.Ask.Ident == id {
			return false
		}
	}
	return true
}

func (k *link) send(o order) {
	o.heard = k.heard
	k.waiting = append(k.waiting, o)
}

// abort gives a leg up and says whether it may have run: one of which nothing was in the stream has not.
func (k *link) abort(l *engine.Leg, now time.Time) (mayHaveRun bool) {
	for i := range k.waiting {
		if k.waiting[i].leg == l {
			k.waiting = slices.Delete(k.waiting, i, i+1)
			return false
		}
	}
	id := l.Ask.Ident
	if o, open := k.open[id]; open && o.leg == l {
		delete(k.open, id)
		k.doubt = k.doubt || o.heard == k.heard
		k.words = appendWords(k.words, "abort", hex(id))
		maps.DeleteFunc(k.past, func(_ uint64, at time.Time) bool { return now.Sub(at) > k.limits.Forget })
		k.past[id] = now
	}
	return true
}

// probe adds a probe.
func (k *link) probe(n rules.NodeID, verb string, now time.Time) {
	k.tag++
	k.probes[k.tag] = asked{n, now}
	k.words = appendWords(k.words, verb, strconv.FormatUint(k.tag, 10))
}

func appendWords(b []byte, words ...string) []byte {
	args := make([][]byte, len(words)-1)
	for i := range args {
		args[i] = []byte(words[i])
	}
	last := words[len(words)-1]
	b = resp.AppendFrame(b, len(last), args...)
	b = append(b, last...)
	return append(b, '\r', '\n')
}

func hex(id uint64) string {
	s := strconv.FormatUint(id, 16)
	return "0000000000000000"[len(s):] + s
}

var newline = []byte("\r\n")

// outgoing is what is to be written next; wrote says how much of it the kernel took.
func (k *link) outgoing(now time.Time) []byte {
	for k.out.Room() > 0 {
		switch {
		case len(k.head) > 0: // a frame that is begun goes before anything else
			k.head = k.shift(k.head)
		case len(k.body) > 0:
			k.body = k.body[k.add(k.body):]
		case len(k.words) > 0:
			k.words = k.shift(k.words)
		case len(k.waiting) > 0:
			o := k.waiting[0]
			k.waiting = slices.Delete(k.waiting, 0, 1)
			if now.After(o.until) {
				k.ends = append(k.ends, engine.LegEnd{Leg: o.leg, Outcome: rules.Unconnected})
				continue
			}
			body := o.leg.Ask.Body
			k.head = k.appendFetch(k.head, o)
			k.body = append(body[:len(body):len(body)], newline...)
			o.end = k.added + int64(len(k.head)+len(k.body))
			k.open[o.leg.Ask.Ident] = o
		default:
			return k.out.Head()
		}
	}
	return k.out.Head()
}

// shift adds what fits and keeps the rest at the front of its place.
func (k *link) shift(b []byte) []byte { return b[:copy(b, b[k.add(b):])] }

func (k *link) add(b []byte) int {
	n := k.out.Append(b)
	k.added += int64(n)
	return n
}

func (k *link) wrote(n int) {
	k.out.Drop(n)
	k.written += int64(n)
}

var ways = []struct {
	how  rules.How
	word string
}{{rules.HowJoin, "join"}, {rules.HowHoldsOnly, "held"}, {rules.HowNoCopy, "nocopy"}, {rules.HowRenew, "renew"}}

func (k *link) appendFetch(b []byte, o order) []byte {
	l, a := o.leg, o.leg.Ask
	f := make([]byte, 0, 200)
	f = append(f, "class="...)
	f = append(f, k.names.tariffs[a.Tariff]...)
	f = append(f, ",key="...)
	f = append(f, hex(uint64(a.Object))...)
	f = append(f, ",part="...)
	f = strconv.AppendInt(f, int64(a.Part), 10)
	f = append(f, ",wait="...)
	f = strconv.AppendInt(f, max(1, l.Wait.Milliseconds()), 10)
	if o.next != "" {
		f = append(f, ",next="...)
		f = append(f, o.next...)
	}
	if l.Keep > 0 {
		f = append(f, ",admit="...)
		f = strconv.AppendInt(f, int64(l.Keep), 10)
	}
	if l.Age > 0 {
		f = append(f, ",agelim="...)
		f = strconv.AppendInt(f, max(1, l.Age.Milliseconds()), 10)
	}
	sep := ",ways="
	for _, w := range ways {
		if l.How&w.how != 0 {
			f = append(f, sep...)
			f = append(f, w.word...)
			sep = "+"
		}
	}
	if a.Have != "" {
		f = append(f, ",cached="...)
		f = append(f, a.Have...)
	}
	return resp.AppendFrame(b, len(a.Body), []byte("fetch"), []byte(hex(a.Ident)), f)
}

// space is where what comes next is to be read into; got says how much came.
func (k *link) space() []byte { return k.in.Tail() }

func (k *link) got(n int, now time.Time) error {
	if n == 0 {
		return nil
	}
	k.in.Commit(n)
	k.heard++
	k.doubt = false
	for {
		args, err := k.dec.Next(&k.in)
		if args == nil || err != nil {
			return err
		}
		if err := k.answer(args, now); err != nil {
			return err
		}
	}
}

// outcomes gives each word of an answer its meaning.
var outcomes = map[string]rules.Outcome{"200": rules.Succeeded, "304": rules.Succeeded, "404": rules.Missed, "503": rules.Full,
	"500": rules.Errored, "504": rules.Moot}

// notes are in the order of the rules' own.
var notes = map[string]rules.Note{"local": rules.NoteHit, "pulled": rules.NoteFilled, "pulled_far": rules.NoteViaOrigin,
	"rode": rules.NoteJoined, "expired": rules.NoteStale, "turned_away": rules.NoteRefused, "cut_off": rules.NoteUnreached,
	"not_there": rules.NoteLacks, "no_place": rules.NoteNoPlace, "far_fault": rules.NoteOriginFail}

func (k *link) answer(args [][]byte, now time.Time) error {
	if len(args) < 2 {
		return resp.ErrFraming
	}
	id, err := strconv.ParseUint(string(args[0]), 16, 64)
	if err != nil {
		return resp.ErrFraming
	}
	var fields, body []byte
	if len(args) > 2 {
		fields = args[2]
	}
	if len(args) > 3 {
		body = args[3]
	}
	end := engine.LegEnd{}
	for name, value := []byte(nil), []byte(nil); len(fields) > 0; {
		name, value, fields = resp.Field(fields)
		switch string(name) {
		case "how":
			end.Note = notes[string(value)]
		case "slow":
			ms, _ := strconv.ParseFloat(string(value), 64)
			end.Waited = time.Duration(ms * float64(time.Millisecond))
		case "stats":
			end.Report = k.report(value)
		}
	}
	if len(args[0]) < 16 {
		id, _ := strconv.ParseUint(string(args[0]), 10, 64)
		if p, open := k.probes[id]; open {
			delete(k.probes, id)
			outcome := rules.Succeeded
			if string(args[1]) == "dead" {
				outcome = rules.Errored
			}
			k.ends = append(k.ends, engine.Probed{Node: p.node, Outcome: outcome, Took: now.Sub(p.sent), Report: end.Report})
		}
		return nil
	}
	o, open := k.open[id]
	if !open {
		delete(k.past, id)
		return nil
	}
	outcome, known := outcomes[string(args[1])]
	if !known {
		outcome = rules.Errored // the least that a word to come may mean
	}
	delete(k.open, id)
	end.Leg, end.Outcome = o.leg, outcome
	if outcome == rules.Succeeded {
		if end.Same = string(args[1]) == "304"; !end.Same {
			end.Body = bytes.Clone(body)
		}
	}
	k.ends = append(k.ends, end)
	return nil
}

func (k *link) report(list []byte) rules.Report {
	var r rules.Report
	for i, column := range k.names.columns[:min(len(k.names.columns), len(r.V))] {
		for rest := list; len(rest) > 0; {
			var item []byte
			item, rest, _ = bytes.Cut(rest, []byte{';'})
			name, value, _ := bytes.Cut(item, []byte{':'})
			if string(name) == column {
				r.V[i], _ = strconv.ParseFloat(string(value), 64)
				r.N = i + 1
			}
		}
	}
	return r
}

// over ends all that is open: the connection is no more. What was not written to its last byte has not run.
func (k *link) over() {
	open := slices.SortedFunc(maps.Values(k.open), func(a, b order) int { return cmp.Compare(a.end, b.end) })
	for _, o := range append(open, k.waiting...) {
		how := rules.Broken
		if o.end == 0 || o.end > k.written {
			how = rules.Unconnected
		}
		k.ends = append(k.ends, engine.LegEnd{Leg: o.leg, Outcome: how})
	}
	for _, tag := range slices.Sorted(maps.Keys(k.probes)) {
		k.ends = append(k.ends, engine.Probed{Node: k.probes[tag].node, Outcome: rules.Unconnected})
	}
	k.waiting, k.open, k.probes = nil, map[uint64]order{}, map[uint64]asked{}
}

// take hands over what ended.
func (k *link) take() []any {
	ends := k.ends
	k.ends = nil
	return ends
}
