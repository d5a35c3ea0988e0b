// Package back speaks with cache servers, parents and the origin. This file owns the state machine of one
// connection: it is fed bytes, keeps account of what was written and what is open, and says how each leg ended. It
// must never touch a socket, wait, or choose anything about a view.
package upstream

import (
	"bytes"
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
	"fennelarch/policy/routing"
)

// names are what the other side calls things, as the settings tell.
type names struct {
	tariffs, columns []string
}

// order is a leg on this connection: first waiting, then put into the stream up to an end.
type order struct {
	leg   *engine.Attempt
	place invariant.Server // of the server
	next  string           // the source's name, if there is one
	until time.Time        // not begun by then, it never goes
	end   int64
	heard int // whole answers before it was sent
}

// answered is a leg that has its answer.
type answered struct {
	id engine.ClientRequestID
	at time.Time
}

// asked is a probe on its way.
type asked struct {
	node routing.EndpointID
	sent time.Time
}

// link is one connection to a node.
type link struct {
	limits *limits.Limits
	names  *names
	in     resp.Ring
	dec    resp.Decoder
	out    resp.Writer

	waiting []order                              // nothing of them is in the stream
	open    map[engine.ClientRequestID]order     // by the id of the view
	past    map[engine.ClientRequestID]time.Time // when given up: a late answer may still come
	done    []answered                           // lately: a second copy may still come
	probes  map[uint64]asked                     // by tag
	tag     uint64                               // last one used
	words   []byte                               // aborts and probes to come
	heard   int                                  // whole answers
	doubt   bool                                 // a leg was given up without a whole answer meanwhile, nor one since
	short   bool                                 // it never came up for want of a descriptor: that tells nothing of the node
	cut     bool                                 // a leg was given up that is half in the stream: its rest must never go
	ends    []engine.Message                     // engine.AttemptResult and engine.Probed, to be taken by the driver

	begun   order     // the last leg that was put into the stream, until the system has taken all of it; its leg may be nil
	begunAt time.Time // when
}

func newLink(l *limits.Limits, n *names) *link {
	most := l.ResponseBodyBytes + 8*l.FieldBytes
	return &link{
		limits: l, names: n, in: resp.Ring{Bound: l.UpstreamReadBuffer}, out: resp.Writer{Ring: resp.Ring{Bound: l.UpstreamWriteBuffer}},
		dec:  resp.Decoder{Args: l.FrameStrings, Size: l.ResponseBodyBytes, Most: min(most, l.UpstreamReadBuffer)},
		open: map[engine.ClientRequestID]order{}, past: map[engine.ClientRequestID]time.Time{}, probes: map[uint64]asked{},
	}
}

// busy is how many legs the connection has.
func (k *link) busy() int { return len(k.open) + len(k.waiting) }

// unsure says whether the connection may be stuck, or hold the beginning of what nobody asked for.
func (k *link) unsure() bool { return k.doubt || k.busy() == 0 && k.in.Len() > 0 }

// takes says whether a leg can go by this connection: its id must not be open, or lately answered or given up here.
func (k *link) takes(l *engine.Attempt) bool {
	id := l.Request.ClientRequestID
	_, open := k.open[id]
	if _, past := k.past[id]; open || past || slices.ContainsFunc(k.done, func(a answered) bool { return a.id == id }) {
		return false
	}
	for _, w := range k.waiting {
		if w.leg.Request.ClientRequestID == id {
			return false
		}
	}
	return true
}

func (k *link) send(o order) {
	o.heard = k.heard
	k.waiting = append(k.waiting, o)
}

