package routing

import (
	"slices"
	"time"
)

// request is a view in hand, or one whose last legs have yet to end.
type request struct {
	id                     RequestID
	class                  ClassID
	object                 ObjectID
	group                  GroupID
	hash                   uint64
	deadline, objectiveAt  time.Duration // end: the client gives up
	transferTime           time.Duration // to send it at full pace
	retryWriteAt           time.Duration // when a write is tried again, 0: not
	sizeTold               bool          // the size was told
	sizeKnown              bool          // the size was told, or is recalled
	overQuota              bool          // over its tenant's allowance
	open                   bool
	streaming              bool
	stage                  fillStage
	cache                  int32 // the cache whose turn it is
	failedBy               int32 // the node that failed it without saying why
	attempts               [maxAttempts]attempt
	attemptCount, inFlight int
}

// hasTriedSource tells whether the view's cache has asked a source for all that it can do.
func (v *request) hasTriedSource(src int32) bool {
	for i := range v.attemptCount {
		if l := &v.attempts[i]; l.endpoint == v.cache && l.source == src && !l.onlyIfCached {
			return true
		}
	}
	return false
}

// mayHaveRun tells whether a leg may have run.
func (v *request) mayHaveRun() bool {
	return slices.ContainsFunc(v.attempts[:v.attemptCount], func(l attempt) bool { return l.mayHaveRun })
}

func (r *Router) hasAsked(v *request, n int32) bool {
	for i := range v.attemptCount {
		if v.attempts[i].endpoint == n {
			return true
		}
	}
	return false
}

func (r *Router) findRequest(id RequestID) *request {
	if i, held := r.requestByID[id]; held {
		return &r.requests[i]
	}
	return nil
}

func (r *Router) allocateRequest() int32 {
	if n := len(r.freeRequests); n > 0 {
		i := r.freeRequests[n-1]
		r.freeRequests = r.freeRequests[:n-1]
		return i
	}
	r.requests = append(r.requests, request{})
	return int32(len(r.requests) - 1)
}

func (r *Router) releaseRequest(v *request) {
	if i, held := r.requestByID[v.id]; held && !v.open && v.inFlight == 0 {
		delete(r.requestByID, v.id)
		r.freeRequests = append(r.freeRequests, i)
	}
}

// closeRequest ends a view: legs still out are cancelled, and its place is used again when they have ended.
func (r *Router) closeRequest(v *request) {
	v.open = false
	for i := range v.attemptCount {
		if v.attempts[i].inFlight && r.settings.Cancel && !v.streaming {
			r.emit(Action{Kind: ActionCancel, Request: v.id, Attempt: AttemptNumber(i)})
		}
	}
	r.releaseRequest(v)
}

// objectHash is the place of a view's object on the rings.
func (e *Event) objectHash() uint64 { return mix(uint64(e.Object) ^ uint64(e.Part)*0x9e3779b97f4a7c15) }
