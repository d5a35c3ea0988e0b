// Package stall notices that the process stood still: it was stopped, starved of processor time, or held up as a whole.
// Whatever arrived meanwhile lay in buffers of the system, and is older than the moment at which it is read. A watch
// beats at short intervals; a beat that comes late shows the stall, and readers ask the watch how old what they have
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
	// beatEvery is the distance of two beats: a fraction of the shortest stall that matters.
	beatEvery = 20 * time.Millisecond
	// lateAfter is how long after the last beat the process counts as stalled. Shorter pauses are part of ordinary
	// scheduling, and well within the slack that deadlines have.
	lateAfter = 60 * time.Millisecond
	// settleFor is how long after a stall the readers are given to take what arrived meanwhile, before anything is
	// done that it might forbid.
	settleFor = 8 * time.Millisecond
	// promptly is how soon a blocking call returns that did not have to wait.
	promptly = time.Millisecond
)

// Watch notices stalls of the process. The zero Watch never beats and so never shows any; all methods also do on nil.
type Watch struct {
	start time.Time
	beat  atomic.Int64 // the last beat, in nanoseconds since start
	from  atomic.Int64 // the last stall: the last beat before it
	until atomic.Int64 // and the first after it; 0: there was none
}

// New returns a watch whose first beat is now.
func New() *Watch { return &Watch{start: time.Now()} }

// Run beats until the context ends, and tells of each stall once it is over.
func (w *Watch) Run(ctx context.Context, stalled func(lasted time.Duration)) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if lasted := w.Beat(time.Now()); lasted > 0 && stalled != nil {
				stalled(lasted)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Beat says that the process runs, and returns how long it stood still before, if it did.
func (w *Watch) Beat(now time.Time) (lasted time.Duration) {
	at := int64(now.Sub(w.start))
	last := w.beat.Swap(at)
	if lasted = time.Duration(at - last); lasted <= lateAfter {
		return 0
	}
	w.from.Store(last)
	w.until.Store(at)
	return lasted
}

// last is the stall that is not over, or over for less than a span: its first and last moments.
func (w *Watch) last(now time.Time, within time.Duration) (from, until time.Time, stalled bool) {
	if w == nil || w.start.IsZero() {
		return from, until, false
	}
	at := int64(now.Sub(w.start))
	if beat := w.beat.Load(); at-beat > int64(lateAfter) {
		return w.start.Add(time.Duration(beat)), now, true
	}
	if end := w.until.Load(); end > 0 && at-end < int64(within) {
		return w.start.Add(time.Duration(w.from.Load())), w.start.Add(time.Duration(end)), true
	}
	return from, until, false
}

// Earliest is when something may have arrived that a blocking call returned now, and that was begun at a moment. The
// queue that it was taken from was last known to be empty at another, before that.
func (w *Watch) Earliest(empty, begun, now time.Time) time.Time {
	at := now
	if now.Sub(begun) < promptly {
		at = empty // it lay there already when the call began
	} else if from, _, stalled := w.last(now, lateAfter); stalled && from.Before(at) {
		at = from
	}
	if at.Before(empty) {
		at = empty
	}
	return at
}

// Arrived is when something may have arrived that waited in a queue of the system with others before it, and is taken now: now, or
// the beginning of a stall that has just ended.
func (w *Watch) Arrived(now time.Time) time.Time {
	if from, _, stalled := w.last(now, lateAfter); stalled {
		return from
	}
	return now
}

// Since says whether the process stood still at any time since a moment.
func (w *Watch) Since(moment, now time.Time) bool {
	_, until, stalled := w.last(now, now.Sub(moment))
	return stalled && until.After(moment)
}

// Settle waits, just after a stall, until readers had the time to take what arrived meanwhile: a cancel, the end of a
// connection, an answer. It returns at once otherwise, and says whether it waited.
func (w *Watch) Settle() bool {
	now := time.Now()
	_, until, stalled := w.last(now, settleFor)
	if !stalled {
		return false
	}
	time.Sleep(settleFor - now.Sub(until))
	return true
}
