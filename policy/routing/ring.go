package routing

import (
	"cmp"
	"math"
	"slices"
)

// pointsPerEndpoint is the mean number of points of a member. With 200 points, members of equal weight differ in their
// arcs by some six percent.
const pointsPerEndpoint = 200

// goldenGamma is the increment of splitmix64. Multiples of it separate inputs that differ little.
const goldenGamma = 0x9e3779b97f4a7c15

// ring is a consistent-hash ring. A member owns the arcs that end at its points and has points in proportion to its
// weight. The points depend only on ids and weights, so that all routers build the same ring.
type ring struct {
	points  []ringPoint
	members []endpointIndex
	built   []ringMember // from which the ring was built

	lastVisit []int // for each member, the number of the last walk that visited it
	walks     int   // number of walks so far
}

// ringMember is an endpoint from which a ring is built.
type ringMember struct {
	index  endpointIndex
	id     EndpointID
	weight float64
}

// ringPoint is the end of an arc; member is an index into ring.members. The points of a member are numbered from 0.
type ringPoint struct {
	position uint64
	member   int32
	number   int32
}

// newRing returns a ring of the members.
func newRing(members []ringMember) ring {
	var empty ring
	return empty.rebuilt(members)
}

// hasMembers reports whether the ring was built from the members.
func (g *ring) hasMembers(members []ringMember) bool { return slices.Equal(g.built, members) }

// rebuilt returns the ring of other members. It sorts only the points that this ring lacks: a list of many endpoints
// changes often, and each time by a few.
func (g *ring) rebuilt(members []ringMember) ring {
	counts := pointCounts(members)
	next := ring{built: members, lastVisit: make([]int, len(members))}
	newNumbers, total := make(map[EndpointID]int32, len(members)), 0
	for i, member := range members {
		next.members = append(next.members, member.index)
		newNumbers[member.id] = int32(i)
		total += counts[i]
	}
	has := make([]int, len(members)) // how many points of each member this ring has
	moved := make([]int32, len(g.built))
	for i, count := range pointCounts(g.built) {
		moved[i] = -1
		if number, isMember := newNumbers[g.built[i].id]; isMember {
			moved[i], has[number] = number, min(count, counts[number])
		}
	}
	var added []ringPoint
	for i := range members {
		added = appendPoints(added, members[i].id, int32(i), has[i], counts[i])
	}
	slices.SortFunc(added, comparePoints)
	next.points = make([]ringPoint, 0, total)
	for _, point := range g.points {
		if point.member = moved[point.member]; point.member < 0 || int(point.number) >= has[point.member] {
			continue
		}
		for len(added) > 0 && comparePoints(added[0], point) < 0 {
			next.points, added = append(next.points, added[0]), added[1:]
		}
		next.points = append(next.points, point)
	}
	next.points = append(next.points, added...)
	return next
}

// pointCounts returns how many points each member has.
func pointCounts(members []ringMember) []int {
	counts, totalWeight := make([]int, len(members)), 0.0
	for _, member := range members {
		totalWeight += member.weight
	}
	for i, member := range members {
		counts[i] = pointsPerEndpoint
		if totalWeight > 0 {
			counts[i] = max(1, int(math.Round(pointsPerEndpoint*member.weight/totalWeight*float64(len(members)))))
		}
	}
	return counts
}

// appendPoints appends the points of a member with the numbers from the first to before the end.
func appendPoints(points []ringPoint, id EndpointID, member int32, first, end int) []ringPoint {
	if first >= end {
		return points
	}
	position := mix(uint64(id))
	for number := range end {
		position = mix(position + goldenGamma)
		if number >= first {
			points = append(points, ringPoint{position, member, int32(number)})
		}
	}
	return points
}

func comparePoints(one, other ringPoint) int {
	return cmp.Or(cmp.Compare(one.position, other.position), cmp.Compare(one.member, other.member))
}

// find visits the members, each once and in ring order starting at the hash, until accepts returns true. It returns the
// accepted member, or noEndpoint.
func (g *ring) find(hash uint64, accepts func(endpointIndex) bool) endpointIndex {
	next := g.firstPointFrom(hash)
	g.walks++
	unvisited := len(g.members)
	for range g.points {
		if next == len(g.points) {
			next = 0
		}
		member := g.points[next].member
		next++
		if g.lastVisit[member] == g.walks {
			continue
		}
		g.lastVisit[member] = g.walks
		if accepts(g.members[member]) {
			return g.members[member]
		}
		unvisited--
		if unvisited == 0 {
			break
		}
	}
	return noEndpoint
}

// firstPointFrom returns the index of the first point at or after the hash. The binary search is written out, since the
// function calls of a generic search take a fifth of the time of a decision.
func (g *ring) firstPointFrom(hash uint64) int {
	low, high := 0, len(g.points)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if g.points[middle].position < hash {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// owner returns the member that owns the hash.
func (g *ring) owner(hash uint64) endpointIndex {
	return g.find(hash, func(endpointIndex) bool { return true })
}
