package engine

import (
	"container/heap"
	"slices"
	"time"

	"fennelarch/policy/routing"
)

// timer is a timer of the router, the deadline of a request or an attempt, or the end of a transfer from the local
// cache. Its kind is derived from the fields that are set, since a field for it would make each timer's allocation
// larger.
type timer struct {
	at          time.Duration
	request     routing.RequestID // 0: a timer of the router
	attempt     *Attempt
	routerTimer uint64
}

type timerKind uint8

const (
	routerTimer            timerKind = iota
	requestDeadline                  // the deadline of a request has passed
	attemptDeadline                  // the endpoint has not responded in time
	localTransferCompleted           // a copy from the local cache has been sent
)

func (t *timer) kind() timerKind {
	switch {
	case t.request == 0:
		return routerTimer
	case t.attempt == nil:
		return requestDeadline
	case t.attempt.Endpoint == routing.LocalCache:
		return localTransferCompleted
	}
	return attemptDeadline
}

// Tick fires the timers that are due.
func (e *Engine) Tick(now time.Duration) {
	e.now = max(now, e.now)
	e.ages.clock.compareIfDue(e.now)
	e.localCache.yield()
	e.compactTimers()
	for len(e.timers) > 0 && e.timers[0].at <= e.now {
		due := heap.Pop(&e.timers).(timer)
		switch due.kind() {
		case routerTimer:
			e.dispatch(&routing.Event{Kind: routing.EventTimer, Timer: due.routerTimer})
		case requestDeadline:
			e.expireRequest(due.request)
		case attemptDeadline:
			e.abort(due.attempt, routing.TimedOut)
			e.dispatchPending()
		case localTransferCompleted:
			e.handleAttemptResult(&AttemptResult{Attempt: due.attempt, Outcome: routing.Succeeded}, e.now)
		}
	}
}

// minTimersToCompact is the number of timers from which those of requests that are done are dropped.
const minTimersToCompact = 1024

// compactTimers drops the timers of requests that are done, if most are: the deadline of a request that was answered or
// cancelled may be long after its end.
func (e *Engine) compactTimers() {
	if len(e.timers) < e.compactTimersAt {
		return
	}
	e.timers = slices.DeleteFunc(e.timers, func(t timer) bool { return t.request != 0 && e.requests[t.request] == nil })
	heap.Init(&e.timers)
	e.compactTimersAt = max(minTimersToCompact, 2*len(e.timers))
}

// timerHeap is a heap of timers, earliest first.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Less implements heap.Interface. It orders timers by time, then by request.
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].request < h[j].request
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
