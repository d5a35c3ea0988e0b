package sharedstore

import "errors"

// Reasons why a value cannot be used. All but ErrWrongKey are returned by Decode.
var (
	ErrForeignValue   = errors.New("not a value of this router")
	ErrUnknownFormat  = errors.New("a value of a newer format")
	ErrTruncatedValue = errors.New("a truncated value")
	ErrChecksum       = errors.New("checksum mismatch")
	// ErrWrongKey reports a valid value that is stored under the key of another object or part.
	ErrWrongKey = errors.New("a copy of another object")
)

// errStoreSilent ends a connection on which commands remain unanswered.
var errStoreSilent = errors.New("no answer from the store")

// errReplyShape ends a connection on which a reply does not fit its command, or no command awaits one. Replies can then
// no longer be matched to commands.
var errReplyShape = errors.New("reply of an unexpected type")

// storeError is an error reply of a store, with the store's own text.
type storeError struct{ message string }

// maxStoreErrorBytes limits how much of the text is kept.
const maxStoreErrorBytes = 120

func newStoreError(text []byte) *storeError {
	return &storeError{string(text[:min(len(text), maxStoreErrorBytes)])}
}

func (e *storeError) Error() string { return e.message }
