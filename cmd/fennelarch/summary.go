package main

// This file logs counts at each summary interval.

import (
	"runtime"

	"fennelarch/internal/engine"

	"go.uber.org/zap"
)

// logSummaries logs a line for the router, and one each for the shared stores and admission if they are in use.
func (r *router) logSummaries(counts engine.Counts) {
	r.logSummary(counts)
	r.logSharedStores()
	r.logAdmission()
}

// logSummary logs the counts of the router.
func (r *router) logSummary(counts engine.Counts) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	violations, closes := r.monitor.Counts()
	r.log.Info("summary",
		zap.Uint64("requests", counts.Requests),
		zap.Uint64("succeeded", counts.Succeeded),
		zap.Uint64("rejected", counts.Rejected),
		zap.Uint64("failed", counts.Failed),
		zap.Uint64("client_cancelled", counts.ClientCancelled),
		zap.Uint64("attempts", counts.Attempts),
		zap.Uint64("local_cache_hits", counts.LocalCacheHits),
		zap.Int64("in_flight", counts.InFlight),
		zap.Duration("event_queue_delay", counts.EventQueueDelay),
		zap.Int("client_connections", r.frontend.ConnectionCount()),
		zap.Int("upstream_connections", r.upstream.ConnectionCount()),
		zap.Uint64("memory_mb", memory.Sys>>20),
		zap.Uint64("violations", r.monitor.Violations()),
		zap.Any("violations_by_kind", violations),
		zap.Any("closes_by_reason", closes))
}

// logSharedStores logs the counts of the shared stores, if there are any.
func (r *router) logSharedStores() {
	if r.stores.transport == nil {
		return
	}
	counts := r.stores.transport.Counts()
	r.log.Info("shared stores",
		zap.Uint64("gets", counts.Gets),
		zap.Uint64("hits", counts.Hits),
		zap.Uint64("misses", counts.Misses),
		zap.Uint64("stale", counts.Stale),
		zap.Uint64("corrupt", counts.Corrupt),
		zap.Uint64("sets", counts.Sets),
		zap.Uint64("fills", counts.Fills),
		zap.Uint64("bypassed", counts.Bypassed),
		zap.Uint64("coalesced", counts.Coalesced),
		zap.Uint64("lease_attempts", counts.LeaseAttempts),
		zap.Uint64("fill_waits", counts.FillWaits),
		zap.Uint64("timeouts", counts.Timeouts),
		zap.Uint64("rejected", counts.Rejected))
}

// logAdmission logs the counts of admission if the operator's file has an admission section, or if descriptors have run
// out.
func (r *router) logAdmission() {
	counts, mode := r.frontend.AdmissionStatus()
	if r.operatorFile.Load().Admission == nil && counts.DescriptorsExhausted == 0 {
		return
	}
	r.log.Info("admission",
		zap.String("mode", mode),
		zap.Uint64("accepted", counts.Accepted),
		zap.Uint64("rejected", counts.Rejected),
		zap.Uint64("dropped", counts.Dropped),
		zap.Uint64("closed_idle", counts.ClosedIdle),
		zap.Uint64("requests_rejected", counts.RequestsRejected),
		zap.Uint64("descriptors_exhausted", counts.DescriptorsExhausted),
		zap.Uint64("handshakes", counts.Handshakes))
}
