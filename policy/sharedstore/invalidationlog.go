package sharedstore

import (
	"slices"
	"time"

	"fennelarch/policy/routing"
)

const (
	// maxInvalidations limits the entries of the log to a purge a second for over an hour. Each entry that is dropped
	// shortens the log's range, so with a lower limit fewer stored copies are proved.
	maxInvalidations = 4096
	// maxClockSkew is the largest difference in milliseconds between the clocks of routers, origin and purger. With a
	// larger difference, a copy could be served whose purge this router has missed.
	maxClockSkew Timestamp = 500
)

// Invalidation is one purge, of an object or, if Object is 0, of a group.
type Invalidation struct {
	Object   routing.ObjectID
	Group    routing.GroupID
	IssuedAt Timestamp
}

// invalidationLog holds the purges that this router knows: all those that were issued in a range of time.
type invalidationLog struct {
	completeFrom Timestamp // start of the range in which every purge is known
	completeTo   Timestamp // end of that range
	maxTTL       time.Duration
	byObject     map[routing.ObjectID]Timestamp // time of the latest purge of each object
	byGroup      map[routing.GroupID]Timestamp
	entries      []Invalidation // in the order of recording
	dropped      int            // number of entries dropped; the position of an entry is its index plus dropped
	maxGap       Timestamp      // ranges at most this far apart count as contiguous; 0 except in tests
}

func newInvalidationLog(start Timestamp, maxTTL time.Duration) invalidationLog {
	return invalidationLog{
		completeFrom: start,
		completeTo:   start,
		maxTTL:       maxTTL,
		byObject:     map[routing.ObjectID]Timestamp{},
		byGroup:      map[routing.GroupID]Timestamp{},
	}
}

// latest returns the time of the latest purge of an object or its group.
func (l *invalidationLog) latest(object routing.ObjectID, group routing.GroupID) Timestamp {
	return max(l.byObject[object], l.byGroup[group])
}

// isNewer reports whether a copy is newer than every known purge of it.
func (l *invalidationLog) isNewer(object routing.ObjectID, group routing.GroupID, generatedAt Timestamp) bool {
	return generatedAt > l.latest(object, group)
}

// provesCurrent reports whether a copy is certainly newer than every purge of it. For this, the router must know all
// purges that the copy might not reflect.
func (l *invalidationLog) provesCurrent(
	object routing.ObjectID, group routing.GroupID, generatedAt, validFrom Timestamp,
) bool {
	return max(generatedAt, validFrom) >= l.completeFrom+maxClockSkew && l.isNewer(object, group, generatedAt)
}

// adjoins reports whether there is no gap between a range that ends at the given time and the log's range.
func (l *invalidationLog) adjoins(end Timestamp) bool { return l.completeFrom <= end+l.maxGap }

// end returns the position after the last entry.
func (l *invalidationLog) end() int { return l.dropped + len(l.entries) }

// since returns the entries from a position on, and the position of the first entry returned.
func (l *invalidationLog) since(position int) (entries []Invalidation, first int) {
	first = max(position, l.dropped)
	return l.entries[first-l.dropped:], first
}

// add records a purge, and reports whether the purge is new to this router.
func (l *invalidationLog) add(entry Invalidation) bool {
	if entry.Object != 0 {
		if l.byObject[entry.Object] >= entry.IssuedAt {
			return false
		}
		l.byObject[entry.Object] = entry.IssuedAt
	} else {
		if l.byGroup[entry.Group] >= entry.IssuedAt {
			return false
		}
		l.byGroup[entry.Group] = entry.IssuedAt
	}
	l.entries = append(l.entries, entry)
	if excess := len(l.entries) - maxInvalidations; excess > 0 {
		for _, old := range l.entries[:excess] {
			l.completeFrom = max(l.completeFrom, old.IssuedAt+1)
		}
		l.drop(excess)
	}
	return true
}

// drop removes the first count entries.
func (l *invalidationLog) drop(count int) {
	for _, entry := range l.entries[:count] {
		switch {
		case entry.Object != 0 && l.byObject[entry.Object] == entry.IssuedAt:
			delete(l.byObject, entry.Object)
		case entry.Object == 0 && l.byGroup[entry.Group] == entry.IssuedAt:
			delete(l.byGroup, entry.Group)
		}
	}
	l.entries = slices.Delete(l.entries, 0, count)
	l.dropped += count
}

// expire drops purges that are older than any copy can be. They no longer matter, so the range stays the same.
func (l *invalidationLog) expire(now Timestamp) {
	count := 0
	for count < len(l.entries) && l.entries[count].IssuedAt < l.horizon(now) {
		count++
	}
	if count > 0 {
		l.drop(count)
	}
}

// horizon returns the time before which no copy that is still in a store can have been generated.
func (l *invalidationLog) horizon(now Timestamp) Timestamp {
	return now - Timestamp(l.maxTTL/ms) - 2*maxClockSkew - Timestamp(takeoverDelay/ms)
}

// restart begins a new range at the given time. Purges from before count as unknown from now on.
func (l *invalidationLog) restart(at Timestamp) {
	l.completeFrom = at
	l.completeTo = max(l.completeTo, at)
}
