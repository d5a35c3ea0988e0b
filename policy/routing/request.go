package routing

import (
	"slices"
	"time"
)

// requestState is the state of a request, from its arrival to the end of its last attempt.
type requestState uint8

const (
	requestOpen            requestState = iota
	requestStreaming                    // open; the client is receiving the answer
	requestClosed                       // answered or given up; attempts in flight are cancelled
	requestClosedStreaming              // closed, but the answer has begun; attempts in flight are not cancelled
	requestStateCount
)

// afterStreamStarted maps the state of a request to the state once the client has begun to receive the answer.
var afterStreamStarted = [requestStateCount]requestState{
	requestOpen:            requestStreaming,
	requestStreaming:       requestStreaming,
	requestClosed:          requestClosedStreaming,
	requestClosedStreaming: requestClosedStreaming,
}

// afterClose maps the state of a request to the state once the request has its final answer or its client has left.
var afterClose = [requestStateCount]requestState{
	requestOpen:            requestClosed,
	requestStreaming:       requestClosedStreaming,
	requestClosed:          requestClosed,
	requestClosedStreaming: requestClosedStreaming,
}

// request is an open request, or a closed request with attempts that have not ended.
type request struct {
	id            RequestID
	class         ClassID
	object        ObjectID
	group         GroupID
	hash          uint64        // position of the object on the rings
	deadline      time.Duration // the client gives up at this time
	objectiveAt   time.Duration // an answer after this time misses the latency objective
	transferTime  time.Duration // on links without congestion
	retryWriteAt  time.Duration // time of the next attempt of a write, 0: none planned
	sizeInRequest bool          // the request includes its size
	sizeKnown     bool          // the request includes its size, or the object's history has it
	overQuota     bool          // the tenant has exceeded its quota
	state         requestState
	stage         fillStage
	cache         endpointIndex // the cache that serves the current attempt
	lastErrorFrom endpointIndex // the endpoint that last answered with an error without a note
	attempts      [maxAttempts]attempt
	attemptCount  int
	inFlight      int // attempts that have not ended
}

// isOpen reports whether the client is still waiting for the answer or the end of the answer.
func (q *request) isOpen() bool { return q.state == requestOpen || q.state == requestStreaming }

// hasTriedSource reports whether an attempt at the request's cache named the source without OnlyIfCached.
func (q *request) hasTriedSource(source endpointIndex) bool {
	return slices.ContainsFunc(q.sentAttempts(), func(att attempt) bool {
		return att.endpoint == q.cache && att.source == source && !att.onlyIfCached
	})
}

// hasTriedEndpoint reports whether an attempt was sent to the endpoint.
func (q *request) hasTriedEndpoint(index endpointIndex) bool {
	return slices.ContainsFunc(q.sentAttempts(), func(att attempt) bool { return att.endpoint == index })
}

// mayHaveRun reports whether an attempt may have run.
func (q *request) mayHaveRun() bool {
	return slices.ContainsFunc(q.sentAttempts(), func(att attempt) bool { return att.mayHaveRun })
}

// isLinkSample reports whether the request's transfer is suitable for estimating the congestion of a link: its size is
// known, and it is not short.
func (q *request) isLinkSample() bool { return q.sizeKnown && q.transferTime >= minLinkSampleTime }

func (q *request) sentAttempts() []attempt { return q.attempts[:q.attemptCount] }

// requestTable holds the requests by id. It reuses its slots, so that the ordinary path does not allocate.
type requestTable struct {
	slots    []request
	free     []int
	slotByID map[RequestID]int
}

func newRequestTable() requestTable { return requestTable{slotByID: map[RequestID]int{}} }

// find returns the request with the id, or nil if there is none.
func (t *requestTable) find(id RequestID) *request {
	if slot, isKnown := t.slotByID[id]; isKnown {
		return &t.slots[slot]
	}
	return nil
}

// add adds a request with the id and returns it. The pointer is valid until the next call of add.
func (t *requestTable) add(id RequestID) *request {
	slot := len(t.slots)
	if count := len(t.free); count > 0 {
		slot = t.free[count-1]
		t.free = t.free[:count-1]
	} else {
		t.slots = append(t.slots, request{})
	}
	t.slotByID[id] = slot
	t.slots[slot] = request{id: id}
	return &t.slots[slot]
}

// release frees the slot of a request that is closed and whose attempts have all ended.
func (t *requestTable) release(req *request) {
	if slot, isKnown := t.slotByID[req.id]; isKnown && !req.isOpen() && req.inFlight == 0 {
		delete(t.slotByID, req.id)
		t.free = append(t.free, slot)
	}
}

// closeRequest closes a request. Attempts in flight are cancelled, except while an answer is being received. The slot
// becomes free once all attempts have ended.
func (r *Router) closeRequest(req *request) {
	req.state = afterClose[req.state]
	if r.settings.AllowCancel && req.state == requestClosed {
		for i := range req.sentAttempts() {
			if req.attempts[i].isInFlight() {
				r.emit(Action{Kind: ActionCancel, Request: req.id, Attempt: AttemptNumber(i)})
			}
		}
	}
	r.requests.release(req)
}

// objectHash returns the position of the requested part of the object on the rings.
func (e *Event) objectHash() uint64 { return mix(uint64(e.Object) ^ uint64(e.Part)*goldenGamma) }
