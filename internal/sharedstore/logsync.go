package sharedstore

// This file reads and writes the invalidation log of a store as policy/sharedstore plans. At most one such read or
// write is in flight on a connection. All functions must be called with the transport's lock held.

import policy "fennelarch/policy/sharedstore"

// syncLog starts to read the range of the log, unless the log is already being read or written.
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
		t.handle(&policy.Event{Kind: policy.EventDataLost, Endpoint: s.id})
	}
	s.updateLog(update)
}

// updateLog carries out the update that the policy has planned from the range that was read.
func (s *storeClient) updateLog(update policy.LogUpdate) {
	switch {
	case update.ReadAll:
		s.logEntries = nil
		s.isSyncingLog = s.send(readLogPageCommand(&s.keys, 0))
	case update.CompleteTo > 0 || len(update.Invalidations) > 0:
		s.isSyncingLog = s.send(writeLogCommand(&s.keys, update))
		if update.TrimBefore > 0 {
			s.send(trimLogCommand(&s.keys, update.TrimBefore))
		}
	}
}

// handleLogPage requests the next page, and merges the entries after the last page. If all scores of a page are equal,
// the next page cannot be requested, and the entries are discarded as incomplete.
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
	if r.ok && s.transport.coordinator.RecordLogUpdate(s.id, r.update) {
		s.syncLog()
	}
}
