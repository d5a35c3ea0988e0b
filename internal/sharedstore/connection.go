package sharedstore

import (
	"time"

	"fennelarch/internal/limits"
	"fennelarch/internal/resp"

	decide "fennelarch/policy/sharedstore"
)

// connectionState is how far a connection has come.
type connectionState uint8

const (
	connectionGreeting connectionState = iota // authenticating; nothing else is sent
	connectionReady
	connectionClosed
	connectionStates
)

// connectionSignal is what changes the state.
type connectionSignal uint8

const (
	signalGreeted connectionSignal = iota
	signalClosed
	connectionSignals
)

var connectionTransitions = [connectionStates][connectionSignals]connectionState{
	connectionGreeting: {signalGreeted: connectionReady, signalClosed: connectionClosed},
	connectionReady:    {signalGreeted: connectionReady, signalClosed: connectionClosed},
	connectionClosed:   {signalGreeted: connectionClosed, signalClosed: connectionClosed},
}

// connection is the state machine of one connection to a store: it greets, puts commands into the output, matches
// replies to them in their order, and reports results. It is fed bytes and times, and never touches a socket.
type connection struct {
	state   connectionState
	input   resp.Ring
	replies resp.ReplyDecoder
	output  resp.Writer

	waiting    []command // to be sent
	sent       []command // their replies are to come
	results    []result
	lastReadAt time.Time
	shortReads int // in a row
}

const (
	// shortReadBytes is what a read is at most that holds no long value.
	shortReadBytes = 4 << 10
	// maxShortReads is how many in a row give the memory of the input back: more than come between two long values of a
	// mixed load.
	maxShortReads = 200
)

func newConnection(bounds *limits.Limits, login Credentials, now time.Time) *connection {
	c := &connection{
		replies: resp.ReplyDecoder{
			MaxStringBytes: bounds.UpstreamReadBuffer, MaxLineBytes: bounds.FieldBytes, MaxParts: 2*logPageMembers + 8,
		},
		waiting:    greeting(login),
		lastReadAt: now,
	}
	c.input.MaxBytes, c.output.MaxBytes = bounds.UpstreamReadBuffer, bounds.UpstreamWriteBuffer
	return c
}

// send queues a command.
func (c *connection) send(command command) { c.waiting = append(c.waiting, command) }

// pendingOutput is what is to be written next.
func (c *connection) pendingOutput(now time.Time) []byte {
	return c.output.Next(func() bool { return c.putNext(now) })
}

// putNext puts the next command into the output. Nothing is asked of a store that has not been greeted.
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
		c.lastReadAt = now // silence counts from here
	}
	next.sentAt = now
	last := len(next.args) - 1
	c.output.Put(next.args[last], next.args[:last]...)
	next.args = nil
	c.sent = append(c.sent, next)
	return true
}

// isSilent says whether commands are unanswered and nothing has come for so long.
func (c *connection) isSilent(now time.Time, timeout time.Duration) bool {
	return len(c.sent) > 0 && now.Sub(c.lastReadAt) > timeout
}

// readBuffer is where what comes next is to be read into; handleRead says how much came.
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

// shrinkInput gives memory back where no long value has come for long.
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
		return errReplyShape // a reply to nothing
	}
	sent := c.sent[0]
	c.sent = c.sent[1:]
	result, err := readReply(&sent, parts, now.Sub(sent.sentAt))
	if err != nil {
		return err
	}
	if sent.kind == commandInfo {
		c.handleSignal(signalGreeted)
	}
	if result != nil {
		c.results = append(c.results, result)
	}
	return nil
}

func (c *connection) handleSignal(signal connectionSignal) {
	c.state = connectionTransitions[c.state][signal]
}

// close reports all that was not answered as failed.
func (c *connection) close(now time.Time) {
	for _, unanswered := range append(c.sent, c.waiting...) {
		switch unanswered.kind {
		case commandGet, commandAcquireLease, commandSet:
			failed := commandResult{command: unanswered, reply: decide.ReplyDisconnected}
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

// takeResults hands the results over.
func (c *connection) takeResults() []result {
	results := c.results
	c.results = nil
	return results
}
