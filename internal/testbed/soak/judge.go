package soak

// This file owns the judgement: what in the record breaks a rule. It knows nothing of the routers but what clients and servers saw.

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"fennelarch/internal/fake/site"
)

// Breach is one broken rule.
type Breach struct {
	Kind    string `json:"kind"`
	Request string `json:"request,omitempty"`
	Router  int    `json:"router"`
	Told    string `json:"told"`

	Sent     string   `json:"sent,omitempty"`     // since the run began
	Attempts []string `json:"attempts,omitempty"` // the same
}

const (
	// jitter is what this machine itself may add to a time.
	jitter = 60 * time.Millisecond
	// cancelSlack is how long after a cancel, or the client's leaving, an attempt may still begin.
	cancelSlack = 100 * time.Millisecond
	// deadlineSlack is how far the deadline that a server is told may exceed what the client has left.
	deadlineSlack = 150 * time.Millisecond
	// answerSlack is how long after its time a final answer may come without being late, lostAfter without being lost.
	answerSlack = 50 * time.Millisecond
	lostAfter   = 500 * time.Millisecond
	// crossing is how soon around the end of a connection a request may have been sent that its client sends again.
	crossing = 50 * time.Millisecond
	// toldAtLast is when discovery's news counts as told, whether or not it arrived.
	toldAtLast = 7 * time.Second
)

// judge returns all breaches, and how many requests were lost to what no router is to blame for.
func (r *Record) judge() (breaches []Breach, excused map[string]int) {
	excused = map[string]int{}
	slices.SortFunc(r.lags, func(a, b interval) int { return a.until.Compare(b.until) })
	add := func(kind string, q *Request, format string, a ...any) {
		b := Breach{Kind: kind, Told: fmt.Sprintf(format, a...), Router: -1}
		if q != nil {
			b.Request, b.Router = q.ID, q.Router
			b.Sent = fmt.Sprintf("%s for object %x at %v, for %v; cancelled %v, left %v, %d answers, %s at %v, ended %v", q.Class.Name, q.Object,
				r.since(q.Sent), q.Timeout, r.since(q.Cancelled), r.since(q.Left), q.Answers, q.Word, r.since(q.Answered), r.since(q.Ended))
			for _, a := range r.attempts {
				if a.ID == q.ID {
					b.Attempts = append(b.Attempts, fmt.Sprintf("%s from %q at %v, whole %v, told %v", a.Server, a.Source, r.since(a.First), r.since(a.Whole), a.Deadline))
				}
			}
		}
		breaches = append(breaches, b)
	}
	for _, id := range r.unknown {
		add("unknown_request", nil, "an attempt for %s, which no client sent", id)
	}
	for i := range r.attempts {
		r.judgeAttempt(&r.attempts[i], add)
	}
	for _, q := range r.requests {
		if kind, told := r.judgeRequest(q); kind != "" {
			add(kind, q, "%s", told)
		} else if told != "" {
			excused[told]++
			excused[fmt.Sprintf("%s at n%d", told, q.Router)]++
		}
	}
	for i := range r.colds {
		r.judgeCold(&r.colds[i], add)
	}
	slices.SortFunc(breaches, func(a, b Breach) int { return compareStrings(a.Kind+a.Request, b.Kind+b.Request) })
	return breaches, excused
}

