package sharedstore

import (
	"strconv"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/policy/routing"

	"go.uber.org/zap"

	policy "fennelarch/policy/sharedstore"
)

// handleResults handles the results of a connection to a store. A reader may deliver results after the end of its
// connection was handled. Those about the connection itself or the invalidation log are then ignored.
func (t *Transport) handleResults(client *storeClient, connection *connection, results []result) {
	if len(results) == 0 {
		return
	}
	defer t.flush()
	t.mu.Lock()
	defer t.mu.Unlock()
	isCurrent := client.isCurrent(connection)
	for _, result := range results {
		switch r := result.(type) {
		case commandResult:
			t.handleCommandResult(client, &r)
		case healthResult:
			t.handleHealthResult(client, r)
		default:
			if isCurrent {
				t.handleConnectionResult(client, r)
			}
		}
	}
}

// handleConnectionResult handles a result that matters only while its connection is open.
func (t *Transport) handleConnectionResult(client *storeClient, result result) {
	switch r := result.(type) {
	case connectedResult:
		t.handleConnected(client, r)
	case logRangeResult:
		client.handleLogRange(r)
	case logPageResult:
		client.handleLogPage(&r)
	case logWrittenResult:
		client.handleLogWritten(&r)
	}
}

func (t *Transport) handleConnected(client *storeClient, connected connectedResult) {
	client.isSyncingLog, client.isDisconnected = false, false
	t.log.Info("store connected",
		zap.String("uid", client.config.UID), zap.Duration("uptime", connected.uptime))
	t.handle(&policy.Event{
		Kind: policy.EventConnected, Endpoint: client.id, RunID: connected.runID, Uptime: connected.uptime,
	})
	client.syncLog()
}

// handleDisconnected handles the end of a connection or a failed attempt to connect. Only the first of consecutive
// failures is logged.
func (t *Transport) handleDisconnected(client *storeClient, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !client.isDisconnected {
		t.log.Warn("store not connected", zap.String("uid", client.config.UID), zap.Error(err))
	}
	client.isDisconnected = true
	t.handle(&policy.Event{Kind: policy.EventDisconnected, Endpoint: client.id})
}

func (t *Transport) handleCommandResult(client *storeClient, r *commandResult) {
	t.logProblem(client, r)
	event := r.event(client.id)
	isHit := r.reply == policy.ReplyHit && r.command.kind == commandGet
	if op := t.operations[event.Operation]; op != nil && !op.isComplete && isHit {
		event.GeneratedAt, event.ValidFrom = r.copy.GeneratedAt, r.copy.ValidFrom
		op.copy, op.generatedAt = r.copy, time.UnixMilli(int64(r.copy.GeneratedAt))
	}
	t.handle(&event)
}

// logProblem logs unusable values and unknown errors, at most once per BackoffMax so that other log lines stay visible.
func (t *Transport) logProblem(client *storeClient, r *commandResult) {
	if r.reply != policy.ReplyCorrupt && r.reply != policy.ReplyUnknownError {
		return
	}
	if time.Since(client.lastProblemLoggedAt) < t.limits.BackoffMax {
		return
	}
	client.lastProblemLoggedAt = time.Now()
	uid := zap.String("uid", client.config.UID)
	if r.reply == policy.ReplyUnknownError {
		t.log.Warn("store refuses", uid, zap.Error(r.err))
		return
	}
	object := strconv.FormatUint(uint64(r.command.key.object), 16)
	t.log.Warn("store value cannot be used", uid, zap.Error(r.err),
		zap.String("object", object), zap.Int("part", r.command.key.part))
}

func (t *Transport) handleHealthResult(client *storeClient, health healthResult) {
	result := engine.HealthCheckResult{
		Endpoint: client.id, Outcome: routing.ConnectFailed, Elapsed: health.elapsed,
	}
	if health.isHealthy {
		result.Outcome = routing.Succeeded
	}
	t.post(result)
}
