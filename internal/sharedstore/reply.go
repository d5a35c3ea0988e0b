package sharedstore

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"fennelarch/internal/resp"
	"fennelarch/policy/routing"

	"github.com/cespare/xxhash/v2"

	policy "fennelarch/policy/sharedstore"
)

// result is what a connection reports to the transport: one of the types below.
type result interface{ isResult() }

// connectedResult reports that the connection is set up.
type connectedResult struct {
	runID  uint64        // identifies the run of the store's process
	uptime time.Duration // how long that run has lasted
}

// commandResult is the result of a get, a set or an attempt to acquire a lease.
type commandResult struct {
	command command
	reply   policy.Reply
	copy    Copy          // set for a hit
	err     error         // why a value cannot be used, or the store's error reply
	elapsed time.Duration // time since the command was sent
}

// healthResult is the result of a health check.
type healthResult struct {
	isHealthy bool
	elapsed   time.Duration
}

// logRangeResult is the range of time that a store's invalidation log covers.
type logRangeResult struct {
	stored policy.LogRange
	ok     bool
}

// logPageResult is one page of a store's invalidation log.
type logPageResult struct {
	entries   []policy.Invalidation
	fromScore float64 // score from which the page was requested
	lastScore float64 // score of the last member in the page
	isLast    bool    // no further pages follow
	ok        bool
}

// logWrittenResult is the result of a write to the invalidation log.
type logWrittenResult struct {
	update policy.LogUpdate
	ok     bool
}

func (connectedResult) isResult()  {}
func (commandResult) isResult()    {}
func (healthResult) isResult()     {}
func (logRangeResult) isResult()   {}
func (logPageResult) isResult()    {}
func (logWrittenResult) isResult() {}

// replyKinds maps the first word of an error reply to its meaning.
var replyKinds = map[string]policy.Reply{
	"LOADING":     policy.ReplyLoading,
	"OOM":         policy.ReplyOutOfMemory,
	"READONLY":    policy.ReplyReadOnly,
	"MISCONF":     policy.ReplyReadOnly,
	"NOREPLICAS":  policy.ReplyReadOnly,
	"NOAUTH":      policy.ReplyDenied,
	"WRONGPASS":   policy.ReplyDenied,
	"NOPERM":      policy.ReplyDenied,
	"BUSY":        policy.ReplyBusy,
	"MASTERDOWN":  policy.ReplyBusy,
	"TRYAGAIN":    policy.ReplyBusy,
	"MOVED":       policy.ReplyMoved,
	"ASK":         policy.ReplyMoved,
	"CLUSTERDOWN": policy.ReplyMoved,
}

// classifyError returns the meaning of an error reply, and its text as an error.
func classifyError(text []byte) (policy.Reply, error) {
	word, _, _ := bytes.Cut(text, []byte{' '})
	kind, known := replyKinds[string(word)]
	if !known {
		kind = policy.ReplyUnknownError
	}
	return kind, newStoreError(text)
}

// parseReply parses the reply to a command. The result is nil if there is nothing to report; an error ends the
// connection.
func parseReply(sent *command, parts []resp.Reply, elapsed time.Duration) (result, error) {
	first := &parts[0]
	ok := first.Kind != resp.ErrorReply
	switch sent.kind {
	case commandSetup:
		return nil, setupError(first)
	case commandInfo:
		return parseInfo(first)
	case commandGet:
		return parseGet(sent, first, elapsed)
	case commandAcquireLease, commandSet:
		return parseAcknowledgement(sent, first, elapsed), nil
	case commandPing:
		return healthResult{isHealthy: ok, elapsed: elapsed}, nil
	case commandReadLogRange:
		return parseLogRange(parts), nil
	case commandReadLogPage:
		return parseLogPage(parts, sent.fromScore), nil
	case commandWriteLog:
		return logWrittenResult{update: sent.update, ok: ok}, nil
	case commandIgnoreReply:
	}
	return nil, nil
}

