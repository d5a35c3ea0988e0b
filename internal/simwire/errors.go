package simwire

import "fmt"

// TruncatedError reports that the input ended within a part of a frame.
type TruncatedError struct {
	Part string
	Err  error
}

// Error implements error.
func (e *TruncatedError) Error() string { return fmt.Sprintf("%s cut short: %v", e.Part, e.Err) }

// Unwrap returns the error of the read.
func (e *TruncatedError) Unwrap() error { return e.Err }

// SizeError reports a frame whose sizes are out of bounds or contradict each other.
type SizeError struct{ Problem string }

// Error implements error.
func (e *SizeError) Error() string { return e.Problem }

// RecordError reports a record of a frame that could not be handled.
type RecordError struct {
	Index int
	Err   error
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("record %d: %v", e.Index, e.Err) }

// Unwrap returns the reason why the record could not be handled.
func (e *RecordError) Unwrap() error { return e.Err }

// UnknownCodeError reports a code that is not defined for its field.
type UnknownCodeError struct {
	Description string
	Code        int
}

// Error implements error.
func (e *UnknownCodeError) Error() string { return fmt.Sprintf("%s %d", e.Description, e.Code) }

// ListNumberError reports an endpoint list whose number is out of bounds.
type ListNumberError struct{ Number int }

// Error implements error.
func (e *ListNumberError) Error() string {
	return fmt.Sprintf("list number %d is out of bounds", e.Number)
}

// TailError reports a reference to data outside the tail of its frame.
type TailError struct {
	Offset, Length uint64
	TailSize       int
}

// Error implements error.
func (e *TailError) Error() string {
	return fmt.Sprintf("offset %d and length %d leave the tail of %d bytes", e.Offset, e.Length, e.TailSize)
}
