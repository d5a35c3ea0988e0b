package main

// The graceful shutdown: requests that have been taken are answered, and those that arrive for a while after the order
// to stop are still served.

import (
	"time"

	"fennelarch/internal/engine"

	"go.uber.org/zap"
)

// shutDown ends the router in order. It returns once nothing is open, or when the grace is over.
func (r *router) shutDown() {
	r.log.Info("stopping", zap.Int("in_flight", r.engine.InFlight()))
	begun := time.Now()
	r.engine.Post(begun, engine.Shutdown{Grace: r.limits.ShutdownGrace})
	time.Sleep(r.limits.ShutdownLinger)
	r.frontend.Drain()
	deadline := begun.Add(r.limits.ShutdownGrace + r.limits.FlushTimeout)
	for r.hasOpenWork() && time.Now().Before(deadline) {
		time.Sleep(r.limits.RecheckInterval)
	}
	r.log.Info("stopped", zap.Int("in_flight", r.engine.InFlight()))
}

// hasOpenWork reports whether a request has no answer yet, or a connection is not closed yet.
func (r *router) hasOpenWork() bool {
	return r.engine.InFlight() > 0 || r.frontend.UnclosedCount() > 0
}
