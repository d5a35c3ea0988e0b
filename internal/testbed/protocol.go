package testbed

import (
	"fmt"
	"strings"
	"time"

	"fennelarch/internal/fake/site"
)

// Verbs of the clients' protocol.
const (
	verbRequest = "DO"
	verbCancel  = "UNDO"
	verbPing    = "PING"
)

// Statuses of a response.
const (
	StatusOK     = "OK"
	StatusBusy   = "BUSY"
	StatusFailed = "FAILED"
)

// ConnectionRejected stands in the place of a tag where a router closes a connection of which it has read nothing.
const ConnectionRejected = "-BUSY"

// ClientRequest is what a client asks a router for.
type ClientRequest struct {
	ID            string
	Class         string
	Object        site.Object
	Group         int // in which the object is purged
	SizeKB        float64
	Timeout       time.Duration
	CachedVersion string // of the copy that the client has, "": it has none
	Body          string
}

// Frame encodes the request under a tag of its connection. The protocol's names are mapped to ours here alone.
func (r *ClientRequest) Frame(tag string) []byte {
	fields := fmt.Sprintf("req=%s,timeout=%d,subject=%016x,piece=%d,lot=%d,need=%.1f", r.ID, r.Timeout.Milliseconds(),
		r.Object.ID, r.Object.Part, r.Group, r.SizeKB)
	if r.CachedVersion != "" {
		fields += ",ver=" + r.CachedVersion
	}
	return site.Frame(verbRequest, tag, r.Class, fields, r.Body)
}

// CancelFrame cancels the request of a tag.
func CancelFrame(tag string) []byte { return site.Frame(verbCancel, tag) }

// PingFrame asks whether the router is up.
func PingFrame(tag string) []byte { return site.Frame(verbPing, tag) }

// Response is a router's response to a request.
type Response struct {
	Status        string
	IsNotModified bool // the client's own copy is current
	Body          string
}

// ParseResponse parses a frame that a router sent; it has no tag where it is not a response.
func ParseResponse(words [][]byte) (tag string, response Response) {
	if len(words) < 2 {
		return "", Response{}
	}
	response.Status = string(words[1])
	if len(words) > 2 {
		response.IsNotModified = strings.Contains(string(words[2]), "unchanged=1")
	}
	if len(words) > 3 {
		response.Body = string(words[3])
	}
	return string(words[0]), response
}

// WaitFor waits until something is done, but not longer than a limit.
func WaitFor(limit time.Duration, isDone func() bool) {
	const interval = 10 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end) && !isDone(); {
		time.Sleep(interval)
	}
}