func setupError(reply *resp.Reply) error {
	if reply.Kind != resp.ErrorReply {
		return nil
	}
	return fmt.Errorf("connection setup: %w", newStoreError(reply.Text))
}

func parseInfo(reply *resp.Reply) (result, error) {
	if err := setupError(reply); err != nil {
		return nil, err
	}
	if reply.Kind != resp.BulkString {
		return nil, errUnexpectedReply
	}
	var connected connectedResult
	for line := range bytes.Lines(reply.Text) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(line), []byte{':'})
		switch string(name) {
		case "run_id":
			connected.runID = xxhash.Sum64(value)
		case "uptime_in_seconds":
			seconds, _ := strconv.ParseInt(string(value), 10, 64)
			connected.uptime = time.Duration(seconds) * time.Second
		}
	}
	return connected, nil
}

func parseGet(sent *command, reply *resp.Reply, elapsed time.Duration) (result, error) {
	get := commandResult{command: *sent, elapsed: elapsed}
	switch {
	case reply.Kind == resp.ErrorReply:
		get.reply, get.err = classifyError(reply.Text)
	case reply.Kind != resp.BulkString:
		return nil, errUnexpectedReply
	case reply.IsNull:
		get.reply = policy.ReplyMiss
	default:
		get.copy, get.err = decodeFor(sent.key, reply.Text)
		get.reply = policy.ReplyHit
		if get.err != nil {
			get.reply = policy.ReplyCorrupt
		}
	}
	return get, nil
}

// decodeFor decodes a value that must be the copy identified by the key. The body is cloned out of the input buffer.
func decodeFor(key copyKey, value []byte) (Copy, error) {
	decoded, err := Decode(value)
	if err != nil {
		return Copy{}, err
	}
	if decoded.Object != key.object || decoded.Part != key.part {
		return Copy{}, ErrWrongKey
	}
	decoded.Body = bytes.Clone(decoded.Body)
	return decoded, nil
}

// parseAcknowledgement parses the reply to a set or to an attempt to acquire a lease. The latter is a SET with NX; its
// reply is null if another router holds the lease.
func parseAcknowledgement(sent *command, reply *resp.Reply, elapsed time.Duration) result {
	acknowledged := commandResult{command: *sent, reply: policy.ReplyOK, elapsed: elapsed}
	switch {
	case reply.Kind == resp.ErrorReply:
		acknowledged.reply, acknowledged.err = classifyError(reply.Text)
	case reply.IsNull:
		acknowledged.reply = policy.ReplyLeaseHeld
	}
	return acknowledged
}

func parseLogRange(parts []resp.Reply) result {
	if parts[0].Kind != resp.Array || len(parts) != 3 {
		return logRangeResult{}
	}
	stored := policy.LogRange{
		CompleteTo:   parseTimestamp(parts[1].Text),
		CompleteFrom: parseTimestamp(parts[2].Text),
	}
	return logRangeResult{stored: stored, ok: true}
}

func parseLogPage(parts []resp.Reply, fromScore float64) result {
	page := logPageResult{fromScore: fromScore, lastScore: fromScore}
	if parts[0].Kind != resp.Array || len(parts)%2 == 0 {
		return page
	}
	page.ok = true
	for i := 1; i+1 < len(parts); i += 2 {
		member, score := parts[i].Text, parts[i+1].Text
		if entry, known := parseMember(member, score); known {
			page.entries = append(page.entries, entry)
		}
		if last, err := strconv.ParseFloat(string(score), 64); err == nil {
			page.lastScore = last
		}
	}
	page.isLast = len(parts) < 2*logPageMembers
	return page
}

// event returns the result as an event for the policy.
func (r *commandResult) event(endpoint routing.EndpointID) policy.Event {
	event := policy.Event{
		Operation: r.command.operation, Endpoint: endpoint, Reply: r.reply, Elapsed: r.elapsed,
	}
	switch r.command.kind {
	case commandAcquireLease:
		event.Kind = policy.EventLeaseDone
	case commandSet:
		event.Kind = policy.EventSetDone
	default:
		event.Kind = policy.EventGetDone
	}
	return event
}
