package sharedstore

import (
	"time"

	"fennelarch/internal/engine"
	"fennelarch/policy/routing"

	"go.uber.org/zap"

	policy "fennelarch/policy/sharedstore"
)

// operation is one attempt at a store. The policy knows it by its OperationID.
type operation struct {
	attempt       *engine.Attempt
	client        *storeClient
	source        routing.EndpointID // endpoint that fills come from, 0: none
	isRelay       bool               // the attempt is at a cache that was to be filled from the store
	isComplete    bool
	fill          *engine.Attempt // the fill in flight, or nil
	fillStartedAt time.Time
	copy          Copy
	generatedAt   time.Time // when the copy was generated, as precisely as its source reported
}

func (op *operation) key() copyKey {
	return copyKey{op.attempt.Request.Object, op.attempt.Request.Part}
}

// unsentCommand is a command that could not be sent because there was no connection.
type unsentCommand struct {
	command command
	client  *storeClient
}

// startOperation assigns an OperationID to an operation and passes its request to the policy.
func (t *Transport) startOperation(op *operation) {
	t.mu.Lock()
	defer t.unlockAndWake()
	attempt, request := op.attempt, op.attempt.Request
	t.lastOperation++
	t.operations[t.lastOperation] = op
	t.byAttempt[attempt] = t.lastOperation
	class := &t.routing.Classes[request.Class]
	event := policy.Event{
		Kind:           policy.EventRequest,
		Operation:      t.lastOperation,
		Endpoint:       op.client.id,
		Source:         op.source,
		Object:         request.Object,
		Part:           request.Part,
		Group:          request.Group,
		OnlyIfCached:   attempt.FillOptions&routing.OnlyIfCached != 0,
		UntilObjective: t.untilObjective(request, class),
		UntilDeadline:  time.Until(attempt.Deadline),
		MaxAge:         attempt.MaxAge,
	}
	if event.MaxAge == 0 {
		event.MaxAge = class.FreshDuration
	}
	if class.FreshDuration > 0 {
		event.TTL = class.FreshDuration + class.MaxStale
	}
	t.handle(&event)
}

// rejectWrite rejects a write, since writes are never sent to a store.
func (t *Transport) rejectWrite(attempt *engine.Attempt) {
	t.mu.Lock()
	defer t.unlockAndWake()
	t.post(engine.AttemptResult{Attempt: attempt, Outcome: routing.CacheMiss, Note: routing.NoteNoFillCapacity})
}

// untilObjective returns the time left until a request's latency objective, which grows with the size of the object up
// to the request's timeout.
func (t *Transport) untilObjective(request *engine.Request, class *routing.Class) time.Duration {
	transferTime := time.Duration(0)
	if t.routing.FlowKBPerSecond > 0 {
		seconds := request.SizeKB / t.routing.FlowKBPerSecond * class.ObjectiveTransferFactor
		transferTime = time.Duration(seconds * float64(time.Second))
	}
	return min(class.LatencyObjective+transferTime, request.Timeout) - time.Since(request.ReceivedAt)
}

// handle passes an event to the policy and carries out the resulting actions.
func (t *Transport) handle(event *policy.Event) {
	t.actions = t.coordinator.Handle(t.now(), event, t.actions[:0])
	for i := range t.actions {
		t.perform(&t.actions[i])
	}
}

// failNextUnsent reports the next unsent command as failed, and returns whether there are more.
func (t *Transport) failNextUnsent() (hasMore bool) {
	if len(t.unsent) == 0 {
		return false
	}
	next := t.unsent[0]
	t.unsent = t.unsent[1:]
	result := commandResult{command: next.command, reply: policy.ReplyDisconnected}
	event := result.event(next.client.id)
	t.handle(&event)
	if len(t.unsent) == 0 {
		t.unsent = nil
	}
	return t.unsent != nil
}

// perform carries out an action.
func (t *Transport) perform(action *policy.Action) {
	switch action.Kind {
	case policy.ActionSetTimer:
		t.setTimer(action)
	case policy.ActionAnnounceStart:
		t.announceStart(action)
	case policy.ActionLog:
		t.log.Info(action.Message, zap.String("uid", t.clients[action.Endpoint].config.UID))
	default:
		if op := t.operations[action.Operation]; op != nil {
			t.performForOperation(op, action)
		}
	}
}

// performForOperation carries out an action of an operation.
func (t *Transport) performForOperation(op *operation, action *policy.Action) {
	keys := &op.client.keys
	switch action.Kind {
	case policy.ActionGet:
		t.send(op, getCommand(keys, action.Operation, op.key()))
	case policy.ActionAcquireLease:
		t.send(op, acquireLeaseCommand(keys, action.Operation, op.key(), action.TTL))
	case policy.ActionReleaseLease:
		op.client.send(releaseLeaseCommand(keys, op.key()))
	case policy.ActionSet:
		op.copy.ValidFrom = action.ValidFrom
		t.send(op, setCommand(keys, action.Operation, op.key(), action.TTL, &op.copy))
	case policy.ActionStartFill:
		t.startFill(op, action)
	case policy.ActionAbortFill:
		t.abortFill(op)
	case policy.ActionComplete:
		t.complete(op, action)
	case policy.ActionForget:
		delete(t.operations, action.Operation)
		delete(t.byAttempt, op.attempt)
	default:
	}
}

