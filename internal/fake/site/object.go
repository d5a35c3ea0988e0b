package site

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Object names one part of an object.
type Object struct {
	ID   uint64
	Part int
}

// Body is what the origin gives out of an object at a moment. It names the object, its part and the moment, so that
// whoever receives it can verify every byte.
func Body(object Object, createdAt time.Time, size int) string {
	head := fmt.Sprintf("object=%016x part=%d born=%d ", object.ID, object.Part, createdAt.UnixMilli())
	if size <= len(head) {
		return head
	}
	fill := fmt.Sprintf("%016x", object.ID*0x9e3779b97f4a7c15+uint64(object.Part))
	return head + strings.Repeat(fill, (size-len(head))/len(fill)+1)[:size-len(head)]
}

// ParseBody tells of a body which object it is and when the origin gave it out; isIntact says that no byte is wrong.
func ParseBody(body string) (object Object, createdAt time.Time, isIntact bool) {
	var createdMS int64
	n, err := fmt.Sscanf(body, "object=%x part=%d born=%d ", &object.ID, &object.Part, &createdMS)
	if n != 3 || err != nil {
		return object, createdAt, false
	}
	createdAt = time.UnixMilli(createdMS)
	return object, createdAt, Body(object, createdAt, len(body)) == body
}

// Checksum is the checksum that a cache server reports for a copy: the moment at which the origin gave it out.
func Checksum(createdAt time.Time) string { return fmt.Sprintf("%016x", createdAt.UnixMilli()) }

// ParseChecksum returns the moment at which the copy with a checksum was given out.
func ParseChecksum(checksum string) (createdAt time.Time, err error) {
	createdMS, err := strconv.ParseInt(checksum, 16, 64)
	if err != nil {
		return time.Time{}, fmt.Errorf("checksum %q: %w", checksum, err)
	}
	return time.UnixMilli(createdMS), nil
}

// Copy is a copy of an object in a cache.
type Copy struct {
	Body      string
	CreatedAt time.Time
}
