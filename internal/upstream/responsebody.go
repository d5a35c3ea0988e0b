package upstream

import (
	"bytes"
	"strconv"
	"sync/atomic"

	"fennelarch/internal/engine"
	"fennelarch/internal/resp"
)

// memoryBudget bounds the memory of the response bodies that are being received on all connections.
type memoryBudget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// reserve reserves memory for a body, and reports whether there was enough. A single body is always granted, whatever
// the limit.
func (b *memoryBudget) reserve(length int) bool {
	if used := b.used.Add(int64(length)); used > b.limit && used > int64(length) {
		b.release(length)
		return false
	}
	return true
}

func (b *memoryBudget) release(length int) { b.used.Add(-int64(length)) }

// responseBody is a long body that is being received.
type responseBody struct {
	id            engine.ClientRequestID
	reservedBytes int // 0: no body is being received
}

// allocateBody returns the memory for a long body, given the strings before it. A body that no attempt waits for is
// skipped. While there is no memory, nothing more is read from the connection.
func (s *session) allocateBody(head [][]byte, length int) ([]byte, resp.BodyDecision) {
	if len(head) != responseBodyIndex || string(head[responseStatus]) != statusOK {
		return nil, resp.BodySkipped
	}
	id, err := strconv.ParseUint(string(head[responseID]), 16, 64)
	requestID := engine.ClientRequestID(id)
	if _, isInFlight := s.inFlight[requestID]; err != nil || !isInFlight {
		return nil, resp.BodySkipped
	}
	if !s.memory.reserve(length) {
		return nil, resp.BodyDelayed
	}
	s.body = responseBody{requestID, length}
	return make([]byte, length), resp.BodyAllocated
}

// bodyOf returns the body of a response. A long one has memory of its own.
func (s *session) bodyOf(response [][]byte) []byte {
	if s.body.reservedBytes > 0 {
		return response[responseBodyIndex]
	}
	return bytes.Clone(response[responseBodyIndex])
}

// skipBody discards the rest of the body that is being received, if it belongs to the given request.
func (s *session) skipBody(id engine.ClientRequestID) {
	if s.body.reservedBytes > 0 && s.body.id == id {
		s.decoder.SkipBody()
		s.releaseBody()
	}
}

// releaseBody gives back the reserved memory of a body that has been received, or is skipped.
func (s *session) releaseBody() {
	s.memory.release(s.body.reservedBytes)
	s.body = responseBody{}
}
