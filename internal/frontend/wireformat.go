package frontend

import (
	"fmt"
	"strconv"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
)

// The words of the client protocol stand in this file alone; everywhere else they have the names given here. A frame
// is an array of strings:
//
//	a request:  verb, tag, class, fields, body (the last may be left out)
//	a cancel:   verb, tag
//	a ping:     verb, tag
//	a response: tag, status, fields, body
//
// Fields are a list of name=value, separated by commas. A tag is a number that the client chooses for each request.

// Verbs of the client.
const (
	verbRequest = "DO"
	verbCancel  = "UNDO"
	verbPing    = "PING"
)

// Statuses of a response.
const (
	statusPong     = "UP"
	statusOK       = "OK"
	statusRejected = "BUSY" // the request may be retried
	statusFailed   = "FAILED"
)

// Fields of a request, and the field of engine.Request that each one sets.
const (
	fieldRequestID      = "req"     // ClientRequestID
	fieldTimeout        = "timeout" // Timeout, in milliseconds
	fieldRepeat         = "resent"  // Repeat
	fieldObject         = "subject" // Object
	fieldPart           = "piece"   // Part
	fieldGroup          = "lot"     // Group
	fieldSizeKB         = "need"    // SizeKB
	fieldTenant         = "owner"   // Tenant
	fieldIdempotencyKey = "opkey"   // IdempotencyKey
	fieldHeldETag       = "ver"     // HeldETag

	repeatValue = "1" // the one value of fieldRepeat
)

// Fields of a response.
const (
	responseNotModified = "unchanged=1"
	responseRetryAfter  = "holdoff=" // in milliseconds
)

const (
	maxPart  = 1<<31 - 1
	maxGroup = 1<<8 - 1
	idDigits = 16 // hex digits of an id
)

// retryAfterField is the field that tells a client when to retry; none where that is not known.
func retryAfterField(wait time.Duration) string {
	if wait <= 0 {
		return ""
	}
	return responseRetryAfter + strconv.FormatInt(max(1, wait.Milliseconds()), 10)
}

// unsolicitedRejection is what a rejected client is sent that has not asked for anything: an error in any reader of
// RESP.
func unsolicitedRejection(wait time.Duration) []byte {
	if wait <= 0 {
		return []byte("-BUSY too many connections\r\n")
	}
	return fmt.Appendf(nil, "-BUSY too many connections, come back in %d ms\r\n", wait.Milliseconds())
}

// parseTag reads a tag; 0 is none.
func parseTag(text []byte) (tag engine.Tag, isTag bool) {
	number, err := strconv.ParseUint(string(text), 10, 64)
	return engine.Tag(number), err == nil && number > 0
}

func formatTag(tag engine.Tag) string { return strconv.FormatUint(uint64(tag), 10) }

// parseID reads 16 hex digits in the one form in which they can be written again.
func parseID(text []byte) (id uint64, isID bool) {
	if len(text) != idDigits {
		return 0, false
	}
	for _, c := range text {
		isDigit := c >= '0' && c <= '9' || c >= 'a' && c <= 'f'
		if !isDigit {
			return 0, false
		}
	}
	id, err := strconv.ParseUint(string(text), 16, 64)
	return id, err == nil
}

// parseNumber reads a decimal number that is not above a limit.
func parseNumber(text []byte, limit uint64) (number uint64, isNumber bool) {
	number, err := strconv.ParseUint(string(text), 10, 64)
	return number, err == nil && number <= limit
}

// newDecoder returns a decoder of client frames within the limits.
func newDecoder(bounds *limits.Limits) resp.Decoder {
	return resp.Decoder{
		MaxStrings:     bounds.FrameStrings,
		MaxStringBytes: bounds.ClientReadBuffer - 2*bounds.FieldBytes,
		MaxFrameBytes:  bounds.ClientReadBuffer,
	}
}
