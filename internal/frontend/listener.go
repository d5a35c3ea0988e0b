package frontend

import (
	"errors"
	"net"
	"os"
	"time"

	"fennelarch/internal/system"
	"fennelarch/policy/admission"
)

// listener hands redcon the connections that are admitted. Its fields are used by the accepting goroutine alone.
type listener struct {
	net.Listener
	server *Server
	spare  *spareDescriptor

	shortageSince time.Time // since when there has been no descriptor for the connections that wait to be accepted
}

// spareDescriptor is a descriptor held back, so that one more connection can be accepted and rejected where there is
// none.
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

// Accept returns the next connection that is admitted; those that are not are rejected on the way. It waits for
// nothing but the network, and for the pause that the admission policy asks for where descriptors run out.
func (l *listener) Accept() (net.Conn, error) {
	recheck := l.server.shared.limits.RecheckInterval
	for {
		begun := time.Now()
		raw, err := l.Listener.Accept()
		now := time.Now()
		if now.Sub(begun) > recheck {
			l.shortageSince = time.Time{} // nobody waited when the call began
		}
		switch {
		case err != nil && system.Exhausted(err):
			if c := l.handleExhausted(now); c != nil {
				return c, nil
			}
			continue
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil: // one that was gone before it was accepted
			time.Sleep(recheck)
			continue
		}
		if c := l.admitNext(raw, now); c != nil {
			return c, nil
		}
	}
}

// admitNext takes a connection that was accepted while there were descriptors. It returns nil if it is not admitted.
func (l *listener) admitNext(raw net.Conn, now time.Time) *connection {
	l.spare.hold()
	l.server.handleAdmissionEvent(admission.Event{Kind: admission.EventDescriptorAvailable})
	c := l.admit(raw, l.cameAt(now))
	if l.spare.isHeld() {
		l.shortageSince = time.Time{} // what waited for descriptors is accepted one by one; the next has hardly waited longer
	}
	return c
}

// handleExhausted waits where no descriptor was left, as that may be for a moment: who waits to be accepted loses
// nothing. Where it lasts, connections are rejected.
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

// acceptWithSpare gives up the spare descriptor and rejects by it whoever comes in the time that the admission policy
// says, or admits them where that has freed places; then the descriptor is held again.
func (l *listener) acceptWithSpare() *connection {
	defer l.spare.hold()
	server := l.server
	decision, _ := server.handleAdmissionEvent(admission.Event{Kind: admission.EventNoDescriptors})
	if server.onDescriptorShortage != nil {
		server.onDescriptorShortage()
	}
	l.spare.release()
	withDeadline, canSet := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !canSet {
		time.Sleep(decision.Wait)
		return nil
	}
	// All that wait are rejected at once, by one descriptor after the other: who waits in the system's queue believes to
	// be accepted.
	_ = withDeadline.SetDeadline(time.Now().Add(decision.Wait))
	defer func() { _ = withDeadline.SetDeadline(time.Time{}) }()
	for range server.shared.limits.Sockets {
		raw, err := l.Listener.Accept()
		if err != nil {
			if system.Exhausted(err) {
				time.Sleep(decision.Wait) // not even the spare one is to be had
			}
			return nil
		}
		if c := l.admit(raw, l.cameAt(time.Now())); c != nil {
			return c
		}
	}
	return nil
}

// cameAt is when a connection that is accepted now may have come, and its first request with it: it has waited while
// the process stood still, or while there was no descriptor for it.
func (l *listener) cameAt(now time.Time) time.Time {
	came := l.server.monitor.Watch().EarliestQueuedArrival(now)
	if !l.shortageSince.IsZero() && l.shortageSince.Before(came) {
		came = l.shortageSince
	}
	return came
}
