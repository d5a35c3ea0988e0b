package site

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

// Verbs of the server protocol.
const (
	verbFetch  = "fetch"
	verbCancel = "abort"
	verbHealth = "alive"
	verbStats  = "stats"
)

// Statuses of the server protocol.
const (
	StatusOK          = "200"
	StatusNotModified = "304"
	StatusNotCached   = "404"
	StatusError       = "500"
	StatusOverloaded  = "503"
)

// CopySource says where a cache server got a copy from. Its value is the protocol's name for the source.
type CopySource string

// Sources of a copy.
const (
	FromLocalCache CopySource = "local"
	FromParent     CopySource = "pulled"
	FromOrigin     CopySource = "pulled_far"
)

// FillError says why a cache server has no copy to return. Its value is the protocol's name for the reason.
type FillError string

func (e FillError) Error() string { return string(e) }

// Reasons why a cache server has no copy to return.
const (
	ErrNotCached  FillError = "not_there"
	ErrOverloaded FillError = "turned_away"
)

var (
	// ErrNotFetch is returned for a request other than a fetch request.
	ErrNotFetch = errors.New("not a fetch request")
	// ErrMalformedKey is returned for a fetch request whose key is not an object ID.
	ErrMalformedKey = errors.New("malformed key")
)

// Frame encodes words as a frame, an array of bulk strings.
func Frame(words ...string) []byte {
	frame := redcon.AppendArray(nil, len(words))
	for _, word := range words {
		frame = redcon.AppendBulkString(frame, word)
	}
	return frame
}

// ParseFields parses a list of fields of the form "name=value,name=value".
func ParseFields(text string) map[string]string {
	fields := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		fields[name] = value
	}
	return fields
}

// FetchRequest is a router's request to a cache server.
type FetchRequest struct {
	ID             string
	Class          string
	Object         Object
	Source         string        // the server to fill from
	CachedChecksum string        // of the client's copy, "": the client has none
	MaxAge         time.Duration // 0: any age
	Timeout        time.Duration
	OnlyIfCached   bool // the source may return only a copy that it holds
	HasBody        bool
}

// ParseFetch parses a fetch request. No other function depends on the protocol's field names for requests. If the key
// is malformed, the other fields are still returned.
func ParseFetch(words []string) (FetchRequest, error) {
	if len(words) < 4 || words[0] != verbFetch {
		return FetchRequest{}, ErrNotFetch
	}
	fields := ParseFields(words[2])
	part, _ := strconv.Atoi(fields["part"])
	maxAgeMS, _ := strconv.Atoi(fields["agelim"])
	timeoutMS, _ := strconv.Atoi(fields["wait"])
	request := FetchRequest{
		ID: words[1], Class: fields["class"], Object: Object{Part: part}, Source: fields["next"],
		CachedChecksum: fields["cached"], MaxAge: time.Duration(maxAgeMS) * time.Millisecond,
		Timeout: time.Duration(timeoutMS) * time.Millisecond, OnlyIfCached: strings.Contains(fields["ways"], "held"),
		HasBody: words[3] != "",
	}
	id, err := strconv.ParseUint(fields["key"], 16, 64)
	if err != nil {
		return request, fmt.Errorf("%w: %w", ErrMalformedKey, err)
	}
	request.Object.ID = id
	return request, nil
}

// IsCancel reports whether a request cancels an earlier one. A cancellation has no response.
func IsCancel(words []string) bool { return words[0] == verbCancel }

// IsHealthCheck reports whether a request is a ping or asks for a load report, rather than for an object.
func IsHealthCheck(words []string) bool { return words[0] == verbHealth || words[0] == verbStats }

// HealthResponse returns the response to a health check.
func HealthResponse(id string) []byte { return Frame(id, verbHealth, "-") }

// ErrorResponse returns the response to a request that failed.
func ErrorResponse(id string) []byte { return Frame(id, StatusError, "-", "") }

// FillErrorResponse returns the response to a request for which the cache server has no copy.
func FillErrorResponse(id, status string, reason FillError) []byte {
	return Frame(id, status, "how="+string(reason), "")
}

// CopyResponse returns the response with a copy, or without its body if the client's own copy is current.
func CopyResponse(request *FetchRequest, found Copy, source CopySource, fillTime time.Duration) []byte {
	checksum := Checksum(found.CreatedAt)
	fields := fmt.Sprintf("sum=%s,t0=%d,how=%s,slow=%d",
		checksum, found.CreatedAt.UnixMilli(), source, fillTime.Milliseconds())
	if request.CachedChecksum == checksum {
		return Frame(request.ID, StatusNotModified, fields, "")
	}
	return Frame(request.ID, StatusOK, fields, found.Body)
}
