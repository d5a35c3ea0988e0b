package simwire

import "fennelarch/policy/routing"

// Codes of action records, each with the simulator's name for it. The missing codes are not used.
const (
	codeLog            = 0  // print
	codeLookup         = 2  // submit: an attempt that the endpoint serves only from its own copies
	codeSend           = 3  // serve: an attempt that names a source for a fill
	codeReject         = 4  // decline
	codeWatchEndpoints = 5  // subscribe
	codeSetTimer       = 6  // notify
	codeFail           = 7  // surrender
	codeCheckHealth    = 9  // probe
	codePollEndpoints  = 10 // lookup
	codeCancel         = 12 // cancel
)

// Offsets of the fields after the common ones in action records, grouped by record code.
const (
	lookupEndpointOffset = 13
	lookupTimeoutOffset  = 19

	sendMaxAgeOffset      = 13
	sendEndpointOffset    = 21
	sendCacheRankOffset   = 27
	sendTimeoutOffset     = 28
	sendSourceOffset      = 36
	sendFillOptionsOffset = 42

	rejectRetryAfterOffset = 13

	cancelAttemptOffset = 13

	checkHealthEndpointOffset = 5

	setTimerWaitOffset = 5
	setTimerIDOffset   = 13

	watchOffset = 5

	logTailOffset = 5
)

// watchAll requests the complete endpoint list and its changes.
const watchAll = 1

// addActions appends the actions of one router to the reply.
func (r *reply) addActions(router routerNumber, actions []routing.Action) error {
	for i := range actions {
		action, rec := &actions[i], r.addRecord()
		rec.putUint32(routerOffset, uint32(router))
		switch action.Kind {
		case routing.ActionLookup:
			encodeLookup(rec, action)
		case routing.ActionSend:
			encodeSend(rec, action)
		case routing.ActionReject:
			encodeRequestAction(rec, codeReject, action)
			rec.putMilliseconds(rejectRetryAfterOffset, action.Wait)
		case routing.ActionFail:
			encodeRequestAction(rec, codeFail, action)
		case routing.ActionCancel:
			encodeRequestAction(rec, codeCancel, action)
			rec.putUint16(cancelAttemptOffset, uint16(action.Attempt))
		case routing.ActionHealthCheck:
			rec[codeOffset] = codeCheckHealth
			rec.putEndpoint(checkHealthEndpointOffset, action.Endpoint)
		case routing.ActionTimer:
			rec[codeOffset] = codeSetTimer
			rec.putMilliseconds(setTimerWaitOffset, action.Wait)
			rec.putUint64(setTimerIDOffset, action.Timer)
		case routing.ActionWatchEndpoints:
			rec[codeOffset], rec[watchOffset] = codeWatchEndpoints, watchAll
		case routing.ActionPollEndpoints:
			rec[codeOffset] = codePollEndpoints
		case routing.ActionLog:
			r.encodeLog(rec, action)
		default:
			return &UnknownCodeError{Description: "action of unknown kind", Code: int(action.Kind)}
		}
	}
	return nil
}

// encodeRequestAction encodes the code and the request of an action.
func encodeRequestAction(rec record, code byte, action *routing.Action) {
	rec[codeOffset] = code
	rec.putRequest(action.Request)
}

func encodeLookup(rec record, action *routing.Action) {
	encodeRequestAction(rec, codeLookup, action)
	rec.putEndpoint(lookupEndpointOffset, action.Endpoint)
	rec.putMilliseconds(lookupTimeoutOffset, action.Timeout)
}

func encodeSend(rec record, action *routing.Action) {
	encodeRequestAction(rec, codeSend, action)
	rec.putMilliseconds(sendMaxAgeOffset, action.MaxAge)
	rec.putEndpoint(sendEndpointOffset, action.Endpoint)
	rec[sendCacheRankOffset] = action.CacheRank
	rec.putMilliseconds(sendTimeoutOffset, action.Timeout)
	rec.putEndpoint(sendSourceOffset, action.Source)
	rec[sendFillOptionsOffset] = byte(action.FillOptions)
}

// encodeLog encodes a log line, whose text goes to the tail of the reply.
func (r *reply) encodeLog(rec record, action *routing.Action) {
	rec[codeOffset] = codeLog
	rec.putUint32(logTailOffset+tailOffsetOffset, uint32(len(r.texts)))
	rec.putUint32(logTailOffset+tailLengthOffset, uint32(len(action.Text)))
	r.texts = append(r.texts, action.Text...)
}
