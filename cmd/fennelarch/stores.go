package main

// This file owns the place of shared stores in a router: between the engine and all other nodes where the operator's file
// has some, and nothing at all where it has none.

import (
	"context"
	"errors"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/discovery"
	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/operatorconfig"
	"fennelarch/internal/sharedstore"

	"go.uber.org/zap"

	decide "fennelarch/policy/sharedstore"
)

// stores is nothing where there are none.
type stores struct{ *sharedstore.Transport }

// fits says whether the installation can have what the operator's file wants.
func fits(own *operatorconfig.File, c *config.Config) error {
	if len(own.Stores) > 0 && !c.Routing.AllowDirect {
		return errors.New("operator's file: stores: the settings do not let this router ask parents itself (may_pass_by), " +
			"so it could not fill a store")
	}
	return nil
}

// shared is what the operator's file says of stores, for the decisions.
func shared(own *operatorconfig.File, c *config.Config, lim limits.Limits) decide.Settings {
	s := own.Shared
	set := decide.Settings{
		Routers: s.Routers, Capacity: s.Capacity, SlowStartShare: s.SlowStartShare, SlowStartFor: operatorconfig.Milliseconds(s.SlowStartMS),
		OverloadFactor: s.OverloadFactor, MaxInFlight: s.MaxInFlight, MaxValueBytes: lim.ResponseBodyBytes, MaxTTL: operatorconfig.Milliseconds(s.KeepMS), Lease: s.Lease == nil || *s.Lease,
	}
	return set.WithDefaults(&c.Routing)
}

func newStores(own *operatorconfig.File, c *config.Config, lim limits.Limits, start time.Time, post func(time.Time, engine.Message),
	log *zap.Logger,
) stores {
	if len(own.Stores) == 0 {
		return stores{}
	}
	var list []sharedstore.Store
	for _, s := range own.Stores {
		list = append(list, sharedstore.Store{
			UID: s.UID, Addresses: s.Addresses, Listed: s.Listed, Weight: s.Weight, Prefix: s.Prefix,
			Login: sharedstore.NewLogin(s.User, s.Password, s.Database), TLS: s.Secure,
		})
	}
	return stores{sharedstore.New(lim, c.Routing, shared(own, c, lim), c.Seed, list, start, post, log)}
}

// inner is where the carrier of all other nodes posts.
func (s stores) inner(post func(time.Time, engine.Message)) func(time.Time, engine.Message) {
	if s.Transport == nil {
		return post
	}
	return s.Post
}

// over is what the engine drives.
func (s stores) over(rest engine.Transport) engine.Transport {
	if s.Transport == nil {
		return rest
	}
	s.Over(rest)
	return s.Transport
}

func (s stores) told(message engine.Message) engine.Message {
	if s.Transport == nil {
		return message
	}
	return s.Told(message)
}

func (s stores) follow(f *discovery.Watcher) {
	if s.Transport != nil {
		f.OnCurrent, f.OnGap = s.Current, s.Gap
	}
}

func (s stores) stepped(by time.Duration) {
	if s.Transport != nil {
		s.Stepped(by)
	}
}

func (s stores) run(ctx context.Context) {
	if s.Transport != nil {
		s.Run(ctx)
	}
}

func (s stores) summary(log *zap.Logger) {
	if s.Transport == nil {
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
	if s.Transport != nil {
		s.Set(shared(own, c, s.Limits()))
	}
}
