package routing

import (
	"slices"
	"time"
)

// requestState follows a request from its arrival to the end of its last attempt.
type requestState uint8

const (
	requestOpen            requestState = iota
	requestStreaming                    // open; its answer is on its way to the client
	requestClosed                       // answered or given up; attempts in flight are cancelled
	requestClosedStreaming              // closed after its answer began: attempts in flight are let run
	requestStateCount
)

// afterStreamStarted is the state of a request once an answer is on its way.
var afterStreamStarted = [requestStateCount]requestState{
	requestOpen:            requestStreaming,
	requestStreaming:       requestStreaming,
	requestClosed:          requestClosedStreaming,
	requestClosedStreaming: requestClosedStreaming,
}

// afterClose is the state of a request once it has its final answer or its client has left.
var afterClose = [requestStateCount]requestState{
	requestOpen:            requestClosed,
	requestStreaming:       requestClosedStreaming,
	requestClosed:          requestClosed,
	requestClosedStreaming: requestClosedStreaming,
}

// request is an open request, or a closed one whose last attempts have yet to end.
type request struct {
	id           RequestID
	class        ClassID
	object       ObjectID
	group        GroupID
	hash         uint64        // its object's place on the rings
	deadline     time.Duration // the client gives up
	objectiveAt  time.Duration // an answer later than this is late
	transferTime time.Duration // at full pace
	retryWriteAt time.Duration // when a write is attempted again, 0: not
	sizeTold     bool          // the request told its size
	sizeKnown    bool          // the request told its size, or the history has it
	overQuota    bool          // its tenant is over its quota
	state        requestState
	stage        fillStage
	cache        endpointIndex // the cache whose turn it is
	failedBy     endpointIndex // the endpoint that failed it without saying why
	attempts     [maxAttempts]attempt
	attemptCount int
	inFlight     int // attempts that have not ended
}

// isOpen reports whether the client is still owed an answer, or the end of one.
func (q *request) isOpen() bool { return q.state == requestOpen || q.state == requestStreaming }

// hasTriedSource reports whether the request's cache has asked a source for more than a cached copy.
func (q *request) hasTriedSource(source endpointIndex) bool {
	return slices.ContainsFunc(q.sentAttempts(), func(att attempt) bool {
		return att.endpoint == q.cache && att.source == source && !att.onlyIfCached
	})
}

// hasAsked reports whether an attempt went to the endpoint.
func (q *request) hasAsked(index endpointIndex) bool {
	return slices.ContainsFunc(q.sentAttempts(), func(att attempt) bool { return att.endpoint == index })
}

// mayHaveRun reports whether an attempt may have run.
func (q *request) mayHaveRun() bool {
	return slices.ContainsFunc(q.sentAttempts(), func(att attempt) bool { return att.mayHaveRun })
}

// isLinkSample reports whether the request's transfer tells how congested a link is: its size is known, and it is not
// short.
func (q *request) isLinkSample() bool { return q.sizeKnown && q.transferTime >= minLinkSample }

func (q *request) sentAttempts() []attempt { return q.attempts[:q.attemptCount] }

// requestTable holds the requests by id. Slots are used again, so that the ordinary path allocates nothing.
type requestTable struct {
	slots    []request
	free     []int
	slotByID map[RequestID]int
}

func newRequestTable() requestTable { return requestTable{slotByID: map[RequestID]int{}} }

// find returns the request with the id, or nil.
func (t *requestTable) find(id RequestID) *request {
	if slot, isKnown := t.slotByID[id]; isKnown {
		return &t.slots[slot]
	}
	return nil
}

// add returns a zeroed request with the id. It is valid until the next one is added.
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

// closeRequest ends a request: attempts in flight are cancelled, and its slot is used again when they have ended.
func (r *Router) closeRequest(req *request) {
	req.state = afterClose[req.state]
	if r.settings.Cancel && req.state == requestClosed {
		for i := range req.sentAttempts() {
			if req.attempts[i].isInFlight() {
				r.emit(Action{Kind: ActionCancel, Request: req.id, Attempt: AttemptNumber(i)})
			}
		}
	}
	r.requests.release(req)
}

// objectHash is the place of a request's object, and of its part, on the rings.
func (e *Event) objectHash() uint64 { return mix(uint64(e.Object) ^ uint64(e.Part)*goldenGamma) }
