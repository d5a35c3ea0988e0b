package routing

import (
	"cmp"
	"math"
	"slices"
)

// pointsPerEndpoint is the usual number of points of a member. So many even the members' arcs to some six in a hundred.
const pointsPerEndpoint = 200

// goldenGamma is the increment of splitmix64; a multiple of it separates inputs that differ by little.
const goldenGamma = 0x9e3779b97f4a7c15

// ring is a consistent-hash ring. A member owns the arcs that end at its points; a heavier member has more points. The
// points follow from ids and weights alone, so that all routers build the same ring.
type ring struct {
	points  []ringPoint
	members []endpointIndex

	lastVisit []int // by member: the last walk that met it
	walks     int
}

// ringMember is an endpoint that a ring is built from.
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

// newRing builds the ring of the members.
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

// find visits each member once, in ring order from the hash on, and returns the first that is accepted.
func (g *ring) find(hash uint64, accepts func(endpointIndex) bool) endpointIndex {
	from, _ := slices.BinarySearchFunc(g.points, hash, func(point ringPoint, hash uint64) int {
		return cmp.Compare(point.position, hash)
	})
	g.walks++
	unvisited := len(g.members)
	for i := 0; unvisited > 0 && i < len(g.points); i++ {
		member := g.points[(from+i)%len(g.points)].member
		if g.lastVisit[member] == g.walks {
			continue
		}
		g.lastVisit[member] = g.walks
		unvisited--
		if accepts(g.members[member]) {
			return g.members[member]
		}
	}
	return noEndpoint
}

// owner returns the member whose arc holds the hash.
func (g *ring) owner(hash uint64) endpointIndex {
	return g.find(hash, func(endpointIndex) bool { return true })
}
