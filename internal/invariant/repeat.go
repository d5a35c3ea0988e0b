package invariant

import (
	"time"

	"fennelarch/policy/routing"
)

// RepeatPolicy determines which repeats of a request are safe, as configured for its class.
type RepeatPolicy struct {
	Idempotency routing.Idempotency
	DedupScope  routing.DedupScope // scope in which servers drop repeats with the same idempotency key
	DedupWindow time.Duration      // how long servers remember an idempotency key
}

// Server identifies a server and the zone and cell in which it deduplicates.
type Server struct {
	Endpoint routing.EndpointID
	Zone     routing.ZoneID
	Cell     routing.CellID
}

// allowsRepeat reports whether an attempt at a server is safe after an earlier attempt that may have run.
func (p RepeatPolicy) allowsRepeat(earlier *sentAttempt, to Server, now time.Time) bool {
	switch p.Idempotency {
	case routing.Idempotent:
		return true
	case routing.IdempotentWithKey:
		return p.inSameScope(earlier.Server, to) && now.Sub(earlier.startedAt) < p.DedupWindow
	default:
		return false
	}
}

// inSameScope reports whether each of two servers drops repeats of the other's requests.
func (p RepeatPolicy) inSameScope(first, second Server) bool {
	switch p.DedupScope {
	case routing.ScopeAll:
		return true
	case routing.ScopeZone:
		return first.Zone == second.Zone
	default:
		return first.Zone == second.Zone && first.Cell == second.Cell
	}
}
