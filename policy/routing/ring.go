package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// pointsPerEndpoint a member evens the arcs to some six in a hundred. maxPreviousRings are kept for the relay: a deploy
// changes the list every few seconds.
const pointsPerEndpoint, maxPreviousRings = 200, 3

// ring is a consistent-hash ring; previousRing one that was replaced.
type ring struct {
	points  []ringPoint
	members []int32
}

type ringPoint struct {
	position uint64
	endpoint int32
}

type previousRing struct {
	ring       ring
	replacedAt time.Duration
}

func (r *Router) newRing(members []int32) ring {
	g, total := ring{members: members}, 0.0
	for _, n := range members {
		total += r.endpoints[n].weight
	}
	for _, n := range members {
		count := pointsPerEndpoint
		if total > 0 {
			count = max(1, int(math.Round(pointsPerEndpoint*r.endpoints[n].weight/total*float64(len(members)))))
		}
		h := mix(uint64(r.endpoints[n].id))
		for range count {
			h = mix(h + 0x9e3779b97f4a7c15)
			g.points = append(g.points, ringPoint{h, n})
		}
	}
	slices.SortFunc(g.points, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.endpoint, b.endpoint))
	})
	return g
}

// walk visits the members in ring order from the hash on, and returns the first that will do.
func (r *Router) walk(g *ring, hash uint64, does func(int32) bool) int32 {
	from, _ := slices.BinarySearchFunc(g.points, hash, func(p ringPoint, h uint64) int {
		return cmp.Compare(p.position, h)
	})
	r.visits++
	walk := r.visits
	for i, left := 0, len(g.members); left > 0 && i < len(g.points); i++ {
		n := g.points[(from+i)%len(g.points)].endpoint
		if r.endpoints[n].visit == walk {
			continue
		}
		r.endpoints[n].visit = walk
		left--
		if does(n) {
			return n
		}
	}
	return noEndpoint
}

// rebuildRings makes the rings anew and keeps the last ones for the relay.
func (r *Router) rebuildRings() {
	var caches, parents []int32
	for i := range r.endpoints {
		switch d := &r.endpoints[i]; {
		case d.state != Ready:
		case d.role == roleCache:
			caches = append(caches, int32(i))
		case d.role == roleParent:
			parents = append(parents, int32(i))
		}
	}
	if len(r.caches.members) > 0 && !slices.Equal(caches, r.caches.members) {
		if len(r.previousRings) == maxPreviousRings {
			r.previousRings = slices.Delete(r.previousRings, 0, 1)
		}
		r.previousRings = append(r.previousRings, previousRing{r.caches, r.now})
	}
	r.caches, r.parents = r.newRing(caches), r.newRing(parents)
	r.origins.share = r.originLimiterShare()
}
