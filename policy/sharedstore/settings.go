package sharedstore

import (
	"time"

	"fennelarch/policy/notification"
	"fennelarch/policy/routing"
)

const (
	// defaultOverloadFactor is the OverloadFactor if nothing is known of how much more than its capacity a store can
	// handle. A higher factor could overload the store.
	defaultOverloadFactor = 1
	// defaultMaxInFlight limits the commands in flight: about a millisecond of work for a store that handles 100,000
	// commands a second. With a lower limit such a store would be idle at times, with a higher one commands would queue.
	defaultMaxInFlight = 128
	// defaultMaxTTL limits how long a copy may stay in the store. The invalidation log must reach back as far, and at ten
	// minutes it has room for a few purges a second; with a longer TTL, purges that copies still depend on would drop out.
	defaultMaxTTL = 10 * time.Minute
)

// Settings configures a Coordinator.
type Settings struct {
	Routers            int           // routers that share the store, this one included
	Capacity           float64       // commands a second that a warm store can handle, 0: unknown
	SlowStartShare     float64       // share of the capacity that a store has right after its start
	SlowStartDuration  time.Duration // time from its start to full capacity; the share grows linearly
	OverloadFactor     float64       // multiple of its capacity that all routers together may use during its slow start
	MaxInFlight        int           // maximum number of commands in flight, however fast the replies are
	MaxValueBytes      int           // maximum size of a value to be stored
	MaxTTL             time.Duration // maximum time that a copy may stay in the store
	DrainGrace         time.Duration // time that a draining endpoint allows for requests already on their way
	PurgeCompleteAfter time.Duration // time after a purge by which a source has dropped the purged copies, 0: unknown
	Notification       notification.Settings
	UseLease           bool      // whether a lease merges the fills of one object by several routers
	Epoch              Timestamp // wall-clock time at which the caller's monotonic clock was 0
}

// WithDefaults returns the settings with defaults for the fields that are not set. A store without slow-start settings
// uses those that r has for caches.
func (s Settings) WithDefaults(r *routing.Settings) Settings {
	if s.Routers <= 0 {
		s.Routers = r.Routers
		if int(r.Zone) < len(r.ZoneRouters) {
			s.Routers = r.ZoneRouters[r.Zone]
		}
	}
	if s.SlowStartShare <= 0 {
		s.SlowStartShare, s.SlowStartDuration = r.SlowStartShare, r.SlowStartDuration
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
	s.Notification = notification.SettingsFor(r)
	return s
}

// UpdateSettings applies settings that changed while the router runs. Epoch and MaxTTL do not change, because stored
// copies and the invalidation log depend on them.
func (c *Coordinator) UpdateSettings(settings Settings) {
	settings.Epoch, settings.MaxTTL = c.settings.Epoch, c.settings.MaxTTL
	settings.Routers = max(1, settings.Routers)
	c.settings = settings
	for _, store := range c.stores {
		store.limit.setMax(settings.MaxInFlight)
	}
}
