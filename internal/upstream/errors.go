package upstream

import (
	"fmt"
	"strings"

	"fennelarch/internal/resp"
	"fennelarch/internal/system"
)

// responseProblem describes what is wrong with a response.
type responseProblem string

const (
	problemNoStatus      responseProblem = "missing status"
	problemBadID         responseProblem = "id is not a number"
	problemUnknownStatus responseProblem = "unknown status"
	problemNoBody        responseProblem = "missing body"
	problemOtherETag     responseProblem = "not modified, but its ETag is not that of the client's copy"
)

// responseError reports a frame from a server that cannot be a response to any request sent. Like a framing error, it
// matches resp.ErrMalformed: nothing that follows on the connection can be trusted.
type responseError struct {
	id      string // as sent by the server
	problem responseProblem
	err     error // may be nil
}

// newResponseError returns a responseError. It clones the id, so that the caller's string stays off the heap if there
// is no error.
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
		return []error{resp.ErrMalformed}
	}
	return []error{resp.ErrMalformed, e.err}
}

// dialError reports that a dial failed after all its attempts.
type dialError struct {
	address  string
	attempts int
	fault    system.Fault // cause of the last error; FaultLocal if the process stalled
	err      error
}

func (e *dialError) Error() string {
	return fmt.Sprintf("dial %s failed after %d attempts: %v", e.address, e.attempts, e.err)
}

func (e *dialError) Unwrap() error { return e.err }
