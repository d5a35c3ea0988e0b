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

// This file carries out what the admission policy decides. It decides nothing itself.

// handleAdmissionEvent hands the admission policy an event and carries out its actions on connections; the one on the
// connection in question is returned.
func (s *Server) handleAdmissionEvent(event admission.Event) (decision admission.Action, isDecided bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event.Kind == admission.EventClosed {
		delete(s.connections, event.Conn)
	}
	s.actions = s.admission.Handle(time.Since(s.start), &event, s.actions[:0])
	for _, action := range s.actions {
		switch action.Kind {
		case admission.CloseIdle:
			s.evict(action.Conn)
		case admission.ModeChanged:
			s.log.Info("admission mode changed", zap.Stringer("from", action.From), zap.Stringer("to", action.To))
		case admission.Pause:
			if c := s.connections[action.Conn]; c != nil {
				c.pauseFor.Store(int64(action.Wait))
				continue
			}
			decision, isDecided = action, true // of the accept loop
		default:
			if action.Conn == event.Conn {
				decision, isDecided = action, true
			}
		}
	}
	return decision, isDecided
}

// evict has an idle connection closed for the sake of others. The server is locked, and a connection's lock comes
// before the server's, so that the reader is woken by a goroutine of its own.
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

// admit asks the admission policy about a connection that the system has accepted. It returns nil if the connection
// is rejected.
func (l *listener) admit(raw net.Conn, cameAt time.Time) *connection {
	server := l.server
	address, err := netip.ParseAddrPort(raw.RemoteAddr().String())
	if err != nil {
		_ = raw.Close()
		return nil
	}
	c := newConnection(server, raw, cameAt)
	server.register(c)
	decision, _ := server.handleAdmissionEvent(admission.Event{
		Kind: admission.EventArrive, Conn: c.id, Peer: admission.Address(address.Addr().As16()), TLS: server.tlsKeys != nil,
	})
	if decision.Kind == admission.Accept {
		server.monitor.Record(flightrecorder.Entry{Event: flightrecorder.ConnectionAccepted, ID: uint64(c.id)})
		c.isUnclosed.Store(true)
		server.unclosedCount.Add(1)
		return c
	}
	server.monitor.RecordClientClose(uint64(c.id), invariant.CloseRejected, 0)
	server.unregister(c)
	l.refuse(raw, decision)
	return nil
}

// register numbers a connection, so that the admission policy can be asked about it.
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

// refuse closes a connection that is not admitted, after a response if it is to have one. The response takes its time
// as long as there are descriptors and few such connections.
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
	server.rejectAtOnce(raw, decision.Wait)
	_ = raw.Close()
}

// admitRequest asks the admission policy about a request of the connection, or tells it of one. The connection is
// locked.
func (c *connection) admitRequest(event admission.Event) (retryAfter time.Duration, admitted bool) {
	event.Conn = c.id
	if event.Kind == admission.EventRequest {
		if c.server.isDraining.Load() {
			return 0, false
		}
		event.Elapsed = c.server.eventQueueDelay()
	}
	decision, isDecided := c.server.handleAdmissionEvent(event)
	admitted = isDecided && decision.Kind == admission.Accept
	if admitted && !c.isReportedBusy { // the policy takes it for busy from here on: closing it would lose the request
		c.isReportedBusy = true
		c.server.busyCount.Add(1)
	}
	return decision.Wait, admitted
}
