package frontend

import (
	"fmt"
	"strconv"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
)

// This file holds all words of the client protocol; other files use the names defined here. A frame is an array of
// strings:
//
//	a request:  verb, tag, class, fields, body (the body is optional)
//	a cancel:   verb, tag
//	a ping:     verb, tag
//	a response: tag, status, fields, body
//
// Fields are a comma-separated list of name=value pairs. A tag is a number that the client chooses for each request.

// Verbs of client messages.
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

// Fields of a request, each with the field of engine.Request that it sets.
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

	repeatValue = "1" // the only valid value of fieldRepeat
)

// Fields of a response.
const (
	responseNotModified = "unchanged=1"
	responseRetryAfter  = "holdoff=" // in milliseconds
)

const (
	maxPart  = 1<<31 - 1
	maxGroup = 1<<8 - 1
	idDigits = 16 // hex digits of an ID
)

// retryAfterField returns the field that tells a client when to retry, or an empty string if wait is not positive.
func retryAfterField(wait time.Duration) string {
	if wait <= 0 {
		return ""
	}
	return responseRetryAfter + strconv.FormatInt(max(1, wait.Milliseconds()), 10)
}

// unsolicitedRejection returns the message for a rejected client that has sent no request. Any RESP client reads it as
// an error.
func unsolicitedRejection(wait time.Duration) []byte {
	if wait <= 0 {
		return []byte("-BUSY too many connections\r\n")
	}
	return fmt.Appendf(nil, "-BUSY too many connections, come back in %d ms\r\n", wait.Milliseconds())
}

// parseTag parses a tag, which must be positive.
func parseTag(text []byte) (tag engine.Tag, isTag bool) {
	number, err := strconv.ParseUint(string(text), 10, 64)
	return engine.Tag(number), err == nil && number > 0
}

func formatTag(tag engine.Tag) string { return strconv.FormatUint(uint64(tag), 10) }

// parseID parses an ID of 16 lower-case hex digits, so that an ID has only one written form.
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

// parseNumber parses a decimal number that must not exceed the limit.
func parseNumber(text []byte, limit uint64) (number uint64, isNumber bool) {
	number, err := strconv.ParseUint(string(text), 10, 64)
	return number, err == nil && number <= limit
}

// newDecoder returns a decoder that accepts client frames up to the given limits.
func newDecoder(bounds *limits.Limits) resp.Decoder {
	return resp.Decoder{
		MaxStrings:       bounds.MaxFrameStrings,
		MaxStringBytes:   bounds.ClientFrameBytes - 2*bounds.FieldBytes,
		MaxFrameBytes:    bounds.ClientFrameBytes,
		MaxBufferedBytes: bounds.ClientHeadBytes,
	}
}
