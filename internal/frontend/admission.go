package frontend

import (
	"net"
	"net/netip"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/policy/admission"

	"go.uber.org/zap"
)

// This file carries out the decisions of the admission policy and makes none itself.

// handleAdmissionEvent passes an event to the admission policy and carries out the resulting actions. It returns the
// decision about the event's own connection or request, or the pause of the accept loop, if there is one.
func (s *Server) handleAdmissionEvent(event admission.Event) (decision admission.Action, isDecided bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event.Kind == admission.EventClosed {
		delete(s.connections, event.Conn)
	}
	s.actions = s.admission.Handle(time.Since(s.start), &event, s.actions[:0])
	s.bodyBytes.Store(s.admission.BodyBytes())
	for _, action := range s.actions {
		switch action.Kind {
		case admission.CloseIdle:
			s.evict(action.Conn)
		case admission.LogModeChange:
			s.log.Info("admission mode changed", zap.Stringer("from", action.From), zap.Stringer("to", action.To))
		case admission.Pause:
			if action.Conn == 0 {
				decision, isDecided = action, true // a pause of the accept loop
			} else if c := s.connections[action.Conn]; c != nil { // an evicted connection needs no pause
				c.requestedPause.Store(int64(action.Wait))
			}
		default:
			if action.Conn == event.Conn {
				decision, isDecided = action, true
			}
		}
	}
	return decision, isDecided
}

// evict closes an idle connection to make room for others. A separate goroutine wakes the reader, because the server is
// locked here and a connection must be locked before the server.
func (s *Server) evict(id admission.ConnID) {
	c := s.connections[id]
	if c == nil {
		return
	}
	delete(s.connections, id)
	c.isEvicted.Store(true)
	s.goroutines.Go(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.wakeReader()
	})
}

// admit asks the admission policy about a connection that the kernel has accepted. It returns nil if the connection is
// refused.
func (l *listener) admit(raw net.Conn, arrivedAt time.Time) *connection {
	server := l.server
	address, err := netip.ParseAddrPort(raw.RemoteAddr().String())
	if err != nil {
		_ = raw.Close()
		return nil
	}
	c := newConnection(server, raw, arrivedAt)
	server.register(c)
	decision, _ := server.handleAdmissionEvent(admission.Event{
		Kind: admission.EventArrival, Conn: c.id, Peer: admission.Address(address.Addr().As16()), TLS: server.tlsKeys != nil,
	})
	if decision.Kind == admission.Accept {
		server.monitor.Record(flightrecorder.Entry{Event: flightrecorder.ConnectionAccepted, ID: uint64(c.id)})
		c.isSocketOpen.Store(true)
		server.openSocketCount.Add(1)
		return c
	}
	server.monitor.RecordClientClose(uint64(c.id), invariant.CloseRejected, 0)
	server.unregister(c)
	l.refuse(raw, decision)
	return nil
}

// register assigns an ID to a connection and adds it to the server's connections.
func (s *Server) register(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastConnID++
	c.id, c.session.connID = s.lastConnID, s.lastConnID
	s.connections[c.id] = c
}

func (s *Server) unregister(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c.id)
}

// refuse closes a connection that is not admitted, after a rejection message if the decision is Reject. If descriptors
// are available and few connections are being rejected, a goroutine waits for the client's requests to reject them.
func (l *listener) refuse(raw net.Conn, decision admission.Action) {
	server := l.server
	if decision.Kind != admission.Reject {
		_ = raw.Close()
		return
	}
	if l.spare.isHeld() {
		if server.rejectingCount.Add(1) <= int64(server.shared.limits.RejectedConnections) {
			server.goroutines.Go(func() {
				defer server.rejectingCount.Add(-1)
				server.reject(raw, decision.Wait)
			})
			return
		}
		server.rejectingCount.Add(-1)
	}
	server.rejectWithoutWaiting(raw, decision.Wait)
	_ = raw.Close()
}

// admitRequest passes an event of the session to the admission policy. For EventRequest and EventBody, it returns
// whether the request or its body is admitted. The connection must be locked, except for EventBodyReleased.
func (c *connection) admitRequest(event admission.Event) (retryAfter time.Duration, admitted bool) {
	event.Conn = c.id
	isRequest := event.Kind == admission.EventRequest
	if c.server.isDraining.Load() && (isRequest || event.Kind == admission.EventBody) {
		return 0, false
	}
	if isRequest {
		event.Elapsed = c.server.eventQueueDelay()
	}
	decision, isDecided := c.server.handleAdmissionEvent(event)
	admitted = isDecided && decision.Kind == admission.Accept
	// On admission, the policy marks the connection busy to protect it from eviction.
	if admitted && isRequest && !c.isReportedBusy {
		c.isReportedBusy = true
		c.server.busyCount.Add(1)
	}
	return decision.Wait, admitted
}