// abort gives a leg up and says whether it may have run: one of which nothing was in the stream has not. One that is half
// in it ends the connection, since the rest would begin an attempt for a client that has gone.
func (k *link) abort(l *engine.Attempt, now time.Time) (mayHaveRun bool) {
	for i := range k.waiting {
		if k.waiting[i].leg == l {
			k.waiting = slices.Delete(k.waiting, i, i+1)
			l.Request.Invariants.Record(flightrecorder.AttemptAborted, l.Number, l.Endpoint, 0, 0)
			return false
		}
	}
	id := l.Request.ClientRequestID
	l.Request.Invariants.Record(flightrecorder.AttemptAborted, l.Number, l.Endpoint, 0, 1)
	if o, open := k.open[id]; open && o.leg == l {
		delete(k.open, id)
		k.cut = k.cut || o.end > k.out.Written
		k.doubt = k.doubt || o.heard == k.heard
		k.words = resp.AppendWords(k.words, "abort", hex(uint64(id)))
		maps.DeleteFunc(k.past, func(_ engine.ClientRequestID, at time.Time) bool { return now.Sub(at) > k.limits.ForgetAfter })
		k.past[id] = now
	}
	return true
}

// probe adds a probe.
func (k *link) probe(n routing.EndpointID, verb string, now time.Time) {
	k.tag++
	k.probes[k.tag] = asked{n, now}
	k.words = resp.AppendWords(k.words, verb, strconv.FormatUint(k.tag, 10))
}

func hex(id uint64) string {
	s := strconv.FormatUint(id, 16)
	return "0000000000000000"[len(s):] + s
}

// outgoing is what is to be written next.
func (k *link) outgoing(now time.Time) []byte { return k.out.Next(func() bool { return k.more(now) }) }

// more begins the next frame, once the last one is out: whatever waits behind a peer that does not read can still be given
// up, and begins in its time or never.
func (k *link) more(now time.Time) bool {
	if !k.out.Empty() {
		return false
	}
	if len(k.words) > 0 {
		k.out.PutRaw(k.words)
		k.words = nil
		return true
	}
	for len(k.waiting) > 0 {
		o := k.waiting[0]
		k.waiting = slices.Delete(k.waiting, 0, 1)
		if k.begin(o, now) {
			return true
		}
	}
	return false
}

// begin puts a leg into the stream, if the guard of its request still lets it begin. There is no other way to a server.
func (k *link) begin(o order, now time.Time) bool {
	a := o.leg.Request
	left := o.leg.Deadline.Sub(now)
	attempt := invariant.Attempt{Number: o.leg.Number, Server: o.place, NotAfter: o.until, Deadline: left}
	refusal := a.Invariants.Begin(attempt, now)
	if refusal == invariant.SendAllowed && left <= 0 {
		refusal = invariant.SendDeadlinePassed
	}
	switch refusal {
	case invariant.SendAllowed:
	case invariant.SendBoundPassed:
		k.end(engine.AttemptResult{Attempt: o.leg, Outcome: routing.ConnectFailed}, o.place.Endpoint)
		return false
	default: // it tells nothing of the server
		k.end(engine.AttemptResult{Attempt: o.leg, Outcome: routing.NotSent}, o.place.Endpoint)
		return false
	}
	o.end = k.out.Put(a.Body, []byte("fetch"), []byte(hex(uint64(a.ClientRequestID))), k.fields(o, left))
	k.open[a.ClientRequestID] = o
	k.begun, k.begunAt = o, now
	return true
}

// wrote says how much of the stream the system has taken.
func (k *link) wrote(n int, now time.Time) {
	k.out.Wrote(n)
	if o := &k.begun; o.leg != nil && o.end <= k.out.Written {
		o.leg.Request.Invariants.Complete(o.leg.Number, o.place.Endpoint, now)
		k.begun = order{}
	}
}

// patience is how long the next write may take. A leg that has begun must be whole soon, or never: the deadline that it
// names would else be too long, and its client may leave meanwhile.
func (k *link) patience() time.Duration {
	if k.begun.leg != nil {
		return k.limits.RequestWriteTimeout
	}
	return k.limits.WriteStallTimeout
}

