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
	noTimeout       = -1 * time.Nanosecond // of a request whose timeout has not been read yet
	usualFieldCount = 16                   // of a request; the names of more are kept on the heap
	minRequestArgs  = 2                    // class and fields
	maxRequestArgs  = 3                    // and the body
	bodyArgument    = 2
	firstPrintable  = '!'
	lastPrintable   = '~'
)

// parseRequest reads a request's class, fields and body. It returns nil if the request can't be used.
func (s *session) parseRequest(args [][]byte) *engine.Request {
	if len(args) < minRequestArgs || len(args) > maxRequestArgs {
		return nil
	}
	class, isKnown := s.shared.classes[string(args[0])]
	if !isKnown {
		return nil
	}
	request := &engine.Request{Class: class, Write: s.shared.classSettings[class].isWrite, Timeout: noTimeout}
	fields := fieldParser{shared: s.shared, request: request}
	if !fields.parseList(args[1]) {
		return nil
	}
	if len(args) <= bodyArgument {
		return request
	}
	body := args[bodyArgument]
	if len(body) > s.shared.limits.RequestBodyBytes {
		return nil
	}
	if len(body) > 0 {
		request.Body = append([]byte(nil), body...)
	}
	return request
}

// fieldParser reads the fields of one request.
type fieldParser struct {
	shared    *sharedState
	request   *engine.Request
	hasID     bool
	hasObject bool
}

// parseList reads a list of fields. No name may come twice, and those without which a request can't be routed must
// come.
func (p *fieldParser) parseList(list []byte) bool {
	names := make([][]byte, 0, usualFieldCount) // as they lie in the ring
	var name, value []byte
	for rest := list; len(rest) > 0; {
		name, value, rest = resp.Field(rest)
		if slices.ContainsFunc(names, func(earlier []byte) bool { return bytes.Equal(earlier, name) }) {
			return false
		}
		names = append(names, name)
		if !p.parse(name, value) {
			return false
		}
	}
	return p.hasID && p.hasObject && p.request.Timeout >= 0
}

// parse reads one field, and says whether its value can be used. Unknown fields are passed over: clients may be newer
// than the router.
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

// parseTenant looks a tenant up by its name. A deployment without tenants takes any name.
func (s *sharedState) parseTenant(name []byte) (tenant routing.TenantID, isValid bool) {
	if len(s.tenants) == 0 {
		return 0, true
	}
	index := slices.Index(s.tenants, string(name))
	return routing.TenantID(max(0, index)), index >= 0
}

// isIdempotencyKey says whether a value is one or more printable characters without spaces.
func isIdempotencyKey(value []byte) bool {
	isOutside := func(r rune) bool { return r < firstPrintable || r > lastPrintable }
	return len(value) > 0 && !bytes.ContainsFunc(value, isOutside)
}
