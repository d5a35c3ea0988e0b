package soak

import (
	"fmt"
	"time"

	"fennelarch/internal/fake/site"
	"fennelarch/internal/testbed"
)

// verdict is what the checker finds of one request: a breach, an excuse for its loss, or neither.
type verdict struct {
	breach BreachKind
	detail string
	excuse Excuse
}

func breach(kind BreachKind, format string, args ...any) verdict {
	return verdict{breach: kind, detail: fmt.Sprintf(format, args...)}
}

// checkRequest says which rule a request shows broken, or why its loss is no router's fault.
func (c *checker) checkRequest(request *Request) verdict {
	executions := c.executions[request.ID]
	isAnswered := request.Answers == 1
	switch {
	case executions > 1:
		return breach(RanTwice, "%s ran %d times", request.Class.Name, executions)
	case request.Answers > 1:
		return breach(AnsweredTwice, "%d answers", request.Answers)
	case isAnswered && request.Status == testbed.StatusBusy && executions > 0 && !request.Class.isRepeatable():
		return breach(RejectedThoughRan, "%s was rejected, and ran", request.Class.Name)
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

// checkLateness finds final answers that come long after the client's deadline.
func (c *checker) checkLateness(request *Request) verdict {
	late := request.AnsweredAt.Sub(request.Deadline()) - jitter - c.delayAround(request.AnsweredAt)
	if late <= lostAfter || request.ReadsPausedMeantime || c.excuse(request) != NoExcuse {
		return verdict{}
	}
	return breach(AnsweredLate, "an answer %v after its deadline", late.Round(time.Millisecond))
}

// checkLoss finds requests that have no answer and were not given up by their client.
func (c *checker) checkLoss(request *Request) verdict {
	hasEnded := !request.EndedAt.IsZero()
	switch {
	case request.SentAt.IsZero() || isBeforeDeadline(request.CancelledAt, request),
		isBeforeDeadline(request.DisconnectedAt, request):
		return verdict{}
	case request.ConnectionEnd == EndedByReset:
		return verdict{excuse: ExcuseConnectionReset}
	case !request.DisconnectedAt.IsZero() && request.ReadsPausedMeantime:
		return verdict{} // it read nothing before it left
	}
	if excuse := c.excuse(request); excuse != NoExcuse {
		return verdict{excuse: excuse}
	}
	closedAfter := request.EndedAt.Sub(request.WriteStartedAt)
	switch {
	case hasEnded && request.IsAloneAndUnread && closedAfter <= crossingTime+c.delayAround(request.EndedAt):
		return verdict{excuse: ExcuseCrossedClose}
	case hasEnded && request.ReadsPausedMeantime: // its connection may have ended long before its client noticed
		return verdict{excuse: ExcuseReadsPaused}
	case request.WasRejectedUnread:
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

// excuse says what happened to a request's router that takes its answer with it, or holds it up.
func (c *checker) excuse(request *Request) Excuse {
	process := &c.processes[request.Router]
	until := request.Deadline().Add(lostAfter)
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

// checkResponse finds bytes that are wrong, and copies that are too old.
func (c *checker) checkResponse(request *Request) verdict {
	if request.Class.Idempotency != Idempotent {
		if request.Body != executedBody(request.ID) {
			return breach(WrongBytes, "%d bytes of something else", len(request.Body))
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
		if late > purgeGrace+answerSlack {
			return breach(StaleCopy, "a copy from before a purge, requested %v after that was known",
				late.Round(time.Millisecond))
		}
	}
	age, maxAge := request.SentAt.Sub(createdAt), request.Class.MaxAge
	if maxAge > 0 && age > maxAge+answerSlack+jitter {
		return breach(CopyTooOld, "a copy of %v", age.Round(time.Millisecond))
	}
	return verdict{}
}

// checkBody checks the bytes of a copy, or that the client has the one that is said to be current. It returns when the
// origin gave the copy out.
func (c *checker) checkBody(request *Request) (createdAt time.Time, found verdict) {
	if request.IsNotModified {
		createdAt, err := site.ParseChecksum(request.CachedVersion)
		if err != nil || request.Body != "" {
			return createdAt, breach(WrongBytes, "a copy is said to be current that its client does not have")
		}
		return createdAt, verdict{}
	}
	object, createdAt, isIntact := site.ParseBody(request.Body)
	if !isIntact || object.ID != request.Object {
		return createdAt, breach(WrongBytes, "%d bytes of something else", len(request.Body))
	}
	return createdAt, verdict{}
}
