package simwire

import "fennelarch/policy/routing"

// Codes of event records, each with the simulator's name for it.
const (
	codeTimer         = 0  // ring: a timer of a router expired
	codeEndpoints     = 1  // peers: an endpoint list, or a change of one, reached a router
	codeEndpointList  = 2  // ledger: defines an endpoint list that later events refer to by its number
	codeStart         = 3  // born: a router starts
	codePurge         = 4  // withdrawn: an object or a group was purged
	codeRequest       = 5  // knock: a client sent a request
	codeGossip        = 6  // whisper: a message from another router
	codeAttemptResult = 7  // end: how an attempt ended
	codeClientGone    = 8  // abandoned: a client stopped waiting for a response
	codeStreamStarted = 9  // headers: the first bytes of a response arrived
	codeStop          = 10 // exit: a router stops
	codeHealthCheck   = 11 // pong: the result of a health check
)

// Offsets of the fields after the common ones in event records, grouped by record code.
const (
	startSeedOffset     = 5
	startSettingsOffset = 13

	timerOffset = 5

	endpointsListOffset = 5
	endpointsKindOffset = 6

	purgeObjectOffset = 5
	purgeAgeOffset    = 13
	purgeGroupOffset  = 21

	requestClassOffset    = 13
	requestTenantOffset   = 14
	requestObjectOffset   = 18
	requestTimeLeftOffset = 26
	requestSizeOffset     = 34
	requestGroupOffset    = 38
	requestPartOffset     = 42
	requestFlagsOffset    = 46

	gossipTailOffset = 7

	resultAttemptOffset       = 13
	resultEndpointOffset      = 15
	resultOutcomeOffset       = 21
	resultElapsedOffset       = 23
	resultFinalOffset         = 31
	resultNoteOffset          = 32
	resultFirstByteWaitOffset = 33
	resultLoadReportOffset    = 41

	streamEndpointOffset = 13
	streamAttemptOffset  = 19
	streamElapsedOffset  = 21

	healthCheckEndpointOffset   = 5
	healthCheckOutcomeOffset    = 11
	healthCheckElapsedOffset    = 13
	healthCheckLoadReportOffset = 21
)

// Bits of the flags field of a request record.
const (
	requestFlagRepeat = 2
	requestFlagWrite  = 4
)

// decodeEvent decodes a record into h.event.
func (h *Host) decodeEvent(rec record, tail []byte) error {
	event := &h.event
	*event = routing.Event{}
	switch rec[codeOffset] {
	case codeTimer:
		event.Kind, event.Timer = routing.EventTimer, rec.uint64(timerOffset)
	case codeEndpoints:
		return h.decodeEndpoints(rec, event)
	case codePurge:
		decodePurge(rec, event)
	case codeRequest:
		decodeRequest(rec, event)
	case codeGossip:
		event.Kind = routing.EventGossip
		_, err := rec.tailPart(tail, gossipTailOffset, 1)
		return err
	case codeAttemptResult:
		return decodeAttemptResult(rec, event)
	case codeClientGone:
		event.Kind, event.Request = routing.EventClientGone, rec.request()
	case codeStreamStarted:
		decodeStreamStarted(rec, event)
	case codeHealthCheck:
		return decodeHealthCheck(rec, event)
	default:
		return &UnknownCodeError{Description: "unknown code", Code: int(rec[codeOffset])}
	}
	return nil
}

func (h *Host) decodeEndpoints(rec record, event *routing.Event) error {
	event.Kind = routing.EventEndpoints
	event.EndpointListKind = routing.EndpointListKind(rec[endpointsKindOffset])
	if event.EndpointListKind > routing.EndpointListFailed {
		return &UnknownCodeError{Description: "list of unknown scope", Code: int(rec[endpointsKindOffset])}
	}
	if event.EndpointListKind == routing.EndpointListFailed {
		return nil
	}
	number := int(rec[endpointsListOffset])
	if number >= len(h.endpointLists) {
		return &ListNumberError{number}
	}
	event.Endpoints = h.endpointLists[number]
	return nil
}

func decodePurge(rec record, event *routing.Event) {
	event.Kind = routing.EventPurge
	event.Object = routing.ObjectID(rec.uint64(purgeObjectOffset))
	event.Age = rec.milliseconds(purgeAgeOffset)
	event.Group = routing.GroupID(rec.uint16(purgeGroupOffset))
}

func decodeRequest(rec record, event *routing.Event) {
	event.Kind = routing.EventRequest
	event.Request = rec.request()
	event.Class = routing.ClassID(rec[requestClassOffset])
	event.Tenant = routing.TenantID(rec.uint32(requestTenantOffset))
	event.Object = routing.ObjectID(rec.uint64(requestObjectOffset))
	event.TimeLeft = rec.milliseconds(requestTimeLeftOffset)
	event.SizeKB = rec.float32(requestSizeOffset)
	event.Group = routing.GroupID(max(0, rec.float32(requestGroupOffset)))
	event.Part = int(rec.float32(requestPartOffset))
	event.Repeat = rec[requestFlagsOffset]&requestFlagRepeat != 0
	event.Write = rec[requestFlagsOffset]&requestFlagWrite != 0
}

func decodeAttemptResult(rec record, event *routing.Event) (err error) {
	event.Kind = routing.EventAttemptResult
	event.Request = rec.request()
	event.Attempt = routing.AttemptNumber(rec.uint16(resultAttemptOffset))
	event.Endpoint = rec.endpoint(resultEndpointOffset)
	event.Elapsed = rec.milliseconds(resultElapsedOffset)
	event.Final = rec[resultFinalOffset] != 0
	event.Note = routing.Note(rec[resultNoteOffset])
	event.FirstByteWait = rec.milliseconds(resultFirstByteWaitOffset)
	event.LoadReport = rec.loadReport(resultLoadReportOffset)
	event.Outcome, err = rec.outcome(resultOutcomeOffset)
	return err
}

func decodeStreamStarted(rec record, event *routing.Event) {
	event.Kind = routing.EventStreamStarted
	event.Request = rec.request()
	event.Endpoint = rec.endpoint(streamEndpointOffset)
	event.Attempt = routing.AttemptNumber(rec.uint16(streamAttemptOffset))
	event.Elapsed = rec.milliseconds(streamElapsedOffset)
}

func decodeHealthCheck(rec record, event *routing.Event) (err error) {
	event.Kind = routing.EventHealthCheckResult
	event.Endpoint = rec.endpoint(healthCheckEndpointOffset)
	event.Elapsed = rec.milliseconds(healthCheckElapsedOffset)
	event.LoadReport = rec.loadReport(healthCheckLoadReportOffset)
	event.Outcome, err = rec.outcome(healthCheckOutcomeOffset)
	return err
}
