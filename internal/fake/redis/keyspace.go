package redis

import (
	"container/list"
	"maps"
	"sort"
	"time"
)

// value is a plain value, as opposed to a sorted set.
type value struct {
	key       string
	data      []byte
	expiresAt time.Time     // zero: never
	recency   *list.Element // in keyspace.recency
}

// keyspace holds the plain values of a store and evicts the least recently used.
type keyspace struct {
	byKey    map[string]*value
	recency  *list.List // keys, the most recently used first
	bytes    int
	maxBytes int // 0: no limit
}

// get returns the value of a key, or nil if there is none or it has expired.
func (k *keyspace) get(key string, now time.Time) *value {
	found := k.byKey[key]
	if found != nil && !found.expiresAt.IsZero() && !now.Before(found.expiresAt) {
		k.remove(key)
		return nil
	}
	return found
}

// use marks a value as the most recently used.
func (k *keyspace) use(v *value) { k.recency.MoveToFront(v.recency) }

// put stores a value and returns the number of other values evicted for it.
func (k *keyspace) put(key string, data []byte, expiresAt time.Time) (evicted int) {
	k.remove(key)
	k.byKey[key] = &value{
		key:       key,
		data:      append([]byte(nil), data...),
		expiresAt: expiresAt,
		recency:   k.recency.PushFront(key),
	}
	k.bytes += len(key) + len(data)
	for k.maxBytes > 0 && k.bytes > k.maxBytes && k.recency.Len() > 1 {
		k.remove(k.recency.Back().Value.(string))
		evicted++
	}
	return evicted
}

func (k *keyspace) remove(key string) {
	if found := k.byKey[key]; found != nil {
		k.recency.Remove(found.recency)
		k.bytes -= len(key) + len(found.data)
		delete(k.byKey, key)
	}
}

// all returns the values, the least recently used first, so that putting them in this order restores their recency.
func (k *keyspace) all() []value {
	values := make([]value, 0, len(k.byKey))
	for element := k.recency.Back(); element != nil; element = element.Prev() {
		values = append(values, *k.byKey[element.Value.(string)])
	}
	return values
}

// sortedSet maps members to scores.
type sortedSet map[string]float64

func cloneSets(sets map[string]sortedSet) map[string]sortedSet {
	cloned := make(map[string]sortedSet, len(sets))
	for key, set := range sets {
		cloned[key] = maps.Clone(set)
	}
	return cloned
}

// scoreBound is one end of a range of scores.
type scoreBound struct {
	score       float64
	isExclusive bool
}

// scoredMember is a member of a sorted set.
type scoredMember struct {
	name  string
	score float64
}

// between returns the members with scores between two bounds, ordered by score and then by name.
func (set sortedSet) between(low, high scoreBound) (members []scoredMember) {
	for name, score := range set {
		if score < low.score || score > high.score {
			continue
		}
		if low.isExclusive && score == low.score || high.isExclusive && score == high.score {
			continue
		}
		members = append(members, scoredMember{name: name, score: score})
	}
	sort.Slice(members, func(i, j int) bool {
		if members[i].score != members[j].score {
			return members[i].score < members[j].score
		}
		return members[i].name < members[j].name
	})
	return members
}
