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

// result is what a connection reports: one of the types below.
type result interface{ isResult() }

// connectedResult says that the connection has greeted.
type connectedResult struct {
	runID  uint64        // identifies the run of the store's process
	uptime time.Duration // of that run
}

// commandResult ends a get, the attempt to acquire a lease, or a set.
type commandResult struct {
	command command
	reply   decide.Reply
	copy    Copy          // of a hit
	err     error         // why a value cannot be used, or the store's error
	elapsed time.Duration // since it was sent
}

// healthResult ends a health check.
type healthResult struct {
	isHealthy bool
	elapsed   time.Duration
}

// logRangeResult is the range of the invalidation log.
type logRangeResult struct {
	stored decide.LogRange
	ok     bool
}

// logPageResult is a page of the members of the invalidation log.
type logPageResult struct {
	entries   []decide.Invalidation
	fromScore float64 // the first score asked for
	lastScore float64 // the last one of the page
	isLast    bool    // there are no more
	ok        bool
}

// logWrittenResult ends a write of the invalidation log.
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

// replyKinds gives the first word of a store's error its meaning.
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

// classifyError says what an error reply means.
func classifyError(text []byte) (decide.Reply, error) {
	word, _, _ := bytes.Cut(text, []byte{' '})
	kind, known := replyKinds[string(word)]
	if !known {
		kind = decide.ReplyUnknownError
	}
	return kind, newStoreError(text)
}

// readReply reads the reply to a command. The result is nil where nobody waits for one; an error ends the connection.
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

// decodeFor reads a value that must be a copy of what the key names. The body is cloned out of the input buffer.
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

// readAcknowledgement reads the reply to a set: SET with NX, which acquires a lease, answers null where there is one.
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

// event is the result as the decisions take it.
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
