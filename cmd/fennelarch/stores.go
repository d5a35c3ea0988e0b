package main

// This file owns the place of shared stores in a router: between the engine and all other nodes where the operator's file
// has some, and nothing at all where it has none.

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"fennelarch/internal/config"
	"fennelarch/internal/discovery"
	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/operatorconfig"
	"fennelarch/internal/sharedstore"
	decide "fennelarch/policy/sharedstore"
)

// stores is nothing where there are none.
type stores struct{ *sharedstore.Carrier }

// fits says whether the installation can have what the operator's file wants.
func fits(own *operatorconfig.File, c *config.Config) error {
	if len(own.Stores) > 0 && !c.Rules.Direct {
		return errors.New("operator's file: stores: the settings do not let this router ask parents itself (may_pass_by), " +
			"so it could not fill a store")
	}
	return nil
}

// shared is what the operator's file says of stores, for the decisions.
func shared(own *operatorconfig.File, c *config.Config, lim limits.Limits) decide.Settings {
	s := own.Shared
	set := decide.Settings{Routers: s.Routers, Capacity: s.Capacity, ColdShare: s.ColdShare, ColdFor: operatorconfig.Millis(s.ColdMS),
		Multiple: s.Multiple, Most: s.Most, Bytes: lim.Object, Life: operatorconfig.Millis(s.KeepMS), Lease: s.Lease == nil || *s.Lease}
	return set.Whole(&c.Rules)
}

func newStores(own *operatorconfig.File, c *config.Config, lim limits.Limits, start time.Time, post func(time.Time, any),
	log *zap.Logger) stores {
	if len(own.Stores) == 0 {
		return stores{}
	}
	var list []sharedstore.Store
	for _, s := range own.Stores {
		list = append(list, sharedstore.Store{UID: s.UID, Addresses: s.Addresses, Listed: s.Listed, Weight: s.Weight, Prefix: s.Prefix,
			Login: sharedstore.NewLogin(s.User, s.Password, s.Database), TLS: s.Secure})
	}
	return stores{sharedstore.New(lim, c.Rules, shared(own, c, lim), c.Seed, list, start, post, log)}
}

// inner is where the carrier of all other nodes posts.
func (s stores) inner(post func(time.Time, any)) func(time.Time, any) {
	if s.Carrier == nil {
		return post
	}
	return s.Post
}

// over is what the engine drives.
func (s stores) over(rest engine.Caches) engine.Caches {
	if s.Carrier == nil {
		return rest
	}
	s.Over(rest)
	return s.Carrier
}

func (s stores) told(what any) any {
	if s.Carrier == nil {
		return what
	}
	return s.Told(what)
}

func (s stores) follow(f *discovery.Follower) {
	if s.Carrier != nil {
		f.Current, f.Gap = s.Current, s.Gap
	}
}

func (s stores) stepped(by time.Duration) {
	if s.Carrier != nil {
		s.Stepped(by)
	}
}

func (s stores) run(ctx context.Context) {
	if s.Carrier != nil {
		s.Run(ctx)
	}
}

func (s stores) summary(log *zap.Logger) {
	if s.Carrier == nil {
		return
	}
	n := s.Counts()
	log.Info("stores", zap.Uint64("gets", n.Gets), zap.Uint64("hits", n.Hits), zap.Uint64("misses", n.Misses),
		zap.Uint64("old", n.Old), zap.Uint64("spoilt", n.Spoilt), zap.Uint64("sets", n.Sets), zap.Uint64("fills", n.Fills),
		zap.Uint64("passed", n.Passed), zap.Uint64("joined", n.Joined), zap.Uint64("leases", n.Leases), zap.Uint64("waits", n.Waits),
		zap.Uint64("overdue", n.Overdue), zap.Uint64("refused", n.Refused))
}

// reload takes over what may change of the operator's file.
func (s stores) reload(own *operatorconfig.File, c *config.Config) {
	if s.Carrier != nil {
		s.Set(shared(own, c, s.Limits()))
	}
}
