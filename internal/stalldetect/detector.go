// Package stalldetect detects stalls of the whole process, caused for example by a stop signal or a lack of CPU time.
// Data that arrives during a stall waits in kernel buffers and is therefore older than the time at which it is read. A
// Detector runs a heartbeat at short intervals, and a late beat reveals a stall. Readers ask the Detector how early the
// data that they have just read may have arrived.
//
// All durations are measured on the monotonic clock, so a step of the wall clock is not a stall.
package stalldetect

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// beatInterval is the time between two beats, a fraction of stallThreshold so that a normal beat is never late.
	beatInterval = 20 * time.Millisecond
	// stallThreshold is the time after the last beat from which the process counts as stalled. Shorter pauses are normal
	// scheduling delays and well within the tolerance of deadlines.
	stallThreshold = 60 * time.Millisecond
	// settleTime is how long after a stall readers have to read what arrived during it, before the process does
	// anything that this input might forbid.
	settleTime = 8 * time.Millisecond
	// immediateReturnWithin is the time within which a blocking call returns if it did not have to wait.
	immediateReturnWithin = time.Millisecond
)

// Detector detects stalls of the process by a heartbeat. A zero or nil Detector has no heartbeat and reports no stalls;
// Run and Beat need a Detector from New.
type Detector struct {
	start time.Time
	// Times in nanoseconds since start.
	lastBeat   atomic.Int64
	stallFrom  atomic.Int64 // last beat before the last stall
	stallUntil atomic.Int64 // first beat after the last stall; 0 if there was none
}

// New returns a Detector whose first beat is now.
func New() *Detector { return &Detector{start: time.Now()} }

// Run runs the heartbeat until the context ends. After each stall, Run calls report with the duration of the stall,
// unless report is nil.
func (d *Detector) Run(ctx context.Context, report func(duration time.Duration)) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if duration := d.Beat(time.Now()); duration > 0 && report != nil {
				report(duration)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Beat records that the process is running. Beat returns the duration of the stall that has just ended, or 0 if there
// was none.
func (d *Detector) Beat(now time.Time) (duration time.Duration) {
	beat := int64(now.Sub(d.start))
	last := d.lastBeat.Swap(beat)
	if duration = time.Duration(beat - last); duration <= stallThreshold {
		return 0
	}
	d.stallFrom.Store(d.stallStart(last))
	d.stallUntil.Store(beat)
	return duration
}

// stallStart returns the start of a stall that follows the given beat. If another stall ended just before the beat,
// both count as one, because input that arrived during the first may not have been read yet.
func (d *Detector) stallStart(lastBeat int64) int64 {
	if until := d.stallUntil.Load(); until > 0 && lastBeat-until < int64(stallThreshold) {
		return d.stallFrom.Load()
	}
	return lastBeat
}

// stall is a period in which the process did not run.
type stall struct{ from, until time.Time }

// lastStall returns the stall that is going on, or the last stall if less than the duration within has passed since.
func (d *Detector) lastStall(now time.Time, within time.Duration) (last stall, found bool) {
	if d == nil || d.start.IsZero() {
		return stall{}, false
	}
	sinceStart := int64(now.Sub(d.start))
	if beat := d.lastBeat.Load(); sinceStart-beat > int64(stallThreshold) {
		return stall{from: d.time(d.stallStart(beat)), until: now}, true
	}
	if until := d.stallUntil.Load(); until > 0 && sinceStart-until < int64(within) {
		return stall{from: d.time(d.stallFrom.Load()), until: d.time(until)}, true
	}
	return stall{}, false
}

// time converts nanoseconds since start into a time.
func (d *Detector) time(sinceStart int64) time.Time { return d.start.Add(time.Duration(sinceStart)) }

// EarliestArrival returns the earliest time at which the data that a blocking call has just returned may have arrived.
// The call was made at callStart. The queue that it reads was last known to be empty at emptyAt, before callStart.
func (d *Detector) EarliestArrival(emptyAt, callStart, now time.Time) time.Time {
	earliest := now
	if now.Sub(callStart) < immediateReturnWithin {
		earliest = emptyAt // the data was in the queue before the call began
	} else if last, found := d.lastStall(now, stallThreshold); found && last.from.Before(earliest) {
		earliest = last.from
	}
	if earliest.Before(emptyAt) {
		earliest = emptyAt
	}
	return earliest
}

// EarliestQueuedArrival returns the earliest time at which an item may have arrived that has waited behind others in a
// kernel queue and is taken now: the start of a stall that goes on or has just ended, or else now.
func (d *Detector) EarliestQueuedArrival(now time.Time) time.Time {
	if last, found := d.lastStall(now, stallThreshold); found {
		return last.from
	}
	return now
}

// StalledSince reports whether the process stalled at any time between a moment and now.
func (d *Detector) StalledSince(moment, now time.Time) bool {
	last, found := d.lastStall(now, now.Sub(moment))
	return found && last.until.After(moment)
}

// Settle waits just after a stall until readers have had time to read what arrived during the stall, such as a
// cancellation, the end of a connection or a response. At any other time Settle returns at once. Settle reports whether
// it waited.
func (d *Detector) Settle() (waited bool) {
	now := time.Now()
	last, found := d.lastStall(now, settleTime)
	if !found {
		return false
	}
	time.Sleep(settleTime - now.Sub(last.until))
	return true
}
