package engine

// This file owns the copies that the router keeps in its own memory: what passed through it, the least lately used
// dropped first, and the link by which they reach clients. It plays a node that holds what it holds; when it is asked,
// and what it keeps, the router says. It must never hold more than its bound, or give out a copy that was purged.

import (
	"container/list"
	"slices"
	"time"

	"fennelarch/policy/routing"
)

// LocalCacheSettings is what the router may use for copies of its own.
type LocalCacheSettings struct {
	Bytes              int           // for all copies
	FlowBytesPerSecond float64       // bytes a second of one transfer
	LinkBytesPerSecond float64       // and of all together
	MaxInFlight        time.Duration // an answer older than this is no longer on its way
}

// Capacity is how many transfers fit on the link, 0 where no copies can be kept.
func (o LocalCacheSettings) Capacity() float64 {
	if o.Bytes <= 0 || o.FlowBytesPerSecond <= 0 {
		return 0
	}
	return o.LinkBytesPerSecond / o.FlowBytesPerSecond
}

// overhead is what a copy takes beside its bytes, as measured: two map entries and a list's element.
const overhead = 256

type copyKey struct {
	object routing.ObjectID
	part   int
}

type ownCopy struct {
	key   copyKey
	group routing.GroupID
	body  []byte
	sum   string
	born  time.Time     // as stamped
	since time.Duration // when it can be born at the earliest
}

type toldPurge struct {
	Purge
	told  time.Duration
	until time.Duration // whatever is born by then is hit
}

type copies struct {
	own    LocalCacheSettings
	held   int
	byKey  map[copyKey]*list.Element
	used   list.List       // the most lately used in front
	purges []toldPurge     // lately
	free   []time.Duration // by place on the link: when its last transfer ends
}

func newCopies(o LocalCacheSettings) *copies {
	return &copies{own: o, byKey: map[copyKey]*list.Element{}, free: make([]time.Duration, max(1, int(o.Capacity())))}
}

// keep takes a copy that was born at some time since a moment, unless it may be older than a purge.
func (c *copies) keep(a *Request, end *AttemptResult, now, since time.Duration) {
	n := ownCopy{key: copyKey{a.Object, a.Part}, group: a.Group, body: end.Body, sum: end.ETag, born: end.GeneratedAt, since: since}
	c.purges = slices.DeleteFunc(c.purges, func(p toldPurge) bool { return now-p.told > c.own.MaxInFlight })
	size := len(n.body) + overhead
	if len(n.body) == 0 || end.GeneratedAt.IsZero() || size > c.own.Bytes ||
		c.hitByPurge(&n) {
		return
	}
	c.drop(c.byKey[n.key])
	for c.held+size > c.own.Bytes {
		c.drop(c.used.Back())
	}
	c.held += size
	c.byKey[n.key] = c.used.PushFront(&n)
}

func (c *copies) drop(e *list.Element) {
	if e != nil {
		o := c.used.Remove(e).(*ownCopy)
		c.held -= len(o.body) + overhead
		delete(c.byKey, o.key)
	}
}

// purged says whether the copy may be older than a purge of it, by its stamp or by the time that has passed.
func (o *ownCopy) purged(p *toldPurge) bool {
	return (p.Object == o.key.object || p.Object == 0 && p.Group == o.group) && (!o.born.After(p.Issued) || o.since <= p.until)
}

// hitByPurge says whether the copy may be older than a purge that was told lately.
func (c *copies) hitByPurge(o *ownCopy) bool {
	return slices.ContainsFunc(c.purges, func(p toldPurge) bool { return o.purged(&p) })
}

// purge drops what may have been born by the time of a purge that is told now.
func (c *copies) purge(p Purge, now, until time.Duration) {
	told := toldPurge{p, now, until}
	c.purges = append(c.purges, told)
	for e := c.used.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*ownCopy).purged(&told) {
			c.drop(e)
		}
		e = next
	}
}

// find returns a copy no older than so, 0 for any age.
func (c *copies) find(a *Request, oldest, now time.Duration) *ownCopy {
	e := c.byKey[copyKey{a.Object, a.Part}]
	if e == nil {
		return nil
	}
	o := e.Value.(*ownCopy)
	if oldest > 0 && now-o.since > oldest {
		return nil
	}
	c.used.MoveToFront(e)
	return o
}

// send puts bytes on the link and returns when they are through.
func (c *copies) send(now time.Duration, bytes int) time.Duration {
	i := slices.Index(c.free, slices.Min(c.free))
	c.free[i] = max(now, c.free[i]) + time.Duration(float64(bytes)/c.own.FlowBytesPerSecond*float64(time.Second))
	return c.free[i]
}
