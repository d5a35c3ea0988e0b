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

	lastVisit []int // for each member, the number of the last walk that visited it
	walks     int   // number of walks so far
}

// ringMember is an endpoint from which a ring is built.
type ringMember struct {
	index  endpointIndex
	id     EndpointID
	weight float64
}

// ringPoint is the end of an arc; member is an index into ring.members.
type ringPoint struct {
	position uint64
	member   int32
}

// newRing returns a ring of the members.
func newRing(members []ringMember) ring {
	built := ring{lastVisit: make([]int, len(members))}
	totalWeight := 0.0
	for _, member := range members {
		built.members = append(built.members, member.index)
		totalWeight += member.weight
	}
	for i, member := range members {
		count := pointsPerEndpoint
		if totalWeight > 0 {
			count = max(1, int(math.Round(pointsPerEndpoint*member.weight/totalWeight*float64(len(members)))))
		}
		position := mix(uint64(member.id))
		for range count {
			position = mix(position + goldenGamma)
			built.points = append(built.points, ringPoint{position, int32(i)})
		}
	}
	slices.SortFunc(built.points, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.member, b.member))
	})
	return built
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
