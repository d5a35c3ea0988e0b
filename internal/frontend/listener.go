package frontend

import (
	"errors"
	"net"
	"os"
	"time"

	"fennelarch/internal/system"
	"fennelarch/policy/admission"
)

// listener passes admitted connections to redcon. Only the accepting goroutine uses its fields.
type listener struct {
	net.Listener
	server *Server
	spare  *spareDescriptor

	shortageSince time.Time // start of the current descriptor shortage; zero if there is none
}

// spareDescriptor is a reserved file descriptor. Its release allows connections to be accepted and rejected when no
// other descriptor is left.
type spareDescriptor struct{ file *os.File }

func newSpareDescriptor() *spareDescriptor {
	s := &spareDescriptor{}
	s.hold()
	return s
}

func (s *spareDescriptor) hold() {
	if s.file == nil {
		s.file, _ = system.Open(os.DevNull)
	}
}

func (s *spareDescriptor) release() {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}

func (s *spareDescriptor) isHeld() bool { return s.file != nil }

// Accept returns the next admitted connection and rejects the others. It blocks only on the network and, when
// descriptors run out, for the pause that the admission policy asks for.
func (l *listener) Accept() (net.Conn, error) {
	recheckInterval := l.server.shared.limits.RecheckInterval
	for {
		start := time.Now()
		raw, err := l.Listener.Accept()
		now := time.Now()
		if now.Sub(start) > recheckInterval {
			l.shortageSince = time.Time{} // the call blocked, so no connection was waiting to be accepted
		}
		switch {
		case err != nil && system.IsExhausted(err):
			if c := l.handleExhausted(now); c != nil {
				return c, nil
			}
			continue
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil: // the client left before its connection was accepted
			time.Sleep(recheckInterval)
			continue
		}
		if c := l.handleAccepted(raw, now); c != nil {
			return c, nil
		}
	}
}

// handleAccepted admits a connection that was accepted while descriptors were available. It returns nil if the
// connection is refused.
func (l *listener) handleAccepted(raw net.Conn, now time.Time) *connection {
	l.spare.hold()
	l.server.handleAdmissionEvent(admission.Event{Kind: admission.EventDescriptorAvailable})
	c := l.admit(raw, l.earliestArrival(now))
	if l.spare.isHeld() {
		l.shortageSince = time.Time{} // the shortage is over; queued connections are accepted at once and hardly wait longer
	}
	return c
}

// handleExhausted is called when there was no descriptor for a connection. At first it only waits, because a brief
// shortage costs the waiting clients nothing. If the shortage lasts, it rejects connections.
func (l *listener) handleExhausted(now time.Time) *connection {
	bounds := &l.server.shared.limits
	if l.shortageSince.IsZero() {
		l.shortageSince = now
	}
	if now.Sub(l.shortageSince) < bounds.DescriptorShortageAfter {
		time.Sleep(bounds.RecheckInterval)
		return nil
	}
	return l.acceptWithSpare()
}

// acceptWithSpare releases the spare descriptor and uses it to reject connections for the time that the admission
// policy asks for, or to return a connection if eviction has freed a slot. It then takes a spare descriptor again.
func (l *listener) acceptWithSpare() *connection {
	defer l.spare.hold()
	server := l.server
	decision, _ := server.handleAdmissionEvent(admission.Event{Kind: admission.EventDescriptorsExhausted})
	if server.onDescriptorShortage != nil {
		server.onDescriptorShortage()
	}
	l.spare.release()
	deadlineSetter, canSetDeadline := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !canSetDeadline {
		time.Sleep(decision.Wait)
		return nil
	}
	// All waiting connections are rejected one after the other, because a client in the kernel's accept queue takes its
	// connection for established.
	_ = deadlineSetter.SetDeadline(time.Now().Add(decision.Wait))
	defer func() { _ = deadlineSetter.SetDeadline(time.Time{}) }()
	for range server.shared.limits.Sockets {
		raw, err := l.Listener.Accept()
		if err != nil {
			if system.IsExhausted(err) {
				time.Sleep(decision.Wait) // even the released descriptor was taken
			}
			return nil
		}
		if c := l.admit(raw, l.earliestArrival(time.Now())); c != nil {
			return c
		}
	}
	return nil
}

// earliestArrival returns the earliest time at which a connection accepted now, and its first request, may have
// arrived. The connection may have waited while the process was stalled or while there was no descriptor for it.
func (l *listener) earliestArrival(now time.Time) time.Time {
	earliest := l.server.monitor.StallDetector().EarliestQueuedArrival(now)
	if !l.shortageSince.IsZero() && l.shortageSince.Before(earliest) {
		earliest = l.shortageSince
	}
	return earliest
}
