package engine

import (
	"time"

	"fennelarch/policy/routing"
)

// Client receives the final response to each of its requests. It must not block.
type Client interface {
	Respond(tag Tag, response Response)
}

// Status is the kind of a final response.
type Status uint8

// The kinds of final responses.
const (
	StatusOK Status = iota
	StatusRejected
	StatusFailed
)

// Response is a final response.
type Response struct {
	Status      Status
	NotModified bool // the copy that the client holds is current
	RetryAfter  time.Duration
	Body        []byte
}

// Transport carries attempts to endpoints. None of its methods may block.
type Transport interface {
	// UpdateEndpoints applies an endpoint list. Endpoints missing from a complete list are gone.
	UpdateEndpoints(list EndpointList)
	// Send starts an attempt; its result is posted to the engine.
	Send(attempt *Attempt)
	// Abort aborts an attempt and reports whether any part of it may have been written. No result follows,
	// unless one is already on its way.
	Abort(attempt *Attempt) (written bool)
	// CheckHealth starts a health check; its result is posted to the engine.
	CheckHealth(endpoint routing.EndpointID)
}
