package frontend

import (
	"bytes"
	"slices"
	"strconv"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/resp"
	"fennelarch/policy/routing"
)

const (
	missingTimeout = -1 * time.Nanosecond // timeout of a request whose timeout field has not been parsed
	maxFieldCount  = 32                   // more than any client needs; each name is compared with all others
	minRequestArgs = 2                    // class and fields
	maxRequestArgs = 3                    // class, fields and body
	bodyIndex      = 2
	firstPrintable = '!'
	lastPrintable  = '~'
)

// parseRequest parses the class and fields of a request, and checks the length of its body. It returns nil if the
// request is invalid.
func (s *session) parseRequest(args [][]byte) *engine.Request {
	if len(args) < minRequestArgs || len(args) > maxRequestArgs {
		return nil
	}
	class, isKnown := s.shared.classes[string(args[0])]
	if !isKnown {
		return nil
	}
	request := &engine.Request{Class: class, Write: s.shared.classSettings[class].isWrite, Timeout: missingTimeout}
	fields := fieldParser{shared: s.shared, request: request}
	if !fields.parseList(args[1]) {
		return nil
	}
	if len(args) <= bodyIndex {
		return request
	}
	if len(args[bodyIndex]) > s.shared.limits.RequestBodyBytes {
		return nil
	}
	return request
}

// fieldParser parses the fields of one request.
type fieldParser struct {
	shared    *sharedState
	request   *engine.Request
	hasID     bool
	hasObject bool
}

// parseList parses a list of fields and reports whether it is valid. No name may occur twice, there may be up to
// maxFieldCount fields, and the request ID, the object and the timeout are required.
func (p *fieldParser) parseList(list []byte) bool {
	names := make([][]byte, 0, maxFieldCount) // slices of the input ring
	var name, value []byte
	for rest := list; len(rest) > 0; {
		name, value, rest = resp.Field(rest)
		if slices.ContainsFunc(names, func(earlier []byte) bool { return bytes.Equal(earlier, name) }) {
			return false
		}
		names = append(names, name)
		if len(names) > maxFieldCount || !p.parse(name, value) {
			return false
		}
	}
	return p.hasID && p.hasObject && p.request.Timeout >= 0
}

// parse parses one field and reports whether its value is valid. Unknown fields are ignored, because clients may be
// newer than the router.
func (p *fieldParser) parse(name, value []byte) (isValid bool) {
	var number uint64
	request := p.request
	switch string(name) {
	case fieldRequestID:
		number, isValid = parseID(value)
		request.ClientRequestID, p.hasID = engine.ClientRequestID(number), true
	case fieldTimeout:
		number, isValid = parseNumber(value, uint64(p.shared.limits.MaxRequestTimeout.Milliseconds()))
		request.Timeout = time.Duration(number) * time.Millisecond
	case fieldRepeat:
		request.Repeat, isValid = true, string(value) == repeatValue
	case fieldObject:
		number, isValid = parseID(value)
		request.Object, p.hasObject = routing.ObjectID(number), true
	case fieldPart:
		number, isValid = parseNumber(value, maxPart)
		request.Part = int(number)
	case fieldGroup:
		number, isValid = parseNumber(value, maxGroup)
		request.Group = routing.GroupID(number)
	case fieldSizeKB:
		request.SizeKB, isValid = p.shared.parseSizeKB(value)
	case fieldTenant:
		request.Tenant, isValid = p.shared.parseTenant(value)
	case fieldIdempotencyKey:
		request.IdempotencyKey, isValid = string(value), isIdempotencyKey(value)
	case fieldHeldETag:
		request.HeldETag = string(value)
		_, isValid = parseID(value)
	default:
		isValid = true
	}
	return isValid
}

func (s *sharedState) parseSizeKB(value []byte) (sizeKB float64, isValid bool) {
	sizeKB, err := strconv.ParseFloat(string(value), 64)
	return sizeKB, err == nil && sizeKB >= 0 && sizeKB <= s.limits.MaxSizeKB
}

// parseTenant looks up a tenant by name. Without configured tenants, any name is valid.
func (s *sharedState) parseTenant(name []byte) (tenant routing.TenantID, isValid bool) {
	if len(s.tenants) == 0 {
		return 0, true
	}
	index := slices.Index(s.tenants, string(name))
	return routing.TenantID(max(0, index)), index >= 0
}

// isIdempotencyKey reports whether a value consists of one or more printable ASCII characters without spaces.
func isIdempotencyKey(value []byte) bool {
	isDisallowed := func(r rune) bool { return r < firstPrintable || r > lastPrintable }
	return len(value) > 0 && !bytes.ContainsFunc(value, isDisallowed)
}
