package sharedstore

import (
	"time"

	"fennelarch/internal/limits"
	"fennelarch/internal/resp"

	policy "fennelarch/policy/sharedstore"
)

// connectionState is the state of a connection.
type connectionState uint8

const (
	connectionInSetup connectionState = iota // authenticating; other commands are held back
	connectionReady
	connectionClosed
	connectionStateCount
)

// connectionSignal is an event that changes the state of a connection.
type connectionSignal uint8

const (
	signalSetupDone connectionSignal = iota
	signalClosed
	connectionSignalCount
)

var connectionTransitions = [connectionStateCount][connectionSignalCount]connectionState{
	connectionInSetup: {signalSetupDone: connectionReady, signalClosed: connectionClosed},
	connectionReady:   {signalSetupDone: connectionReady, signalClosed: connectionClosed},
	connectionClosed:  {signalSetupDone: connectionClosed, signalClosed: connectionClosed},
}

// connection is the state machine of one connection to a store. It sets the connection up, puts commands into the
// output, matches replies to commands by their order, and collects results. It uses no socket and no clock.
type connection struct {
	state   connectionState
	input   resp.Ring
	replies resp.ReplyDecoder
	output  resp.Writer

	waiting    []command // not yet in the output
	sent       []command // in the output or sent, without a reply
	results    []result  // since the last call of takeResults
	lastReadAt time.Time
	shortReads int // consecutive reads of at most shortReadBytes
}

const (
	// shortReadBytes is the maximum size of a short read, which cannot hold a large value.
	shortReadBytes = 4 << 10
	// maxShortReads is the number of consecutive short reads beyond which the input buffer is freed. Under a mixed load,
	// fewer short reads come between two large values.
	maxShortReads = 200
)

func newConnection(bounds *limits.Limits, credentials Credentials, now time.Time) *connection {
	c := &connection{
		replies: resp.ReplyDecoder{
			MaxStringBytes: bounds.StoreReadBuffer, MaxLineBytes: bounds.FieldBytes, MaxParts: 2*logPageMembers + 8,
		},
		waiting:    setupCommands(credentials),
		lastReadAt: now,
	}
	c.input.MaxBytes, c.output.MaxBytes = bounds.StoreReadBuffer, bounds.StoreWriteBuffer
	return c
}

// send queues a command.
func (c *connection) send(command command) { c.waiting = append(c.waiting, command) }

// pendingOutput returns the bytes to be written next.
func (c *connection) pendingOutput(now time.Time) []byte {
	return c.output.Next(func() bool { return c.putNext(now) })
}

// putNext puts the next command into the output, and reports whether there was one. Until the connection is set up,
// only the commands that set it up are sent.
func (c *connection) putNext(now time.Time) bool {
	if len(c.waiting) == 0 {
		return false
	}
	next := c.waiting[0]
	if c.state != connectionReady && next.kind > commandInfo {
		return false
	}
	c.waiting = c.waiting[1:]
	if len(c.sent) == 0 {
		c.lastReadAt = now // isSilent measures from here
	}
	next.sentAt = now
	last := len(next.args) - 1
	c.output.Put(next.args[last], next.args[:last]...)
	next.args = nil
	c.sent = append(c.sent, next)
	return true
}

// isSilent reports whether commands are unanswered and nothing has been received for longer than the timeout.
func (c *connection) isSilent(now time.Time, timeout time.Duration) bool {
	return len(c.sent) > 0 && now.Sub(c.lastReadAt) > timeout
}

// readBuffer returns the buffer for the next read. handleRead takes the number of bytes that were read into it.
func (c *connection) readBuffer() []byte { return c.input.Tail() }

func (c *connection) handleRead(count int, now time.Time) error {
	if count == 0 {
		return nil
	}
	c.lastReadAt = now
	c.input.Commit(count)
	for {
		parts, err := c.replies.Next(&c.input)
		if parts == nil || err != nil {
			c.shrinkInput(count)
			return err
		}
		if err := c.handleReply(parts, now); err != nil {
			return err
		}
	}
}

// shrinkInput frees the memory of the input buffer if the last reads were all short.
func (c *connection) shrinkInput(count int) {
	c.shortReads++
	if count > shortReadBytes {
		c.shortReads = 0
	}
	if c.shortReads > maxShortReads {
		c.input.Shrink()
	}
}

func (c *connection) handleReply(parts []resp.Reply, now time.Time) error {
	if len(c.sent) == 0 {
		return errUnexpectedReply // no command awaits a reply
	}
	sent := c.sent[0]
	c.sent = c.sent[1:]
	result, err := parseReply(&sent, parts, now.Sub(sent.sentAt))
	if err != nil {
		return err
	}
	if sent.kind == commandInfo {
		c.handleSignal(signalSetupDone)
	}
	if result != nil {
		c.results = append(c.results, result)
	}
	return nil
}

func (c *connection) handleSignal(signal connectionSignal) {
	c.state = connectionTransitions[c.state][signal]
}

// close ends the connection and reports its unanswered gets, leases, sets and health checks as failed.
func (c *connection) close(now time.Time) {
	for _, unanswered := range append(c.sent, c.waiting...) {
		switch unanswered.kind {
		case commandGet, commandAcquireLease, commandSet:
			failed := commandResult{command: unanswered, reply: policy.ReplyDisconnected}
			if !unanswered.sentAt.IsZero() {
				failed.elapsed = now.Sub(unanswered.sentAt)
			}
			c.results = append(c.results, failed)
		case commandPing:
			c.results = append(c.results, healthResult{})
		default:
		}
	}
	c.sent, c.waiting = nil, nil
	c.handleSignal(signalClosed)
}

// takeResults returns the results collected since its last call.
func (c *connection) takeResults() []result {
	results := c.results
	c.results = nil
	return results
}