// end tells how a leg ended, and the guard what that proves.
func (k *link) end(e engine.AttemptResult, node routing.EndpointID) {
	switch e.Outcome {
	case routing.ConnectFailed, routing.NotSent, routing.CacheMiss, routing.Overloaded:
		e.Attempt.Request.Invariants.MarkNotRun(e.Attempt.Number, node)
	}
	e.Attempt.Request.Invariants.Record(flightrecorder.AttemptEnded, e.Attempt.Number, node, uint8(e.Outcome), 0)
	k.ends = append(k.ends, e)
}

var ways = []struct {
	how  routing.FillOptions
	word string
}{{routing.CoalesceFill, "join"}, {routing.OnlyIfCached, "held"}, {routing.NoStore, "nocopy"}, {routing.StaleWhileRevalidate, "renew"}}

func (k *link) fields(o order, left time.Duration) []byte {
	l, a := o.leg, o.leg.Request
	f := make([]byte, 0, 200)
	f = append(f, "class="...)
	f = append(f, k.names.tariffs[a.Class]...)
	f = append(f, ",key="...)
	f = append(f, hex(uint64(a.Object))...)
	f = append(f, ",part="...)
	f = strconv.AppendInt(f, int64(a.Part), 10)
	f = append(f, ",wait="...)
	f = strconv.AppendInt(f, max(1, left.Milliseconds()), 10)
	if o.next != "" {
		f = append(f, ",next="...)
		f = append(f, o.next...)
	}
	if l.CacheRank > 0 {
		f = append(f, ",admit="...)
		f = strconv.AppendInt(f, int64(l.CacheRank), 10)
	}
	if l.MaxAge > 0 {
		f = append(f, ",agelim="...)
		f = strconv.AppendInt(f, max(1, l.MaxAge.Milliseconds()), 10)
	}
	sep := ",ways="
	for _, w := range ways {
		if l.FillOptions&w.how != 0 {
			f = append(f, sep...)
			f = append(f, w.word...)
			sep = "+"
		}
	}
	if a.IdempotencyKey != "" {
		f = append(f, ",once="...)
		f = append(f, a.IdempotencyKey...)
	}
	if a.HeldETag != "" {
		f = append(f, ",cached="...)
		f = append(f, a.HeldETag...)
	}
	return f
}

// space is where what comes next is to be read into; got says how much came.
func (k *link) space() []byte { return k.in.Tail() }

func (k *link) got(n int, now time.Time) error {
	if n == 0 {
		return nil
	}
	k.in.Commit(n)
	for {
		args, err := k.dec.Next(&k.in)
		if args == nil || err != nil {
			k.in.Shrink()
			return err
		}
		k.heard++
		k.doubt = false
		if err := k.answer(args, now); err != nil {
			return err
		}
	}
}

// outcomes gives each word of an answer its meaning.
var outcomes = map[string]routing.Outcome{
	"200": routing.Succeeded, "304": routing.Succeeded, "404": routing.CacheMiss, "503": routing.Overloaded,
	"500": routing.Failed, "504": routing.NotSent,
}

// lives does so for the answer to a probe.
var lives = map[string]routing.Outcome{"alive": routing.Succeeded, "dead": routing.Failed}

// notes are in the order of the rules' own.
var notes = map[string]routing.Note{
	"local": routing.NoteHit, "pulled": routing.NoteFilled, "pulled_far": routing.NoteViaOrigin,
	"rode": routing.NoteCoalesced, "expired": routing.NoteStale, "turned_away": routing.NoteSourceRefused, "cut_off": routing.NoteSourceUnreachable,
	"not_there": routing.NoteSourceMiss, "no_place": routing.NoteNoFillCapacity, "far_fault": routing.NoteOriginFailed,
}

