package upstream

import (
	"fmt"
	"strings"

	"fennelarch/internal/resp"
	"fennelarch/internal/system"
)

// responseProblem says what is wrong with a response.
type responseProblem string

// The problems of responses.
const (
	problemNoStatus      responseProblem = "it has no status"
	problemBadID         responseProblem = "its id is no number"
	problemUnknownStatus responseProblem = "its status is unknown"
	problemNoBody        responseProblem = "it has no body"
	problemOtherETag     responseProblem = "it calls a copy current that the client does not hold"
)

// responseError is a frame from a server that can't be a response to what was sent. Like an error of the framing it
// matches resp.ErrFraming: nothing after it on the connection can be believed.
type responseError struct {
	id      string // as the server has it
	problem responseProblem
	err     error // may be nil
}

// newResponseError clones the id, so that the caller's stays off the heap where there is no error.
func newResponseError(id string, problem responseProblem, err error) *responseError {
	return &responseError{id: strings.Clone(id), problem: problem, err: err}
}

func (e *responseError) Error() string {
	text := fmt.Sprintf("response %q: %s", e.id, e.problem)
	if e.err != nil {
		text += ": " + e.err.Error()
	}
	return text
}

func (e *responseError) Unwrap() []error {
	if e.err == nil {
		return []error{resp.ErrFraming}
	}
	return []error{resp.ErrFraming, e.err}
}

// dialError is a dial that failed for good.
type dialError struct {
	address  string
	attempts int
	fault    system.Fault // who is at fault by the last error; this machine, where the process stood still
	err      error
}

func (e *dialError) Error() string {
	return fmt.Sprintf("dial %s, %d times: %v", e.address, e.attempts, e.err)
}

func (e *dialError) Unwrap() error { return e.err }
