package main

// This file shuts the router down gracefully: accepted requests are answered, and for a while after the stop signal new
// requests are still served.

import (
	"time"

	"fennelarch/internal/engine"

	"go.uber.org/zap"
)

// shutDown drains the router. It returns once all requests are answered and all client connections are closed, or when
// the time limit is over.
func (r *router) shutDown() {
	r.log.Info("stopping", zap.Int("in_flight", r.engine.InFlight()))
	startedAt := time.Now()
	r.engine.Post(startedAt, engine.Shutdown{Grace: r.limits.ShutdownGrace})
	time.Sleep(r.limits.ShutdownLinger)
	r.frontend.Drain()
	deadline := startedAt.Add(r.limits.ShutdownGrace + r.limits.FlushTimeout)
	for r.hasOpenWork() && time.Now().Before(deadline) {
		time.Sleep(r.limits.RecheckInterval)
	}
	r.log.Info("stopped", zap.Int("in_flight", r.engine.InFlight()))
}

// hasOpenWork reports whether a request is unanswered or a client connection is open.
func (r *router) hasOpenWork() bool {
	return r.engine.InFlight() > 0 || r.frontend.OpenSocketCount() > 0
}
