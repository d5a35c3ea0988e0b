package sharedstore

import (
	"slices"
	"time"

	"fennelarch/policy/routing"
)

const (
	// maxInvalidations bounds the log: a purge a second for over an hour. What falls out shortens its range.
	maxInvalidations = 4096
	// maxClockSkew is how far the clocks of routers, origin and purger may be apart.
	maxClockSkew Timestamp = 500
)

// Invalidation is one purge: of an object, or of a group where the object is 0.
type Invalidation struct {
	Object   routing.ObjectID
	Group    routing.GroupID
	IssuedAt Timestamp
}

// invalidationLog is what this router knows of purges: all that were issued in a range of time.
type invalidationLog struct {
	completeFrom Timestamp // every purge issued from here on
	completeTo   Timestamp // to here is known
	maxTTL       time.Duration
	byObject     map[routing.ObjectID]Timestamp // the latest of each
	byGroup      map[routing.GroupID]Timestamp
	entries      []Invalidation // in the order in which they were recorded
	dropped      int            // entries that have fallen out: the position of an entry is its index plus this
	maxGap       Timestamp      // ranges that lie so far apart are taken for contiguous; only tests change it
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

// latest is the latest purge of an object or its group.
func (l *invalidationLog) latest(object routing.ObjectID, group routing.GroupID) Timestamp {
	return max(l.byObject[object], l.byGroup[group])
}

// isNewer says whether a copy is newer than every purge that is known.
func (l *invalidationLog) isNewer(object routing.ObjectID, group routing.GroupID, generatedAt Timestamp) bool {
	return generatedAt > l.latest(object, group)
}

// proves says whether a copy is newer than every purge that there was: this router must know all purges since the time
// before which none can have been missed by the copy.
func (l *invalidationLog) proves(
	object routing.ObjectID, group routing.GroupID, generatedAt, validFrom Timestamp,
) bool {
	return max(generatedAt, validFrom) >= l.completeFrom+maxClockSkew && l.isNewer(object, group, generatedAt)
}

// adjoins says whether the range joins one that ends at a time without a gap.
func (l *invalidationLog) adjoins(end Timestamp) bool { return l.completeFrom <= end+l.maxGap }

// end is the position after the last entry.
func (l *invalidationLog) end() int { return l.dropped + len(l.entries) }

// since returns the entries from a position on, and the position of the first of them.
func (l *invalidationLog) since(position int) (entries []Invalidation, first int) {
	first = max(position, l.dropped)
	return l.entries[first-l.dropped:], first
}

// add records a purge, and says whether it is news.
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

// drop forgets the first entries.
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

// expire forgets purges that are older than any copy can be. They no longer matter, so the range stays.
func (l *invalidationLog) expire(now Timestamp) {
	count := 0
	for count < len(l.entries) && l.entries[count].IssuedAt < l.horizon(now) {
		count++
	}
	if count > 0 {
		l.drop(count)
	}
}

// horizon is the time before which no copy that is still in a store can have been generated.
func (l *invalidationLog) horizon(now Timestamp) Timestamp {
	return now - Timestamp(l.maxTTL/ms) - 2*maxClockSkew - Timestamp(takeoverDelay/ms)
}

// restart begins a new range: what lies before is unknown from now on.
func (l *invalidationLog) restart(at Timestamp) {
	l.completeFrom = at
	l.completeTo = max(l.completeTo, at)
}
