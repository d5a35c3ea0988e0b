package sharedstore

// The client of the invalidation log: what policy/sharedstore plans is read and written here. One read or write is in
// flight on a connection at a time. All of it is called with the transport's lock held.

import decide "fennelarch/policy/sharedstore"

// syncLog begins to read the range of the log, if it is not being read or written already.
func (s *storeClient) syncLog() {
	if !s.isSyncingLog && !s.isDisconnected {
		s.isSyncingLog = s.send(readLogRangeCommand(&s.keys))
	}
}

func (s *storeClient) handleLogRange(r logRangeResult) {
	s.isSyncingLog = false
	if !r.ok {
		return
	}
	t := s.transport
	update := t.coordinator.PlanLogUpdate(t.now(), s.id, r.stored)
	if update.IsDataLost {
		t.handle(&decide.Event{Kind: decide.EventDataLost, Endpoint: s.id})
	}
	s.updateLog(update)
}

// updateLog carries out what the decisions plan on the range that was read.
func (s *storeClient) updateLog(update decide.LogUpdate) {
	switch {
	case update.NeedsAll:
		s.logEntries = nil
		s.isSyncingLog = s.send(readLogPageCommand(&s.keys, 0))
	case update.CompleteTo > 0 || len(update.Invalidations) > 0:
		s.isSyncingLog = s.send(writeLogCommand(&s.keys, update))
		if update.TrimBefore > 0 {
			s.send(trimLogCommand(&s.keys, update.TrimBefore))
		}
	}
}

// handleLogPage reads on until the last page. A page whose scores are all the same cannot be passed: then the entries
// are incomplete.
func (s *storeClient) handleLogPage(page *logPageResult) {
	s.logEntries = append(s.logEntries, page.entries...)
	if page.ok && !page.isLast && page.lastScore > page.fromScore {
		s.isSyncingLog = s.send(readLogPageCommand(&s.keys, page.lastScore))
		return
	}
	s.isSyncingLog = false
	t := s.transport
	if page.ok && page.isLast {
		t.coordinator.MergeInvalidations(t.now(), s.id, s.logEntries)
	} else {
		t.coordinator.AbandonMerge(s.id)
	}
	s.logEntries = nil
}

func (s *storeClient) handleLogWritten(r *logWrittenResult) {
	s.isSyncingLog = false
	if r.ok && s.transport.coordinator.LogUpdateWritten(s.id, r.update) {
		s.syncLog()
	}
}
