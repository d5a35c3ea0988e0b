package upstream

import (
	"strconv"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/resp"
	"fennelarch/policy/routing"
)

// The servers' protocol and the terms that this program uses for its words. A request frame is an array of bulk
// strings:
//
//	fetch ID FIELDS BODY       an attempt; ID is the client's request id, in 16 hexadecimal digits
//	abort ID                   abort of an attempt
//	alive TAG, stats TAG       a health check, the second with a load report; TAG has fewer than 16 digits
//
// A server sends:
//
//	ID STATUS FIELDS [BODY]    a response
//	TAG alive|dead [FIELDS]    the answer to a health check
//
// FIELDS is a list of the form name=value,name=value. The names stand for:
//
//	class    request class             how    note on how the server got the object
//	key      object                    sum    ETag of the body
//	part     part of the object        t0     when the origin generated the body, ms since 1970
//	wait     deadline, ms from now     slow   wait for the first byte from the source, ms
//	next     source of a fill          stats  load report
//	admit    cache rank
//	agelim   max age, ms
//	ways     fill options, joined by +
//	once     idempotency key
//	cached   ETag that the client holds
const (
	verbFetch           = "fetch"
	verbAbort           = "abort"
	verbCheckHealth     = "alive"
	verbCheckWithReport = "stats"

	fieldClass          = "class="
	fieldObject         = ",key="
	fieldPart           = ",part="
	fieldDeadline       = ",wait="
	fieldSource         = ",next="
	fieldCacheRank      = ",admit="
	fieldMaxAge         = ",agelim="
	fieldFillOptions    = ",ways="
	fieldIdempotencyKey = ",once="
	fieldHeldETag       = ",cached="

	fieldNote          = "how"
	fieldETag          = "sum"
	fieldGeneratedAt   = "t0"
	fieldFirstByteWait = "slow"
	fieldLoadReport    = "stats"

	statusOK          = "200"
	statusNotModified = "304"

	requestIDDigits = 16
	zeroPadding     = "0000000000000000"
)

// fillOptionWords lists the words for the fill options in the order in which they are sent.
var fillOptionWords = []struct {
	option routing.FillOptions
	word   string
}{
	{routing.CoalesceFill, "join"},
	{routing.OnlyIfCached, "held"},
	{routing.NoStore, "nocopy"},
	{routing.StaleWhileRevalidate, "renew"},
}

// outcomesByStatus maps the status of a response to the outcome of its attempt.
var outcomesByStatus = map[string]routing.Outcome{
	statusOK:          routing.Succeeded,
	statusNotModified: routing.Succeeded,
	"404":             routing.CacheMiss,
	"503":             routing.Overloaded,
	"500":             routing.Failed,
	"504":             routing.NotSent,
}

// outcomesByHealthStatus maps the answer to a health check to its outcome.
var outcomesByHealthStatus = map[string]routing.Outcome{
	"alive": routing.Succeeded,
	"dead":  routing.Failed,
}

// notesByWord maps the words for notes to those of package routing, in the same order as there.
var notesByWord = map[string]routing.Note{
	"local":       routing.NoteHit,
	"pulled":      routing.NoteFilled,
	"pulled_far":  routing.NoteViaOrigin,
	"rode":        routing.NoteCoalesced,
	"expired":     routing.NoteStale,
	"turned_away": routing.NoteSourceRefused,
	"cut_off":     routing.NoteSourceUnreachable,
	"not_there":   routing.NoteSourceMiss,
	"no_place":    routing.NoteNoFillCapacity,
	"far_fault":   routing.NoteOriginFailed,
}

// protocolNames holds the names that the configuration gives to classes and to the columns of a load report.
type protocolNames struct {
	classes, reportColumns []string
}

// formatID formats an id in 16 hexadecimal digits.
func formatID(id uint64) string {
	digits := strconv.FormatUint(id, 16)
	return zeroPadding[len(digits):] + digits
}

func appendAbort(frames []byte, id engine.ClientRequestID) []byte {
	return resp.AppendStrings(frames, verbAbort, formatID(uint64(id)))
}

func appendHealthCheck(frames []byte, verb string, tag uint64) []byte {
	return resp.AppendStrings(frames, verb, strconv.FormatUint(tag, 10))
}

// putFetch adds the frame of an attempt to the output and returns the offset in the stream at which the frame ends.
func putFetch(output *resp.Writer, names *protocolNames, e exchange, timeLeft time.Duration) (streamEnd int64) {
	request := e.attempt.Request
	id := formatID(uint64(request.ClientRequestID))
	return output.Put(request.Body, []byte(verbFetch), []byte(id), requestFields(names, e, timeLeft))
}

func requestFields(names *protocolNames, e exchange, timeLeft time.Duration) []byte {
	const usualBytes = 200
	attempt, request := e.attempt, e.attempt.Request
	fields := make([]byte, 0, usualBytes)
	fields = append(fields, fieldClass...)
	fields = append(fields, names.classes[request.Class]...)
	fields = append(fields, fieldObject...)
	fields = append(fields, formatID(uint64(request.Object))...)
	fields = append(fields, fieldPart...)
	fields = strconv.AppendInt(fields, int64(request.Part), 10)
	fields = append(fields, fieldDeadline...)
	fields = strconv.AppendInt(fields, max(1, timeLeft.Milliseconds()), 10)
	fields = appendNonEmpty(fields, fieldSource, e.sourceUID)
	if attempt.CacheRank > 0 {
		fields = append(fields, fieldCacheRank...)
		fields = strconv.AppendInt(fields, int64(attempt.CacheRank), 10)
	}
	if attempt.MaxAge > 0 {
		fields = append(fields, fieldMaxAge...)
		fields = strconv.AppendInt(fields, max(1, attempt.MaxAge.Milliseconds()), 10)
	}
	fields = appendFillOptions(fields, attempt.FillOptions)
	fields = appendNonEmpty(fields, fieldIdempotencyKey, request.IdempotencyKey)
	return appendNonEmpty(fields, fieldHeldETag, request.HeldETag)
}

// appendNonEmpty appends a field unless its value is empty.
func appendNonEmpty(fields []byte, name, value string) []byte {
	if value == "" {
		return fields
	}
	fields = append(fields, name...)
	return append(fields, value...)
}

func appendFillOptions(fields []byte, options routing.FillOptions) []byte {
	separator := fieldFillOptions
	for _, known := range fillOptionWords {
		if options&known.option != 0 {
			fields = append(fields, separator...)
			fields = append(fields, known.word...)
			separator = "+"
		}
	}
	return fields
}
