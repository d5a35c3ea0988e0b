package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

const (
	// defaultOverloadFactor is used where nothing is known of how much more than its capacity a store bears.
	defaultOverloadFactor = 1
	// defaultMaxInFlight is a millisecond's work of a store that handles a hundred thousand commands a second.
	defaultMaxInFlight = 128
	// defaultMaxTTL bounds the invalidation log: a few purges a second fit into it.
	defaultMaxTTL = 10 * time.Minute
)

// Settings configures a Coordinator.
type Settings struct {
	Routers            int           // routers that share the store, this one included
	Capacity           float64       // commands a second that a warm store bears, 0: unknown
	SlowStartShare     float64       // share of the capacity that a store has right after its start
	SlowStartFor       time.Duration // time from its start until it has all of it; the share grows linearly
	OverloadFactor     float64       // multiple of its capacity that all routers together may ask while it warms up
	MaxInFlight        int           // most commands in flight, however fast the answers are
	MaxValueBytes      int           // longest value that is stored
	MaxTTL             time.Duration // longest time that a copy may stay in the store
	DrainGrace         time.Duration // time that a draining endpoint leaves for requests on their way
	PurgeCompleteAfter time.Duration // time by which a source has dropped what was purged, 0: unknown
	Lease              bool          // whether misses of one object at several routers become one fill
	Epoch              Timestamp     // wall-clock time at which the caller's monotonic clock was 0
}

// WithDefaults returns the settings with defaults for whatever is not set. A store without slow-start settings gets
// those of a cache.
func (s Settings) WithDefaults(r *routing.Settings) Settings {
	if s.Routers <= 0 {
		s.Routers = r.Routers
		if int(r.Zone) < len(r.ZoneRouters) {
			s.Routers = r.ZoneRouters[r.Zone]
		}
	}
	if s.SlowStartShare <= 0 {
		s.SlowStartShare, s.SlowStartFor = r.SlowStartShare, r.SlowStartFor
	}
	if s.OverloadFactor <= 0 {
		s.OverloadFactor = defaultOverloadFactor
	}
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if s.MaxTTL <= 0 {
		s.MaxTTL = defaultMaxTTL
	}
	s.DrainGrace, s.PurgeCompleteAfter = r.DrainGrace, r.PurgeCompleteAfter
	return s
}

// UpdateSettings applies settings that changed while the router runs. Epoch and MaxTTL stay: stored copies and the
// invalidation log depend on them.
func (c *Coordinator) UpdateSettings(settings Settings) {
	settings.Epoch, settings.MaxTTL = c.settings.Epoch, c.settings.MaxTTL
	settings.Routers = max(1, settings.Routers)
	c.settings = settings
	for _, store := range c.stores {
		store.limit.max = float64(max(1, settings.MaxInFlight))
	}
}