// answer takes one answer. A leg's id has 16 digits, a probe's tag fewer. One that lacks what belongs to it, or holds a word
// that nobody knows, is spoilt: nothing more can be believed of the connection.
func (k *link) answer(args [][]byte, now time.Time) error {
	if len(args) < 2 {
		return resp.ErrFraming
	}
	id, word := string(args[0]), string(args[1])
	end := engine.AttemptResult{}
	if len(args) > 2 {
		k.read(args[2], &end)
	}
	if len(id) < 16 {
		tag, err := strconv.ParseUint(id, 10, 64)
		if p, open := k.probes[tag]; open {
			outcome, known := lives[word]
			if !known {
				return resp.ErrFraming
			}
			delete(k.probes, tag)
			k.ends = append(k.ends, engine.HealthCheckResult{Endpoint: p.node, Outcome: outcome, Elapsed: now.Sub(p.sent), LoadReport: end.LoadReport})
		}
		return err
	}
	number, err := strconv.ParseUint(id, 16, 64)
	ident := engine.ClientRequestID(number)
	o, open := k.open[ident]
	if !open {
		delete(k.past, ident)
		return err
	}
	known := false
	end.Attempt, end.NotModified = o.leg, word == "304"
	// A client's copy is current only where the node names just that copy.
	if end.Outcome, known = outcomes[word]; !known || end.NotModified && (o.leg.Request.HeldETag == "" || end.ETag != o.leg.Request.HeldETag) ||
		word == "200" && len(args) < 4 {
		return resp.ErrFraming
	}
	delete(k.open, ident)
	old := 0
	for old < len(k.done) && now.Sub(k.done[old].at) > k.limits.ForgetAfter {
		old++
	}
	k.done = append(slices.Delete(k.done, 0, old), answered{ident, now})
	if word == "200" {
		end.Body = bytes.Clone(args[3])
	}
	k.end(end, o.place.Endpoint)
	return nil
}

// read takes the fields of an answer.
func (k *link) read(fields []byte, end *engine.AttemptResult) {
	for name, value := []byte(nil), []byte(nil); len(fields) > 0; {
		name, value, fields = resp.Field(fields)
		switch string(name) {
		case "how":
			end.Note = notes[string(value)]
		case "sum":
			end.ETag = string(value)
		case "t0":
			if ms := int64(figure(value)); ms > 0 {
				end.GeneratedAt = time.UnixMilli(ms)
			}
		case "slow":
			end.FirstByteWait = config.Milliseconds(figure(value))
		case "stats":
			end.LoadReport = k.report(value)
		}
	}
}

// report takes the columns of a load report, up to one that is missing.
func (k *link) report(list []byte) (r routing.LoadReport) {
	for _, column := range k.names.columns[:min(len(k.names.columns), len(r.Values))] {
		_, rest, found := bytes.Cut(append([]byte{';'}, list...), []byte(";"+column+":"))
		if !found {
			break
		}
		value, _, _ := bytes.Cut(rest, []byte{';'})
		r.Values[r.Count] = figure(value)
		r.Count++
	}
	return r
}

// figure is a number, 0 where there is none.
func figure(b []byte) float64 {
	x, err := strconv.ParseFloat(string(b), 64)
	if err != nil || math.IsNaN(x) {
		return 0
	}
	return x
}

// over ends all that is open: the connection is no more. What was not written to its last byte has not run.
func (k *link) over() {
	open := slices.SortedFunc(maps.Values(k.open), func(a, b order) int { return cmp.Compare(a.end, b.end) })
	for _, o := range append(open, k.waiting...) {
		how := routing.ConnectionBroken
		if o.end == 0 || o.end > k.out.Written {
			how = routing.ConnectFailed
		}
		if k.short {
			how = routing.NotSent
		}
		k.end(engine.AttemptResult{Attempt: o.leg, Outcome: how}, o.place.Endpoint)
	}
	for _, tag := range slices.Sorted(maps.Keys(k.probes)) {
		k.ends = append(k.ends, engine.HealthCheckResult{Endpoint: k.probes[tag].node, Outcome: routing.ConnectFailed})
	}
	k.waiting, k.open, k.probes = nil, map[engine.ClientRequestID]order{}, map[uint64]asked{}
}

// take hands over what ended.
func (k *link) take() []engine.Message {
	ends := k.ends
	k.ends = nil
	return ends
}
