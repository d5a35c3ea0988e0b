package soak

import (
	"fmt"
	"time"

	"fennelarch/internal/fake/site"
	"fennelarch/internal/testbed"
)

// verdict is the result of checking one request: a breach, an excuse for the loss of the request, or neither.
type verdict struct {
	breach BreachKind
	detail string
	excuse Excuse
}

func breach(kind BreachKind, format string, args ...any) verdict {
	return verdict{breach: kind, detail: fmt.Sprintf(format, args...)}
}

// checkRequest returns the breach that a request shows, or the excuse for its loss.
func (c *checker) checkRequest(request *Request) verdict {
	executions := c.executions[request.ID]
	isAnswered := request.Answers == 1
	switch {
	case executions > 1:
		return breach(RanTwice, "%s ran %d times", request.Class.Name, executions)
	case request.Answers > 1:
		return breach(AnsweredTwice, "%d answers", request.Answers)
	case isAnswered && request.Status == testbed.StatusBusy && executions > 0 && !request.Class.isRepeatable():
		return breach(RejectedThoughRan, "%s was rejected although it ran", request.Class.Name)
	case isAnswered && request.Status == testbed.StatusOK:
		if found := c.checkResponse(request); found.breach != "" {
			return found
		}
	}
	if isAnswered {
		return c.checkLateness(request)
	}
	return c.checkLoss(request)
}

// checkLateness finds answers that arrive long after the client's deadline.
func (c *checker) checkLateness(request *Request) verdict {
	late := request.AnsweredAt.Sub(request.Deadline()) - jitter - c.delayAround(request.AnsweredAt)
	if late <= maxLateness || request.ReadsPaused || c.excuse(request) != NoExcuse {
		return verdict{}
	}
	return breach(AnsweredLate, "an answer %v after its deadline", late.Round(time.Millisecond))
}

// checkLoss finds requests without an answer that their client did not give up before the deadline.
func (c *checker) checkLoss(request *Request) verdict {
	hasEnded := !request.EndedAt.IsZero()
	switch {
	case request.SentAt.IsZero() || isBeforeDeadline(request.CancelledAt, request),
		isBeforeDeadline(request.DisconnectedAt, request):
		return verdict{}
	case request.ConnectionEnd == EndedByReset:
		return verdict{excuse: ExcuseConnectionReset}
	case !request.DisconnectedAt.IsZero() && request.ReadsPaused:
		return verdict{} // the client disconnected without reading
	}
	if excuse := c.excuse(request); excuse != NoExcuse {
		return verdict{excuse: excuse}
	}
	closedAfter := request.EndedAt.Sub(request.WriteStartedAt)
	switch {
	case hasEnded && request.MayHaveCrossedClose && closedAfter <= crossingTime+c.delayAround(request.EndedAt):
		return verdict{excuse: ExcuseCrossedClose}
	case hasEnded && request.ReadsPaused: // the connection may have ended long before the client noticed
		return verdict{excuse: ExcuseReadsPaused}
	case request.WasConnectionRejected:
		return verdict{excuse: ExcuseRejected}
	case !hasEnded:
		return breach(LostRequest, "no answer")
	}
	return breach(LostRequest, "its connection ended %v after it was sent",
		request.EndedAt.Sub(request.SentAt).Round(time.Millisecond))
}

func isBeforeDeadline(at time.Time, request *Request) bool {
	return !at.IsZero() && at.Before(request.Deadline())
}

// excuse returns the event in the router's process that prevented or delayed the answer to a request, if any.
func (c *checker) excuse(request *Request) Excuse {
	process := &c.processes[request.Router]
	until := request.Deadline().Add(maxLateness)
	for _, killedAt := range process.killed {
		if killedAt.After(request.WriteStartedAt.Add(-jitter)) && killedAt.Before(until) {
			return ExcuseRouterKilled
		}
	}
	for _, down := range process.down {
		if down.overlaps(request.WriteStartedAt, request.WriteStartedAt) {
			return ExcuseRouterDown
		}
	}
	for _, frozen := range process.frozen {
		if frozen.overlaps(request.WriteStartedAt, until) {
			return ExcuseRouterFrozen
		}
	}
	for _, stoppedAt := range process.stopped {
		sentAfter := request.SentAt.Sub(stoppedAt)
		if sentAfter > 700*time.Millisecond && sentAfter < 5*time.Second {
			return ExcuseSentAfterShutdown
		}
	}
	return NoExcuse
}

// checkResponse finds wrong bytes, copies from before a purge, and copies that exceed their class's maximum age.
func (c *checker) checkResponse(request *Request) verdict {
	if request.Class.Idempotency != Idempotent {
		if request.Body != executedBody(request.ID) {
			return breach(WrongBytes, "%d bytes that are not the expected body", len(request.Body))
		}
		return verdict{}
	}
	createdAt, found := c.checkBody(request)
	if found.breach != "" {
		return found
	}
	for _, purge := range c.purges {
		if purge.object != request.Object || !createdAt.Before(purge.issuedAt) {
			continue
		}
		late := request.WriteStartedAt.Sub(c.eventKnownAt(request.Router, purge.event, purge.at))
		if late > purgeGrace+boundSlack {
			return breach(StaleCopy, "a copy from before a purge, requested %v after that was known",
				late.Round(time.Millisecond))
		}
	}
	age, maxAge := request.SentAt.Sub(createdAt), request.Class.MaxAge
	if maxAge > 0 && age > maxAge+boundSlack+jitter {
		return breach(CopyTooOld, "a copy with an age of %v", age.Round(time.Millisecond))
	}
	return verdict{}
}

// checkBody checks the bytes of a copy; if the response is "not modified", it checks that the client has a copy. It
// returns the time at which the origin created the copy.
func (c *checker) checkBody(request *Request) (createdAt time.Time, found verdict) {
	if request.IsNotModified {
		createdAt, err := site.ParseChecksum(request.CachedVersion)
		if err != nil || request.Body != "" {
			return createdAt, breach(WrongBytes, "not modified, but the client has no copy")
		}
		return createdAt, verdict{}
	}
	object, createdAt, isIntact := site.ParseBody(request.Body)
	if !isIntact || object.ID != request.Object {
		return createdAt, breach(WrongBytes, "%d bytes that are not the expected body", len(request.Body))
	}
	return createdAt, verdict{}
}
