package sharedstore

import "errors"

// Why a value cannot be used. All but ErrWrongKey come from Decode.
var (
	ErrForeignValue   = errors.New("not a value of this router")
	ErrUnknownFormat  = errors.New("a value of a newer format")
	ErrTruncatedValue = errors.New("a truncated value")
	ErrChecksum       = errors.New("checksum mismatch")
	// ErrWrongKey says that a valid value was stored under the key of another object or part.
	ErrWrongKey = errors.New("a copy of another object")
)

// errStoreSilent ends a connection on which commands stay unanswered.
var errStoreSilent = errors.New("no answer from the store")

// errReplyShape ends a connection whose replies do not fit the commands, or that sends a reply to no command: replies
// can no longer be matched.
var errReplyShape = errors.New("reply of an unexpected type")

// storeError is an error reply of a store, in its own words.
type storeError struct{ message string }

// maxStoreErrorBytes bounds what of it is kept.
const maxStoreErrorBytes = 120

func newStoreError(text []byte) *storeError {
	return &storeError{string(text[:min(len(text), maxStoreErrorBytes)])}
}

func (e *storeError) Error() string { return e.message }
