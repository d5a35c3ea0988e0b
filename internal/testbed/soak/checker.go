package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// BreachKind names a rule that is broken.
type BreachKind string

// The kinds of breaches.
const (
	UnknownRequest       BreachKind = "unknown_request"
	AttemptAfterCancel   BreachKind = "attempt_after_cancelled"
	AttemptAfterLeaving  BreachKind = "attempt_after_left"
	AttemptAfterDeadline BreachKind = "attempt_after_deadline"
	AttemptAfterDrain    BreachKind = "attempt_after_drain"
	DeadlineTooLong      BreachKind = "deadline_too_long"
	RanTwice             BreachKind = "ran_twice"
	AnsweredTwice        BreachKind = "answered_twice"
	AnsweredLate         BreachKind = "answered_late"
	RejectedThoughRan    BreachKind = "refused_though_ran"
	WrongBytes           BreachKind = "wrong_bytes"
	StaleCopy            BreachKind = "stale"
	CopyTooOld           BreachKind = "too_old"
	LostRequest          BreachKind = "lost"
	ColdOverload         BreachKind = "cold_overload"
)

// Breach is one broken rule.
type Breach struct {
	Kind    BreachKind `json:"kind"`
	Request string     `json:"request,omitempty"`
	Router  int        `json:"router"` // -1: of no single router
	Detail  string     `json:"detail"`

	Sent     string   `json:"sent,omitempty"`     // the request; times count from the start of the run
	Attempts []string `json:"attempts,omitempty"` // the same
}

// Excuse says why no router is to blame for a lost or late answer.
type Excuse string

// The excuses.
const (
	NoExcuse                Excuse = ""
	ExcuseRouterKilled      Excuse = "router killed"
	ExcuseRouterDown        Excuse = "router down"
	ExcuseRouterFrozen      Excuse = "router frozen"
	ExcuseSentAfterShutdown Excuse = "sent after shutdown"
	ExcuseConnectionReset   Excuse = "connection reset"
	ExcuseCrossedClose      Excuse = "crossed a close"
	ExcuseReadsPaused       Excuse = "client reads paused"
	ExcuseRejected          Excuse = "connection rejected"
)

const (
	// jitter is what this machine itself may add to a time.
	jitter = 60 * time.Millisecond
	// cancelSlack is how long after a cancel, or the client's leaving, an attempt may still begin.
	cancelSlack = 100 * time.Millisecond
	// deadlineSlack is how far the timeout of an attempt may exceed what its client has left.
	deadlineSlack = 150 * time.Millisecond
	// answerSlack is how long after its time a final answer may come without being late, lostAfter without being lost.
	answerSlack = 50 * time.Millisecond
	lostAfter   = 500 * time.Millisecond
	// crossingTime is how soon around the end of a connection a request may have been sent that its client sends again.
	crossingTime = 50 * time.Millisecond
	// maxEventDelay is when an event of discovery counts as known, whether or not it arrived.
	maxEventDelay = 7 * time.Second
)

// checker finds in the record of a run what breaks a rule. It knows nothing of the routers but what clients and servers
// saw.
type checker struct {
	*Record
	breaches []Breach
	excused  map[string]int
}

// check returns all breaches, and how many requests were lost to what no router is to blame for, in all and by router.
func (r *Record) check() (breaches []Breach, excused map[string]int) {
	findings := &checker{Record: r, excused: map[string]int{}}
	slices.SortFunc(r.delays, func(a, b interval) int { return a.until.Compare(b.until) })
	for i := range r.attempts {
		findings.checkAttempt(&r.attempts[i])
	}
	for _, request := range r.requests {
		findings.addVerdict(request, findings.checkRequest(request))
	}
	for i := range r.coldStarts {
		findings.checkColdStart(&r.coldStarts[i])
	}
	slices.SortFunc(findings.breaches, func(a, b Breach) int {
		return strings.Compare(string(a.Kind)+a.Request, string(b.Kind)+b.Request)
	})
	return findings.breaches, findings.excused
}

func (c *checker) addVerdict(request *Request, found verdict) {
	switch {
	case found.breach != "":
		c.addBreach(found.breach, request, "%s", found.detail)
	case found.excuse != NoExcuse:
		c.excused[string(found.excuse)]++
		c.excused[fmt.Sprintf("%s at n%d", found.excuse, request.Router)]++
	}
}

