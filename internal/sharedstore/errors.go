package sharedstore

import "errors"

// Reasons why a value cannot be used. All but ErrWrongKey are returned by Decode.
var (
	ErrForeignValue   = errors.New("not a value of this router")
	ErrUnknownFormat  = errors.New("value has a newer format")
	ErrTruncatedValue = errors.New("value is truncated")
	ErrChecksum       = errors.New("checksum mismatch")
	// ErrWrongKey reports a valid value that is stored under the key of another object or part.
	ErrWrongKey = errors.New("value belongs to another object or part")
)

// errStoreSilent ends a connection on which commands remain unanswered.
var errStoreSilent = errors.New("no answer from the store")

// errUnexpectedReply ends a connection on which a reply does not fit its command, or no command awaits a reply. Later
// replies can then no longer be matched to commands.
var errUnexpectedReply = errors.New("unexpected reply")

// storeError is an error reply of a store, with the store's own text.
type storeError struct{ message string }

// maxStoreErrorBytes limits how much of the text is kept.
const maxStoreErrorBytes = 120

func newStoreError(text []byte) *storeError {
	return &storeError{string(text[:min(len(text), maxStoreErrorBytes)])}
}

func (e *storeError) Error() string { return e.message }
