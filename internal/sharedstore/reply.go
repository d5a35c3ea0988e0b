package sharedstore

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"fennelarch/internal/resp"
	"fennelarch/policy/routing"

	"github.com/cespare/xxhash/v2"

	decide "fennelarch/policy/sharedstore"
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
	reply   decide.Reply
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
	stored decide.LogRange
	ok     bool
}

// logPageResult is one page of a store's invalidation log.
type logPageResult struct {
	entries   []decide.Invalidation
	fromScore float64 // score from which the page was requested
	lastScore float64 // score of the last member in the page
	isLast    bool    // no further pages follow
	ok        bool
}

// logWrittenResult is the result of a write to the invalidation log.
type logWrittenResult struct {
	update decide.LogUpdate
	ok     bool
}

func (connectedResult) isResult()  {}
func (commandResult) isResult()    {}
func (healthResult) isResult()     {}
func (logRangeResult) isResult()   {}
func (logPageResult) isResult()    {}
func (logWrittenResult) isResult() {}

// replyKinds maps the first word of an error reply to its meaning.
var replyKinds = map[string]decide.Reply{
	"LOADING":     decide.ReplyLoading,
	"OOM":         decide.ReplyOutOfMemory,
	"READONLY":    decide.ReplyReadOnly,
	"MISCONF":     decide.ReplyReadOnly,
	"NOREPLICAS":  decide.ReplyReadOnly,
	"NOAUTH":      decide.ReplyDenied,
	"WRONGPASS":   decide.ReplyDenied,
	"NOPERM":      decide.ReplyDenied,
	"BUSY":        decide.ReplyBusy,
	"MASTERDOWN":  decide.ReplyBusy,
	"TRYAGAIN":    decide.ReplyBusy,
	"MOVED":       decide.ReplyMoved,
	"ASK":         decide.ReplyMoved,
	"CLUSTERDOWN": decide.ReplyMoved,
}

// classifyError returns the meaning of an error reply, and its text as an error.
func classifyError(text []byte) (decide.Reply, error) {
	word, _, _ := bytes.Cut(text, []byte{' '})
	kind, known := replyKinds[string(word)]
	if !known {
		kind = decide.ReplyUnknownError
	}
	return kind, newStoreError(text)
}

// readReply parses the reply to a command. The result is nil if there is nothing to report; an error ends the
// connection.
func readReply(sent *command, parts []resp.Reply, elapsed time.Duration) (result, error) {
	first := &parts[0]
	ok := first.Kind != resp.ErrorReply
	switch sent.kind {
	case commandAuthenticate:
		return nil, greetingError(first)
	case commandInfo:
		return readInfo(first)
	case commandGet:
		return readGet(sent, first, elapsed)
	case commandAcquireLease, commandSet:
		return readAcknowledgement(sent, first, elapsed), nil
	case commandPing:
		return healthResult{isHealthy: ok, elapsed: elapsed}, nil
	case commandReadLogRange:
		return readLogRange(parts), nil
	case commandReadLogPage:
		return readLogPage(parts, sent.fromScore), nil
	case commandWriteLog:
		return logWrittenResult{update: sent.update, ok: ok}, nil
	case commandIgnoreReply:
	}
	return nil, nil
}

func greetingError(reply *resp.Reply) error {
	if reply.Kind != resp.ErrorReply {
		return nil
	}
	return fmt.Errorf("greeting: %w", newStoreError(reply.Text))
}

func readInfo(reply *resp.Reply) (result, error) {
	if err := greetingError(reply); err != nil {
		return nil, err
	}
	if reply.Kind != resp.BulkString {
		return nil, errReplyShape
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

func readGet(sent *command, reply *resp.Reply, elapsed time.Duration) (result, error) {
	get := commandResult{command: *sent, elapsed: elapsed}
	switch {
	case reply.Kind == resp.ErrorReply:
		get.reply, get.err = classifyError(reply.Text)
	case reply.Kind != resp.BulkString:
		return nil, errReplyShape
	case reply.IsNull:
		get.reply = decide.ReplyMiss
	default:
		get.copy, get.err = decodeFor(sent.key, reply.Text)
		get.reply = decide.ReplyHit
		if get.err != nil {
			get.reply = decide.ReplyCorrupt
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

// readAcknowledgement parses the reply to a set or to an attempt to acquire a lease. The latter is a SET with NX, whose
// reply is null if another router holds the lease.
func readAcknowledgement(sent *command, reply *resp.Reply, elapsed time.Duration) result {
	acknowledged := commandResult{command: *sent, reply: decide.ReplyOK, elapsed: elapsed}
	switch {
	case reply.Kind == resp.ErrorReply:
		acknowledged.reply, acknowledged.err = classifyError(reply.Text)
	case reply.IsNull:
		acknowledged.reply = decide.ReplyLeaseHeld
	}
	return acknowledged
}

func readLogRange(parts []resp.Reply) result {
	if parts[0].Kind != resp.Array || len(parts) != 3 {
		return logRangeResult{}
	}
	stored := decide.LogRange{
		CompleteTo:   parseTimestamp(parts[1].Text),
		CompleteFrom: parseTimestamp(parts[2].Text),
	}
	return logRangeResult{stored: stored, ok: true}
}

func readLogPage(parts []resp.Reply, fromScore float64) result {
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
func (r *commandResult) event(endpoint routing.EndpointID) decide.Event {
	event := decide.Event{
		Operation: r.command.operation, Endpoint: endpoint, Reply: r.reply, Elapsed: r.elapsed,
	}
	switch r.command.kind {
	case commandAcquireLease:
		event.Kind = decide.EventLeaseDone
	case commandSet:
		event.Kind = decide.EventSetDone
	default:
		event.Kind = decide.EventGetDone
	}
	return event
}