// addBreach adds a breach; request is nil where none is known.
func (c *checker) addBreach(kind BreachKind, request *Request, format string, args ...any) {
	breach := Breach{Kind: kind, Detail: fmt.Sprintf(format, args...), Router: -1}
	if request != nil {
		breach.Request, breach.Router = request.ID, request.Router
		breach.Sent = c.describeRequest(request)
		breach.Attempts = c.describeAttempts(request.ID)
	}
	c.breaches = append(c.breaches, breach)
}

func (c *checker) describeRequest(request *Request) string {
	return fmt.Sprintf("%s for object %x at %v, for %v; cancelled %v, left %v, %d answers, %s at %v, ended %v",
		request.Class.Name, request.Object, c.sinceStart(request.SentAt), request.Timeout,
		c.sinceStart(request.CancelledAt), c.sinceStart(request.DisconnectedAt), request.Answers, request.Status,
		c.sinceStart(request.AnsweredAt), c.sinceStart(request.EndedAt))
}

func (c *checker) describeAttempts(requestID string) (descriptions []string) {
	for i := range c.attempts {
		attempt := &c.attempts[i]
		if attempt.RequestID == requestID {
			descriptions = append(descriptions, fmt.Sprintf("%s from %q at %v, complete %v, timeout %v", attempt.Server,
				attempt.Source, c.sinceStart(attempt.FirstByteAt), c.sinceStart(attempt.LastByteAt), attempt.Timeout))
		}
	}
	return descriptions
}

func (c *checker) checkAttempt(attempt *Attempt) {
	request := c.requests[attempt.RequestID]
	if request == nil {
		c.addBreach(UnknownRequest, nil, "an attempt for %s, which no client sent", attempt.RequestID)
		return
	}
	slack := jitter + c.delayAround(attempt.FirstByteAt) + c.delayAround(attempt.LastByteAt)
	c.checkAttemptEnd(AttemptAfterCancel, request.CancelledAt, attempt, request, slack)
	c.checkAttemptEnd(AttemptAfterLeaving, request.DisconnectedAt, attempt, request, slack)
	if request.SentAt.IsZero() {
		return
	}
	if late := attempt.FirstByteAt.Sub(request.Deadline()); late > slack {
		c.addBreach(AttemptAfterDeadline, request, "an attempt at %s began %v after its deadline", attempt.Server,
			late.Round(time.Millisecond))
	}
	if excess := attempt.Timeout - request.Deadline().Sub(attempt.LastByteAt); excess > deadlineSlack+slack {
		c.addBreach(DeadlineTooLong, request, "the timeout at %s is %v, %v more than was left", attempt.Server,
			attempt.Timeout, excess.Round(time.Millisecond))
	}
	for _, uid := range []string{attempt.Server, attempt.Source} {
		c.checkDepartures(uid, attempt, request, slack)
	}
}

// checkAttemptEnd finds attempts that begin after the client has given the request up.
func (c *checker) checkAttemptEnd(kind BreachKind, endedAt time.Time, attempt *Attempt, request *Request,
	slack time.Duration,
) {
	if endedAt.IsZero() {
		return
	}
	if late := attempt.FirstByteAt.Sub(endedAt); late > cancelSlack+slack {
		c.addBreach(kind, request, "an attempt at %s began %v after its client gave it up", attempt.Server,
			late.Round(time.Millisecond))
	}
}

// checkDepartures finds attempts to, or fills from, a server past the grace after it was listed as leaving.
func (c *checker) checkDepartures(uid string, attempt *Attempt, request *Request, slack time.Duration) {
	startedAt := attempt.FirstByteAt
	for _, departure := range c.departures {
		isReadyAgain := !departure.until.IsZero() && startedAt.After(departure.until)
		if departure.server != uid || startedAt.Before(departure.at) || isReadyAgain {
			continue
		}
		knownAt := c.eventKnownAt(request.Router, departure.event, departure.at)
		if late := startedAt.Sub(knownAt); late > drainGrace+answerSlack+slack {
			c.addBreach(AttemptAfterDrain, request, "%s was named %v after its departure was known", uid,
				late.Round(time.Millisecond))
		}
	}
}
