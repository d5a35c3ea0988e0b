package upstream

import (
	"time"

	"fennelarch/internal/engine"
)

// maxRecentIDs is the number of recent request ids from which a connection carries no more attempts, so that its memory
// stays small. At usual rates ids are forgotten long before.
const maxRecentIDs = 2048

// recentUse is the last use of a request id on a connection.
type recentUse struct {
	endedAt   time.Time
	isAborted bool // else answered
}

// recentID is a request id whose attempt ended at a time.
type recentID struct {
	id      engine.ClientRequestID
	endedAt time.Time
}

// recentIDs holds the ids of the requests that have been answered or aborted on a connection: a late response, or a
// second one, may still arrive.
type recentIDs struct {
	order []recentID // oldest first
	uses  map[engine.ClientRequestID]recentUse
}

func newRecentIDs() recentIDs { return recentIDs{uses: map[engine.ClientRequestID]recentUse{}} }

// add adds an id, and forgets those that are older than a time.
func (r *recentIDs) add(id engine.ClientRequestID, use recentUse, forgetAfter time.Duration) {
	expired := 0
	for expired < len(r.order) && use.endedAt.Sub(r.order[expired].endedAt) > forgetAfter {
		if oldest := r.order[expired]; r.uses[oldest.id].endedAt.Equal(oldest.endedAt) {
			delete(r.uses, oldest.id)
		}
		expired++
	}
	r.order = append(r.order[expired:], recentID{id, use.endedAt})
	r.uses[id] = use
}

// recordLateResponse records a response to an id that is not in flight: after the response to an aborted attempt, no
// other one is expected.
func (r *recentIDs) recordLateResponse(id engine.ClientRequestID) {
	if r.uses[id].isAborted {
		delete(r.uses, id)
	}
}

func (r *recentIDs) contains(id engine.ClientRequestID) bool {
	_, isRecent := r.uses[id]
	return isRecent
}

func (r *recentIDs) isFull() bool { return len(r.order) >= maxRecentIDs }
