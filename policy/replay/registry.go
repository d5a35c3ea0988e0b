// Package replay decides whether a request may be taken whose id is in use or was used before. A client chooses an id
// for each request, and servers run what they are sent: a request that must not run twice is refused while an earlier
// one with its id is open or may have run, also if the client of that one has left. The package does no I/O and reads
// no clock.
package replay

import "time"

// rememberFor is how long an id is remembered whose request may have run.
const rememberFor = 10 * time.Minute

// Use is what a request uses an id for.
type Use struct {
	ID            uint64
	Object        uint64
	Part          int
	MayRunRepeats bool // the request may run any number of times
}

// record is what is known about an id.
type record struct {
	object       uint64
	part         int
	waiting      int  // requests with the id whose clients wait for the answer
	isRunOnce    bool // the request with the id must not run twice
	isUnfinished bool // isRunOnce, and attempts of the request may go on
	ranAt        time.Duration
	hasRun       bool // isRunOnce, and the request may have run
}

func (r *record) isUnused() bool { return r.waiting == 0 && !r.isUnfinished && !r.hasRun }

// ranID is an id whose request may have run, since a time.
type ranID struct {
	id    uint64
	ranAt time.Duration
}

// Registry holds the ids in use, and the latest of those whose requests may have run.
type Registry struct {
	maxRemembered int
	records       map[uint64]record
	ran           []ranID // oldest first
}

// New returns a registry that remembers up to maxRemembered ids whose requests may have run.
func New(maxRemembered int) Registry {
	return Registry{maxRemembered: max(1, maxRemembered), records: map[uint64]record{}}
}

// InUse returns the number of ids of requests that are open or of which attempts may go on.
func (r *Registry) InUse() (count int) {
	for _, known := range r.records {
		if known.waiting > 0 || known.isUnfinished {
			count++
		}
	}
	return count
}

// Open takes a request and reports whether it may be taken. If so, Answered and Finished must each be called once.
func (r *Registry) Open(use Use, now time.Duration) bool {
	r.forget(now)
	known, isUsed := r.records[use.ID]
	switch {
	case !isUsed:
	case known.isRunOnce || !use.MayRunRepeats:
		return false
	case known.object != use.Object || known.part != use.Part:
		return false
	}
	known.object, known.part = use.Object, use.Part
	known.waiting++
	known.isRunOnce = !use.MayRunRepeats
	known.isUnfinished = known.isRunOnce
	r.records[use.ID] = known
	return true
}

// Answered records that the client of a request has its answer, or has left.
func (r *Registry) Answered(use Use) {
	if known, isUsed := r.records[use.ID]; isUsed && known.waiting > 0 {
		known.waiting--
		r.store(use.ID, known)
	}
}

// Finished records that no attempt of a request goes on, and whether one may have run.
func (r *Registry) Finished(use Use, mayHaveRun bool, now time.Duration) {
	if use.MayRunRepeats {
		return
	}
	known := r.records[use.ID]
	known.isUnfinished = false
	if mayHaveRun {
		known.hasRun, known.ranAt = true, now
		r.ran = append(r.ran, ranID{use.ID, now})
	}
	r.store(use.ID, known)
	r.forget(now)
}

func (r *Registry) store(id uint64, known record) {
	if known.isUnused() {
		delete(r.records, id)
	} else {
		r.records[id] = known
	}
}

// forget forgets the oldest ids whose requests may have run.
func (r *Registry) forget(now time.Duration) {
	for len(r.ran) > 0 && (len(r.ran) > r.maxRemembered || now-r.ran[0].ranAt > rememberFor) {
		oldest := r.ran[0]
		r.ran = r.ran[1:]
		if known := r.records[oldest.id]; known.hasRun && known.ranAt == oldest.ranAt {
			known.hasRun = false
			r.store(oldest.id, known)
		}
	}
}