// send sends a command of an operation. If there is no connection, Run reports the failure later: each failure may make
// the next of many requests send a command, and that chain must not hold up the engine, which may be the caller.
func (t *Transport) send(op *operation, command command) {
	if op.client.send(command) {
		return
	}
	t.unsent = append(t.unsent, unsentCommand{command, op.client})
	t.wakeRun()
}

// announceStart tells the engine that a store has just started, so that routing applies slow start to it as to a cache.
func (t *Transport) announceStart(action *policy.Action) {
	endpoint, known := t.storeEndpoints[action.Endpoint]
	if !known || endpoint.State != routing.Ready {
		return
	}
	endpoint.BootTime = time.Now().Add(-action.Uptime)
	t.storeEndpoints[action.Endpoint] = endpoint
	t.post(engine.EndpointList{Endpoints: []engine.Endpoint{endpoint}})
}

// startFill requests the copy from the operation's source. A parent fetches from the origin what it has not cached,
// unless the attempt asks for cached copies only; any other cache returns only what it has cached.
func (t *Transport) startFill(op *operation, action *policy.Action) {
	request := *op.attempt.Request
	request.HeldETag = "" // the store needs the body even if the client has it
	const optionsNotForSource = routing.StaleWhileRevalidate | routing.StoreLocally | routing.OnlyIfCached
	fill := &engine.Attempt{
		Request:     &request,
		Number:      op.attempt.Number,
		Endpoint:    op.source,
		Deadline:    op.attempt.Deadline,
		NotAfter:    op.attempt.NotAfter,
		MaxAge:      action.MaxAge,
		FillOptions: op.attempt.FillOptions &^ optionsNotForSource,
	}
	if t.endpointKinds[op.source] == t.routing.ParentKind && op.attempt.FillOptions&routing.OnlyIfCached == 0 {
		fill.Source = t.origin
	}
	op.fill, op.fillStartedAt = fill, time.Now()
	t.byAttempt[fill] = action.Operation
	t.inner.Send(fill)
}

func (t *Transport) abortFill(op *operation) {
	if op.fill == nil {
		return
	}
	t.inner.Abort(op.fill)
	delete(t.byAttempt, op.fill)
	op.fill = nil
}

// finishFill handles the result of an attempt on the inner transport, and reports whether the attempt was a fill.
func (t *Transport) finishFill(result *engine.AttemptResult, at time.Time) bool {
	defer t.flush()
	t.mu.Lock()
	defer t.mu.Unlock()
	id, known := t.byAttempt[result.Attempt]
	if !known {
		return false
	}
	delete(t.byAttempt, result.Attempt)
	op := t.operations[id]
	if op.fill != result.Attempt {
		return true // the fill was abandoned
	}
	op.fill = nil
	event := policy.Event{
		Kind: policy.EventFillDone, Operation: id, Outcome: result.Outcome, Note: result.Note,
		FirstByteWait: result.FirstByteWait, Elapsed: at.Sub(op.fillStartedAt), BodyBytes: len(result.Body),
	}
	if result.Outcome == routing.Succeeded {
		request := op.attempt.Request
		op.generatedAt = result.GeneratedAt
		op.copy = Copy{
			Object: request.Object, Part: request.Part, Group: request.Group, ETag: result.ETag, Body: result.Body,
		}
		if !result.GeneratedAt.IsZero() {
			event.GeneratedAt = policy.Timestamp(result.GeneratedAt.UnixMilli())
			op.copy.GeneratedAt = event.GeneratedAt
		}
	}
	t.handle(&event)
	return true
}

// complete reports the result of the attempt to the engine.
func (t *Transport) complete(op *operation, action *policy.Action) {
	op.isComplete = true
	delete(t.byAttempt, op.attempt)
	result := engine.AttemptResult{
		Attempt: op.attempt, Outcome: action.Outcome, Note: action.Note, FirstByteWait: action.FirstByteWait,
	}
	from := t.operations[action.CopyFrom]
	switch {
	case action.Outcome == routing.Succeeded && from != nil:
		result.ETag, result.GeneratedAt, result.Body = from.copy.ETag, from.generatedAt, from.copy.Body
		if heldETag := op.attempt.Request.HeldETag; heldETag != "" && heldETag == result.ETag {
			result.NotModified, result.Body = true, nil
		}
		if op.isRelay {
			result.Note = routing.NoteFilled
		}
	case op.isRelay:
		result.Outcome, result.Note = routing.CacheMiss, routing.NoteSourceMiss
	}
	t.post(result)
}
