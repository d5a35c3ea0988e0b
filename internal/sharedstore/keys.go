package sharedstore

import (
	"strconv"

	"fennelarch/policy/routing"

	policy "fennelarch/policy/sharedstore"
)

// copyKey identifies a copy by its object and part.
type copyKey struct {
	object routing.ObjectID
	part   int
}

// keys builds the keys of one store, which are the same in all routers and releases: "v:" and "l:" with the object and
// the part for values and leases, "purges" for the invalidation log.
type keys struct{ prefix string }

func (k *keys) value(key copyKey) []byte { return k.of("v:", key) }
func (k *keys) lease(key copyKey) []byte { return k.of("l:", key) }
func (k *keys) invalidationLog() []byte  { return []byte(k.prefix + "purges") }

func (k *keys) of(kind string, key copyKey) []byte {
	name := append([]byte(k.prefix), kind...)
	name = strconv.AppendUint(name, uint64(key.object), 16)
	name = append(name, ':')
	return strconv.AppendInt(name, int64(key.part), 10)
}

// The invalidation log is a sorted set. It has a member for each purge, whose score is the time of the purge, and one
// member each for the start and the end of the range of time in which the log is complete.
const (
	memberCompleteFrom = "floor"
	memberCompleteTo   = "seen"
	memberObjectPrefix = 'o' // "o:" and the object, hexadecimal
	memberGroupPrefix  = 'g' // "g:" and the group, decimal
)

// appendMember appends the log member for a purge.
func appendMember(name []byte, entry policy.Invalidation) []byte {
	if entry.Object != 0 {
		return strconv.AppendUint(append(name, memberObjectPrefix, ':'), uint64(entry.Object), 16)
	}
	return strconv.AppendUint(append(name, memberGroupPrefix, ':'), uint64(entry.Group), 10)
}

// parseMember parses a log member and its score. The result is not ok if the member is not a purge.
func parseMember(name, score []byte) (entry policy.Invalidation, ok bool) {
	issuedAt, err := strconv.ParseFloat(string(score), 64)
	if err != nil || len(name) < 3 || name[1] != ':' {
		return entry, false
	}
	entry.IssuedAt = policy.Timestamp(issuedAt)
	switch id := string(name[2:]); name[0] {
	case memberObjectPrefix:
		object, err := strconv.ParseUint(id, 16, 64)
		entry.Object = routing.ObjectID(object)
		return entry, err == nil && object != 0
	case memberGroupPrefix:
		group, err := strconv.ParseUint(id, 10, 32)
		entry.Group = routing.GroupID(group)
		return entry, err == nil
	}
	return entry, false
}

// parseTimestamp parses a score; a missing score is 0.
func parseTimestamp(score []byte) policy.Timestamp {
	milliseconds, _ := strconv.ParseFloat(string(score), 64)
	return policy.Timestamp(milliseconds)
}
