package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// BreachKind is the rule that a breach violates.
type BreachKind string

// The kinds of breaches.
const (
	UnknownRequest         BreachKind = "unknown_request"
	AttemptAfterCancel     BreachKind = "attempt_after_cancelled"
	AttemptAfterDisconnect BreachKind = "attempt_after_left"
	AttemptAfterDeadline   BreachKind = "attempt_after_deadline"
	AttemptAfterDrain      BreachKind = "attempt_after_drain"
	DeadlineTooLong        BreachKind = "deadline_too_long"
	RanTwice               BreachKind = "ran_twice"
	AnsweredTwice          BreachKind = "answered_twice"
	AnsweredLate           BreachKind = "answered_late"
	RejectedThoughRan      BreachKind = "refused_though_ran"
	WrongBytes             BreachKind = "wrong_bytes"
	StaleCopy              BreachKind = "stale"
	CopyTooOld             BreachKind = "too_old"
	LostRequest            BreachKind = "lost"
	ColdOverload           BreachKind = "cold_overload"
)

// Breach is one violation of a rule.
type Breach struct {
	Kind    BreachKind `json:"kind"`
	Request string     `json:"request,omitempty"`
	Router  int        `json:"router"` // -1: not tied to a single router
	Detail  string     `json:"detail"`

	Sent     string   `json:"sent,omitempty"`     // the request; times are relative to the start of the run
	Attempts []string `json:"attempts,omitempty"` // the attempts for the request, with times as in Sent
}

// Excuse is the reason why no router is at fault for a lost or late answer.
type Excuse string

// The reasons that excuse a router.
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
	// jitter is the error that scheduling on this machine may add to a measured time.
	jitter = 60 * time.Millisecond
	// cancelSlack is how long after a cancellation or a client's disconnect an attempt may still begin.
	cancelSlack = 100 * time.Millisecond
	// deadlineSlack is how far the timeout of an attempt may exceed the time left until the client's deadline.
	deadlineSlack = 150 * time.Millisecond
	// boundSlack is the allowance on the bounds for drains, purges and ages.
	boundSlack = 50 * time.Millisecond
	// maxLateness is how long after the deadline an answer may arrive.
	maxLateness = 500 * time.Millisecond
	// crossingTime is the time before a connection closes within which a request counts as sent while the router was
	// closing the connection. A client sends such a request again.
	crossingTime = 50 * time.Millisecond
	// maxEventDelay is the time after which a router counts as knowing a discovery event, whether or not the event
	// arrived.
	maxEventDelay = 7 * time.Second
)

// checker finds breaches in the record of a run. It judges the routers only by what clients and servers saw.
type checker struct {
	*Record
	breaches []Breach
	excused  map[string]int
}

// check returns all breaches and the number of excused lost requests, both for each reason and for each reason at each
// router.
func (r *Record) check() (breaches []Breach, excused map[string]int) {
	runChecker := &checker{Record: r, excused: map[string]int{}}
	slices.SortFunc(r.delays, func(a, b interval) int { return a.until.Compare(b.until) })
	for i := range r.attempts {
		runChecker.checkAttempt(&r.attempts[i])
	}
	for _, request := range r.requests {
		runChecker.addVerdict(request, runChecker.checkRequest(request))
	}
	for i := range r.coldStarts {
		runChecker.checkColdStart(&r.coldStarts[i])
	}
	slices.SortFunc(runChecker.breaches, func(a, b Breach) int {
		return strings.Compare(string(a.Kind)+a.Request, string(b.Kind)+b.Request)
	})
	return runChecker.breaches, runChecker.excused
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

// addBreach adds a breach; request is nil if the breach belongs to no known request.
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
	return fmt.Sprintf("%s for object %x at %v, for %v; cancelled %v, disconnected %v, %d answers, %s at %v, ended %v",
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
	c.checkAttemptAfterEnd(AttemptAfterCancel, request.CancelledAt, attempt, request, slack)
	c.checkAttemptAfterEnd(AttemptAfterDisconnect, request.DisconnectedAt, attempt, request, slack)
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

// checkAttemptAfterEnd finds attempts that begin after the client has cancelled the request or disconnected.
func (c *checker) checkAttemptAfterEnd(kind BreachKind, endedAt time.Time, attempt *Attempt, request *Request,
	slack time.Duration,
) {
	if endedAt.IsZero() {
		return
	}
	if late := attempt.FirstByteAt.Sub(endedAt); late > cancelSlack+slack {
		c.addBreach(kind, request, "an attempt at %s began %v after the client cancelled or disconnected",
			attempt.Server, late.Round(time.Millisecond))
	}
}

// checkDepartures finds attempts at a server, and fills from it, that begin after the grace that follows its listing as
// draining or gone.
func (c *checker) checkDepartures(uid string, attempt *Attempt, request *Request, slack time.Duration) {
	startedAt := attempt.FirstByteAt
	for _, departure := range c.departures {
		isReadyAgain := !departure.until.IsZero() && startedAt.After(departure.until)
		if departure.server != uid || startedAt.Before(departure.at) || isReadyAgain {
			continue
		}
		knownAt := c.eventKnownAt(request.Router, departure.event, departure.at)
		if late := startedAt.Sub(knownAt); late > drainGrace+boundSlack+slack {
			c.addBreach(AttemptAfterDrain, request, "an attempt named %s, %v after the departure of that server was known",
				uid, late.Round(time.Millisecond))
		}
	}
}