// since is a moment as the time since the run began, 0 where it never came.
func (r *Record) since(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(r.began).Round(time.Millisecond)
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

type adder = func(kind string, q *Request, format string, a ...any)

func (r *Record) judgeAttempt(a *Attempt, add adder) {
	q := r.requests[a.ID]
	if q == nil {
		add("unknown_request", nil, "an attempt for %s, which no client sent", a.ID)
		return
	}
	slack := jitter + r.lag(a.First) + r.lag(a.Whole)
	for _, end := range []struct {
		what string
		at   time.Time
	}{{"cancelled", q.Cancelled}, {"left", q.Left}} {
		if end.at.IsZero() {
			continue
		}
		if late := a.First.Sub(end.at); late > cancelSlack+slack {
			add("attempt_after_"+end.what, q, "an attempt at %s began %v after it was %s", a.Server, late.Round(time.Millisecond), end.what)
		}
	}
	if q.Sent.IsZero() {
		return
	}
	if late := a.First.Sub(q.Deadline()); late > slack {
		add("attempt_after_deadline", q, "an attempt at %s began %v after its client's time", a.Server, late.Round(time.Millisecond))
	}
	if more := a.Deadline - q.Deadline().Sub(a.Whole); more > deadlineSlack+slack {
		add("deadline_too_long", q, "%s was told %v, %v more than was left", a.Server, a.Deadline, more.Round(time.Millisecond))
	}
	for _, uid := range []string{a.Server, a.Source} {
		r.judgeLeave(uid, a, q, slack, add)
	}
}

// judgeLeave finds attempts to, or fills from, a server past the grace after its leaving was told.
func (r *Record) judgeLeave(uid string, a *Attempt, q *Request, slack time.Duration, add adder) {
	for _, l := range r.leaves {
		if l.server != uid || a.First.Before(l.at) || !l.until.IsZero() && a.First.After(l.until) {
			continue
		}
		told := r.toldAt(q.Router, l.event, l.at)
		if late := a.First.Sub(told); late > drainGrace+answerSlack+slack {
			add("attempt_after_drain", q, "%s was named %v after it was told to leave", uid, late.Round(time.Millisecond))
		}
	}
}

// judgeRequest says which rule a request shows broken, or why its loss is nobody's fault.
func (r *Record) judgeRequest(q *Request) (kind, told string) {
	runs := r.runs[q.ID]
	switch {
	case runs > 1:
		return "ran_twice", fmt.Sprintf("%s ran %d times", q.Class.Name, runs)
	case q.Answers > 1:
		return "answered_twice", fmt.Sprintf("%d answers", q.Answers)
	case q.Answers == 1 && q.Word == "BUSY" && runs > 0 && q.Class.Effect == OneShot:
		return "refused_though_ran", q.Class.Name + " was refused, and ran"
	case q.Answers == 1 && q.Word == "OK":
		if kind, told := r.judgeAnswer(q); kind != "" {
			return kind, told
		}
	}
	if q.Answers == 1 {
		return r.judgeTime(q)
	}
	return r.judgeLoss(q)
}

// judgeTime finds final answers that come long after the client's time.
func (r *Record) judgeTime(q *Request) (kind, told string) {
	late := q.Answered.Sub(q.Deadline()) - jitter - r.lag(q.Answered)
	if late <= lostAfter || q.Deaf || r.excuse(q) != "" {
		return "", ""
	}
	return "answered_late", fmt.Sprintf("an answer %v after its time", late.Round(time.Millisecond))
}

// judgeLoss finds requests that have no answer and were not given up by their client.
func (r *Record) judgeLoss(q *Request) (kind, told string) {
	switch {
	case q.Sent.IsZero() || !q.Cancelled.IsZero() && q.Cancelled.Before(q.Deadline()) || !q.Left.IsZero() && q.Left.Before(q.Deadline()):
		return "", ""
	case q.Reset:
		return "", "reset"
	case !q.Left.IsZero() && q.Deaf:
		return "", "" // it read nothing before it left
	}
	if why := r.excuse(q); why != "" {
		return "", why
	}
	if !q.Ended.IsZero() && q.Unread && q.Ended.Sub(q.Begun) <= crossing+r.lag(q.Ended) {
		return "", "crossed"
	}
	if !q.Ended.IsZero() && q.Deaf { // its connection may have ended long before it noticed
		return "", "deaf"
	}
	if q.TurnedAway {
		return "", "turned away"
	}
	if q.Ended.IsZero() {
		return "lost", "no answer"
	}
	return "lost", fmt.Sprintf("its connection ended %v after it was sent", q.Ended.Sub(q.Sent).Round(time.Millisecond))
}

// excuse says what happened to a request's router that takes its answer with it, or holds it up.
func (r *Record) excuse(q *Request) string {
	p := &r.processes[q.Router]
	until := q.Deadline().Add(lostAfter)
	for _, at := range p.killed {
		if at.After(q.Begun.Add(-jitter)) && at.Before(until) {
			return "killed"
		}
	}
	for _, i := range p.down {
		if i.meets(q.Begun, q.Begun) {
			return "down"
		}
	}
	for _, i := range p.frozen {
		if i.meets(q.Begun, until) {
			return "frozen"
		}
	}
	for _, at := range p.stopped {
		if q.Sent.Sub(at) > 700*time.Millisecond && q.Sent.Sub(at) < 5*time.Second {
			return "sent after the end"
		}
	}
	return ""
}

// judgeAnswer finds served bytes, or copies called current, that are wrong or too old.
func (r *Record) judgeAnswer(q *Request) (kind, told string) {
	if q.Class.Effect != Repeatable {
		if q.Body != "done "+q.ID {
			return "wrong_bytes", fmt.Sprintf("%d bytes of something else", len(q.Body))
		}
		return "", ""
	}
	var born time.Time
	if q.Current {
		nanos, err := strconv.ParseInt(q.Version, 16, 64)
		if err != nil || q.Body != "" {
			return "wrong_bytes", "a copy is called current that its client does not hold"
		}
		born = time.Unix(0, nanos)
	} else {
		object, at, whole := site.ParseBody(q.Body)
		if !whole || object.ID != q.Object {
			return "wrong_bytes", fmt.Sprintf("%d bytes of something else", len(q.Body))
		}
		born = at
	}
	for _, p := range r.purges {
		if p.object != q.Object || !born.Before(p.issued) {
			continue
		}
		if late := q.Begun.Sub(r.toldAt(q.Router, p.event, p.at)); late > purgeGrace+answerSlack {
			return "stale", fmt.Sprintf("a copy from before a purge, asked for %v after that was told", late.Round(time.Millisecond))
		}
	}
	if age := q.Sent.Sub(born); q.Class.Fresh > 0 && age > q.Class.Fresh+answerSlack+jitter {
		return "too_old", fmt.Sprintf("a copy of %v", age.Round(time.Millisecond))
	}
	return "", ""
}

// toldAt is when an event counts as told to a router: when it asked for what comes after it, and at the last some seconds later.
func (r *Record) toldAt(router, event int, at time.Time) time.Time {
	told := at.Add(toldAtLast)
	for no, seen := range r.told[router] {
		if no >= event && seen.After(at) && seen.Before(told) {
			told = seen
		}
	}
	return told
}

// judgeCold finds a server that was sent more in a window after its start than it bears, most of it by routers that had been told of
// the start.
func (r *Record) judgeCold(c *cold, add adder) {
	const meanWork = 0.1 // seconds: sizeKB over flow in the mean
	for i, first := range c.calls {
		from, n, told := first.at, 0, 0
		if from.Sub(c.at) > coldFor-fallFor {
			return // warm before the window is over
		}
		for _, call := range c.calls[i:] {
			if call.at.Sub(from) >= fallFor {
				break
			}
			n++
			if q := r.requests[call.id]; q != nil && call.at.After(r.toldAt(q.Router, c.event, c.at)) {
				told++
			}
		}
		warm := math.Min(1, coldShare+(1-coldShare)*(from.Sub(c.at)+fallFor).Seconds()/coldFor.Seconds())
		allowed := fallMultiple * c.weight * warm * fallFor.Seconds() / meanWork
		most := allowed + 2*math.Sqrt(allowed) + 2
		if allowed < 30 {
			most = allowed + 3*math.Sqrt(allowed) + 2
		}
		if float64(n) > most && 3*told > 2*n {
			add("cold_overload", nil, "%s was sent %d requests in %v from %v after its start, %d of them by routers that knew of it; it bears %.0f",
				c.server, n, fallFor, from.Sub(c.at).Round(time.Millisecond), told, most)
			return
		}
	}
}

// What the deployment's settings say of cold servers.
const (
	coldShare    = 0.1
	coldFor      = 8 * time.Second
	fallMultiple = 2.5
	fallFor      = 3 * time.Second
)
