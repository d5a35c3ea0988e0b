// Package stalldetect detects that the process stood still: it was stopped, starved of processor time, or held up as a
// whole. Whatever arrived meanwhile was held in buffers of the system, and is older than the moment at which it is
// read. A watch beats at short intervals; a late beat shows a stall, and readers ask the watch how old what they have
// just read may be.
//
// All spans are of the monotonic clock: a step of the wall clock is no stall.
package stalldetect

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// beatInterval is the time between two beats: a fraction of the shortest stall that matters.
	beatInterval = 20 * time.Millisecond
	// stallThreshold is how long after the last beat the process counts as stalled. Shorter pauses are part of ordinary
	// scheduling, and well within the slack that deadlines have.
	stallThreshold = 60 * time.Millisecond
	// settleTime is how long after a stall readers are given to take what arrived meanwhile, before anything is done
	// that it might forbid.
	settleTime = 8 * time.Millisecond
	// immediateReturn is how soon a blocking call returns that did not have to wait.
	immediateReturn = time.Millisecond
)

// Watch detects stalls of the process. The zero Watch never beats and so never shows any; all methods that ask work on
// nil.
type Watch struct {
	start time.Time
	// Nanoseconds since the start.
	lastBeat   atomic.Int64
	stallFrom  atomic.Int64 // of the last stall: the last beat before it
	stallUntil atomic.Int64 // the first beat after it; 0: there was none
}

// New returns a watch whose first beat is now.
func New() *Watch { return &Watch{start: time.Now()} }

// Run beats until the context ends, and reports each stall once it is over.
func (w *Watch) Run(ctx context.Context, report func(lasted time.Duration)) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if lasted := w.Beat(time.Now()); lasted > 0 && report != nil {
				report(lasted)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Beat notes that the process runs, and returns how long it stood still before, if it did.
func (w *Watch) Beat(now time.Time) (lasted time.Duration) {
	beat := int64(now.Sub(w.start))
	last := w.lastBeat.Swap(beat)
	if lasted = time.Duration(beat - last); lasted <= stallThreshold {
		return 0
	}
	w.stallFrom.Store(last)
	w.stallUntil.Store(beat)
	return lasted
}

// stall is a time in which the process stood still.
type stall struct{ from, until time.Time }

// lastStall is the stall that is not over, or over for less than a span.
func (w *Watch) lastStall(now time.Time, within time.Duration) (last stall, found bool) {
	if w == nil || w.start.IsZero() {
		return stall{}, false
	}
	at := int64(now.Sub(w.start))
	if beat := w.lastBeat.Load(); at-beat > int64(stallThreshold) {
		return stall{from: w.time(beat), until: now}, true
	}
	if until := w.stallUntil.Load(); until > 0 && at-until < int64(within) {
		return stall{from: w.time(w.stallFrom.Load()), until: w.time(until)}, true
	}
	return stall{}, false
}

func (w *Watch) time(sinceStart int64) time.Time { return w.start.Add(time.Duration(sinceStart)) }

// EarliestArrival is the earliest time at which something may have arrived that a blocking call returned now. The call
// was made at callStart; the queue that it reads was last known to be empty at emptyAt, before that.
func (w *Watch) EarliestArrival(emptyAt, callStart, now time.Time) time.Time {
	earliest := now
	if now.Sub(callStart) < immediateReturn {
		earliest = emptyAt // it was in the queue already when the call began
	} else if last, found := w.lastStall(now, stallThreshold); found && last.from.Before(earliest) {
		earliest = last.from
	}
	if earliest.Before(emptyAt) {
		earliest = emptyAt
	}
	return earliest
}

// EarliestQueuedArrival is the earliest time at which something may have arrived that waited in a queue of the system
// behind others, and is taken now: now, or the beginning of a stall that has just ended.
func (w *Watch) EarliestQueuedArrival(now time.Time) time.Time {
	if last, found := w.lastStall(now, stallThreshold); found {
		return last.from
	}
	return now
}

// StalledSince reports whether the process stood still at any time since a moment.
func (w *Watch) StalledSince(moment, now time.Time) bool {
	last, found := w.lastStall(now, now.Sub(moment))
	return found && last.until.After(moment)
}

// Settle waits, just after a stall, until readers had the time to take what arrived meanwhile: a cancellation, the end
// of a connection, a response. It returns at once otherwise, and reports whether it waited.
func (w *Watch) Settle() (waited bool) {
	now := time.Now()
	last, found := w.lastStall(now, settleTime)
	if !found {
		return false
	}
	time.Sleep(settleTime - now.Sub(last.until))
	return true
}
